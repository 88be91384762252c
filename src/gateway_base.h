/**
 * @file gateway_base.h
 * @brief Tables of a gateway: calls, upstreams, workspaces, peers.
 */
#pragma once

#include "deadline_type.h"
#include "gateway_call_type.h"
#include "gateway_configuration_type.h"
#include "metrics_type.h"
#include "pool_type.h"

#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Burdockfield::Gateway {

/// Call whose connection to an upstream broke.
struct BrokenCall
{
    uint64_t fingerprint_ = 0; ///< Its request.
    TimePoint at_{}; ///< When it broke.
};

/// Instance of a service's server, reached straight.
struct Upstream
{
    std::string id_; ///< Name of this start of the server.
    std::string service_; ///< Service that it belongs to.
    std::string address_; ///< IP:PORT.
    std::string zone_; ///< Availability zone.
    std::string region_; ///< Region.
    uint32_t slots_ = 1; ///< Requests that it runs at once.
    uint64_t startedAtMs_ = 0; ///< Unix millisecond of its start, 0 if not told.
    bool draining_ = false; ///< Whether it has announced that it leaves.

    uint32_t ownInFlight_ = 0; ///< Calls of this gateway that are there.
    uint32_t peerInFlight_ = 0; ///< Calls of other gateways that are there, as last told.
    double failureRate_ = 0; ///< Share of failed answers, recent ones weighing more.
    TimePoint failureAt_{}; ///< When failureRate_ was last brought up to date.
    TimePoint avoidUntil_{}; ///< Not used before, after a failure to connect.
    uint32_t connectFailures_ = 0; ///< Failures to connect in a row.
    std::vector<BrokenCall> brokenCalls_; ///< Calls that broke lately; suspects if the upstream proves to be down.
    TimePoint missingSince_{ noDeadline }; ///< Since when the list lacks it, while that is not yet believed.
};

using UpstreamId = PoolId<Upstream>; ///< Index of an upstream.

/// Where a call stands.
enum class CallStage : uint8_t {
    Waiting, ///< Waits for an upstream with room.
    Sent, ///< At an upstream.
};

/// Request in progress.
struct Call
{
    ExchangeId exchange_; ///< Where the answer goes.
    CallRequest request_; ///< What was asked.
    std::string routeName_; ///< Route.
    std::string service_; ///< Service that it goes to.
    std::string workspace_; ///< Workspace, or empty.
    CallKind kind_ = CallKind::NonIdempotent; ///< Kind of the route.
    bool retryable_ = false; ///< Whether it may run more than once.
    bool callerRetry_ = false; ///< Whether the caller came back with it after a refusal.
    uint32_t rank_ = 0; ///< Urgency, 0 first: the workspace's, or else the route's.
    uint32_t routeRank_ = 0; ///< Urgency of the route, which orders calls of the same rank.
    uint32_t attemptLimit_ = 1; ///< Upstreams that it may be sent to.
    Milliseconds latencyTarget_{ 0 }; ///< Time within which the answer earns its full credit.
    Milliseconds gapTarget_{ 0 }; ///< Longest pause between events that is on time.
    uint64_t charge_ = 0; ///< Units taken from the workspace's quota.
    uint64_t fingerprint_ = 0; ///< Hash of path, workspace and body, the same for each return of the request.
    TimePoint arrivedAt_{}; ///< When it came.
    TimePoint deadline_{}; ///< When the final answer is due.
    TimePoint waitUntil_{}; ///< Until when it may wait for room.

    CallStage stage_ = CallStage::Waiting; ///< Where it stands.
    uint64_t send_ = 0; ///< Number of the present send.
    UpstreamId upstream_; ///< Upstream of the present send.
    TimePoint sentAt_{}; ///< When it was sent.
    TimePoint lastReceivedAt_{}; ///< When the upstream was last heard.
    uint32_t attempts_ = 0; ///< Sends that reached, or may have reached, an upstream.
    uint32_t connectFailures_ = 0; ///< Sends that reached none.
    bool mayHaveRun_ = false; ///< Whether an earlier send may have run.
    std::vector<std::string> triedInstances_; ///< Instances that it was sent to.

    AnswerHead head_; ///< Header of the present answer.
    bool headReceived_ = false; ///< Whether head_ holds the present answer's header.
    std::string body_; ///< Body of an answer that is not streamed, or bytes of an unfinished event.
    bool streamStarted_ = false; ///< Whether the header has gone to the caller.
    std::optional<uint64_t> lastEvent_; ///< Last event that went to the caller.
    uint32_t events_ = 0; ///< Events that went to the caller.
};

using CallId = PoolId<Call>; ///< Index of a call.

/// Call that came before a configuration was known.
struct DeferredArrival
{
    ExchangeId exchange_; ///< Where the answer goes.
    CallRequest request_; ///< What was asked.
    TimePoint arrivedAt_{}; ///< When it came.
};

/// Quota of a workspace across all gateways: a bucket that fills at a steady rate.
struct WorkspaceQuota
{
    double level_ = 0; ///< Units left.
    TimePoint levelAt_{}; ///< When level_ was last brought up to date.
    bool levelAssumed_ = false; ///< Whether the level at this start is assumed, not learnt from a peer.
    uint64_t ownChargedUnits_ = 0; ///< Units charged by this gateway since its start.
};

/// Budget of repeated sends to a service.
struct RetryBudget
{
    double level_ = 0; ///< Repeats left.
    bool started_ = false; ///< Whether level_ has been set.
};

