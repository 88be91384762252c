/**
 * @file agent_report_type.h
 * @brief Report that an agent sends to entries about its upstream.
 */
#pragma once

#include "suspect_type.h"
#include "tier_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// State of one upstream, as its agent sees it.
struct AgentReport
{
    std::string upstream_; ///< Name of the upstream VM.
    uint64_t incarnation_ = 0; ///< Random number drawn at each start of the agent.
    uint64_t version_ = 0; ///< Incremented with each change that entries need.
    uint64_t revision_ = 0; ///< Highest configuration revision known to the agent.
    bool reachable_ = false; ///< Whether the upstream is reachable.
    bool leaving_ = false; ///< Whether the agent refuses all new runs because it is leaving, drained or stopping.
    uint32_t slots_ = 0; ///< Runs that the upstream executes concurrently.
    uint32_t queueDepth_ = 0; ///< Runs that may wait at the agent.
    TierCounts occupied_{}; ///< Runs executing or waiting, by tier.
    double prefillRate_ = 0; ///< Prompt tokens per second.
    double decodeRate_ = 0; ///< Generated tokens per second of one run.
    std::vector<std::string> routes_; ///< Models or services that the upstream serves.
    SuspectTable suspects_; ///< Crash suspects known to the agent.
};

/**
 * @param rank tier of the new runs
 * @return number of further runs of @p rank that the upstream accepts. Runs of lower tiers do not count against it.
 */
inline uint32_t freeCapacity(const AgentReport &report, TierRank rank)
{
    const uint32_t capacity = report.slots_ + report.queueDepth_;
    const uint32_t used = countAtOrAbove(report.occupied_, rank);
    return used < capacity ? capacity - used : 0;
}

} // namespace Burdockfield
