/**
 * @file policy_type.h
 * @brief Switches of the scheduling policy.
 */
#pragma once

#include "time_type.h"

#include <cstdint>

namespace Burdockfield {

/// How an upstream is chosen.
enum class RoutingRule : uint8_t {
    RoundRobin, ///< Each in turn.
    ExpectedFinish, ///< The earliest expected end of the answer.
};

/// In which order waiting requests go.
enum class QueueRule : uint8_t {
    FirstCome, ///< By arrival, without regard to tier or workspace.
    TierFair, ///< By tier, then by fair share of the workspaces.
};

/// Policy of an entry.
struct EntryPolicy
{
    RoutingRule routing_ = RoutingRule::ExpectedFinish; ///< Choice of upstream.
    QueueRule queue_ = QueueRule::TierFair; ///< Order of waiting requests.
    bool lateBinding_ = true; ///< Whether requests wait here until an upstream has room.
    bool prefixAffinity_ = true; ///< Whether cached prompt prefixes count.
    bool dropInfeasible_ = true; ///< Whether a request that cannot end in time is refused before its prefill.
    uint32_t subsetSize_ = 8; ///< Upstreams held for each route and region.
    uint32_t queueLimit_ = 2000; ///< Bound on waiting requests of one route.
};

/// Policy of an agent.
struct AgentPolicy
{
    QueueRule queue_ = QueueRule::TierFair; ///< Order of waiting runs.
    bool queueAtAgent_ = true; ///< Whether runs wait here rather than in the engine's own queue.
    bool preemption_ = true; ///< Whether lower tiers are paused for higher ones.
    bool dropInfeasible_ = true; ///< Whether a run that cannot end in time is turned down before its prefill.
};

} // namespace Burdockfield