/// Another gateway.
struct Peer
{
    std::string address_; ///< IP:PORT for datagrams and calls.
    std::string name_; ///< Name, empty until heard.
    std::string region_; ///< Region, empty until heard.
    bool updatePending_ = true; ///< Whether it has not been told of the present counts at its region's upstreams.
    TimePoint lastSentAt_{}; ///< When it was last told anything.
    uint64_t incarnation_ = 0; ///< Start that the figures below belong to.
    uint64_t sequence_ = 0; ///< Last datagram.
    TimePoint lastReceivedAt_{}; ///< When it was last heard; the epoch if never.
    TimePoint addedAt_{}; ///< When it was learnt of.
    uint64_t configurationVersion_ = 0; ///< Configuration that it holds.
    uint64_t upstreamsVersion_ = 0; ///< Version of the upstream list that it holds.
    std::unordered_map<std::string, uint32_t> inFlight_; ///< Calls at each upstream.
    std::unordered_map<std::string, uint64_t> chargedUnits_; ///< Units charged to each workspace.
    std::map<uint64_t, uint32_t> suspects_; ///< Crashes that it has seen, by fingerprint.
};

using PeerId = PoolId<Peer>; ///< Index of a peer.

/// Row of the list of upstreams, as the store has it.
struct UpstreamRow
{
    std::string id_; ///< Name of this start of the server.
    std::string service_; ///< Service.
    std::string address_; ///< IP:PORT.
    std::string zone_; ///< Availability zone.
    uint32_t slots_ = 1; ///< Requests that it runs at once.
    uint64_t startedAtMs_ = 0; ///< Unix millisecond of its start, 0 if not told.
    bool draining_ = false; ///< Whether it has announced that it leaves.
    bool removed_ = false; ///< Whether the row is gone.
};

/// Figures of the settings that decisions use.
struct Bounds
{
    double retryRatio_ = 0.2; ///< Repeats allowed for each request of a service.
    double retrySlack_ = 50; ///< Repeats allowed besides, in a window.
    std::chrono::seconds quotaWindow_{ 8 }; ///< Window in which quotas are judged.
    double quotaOvershoot_ = 0; ///< Part of a quota that may be used beyond it in a window.
    double quotaTokenSlack_ = 0; ///< Tokens that may be used beyond it besides.
    Milliseconds grace_{ 8000 }; ///< Time from SIGTERM to SIGKILL.
    size_t bodyBytes_ = 32U << 20U; ///< Bodies that requests in progress may take together.
    Milliseconds rowReturnTimeout_{ 2000 }; ///< Time in which rows that lapsed in an outage come back.
};

/// Request that broke off when upstreams went down, as seen by this gateway.
struct CrashSuspect
{
    uint32_t crashes_ = 0; ///< Upstreams that went down with it.
    TimePoint lastAt_{}; ///< When the last one did.
};

/// All tables of a gateway.
struct GatewayState
{
    std::string name_; ///< Name of this node.
    std::string zone_; ///< Availability zone of this node.
    std::string region_; ///< Region of this node.
    std::map<std::string, std::string> regionByZone_; ///< Regions of all zones.
    std::string peerAddress_; ///< IP:PORT that peers reach this node at.
    uint64_t incarnation_ = 0; ///< Names this start of the process.
    Bounds bounds_; ///< Figures of the settings.
    bool firstStart_ = false; ///< Whether the whole system starts for the first time: nothing has been used yet.
    std::mt19937_64 random_; ///< Source of random choices.
    TimePoint lastPeerDisruptionAt_{}; ///< When a peer last started or was not heard, or this node started.

    Configuration configuration_; ///< Configuration in force.
    std::string configurationText_; ///< The same as the operator wrote it, for peers.
    TimePoint configurationAppliedAt_{}; ///< When it came into force.

    Pool<Upstream> upstreams_; ///< Upstreams.
    std::unordered_map<std::string, UpstreamId> upstreamById_; ///< Index by instance.
    uint64_t upstreamsVersion_ = 0; ///< Version of the list; 0 when none is known yet.
    TimePoint storeUnreachableSince_{ noDeadline }; ///< Since when the store has not answered.
    TimePoint storeReachableSince_{}; ///< When the store last came back.

    Pool<Call> calls_; ///< Requests in progress.
    std::unordered_map<uint64_t, CallId> callByExchange_; ///< Index by exchange.
    std::unordered_map<uint64_t, CallId> callBySend_; ///< Index by send.
    size_t bodyBytes_ = 0; ///< Bytes of the bodies of all calls.
    std::vector<DeferredArrival> deferred_; ///< Calls that came before the first configuration.
    std::vector<CallId> waiting_; ///< Calls that wait for room.
    DeadlineQueue<Call> deadlines_; ///< When calls have to be looked at.
    uint64_t nextSend_ = 1; ///< Number of the next send.

    std::unordered_map<std::string, WorkspaceQuota> workspaces_; ///< Quotas by workspace.
    std::unordered_map<std::string, RetryBudget> retryBudgets_; ///< Repeat budgets by service.
    std::unordered_map<std::string, Milliseconds> longestWaitByRoute_; ///< Longest wait seen on each route.
    std::unordered_map<uint64_t, CrashSuspect> suspects_; ///< Crash suspects by fingerprint.

    Pool<Peer> peers_; ///< Other gateways.
    std::map<std::string, PeerId> peerByAddress_; ///< Index by address.
    uint64_t nextSequence_ = 1; ///< Number of the next datagram.
    TimePoint lastFullUpdateAt_{}; ///< When all peers were last told of each other.
    TimePoint nextSnapshotAt_{ noDeadline }; ///< When a peer may be asked for its snapshot again.

    bool stopping_ = false; ///< Whether the process has been told to stop.
    TimePoint stopAt_{}; ///< When it was told to.
    bool listening_ = true; ///< Whether new connections are still taken.
    Metrics metrics_; ///< Figures served on the metrics address.
};

} // namespace Burdockfield::Gateway
