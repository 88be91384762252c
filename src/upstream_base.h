/**
 * @file upstream_base.h
 * @brief Row of the table of upstreams.
 */
#pragma once

#include "agent_report_type.h"
#include "pool_type.h"
#include "prefix_type.h"
#include "time_type.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Upstream, as an entry sees it through the reports of its agent.
struct Upstream
{
    std::string name_; ///< Name of the VM.
    std::string address_; ///< IP:PORT of the agent.
    std::string region_; ///< Region.
    std::string zone_; ///< Availability zone.
    std::vector<std::string> routes_; ///< Models or services that the VM was made for.
    bool leaving_ = false; ///< Whether the VM list says that it leaves.
    bool drained_ = false; ///< Whether the configuration drains it.
    bool subscribed_ = false; ///< Whether this entry holds it in its subset.
    bool reported_ = false; ///< Whether a report has come.
    AgentReport report_; ///< Last report.
    bool reportPending_ = false; ///< Whether a report has been asked for.
    TimePoint reportDue_{}; ///< When to ask for the next report.
    uint32_t reportFailures_ = 0; ///< Reports missed in a row.
    TimePoint backoffUntil_{}; ///< Not chosen before this time, after it turned a run down for a passing reason.
    TierCounts pendingOrders_{}; ///< Orders sent and not yet answered, by tier.
    PrefixTable prefixes_; ///< Prompt prefixes that it was sent.
};

using UpstreamId = PoolId<Upstream>; ///< Index of an upstream.

} // namespace Burdockfield
