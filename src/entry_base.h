/**
 * @file entry_base.h
 * @brief Tables of an entry.
 */
#pragma once

#include "configuration_type.h"
#include "deadline_type.h"
#include "entry_command_type.h"
#include "metrics_type.h"
#include "policy_type.h"
#include "request_base.h"
#include "route_base.h"
#include "suspect_type.h"
#include "token_bucket_type.h"
#include "upstream_base.h"
#include "workspace_base.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace Burdockfield {

/// Lost runs that may be repeated at once when there has been no trouble.
constexpr double retryBudgetLimit = 50;

/// Report requests a second of one entry: at about 600 bytes each, two thirds of its control budget of 14 KB a second.
constexpr double reportRate = 16;

/// Report requests that may follow each other at once.
constexpr double reportBurst = 64;

/// Where a node stands.
struct NodeIdentity
{
    std::string name_; ///< Name of the VM.
    std::string address_; ///< IP:PORT that peers reach it by.
    std::string region_; ///< Region.
    std::string zone_; ///< Availability zone.
};

/// Confirmation of a plan that waits for the table service.
struct PendingConfirmation
{
    ExchangeId exchange_; ///< Where the outcome goes.
    Plan plan_; ///< The plan.
    Configuration newConfiguration_; ///< Configuration after it.
    uint64_t call_ = 0; ///< Call that is awaited, or 0 while it waits to try again.
    bool verifyingWrite_ = false; ///< Whether the awaited call reads back a write whose answer was lost.
    TimePoint retryAt_ = noDeadline; ///< When to try again.
    TimePoint deadline_{}; ///< When to give up.
    bool mayHaveWritten_ = false; ///< Whether a write may have taken effect.
};

/// How an entry follows the configuration in the table service.
struct ConfigurationSync
{
    TimePoint headDue_{}; ///< When to read the head again.
    uint64_t headCall_ = 0; ///< Call that reads the head, or 0.
    uint64_t changeCall_ = 0; ///< Call that reads a change or the snapshot, or 0.
    bool readingSnapshot_ = false; ///< Whether that call reads the snapshot.
    uint64_t highestKnownRevision_ = 0; ///< Highest revision heard of.
    TimePoint peerDue_{}; ///< When a peer may be asked again.
    bool peerRequestPending_ = false; ///< Whether a peer has been asked.
    bool requestWholeConfiguration_ = true; ///< Whether the next question asks for the whole configuration.
    std::deque<ConfirmedChange> recentChanges_; ///< Latest changes, for peers that ask.
};

/// All state of an entry.
struct EntryState
{
    NodeIdentity identity_; ///< Where it stands.
    EntryPolicy policy_; ///< Scheduling policy.
    uint64_t incarnation_ = 0; ///< Drawn anew at each start.
    uint64_t nextSequence_ = 1; ///< Number of the next request.
    uint64_t nextCall_ = 1; ///< Number of the next store call.
    std::mt19937_64 random_; ///< Seeded by the caller of the tick.

    Configuration configuration_; ///< Configuration in force.
    ConfigurationSync sync_; ///< How it is kept up.
    std::vector<PendingConfirmation> confirmations_; ///< Confirmations in progress.

    Pool<Workspace> workspaces_; ///< Customers.
    std::unordered_map<std::string, WorkspaceId> workspaceByToken_; ///< Customers by token digest.
    std::map<std::string, WorkspaceId> workspaceByName_; ///< Customers by name.
    Pool<Route> routes_; ///< Models and services.
    std::map<std::string, RouteId> routeByName_; ///< Routes by name.
    Pool<Upstream> upstreams_; ///< Upstreams.
    std::map<std::string, UpstreamId> upstreamByName_; ///< Upstreams by name.
    DeadlineQueue<Upstream> reportDeadlines_; ///< When reports are due.
    TokenBucket reportBucket_{ reportRate, reportBurst, reportBurst, {} }; ///< Bounds the cost of reports.
    std::vector<std::string> peers_; ///< Addresses of the other entries.
    TimePoint vmListDue_{}; ///< When to ask for the VM list.
    bool vmListPending_ = false; ///< Whether it has been asked for.

    Pool<Request> requests_; ///< Requests in progress.
    std::map<ExchangeId, RequestId> requestByExchange_; ///< Requests by exchange.
    DeadlineQueue<Request> requestDeadlines_; ///< Ends of waits, and retries.
    SuspectTable suspects_; ///< Crash suspects.
    double retryBudget_ = retryBudgetLimit; ///< Lost runs that may still be repeated.

    bool stopping_ = false; ///< Whether a planned stop is under way.
    TimePoint stopDeadline_ = noDeadline; ///< When it ends at the latest.
    Metrics metrics_; ///< Figures.
};

} // namespace Burdockfield
