/**
 * @file agent_base.h
 * @brief Tables and other state of an agent.
 */
#pragma once

#include "agent_command_type.h"
#include "deadline_type.h"
#include "entry_base.h"
#include "metrics_type.h"
#include "policy_type.h"
#include "run_base.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

namespace Burdockfield {

/// Upstream that an agent serves, as configured in the settings.
struct UpstreamSettings
{
    std::string address_; ///< IP:PORT of the upstream.
    RouteKind kind_ = RouteKind::Model; ///< Whether it serves models or services.
    std::vector<std::string> routes_; ///< Names of the models or services that it serves.
    uint32_t slots_ = 8; ///< Runs that it executes concurrently.
    uint32_t queueDepth_ = 4; ///< Runs that may wait at the agent.
};

/// Request of an entry for a report, held until the report changes or the hold time ends.
struct PendingReportRequest
{
    ExchangeId exchange_; ///< Exchange to reply on.
    uint64_t knownVersion_ = 0; ///< Report version that the entry already has.
    TimePoint holdUntil_{}; ///< When to reply even if the report has not changed.
};

/// Summary of a report. When it changes, the report gets a new version and is sent to all waiting entries.
struct ReportSignature
{
    bool reachable_ = false; ///< Whether the upstream is reachable.
    bool leaving_ = false; ///< Whether all new runs are refused.
    uint32_t slots_ = 0; ///< Runs that the upstream executes concurrently.
    uint32_t tiersWithCapacity_ = 0; ///< Bit set of the tiers whose runs are still accepted.
    uint32_t occupancyStep_ = 0; ///< Occupied part of the capacity, in quarters rounded down.
    uint64_t crashCount_ = 0; ///< Sum of the crash counts of all suspects.
    uint64_t revision_ = 0; ///< Configuration revision.
    std::vector<std::string> routes_; ///< Models or services that the upstream serves.

    bool operator==(const ReportSignature &) const = default;
};

/// Start-time fair queueing among the workspaces of one tier.
struct AgentTier
{
    double virtualTime_ = 0; ///< Highest start tag of all runs started so far.
    std::map<std::string, double> finishTags_; ///< Virtual finish time of each workspace's latest run.
};

/// All state of an agent.
struct AgentState
{
    NodeIdentity identity_; ///< Name, address, region and zone of the agent.
    AgentPolicy policy_; ///< Switches of the scheduling policy.
    UpstreamSettings upstream_; ///< Upstream that the agent serves, with slots and routes as last reported by it.
    uint64_t incarnation_ = 0; ///< Random number that identifies this process; drawn at each start.
    uint64_t nextCall_ = 1; ///< Number of the next store call.
    uint64_t nextSequence_ = 1; ///< Arrival number of the next run.
    std::mt19937_64 random_; ///< Seeded with the parameter of makeAgentState().

    Pool<Run> runs_; ///< All runs, including those that have ended but are still kept.
    std::map<RunName, RunId> runByName_;
    std::set<RunName> tombstones_; ///< Refused or cancelled attempts; late orders for them are refused.
    std::deque<std::pair<TimePoint, RunName>> tombstonesByAge_; ///< Tombstones with creation time, oldest first.
    std::map<ExchangeId, RunId> runByReader_; ///< Run that each connected reader reads.
    std::vector<RunId> waiting_; ///< Waiting runs, unordered.
    std::vector<RunId> running_; ///< Running runs, unordered.
    DeadlineQueue<Run> runDeadlines_; ///< Wait limits, heartbeats, claim retries, preemption and retention.
    std::array<AgentTier, tierRankCount> tiers_; ///< Fair queueing state, by tier.

    bool reachable_ = false; ///< Whether the upstream is reachable.
    bool leaving_ = false; ///< Whether the VM list or a leave notice marks the agent's VM as leaving.
    bool drained_ = false; ///< Whether the configuration drains the upstream.
    uint64_t revision_ = 0; ///< Highest configuration revision received from an entry.
    double prefillRate_ = 0; ///< Measured prompt tokens per second; 0 until measured.
    double decodeRate_ = 0; ///< Measured generated tokens per second of one run; 0 until measured.
    TimePoint loadDue_{}; ///< When to fetch the upstream's load next.
    bool loadPending_ = false; ///< Whether a fetch of the load is in progress.
    TimePoint vmListDue_{}; ///< When to fetch the VM list next.
    bool vmListPending_ = false; ///< Whether a fetch of the VM list is in progress.
    SuspectTable suspects_; ///< Crash records by payload digest.
    TimePoint lastCrashAt_{}; ///< When the connection to the upstream was last lost during a run.

    std::vector<PendingReportRequest> pendingReportRequests_; ///< Requests for a report that are held.
    ReportSignature signature_; ///< Signature of the current report version.
    uint64_t reportVersion_ = 1; ///< Current version of the report.

    size_t answerLimit_ = size_t{ 200 } << 20U; ///< Most bytes of answers of all running runs.
    bool stopping_ = false; ///< Whether a planned stop is in progress.
    TimePoint stopDeadline_ = noDeadline; ///< When the process exits even if runs have not ended.
    Metrics metrics_;
};

} // namespace Burdockfield
