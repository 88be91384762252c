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

/// Upstream, as an entry knows it from the reports of its agent.
struct Upstream
{
    std::string name_; ///< Name of the VM.
    std::string address_; ///< IP:PORT of the agent.
    std::string region_;
    std::string zone_; ///< Availability zone.
    std::vector<std::string> routes_; ///< Models or services that the VM was created for.
    bool leaving_ = false; ///< Whether the VM list marks it as leaving.
    bool drained_ = false; ///< Whether the configuration drains it.
    bool subscribed_ = false; ///< Whether it is in this entry's subset.
    bool reported_ = false; ///< Whether a report has been received.
    AgentReport report_; ///< Latest report.
    bool reportPending_ = false; ///< Whether a report request is awaiting its reply.
    TimePoint reportDue_{}; ///< When to request the next report.
    uint32_t reportFailures_ = 0; ///< Consecutive report requests that failed.
    TimePoint backoffUntil_{}; ///< Not selected before this time, because it refused a run for a temporary reason.
    TierCounts pendingOrders_{}; ///< Run orders without a reply so far, by tier.
    PrefixTable prefixes_; ///< Prompt prefixes sent to it.
};

using UpstreamId = PoolId<Upstream>; ///< Index of an upstream.

} // namespace Burdockfield
