/**
 * @file policy_type.h
 * @brief Scheduling policies of entries and agents.
 */
#pragma once

#include "time_type.h"

#include <cstdint>

namespace Burdockfield {

/// How an entry selects an upstream.
enum class RoutingRule : uint8_t {
    RoundRobin, ///< All upstreams in turn.
    ExpectedFinish, ///< The upstream expected to complete the answer first.
};

/// Order in which waiting requests or runs are served.
enum class QueueRule : uint8_t {
    FirstCome, ///< By arrival, regardless of tier and workspace.
    TierFair, ///< By tier, then by fair sharing among the workspaces.
};

/// Scheduling policy of an entry.
struct EntryPolicy
{
    RoutingRule routing_ = RoutingRule::ExpectedFinish; ///< How upstreams are selected.
    QueueRule queue_ = QueueRule::TierFair; ///< Order of waiting requests.
    bool lateBinding_ = true; ///< Whether requests wait at the entry until an upstream has capacity.
    bool prefixAffinity_ = true; ///< Whether routing takes cached prompt prefixes into account.
    bool dropInfeasible_ = true; ///< Whether a request that cannot finish in time is refused before its prefill.
    uint32_t subsetSize_ = 8; ///< Upstreams that the entry uses per route and region.
    uint32_t queueLimit_ = 2000; ///< Maximum number of waiting requests per route.
};

/// Scheduling policy of an agent.
struct AgentPolicy
{
    QueueRule queue_ = QueueRule::TierFair; ///< Order of waiting runs.
    bool queueAtAgent_ = true; ///< Whether runs wait at the agent instead of in the engine's own queue.
    bool preemption_ = true; ///< Whether runs of lower tiers are paused for runs of higher tiers.
    bool dropInfeasible_ = true; ///< Whether a run that cannot finish in time is refused before its prefill.
};

} // namespace Burdockfield
