/**
 * @file agent_report_type.h
 * @brief What an agent tells entries of its upstream.
 */
#pragma once

#include "suspect_type.h"
#include "tier_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// State of one upstream as its agent sees it.
struct AgentReport
{
    std::string upstream_; ///< Name of the upstream VM.
    uint64_t incarnation_ = 0; ///< Drawn anew at each start of the agent.
    uint64_t version_ = 0; ///< Counts the changes that matter to entries.
    uint64_t revision_ = 0; ///< Configuration revision that the agent knows.
    bool reachable_ = false; ///< Whether the upstream answers.
    bool leaving_ = false; ///< Whether new runs are refused for good.
    uint32_t slots_ = 0; ///< Runs that the upstream works on at once.
    uint32_t queueDepth_ = 0; ///< Runs that may wait at the agent.
    TierCounts occupied_{}; ///< Runs running or waiting, by tier.
    double prefillRate_ = 0; ///< Prompt tokens a second.
    double decodeRate_ = 0; ///< Generated tokens a second of one run.
    std::vector<std::string> routes_; ///< Models or services that it serves.
    SuspectTable suspects_; ///< Crash suspects known to the agent.
};

/**
 * @param rank tier of a further run
 * @return how many more runs of @p rank the upstream takes.
 */
inline uint32_t freeCapacity(const AgentReport &report, TierRank rank)
{
    const uint32_t capacity = report.slots_ + report.queueDepth_;
    const uint32_t taken = countAtOrAbove(report.occupied_, rank);
    return taken < capacity ? capacity - taken : 0;
}

} // namespace Burdockfield
