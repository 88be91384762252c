/**
 * @file entry_base.h
 * @brief State of an entry: its tables, configuration and timers.
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

/// Most lost runs that may be retried in a row; the budget starts here and each new request refills it a little.
constexpr double retryBudgetLimit = 50;

/// Report requests per second of one entry. At about 600 bytes each they use two thirds of its control traffic budget
/// of 14 KB per second.
constexpr double reportRate = 16;

/// Report requests that may be sent in one burst.
constexpr double reportBurst = 64;

/// Name and location of a node.
struct NodeIdentity
{
    std::string name_; ///< Name of the VM.
    std::string address_; ///< IP:PORT at which other nodes reach it.
    std::string region_;
    std::string zone_; ///< Availability zone.
};

/// Confirmation of a plan that is being written to the table service.
struct PendingConfirmation
{
    ExchangeId exchange_; ///< Exchange on which the outcome is sent.
    Plan plan_; ///< Plan to confirm.
    Configuration newConfiguration_; ///< Configuration after the plan.
    uint64_t call_ = 0; ///< Store call in progress, or 0 while waiting for the retry.
    bool verifyingWrite_ = false; ///< Whether that call reads back a write whose reply was lost.
    TimePoint retryAt_ = noDeadline; ///< When to retry.
    TimePoint deadline_{}; ///< When to give up.
    bool mayHaveWritten_ = false; ///< Whether an earlier write may have taken effect.
};

/// Progress of an entry in following the configuration in the table service.
struct ConfigurationSync
{
    TimePoint headDue_{}; ///< When to read the head row, which holds the latest change, again.
    uint64_t headCall_ = 0; ///< Call that reads the head row, or 0.
    uint64_t changeCall_ = 0; ///< Call that reads a change or the snapshot, or 0.
    bool readingSnapshot_ = false; ///< Whether that call reads the snapshot.
    uint64_t highestKnownRevision_ = 0; ///< Highest revision seen in any message or row.
    TimePoint peerDue_{}; ///< Earliest time of the next request to a peer.
    bool peerRequestPending_ = false; ///< Whether a request to a peer is in progress.
    bool requestWholeConfiguration_
        = true; ///< Whether the next request asks for the whole configuration instead of changes.
    std::deque<ConfirmedChange> recentChanges_; ///< Latest confirmed changes, oldest first; sent to peers on request.
};

/// All state of an entry.
struct EntryState
{
    NodeIdentity identity_; ///< Name and location of this entry.
    EntryPolicy policy_;
    uint64_t incarnation_ = 0; ///< Random number drawn at each start.
    uint64_t nextSequence_ = 1; ///< Sequence number of the next request; part of its name.
    uint64_t nextCall_ = 1; ///< Number of the next store call.
    std::mt19937_64 random_; ///< Seeded by makeEntryState().

    Configuration configuration_; ///< Configuration in force.
    ConfigurationSync sync_; ///< State of the reads that keep it up to date.
    std::vector<PendingConfirmation> confirmations_; ///< Confirmations in progress.

    Pool<Workspace> workspaces_; ///< Customers.
    std::unordered_map<std::string, WorkspaceId> workspaceByToken_; ///< Index by digest of the bearer token.
    std::map<std::string, WorkspaceId> workspaceByName_; ///< Index by name.
    Pool<Route> routes_; ///< Models and services.
    std::map<std::string, RouteId> routeByName_; ///< Index by name.
    Pool<Upstream> upstreams_; ///< Upstreams in the VM list.
    std::map<std::string, UpstreamId> upstreamByName_; ///< Index by name of the VM.
    DeadlineQueue<Upstream> reportDeadlines_; ///< When to request the next report of each upstream.
    TokenBucket reportBucket_{ reportRate, reportBurst, reportBurst, {} }; ///< Limits the rate of report requests.
    std::vector<std::string> peers_; ///< Addresses of the other entries.
    TimePoint vmListDue_{}; ///< When to request the VM list.
    bool vmListPending_ = false; ///< Whether a request for it is in progress.

    Pool<Request> requests_; ///< Requests in progress.
    std::map<ExchangeId, RequestId> requestByExchange_; ///< Index by the caller's exchange.
    DeadlineQueue<Request> requestDeadlines_; ///< Ends of the agreed waits, and retries.
    SuspectTable suspects_; ///< Payloads that were in flight when an upstream crashed.
    size_t answerLimit_ = size_t{ 200 } << 20U; ///< Most bytes of answers of all requests in progress.
    double retryBudget_ = retryBudgetLimit; ///< Lost runs that may be retried now; at most retryBudgetLimit.

    bool stopping_ = false; ///< Whether a planned stop is in progress.
    TimePoint stopDeadline_ = noDeadline; ///< Latest end of the planned stop.
    Metrics metrics_;
};

} // namespace Burdockfield
