/**
 * @file agent_base.h
 * @brief Tables of an agent.
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

/// Upstream beside an agent, as the settings describe it.
struct UpstreamSettings
{
    std::string address_; ///< IP:PORT of the upstream.
    RouteKind kind_ = RouteKind::Model; ///< What it is.
    std::vector<std::string> routes_; ///< Models or services that it serves.
    uint32_t slots_ = 8; ///< Runs that it works on at once.
    uint32_t queueDepth_ = 4; ///< Runs that may wait at the agent.
};

/// Entry that waits for a report.
struct ReportWatcher
{
    ExchangeId exchange_; ///< Where the report goes.
    uint64_t knownVersion_ = 0; ///< Version that it has.
    TimePoint until_{}; ///< When it gets the report in any case.
};

/// Parts of a report whose change entries need to hear of at once.
struct ReportSignature
{
    bool reachable_ = false; ///< Whether the upstream answers.
    bool leaving_ = false; ///< Whether new runs are refused.
    uint32_t slots_ = 0; ///< Runs worked on at once.
    uint32_t roomyTiers_ = 0; ///< Bit for each tier that has room.
    uint32_t loadStep_ = 0; ///< Occupancy in steps of a share of the capacity.
    uint64_t suspectSum_ = 0; ///< Sum of the crash counts.
    uint64_t revision_ = 0; ///< Configuration revision.
    std::vector<std::string> routes_; ///< What is served.

    bool operator==(const ReportSignature &) const = default;
};

/// Virtual time of one tier at an agent.
struct AgentTier
{
    double virtualTime_ = 0; ///< Start tag of the run started last.
    std::map<std::string, double> finishTags_; ///< Virtual end of each workspace's last run.
};

/// All state of an agent.
struct AgentState
{
    NodeIdentity identity_; ///< Where it stands.
    AgentPolicy policy_; ///< Scheduling policy.
    UpstreamSettings upstream_; ///< The upstream beside it.
    uint64_t incarnation_ = 0; ///< Drawn anew at each start.
    uint64_t nextCall_ = 1; ///< Number of the next store call.
    uint64_t nextSequence_ = 1; ///< Number of the next run.
    std::mt19937_64 random_; ///< Seeded by the caller of the tick.

    Pool<Run> runs_; ///< Runs, ended ones included.
    std::map<RunName, RunId> runByName_; ///< Runs by name.
    std::set<RunName> tombstones_; ///< Attempts that entries were told will never run here.
    std::deque<std::pair<TimePoint, RunName>> tombstoneAges_; ///< The same, oldest first.
    std::map<ExchangeId, RunId> runByReader_; ///< Runs by the exchange of a reader.
    std::vector<RunId> waiting_; ///< Waiting runs, in no order.
    std::vector<RunId> running_; ///< Running runs, in no order.
    DeadlineQueue<Run> runDeadlines_; ///< Ends of waits, heartbeats, retries, retention.
    std::array<AgentTier, tierRankCount> tiers_; ///< Virtual times.

    bool reachable_ = false; ///< Whether the upstream answers.
    bool leaving_ = false; ///< Whether the VM list says that the VM leaves.
    bool drained_ = false; ///< Whether the configuration drains the upstream.
    uint64_t revision_ = 0; ///< Configuration revision known.
    double prefillRate_ = 0; ///< Learnt prompt tokens a second.
    double decodeRate_ = 0; ///< Learnt generated tokens a second of one run.
    TimePoint loadDue_{}; ///< When to ask the upstream about itself.
    bool loadPending_ = false; ///< Whether it has been asked.
    TimePoint vmListDue_{}; ///< When to ask for the VM list.
    bool vmListPending_ = false; ///< Whether it has been asked for.
    SuspectTable suspects_; ///< Crash suspects.
    TimePoint crashedAt_{}; ///< When the upstream was last lost.

    std::vector<ReportWatcher> watchers_; ///< Entries that wait for a report.
    ReportSignature signature_; ///< Signature of the present version.
    uint64_t reportVersion_ = 1; ///< Version of the report.

    bool stopping_ = false; ///< Whether a planned stop is under way.
    TimePoint stopDeadline_ = noDeadline; ///< When it ends at the latest.
    Metrics metrics_; ///< Figures.
};

} // namespace Burdockfield
