/**
 * @file gateway_base.h
 * @brief Tables of a gateway: calls, upstreams, workspaces, peers.
 */
#pragma once

#include "crash_evidence_type.h"
#include "crash_record_type.h"
#include "deadline_type.h"
#include "gateway_call_type.h"
#include "gateway_configuration_type.h"
#include "gateway_hedging_type.h"
#include "gateway_slot_type.h"
#include "link_use_type.h"
#include "metrics_type.h"
#include "pool_type.h"
#include "rollout_type.h"
#include "store_type.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Burdockfield::Gateway {

/// Call whose connection to an upstream broke or was closed before its answer was complete.
struct BrokenCall
{
    std::string request_; ///< Id of its request.
    std::vector<Trait> traits_; ///< What it may have in common with others, see Call::traits_.
    bool headReceived_ = false; ///< Whether the header of the answer had been received.
    bool cancelled_ = false; ///< Whether this gateway closed the connection.
    TimePoint at_{}; ///< When the connection ended.
};

/// What an upstream has said of itself in its answers.
struct UpstreamAnnouncement
{
    bool leaving_ = false; ///< Whether it is going to stop; it gets no new calls.
    TimePoint pausedUntil_{}; ///< Until when it wants no calls from this gateway.
};

/// Load that an upstream has reported beyond what the counts of calls show. It is outdated soon.
struct ReportedLoad
{
    double excess_ = 0; ///< Requests at it that the counts didn't include, as of at_.
    double slowdown_ = 1; ///< See UpstreamLoad::slowdown_, as of at_.
    TimePoint at_{}; ///< When it was reported.
    TimePoint malformedLoggedAt_{}; ///< When a malformed load was last logged.
};

/// Outcomes of calls at an upstream, which gateways report to the brokers.
struct UpstreamReport
{
    uint32_t succeeded_ = 0; ///< Calls that were answered.
    uint32_t failed_ = 0; ///< Calls that failed.
    uint64_t promptTokens_ = 0; ///< Tokens of the long prompts whose answers have begun.
    Milliseconds promptTime_{ 0 }; ///< Sum of the times from sending them to the first event.
};

/// Instance of a service's server, which the gateway calls directly.
struct Upstream
{
    std::string id_; ///< Id of this start of the server.
    std::string service_; ///< Name of its service.
    std::string address_; ///< IP:PORT.
    std::string zone_; ///< Availability zone.
    std::string region_; ///< Region of zone_, or zone_ itself if its region is unknown.
    uint32_t slots_ = 1; ///< Requests that the server runs at once.
    uint64_t startedAtMs_ = 0; ///< Start of the server in Unix milliseconds, 0 if unknown.
    std::string version_; ///< Version of its software; empty if it has none.
    StoreVersion rowVersion_; ///< Store's version of the first row seen of this start.
    bool versionKnown_ = true; ///< See UpstreamRow::versionKnown_.
    bool draining_ = false; ///< Whether its row says that it leaves; it gets no new calls.
    UpstreamAnnouncement announcement_; ///< What it has said itself; no row of the same start takes that back.

    uint32_t ownInFlight_ = 0; ///< Calls that this gateway has sent to it and that have not ended.
    uint32_t peerInFlight_ = 0; ///< Sum of the same counts of all other gateways, from their last updates.
    uint64_t ownTokens_ = 0; ///< Tokens of memory that the calls in ownInFlight_ may take; see memoryTokensOf().
    uint64_t peerTokens_ = 0; ///< The same of those in peerInFlight_.
    double failureRate_ = 0; ///< Moving average of failed answers, 0 to 1, as of failureAt_; decays with time.
    TimePoint failureAt_{}; ///< When failureRate_ was last updated.
    double promptTokensPerSecond_ = 0; ///< How fast it reads prompts, a moving average; 0 while that is not known.
    double backlogTokens_ = 0; ///< Tokens of prompts that it was to read as of backlogAt_.
    TimePoint backlogAt_{}; ///< When backlogTokens_ was last updated.
    ReportedLoad reportedLoad_; ///< Load that it has reported.
    DecayingShare slowCalls_; ///< Calls of this gateway that may be hedged, and those of them that were slow.
    /// End of the time in which it gets no calls, after a failure to connect or an answer of another instance.
    TimePoint avoidUntil_{};
    uint32_t connectFailures_ = 0; ///< Consecutive failures to connect.
    std::vector<BrokenCall> brokenCalls_; ///< Recently broken calls; suspects if the upstream is found to be down.
    bool checking_ = false; ///< Whether a connection is being made to find out whether it is down.
    TimePoint checkStartedAt_{}; ///< When the latest such connection was begun.
    TimePoint reachedAt_{}; ///< When such a connection was last made, or part of an answer last received.
    TimePoint unreachableSince_{ noDeadline }; ///< When it was found to be down or cut off; noDeadline if it was not.
    TimePoint checksUntil_{}; ///< Until when it is checked after a broken call; in the past if it is not.
    /// Until when the end of this start counts as the cause of its broken calls; in the past if it has answered since.
    TimePoint unresolvedUntil_{};
    TimePoint nextCheckAt_{ noDeadline }; ///< When the next of these checks begins; noDeadline if none is scheduled.
    Milliseconds checkInterval_{ 0 }; ///< Time from the end of a check to the next one.
    TimePoint missingSince_{ noDeadline }; ///< Since when its row is missing after a store outage; else noDeadline.
    /// Until when it gets no calls because another instance was listed later at its address; zero if none was.
    TimePoint replacedUntil_{};
    StoreVersion replacedAtVersion_; ///< Store's version of the first row of that instance.
};

using UpstreamId = PoolId<Upstream>; ///< Index of an upstream.

/// Upstream that is no longer listed. An outage of the store may remove the row of one that lives on.
struct RemovedUpstream
{
    uint64_t startedAtMs_ = 0; ///< Start of the server in Unix milliseconds, 0 if unknown.
    UpstreamAnnouncement announcement_; ///< What it has said of itself.
    TimePoint removedAt_{}; ///< When it was removed.
};

/// Why a call is sent.
enum class SendCause : uint8_t {
    First, ///< It has not been sent before.
    NotConnected, ///< No connection to the upstream before could be made.
    WrongInstance, ///< Another instance has the address of the upstream before.
    Refused, ///< The upstream before reported that it has not run it.
    Failed, ///< The upstream before failed; it may have run there.
    Silent, ///< The upstream before was silent; it may have run there.
};

/// Progress of a call.
enum class CallStage : uint8_t {
    Waiting, ///< Queued until an upstream has free capacity.
    Sent, ///< In flight at an upstream.
    /// The connection has ended after an answer without a length; complete if the upstream turns out to live.
    Verifying,
};

/// Request for a slot that a waiting call has made to a broker.
struct CallSlotRequest
{
    uint64_t number_ = 0; ///< Number of the request, 0 if none has been made.
    std::string region_; ///< Region whose broker it was sent to.
    std::string broker_; ///< IP:PORT of that broker.
    TimePoint askedAt_{}; ///< When it was last sent.
    bool queued_ = false; ///< Whether the broker has replied since that it is queued.
    bool repeated_ = false; ///< Whether it has been sent again because there was no reply.
    TimePoint notBefore_{}; ///< Time before which no request is made.
};

/// Request in progress.
struct Call
{
    ExchangeId exchange_; ///< Exchange with the caller, which the answer goes to.
    CallRequest request_; ///< Decoded request.
    std::string routeName_; ///< Name of its route.
    std::string service_; ///< Service that the route's targets chose for it.
    std::string workspace_; ///< Name of the caller's workspace, or empty.
    CallKind kind_ = CallKind::NonIdempotent; ///< Kind of the route.
    bool retryable_ = false; ///< Whether it may run more than once.
    bool callerRetry_ = false; ///< Whether the caller seems to retry it after a refusal.
    uint32_t rank_ = 0; ///< Urgency, 0 the most urgent: the workspace's if it has one, else the route's.
    uint32_t routeRank_ = 0; ///< Urgency of the route, which orders calls of the same rank.
    uint32_t attemptLimit_ = 1; ///< Most upstreams that it may be sent to.
    Milliseconds latencyTarget_{ 0 }; ///< Target response time; an answer within it earns its full credit.
    Milliseconds gapTarget_{ 0 }; ///< Longest time between two events of a stream that counts as on time.
    uint64_t charge_ = 0; ///< Units charged to the workspace's quota.
    std::vector<Trait> traits_; ///< Hash of path, workspace and body, then the shareable parts of the prompt.
    bool onTrial_ = false; ///< Whether it was admitted to find out whether a condemned trait still crashes upstreams.
    TimePoint arrivedAt_{}; ///< When it arrived.
    bool countedForExposure_
        = false; ///< Whether it has been counted, or sent to be counted, see ExposureCount::total_.
    TimePoint deadline_{}; ///< When the final answer is due.
    TimePoint waitUntil_{}; ///< Until when it may wait for an upstream with free capacity.

    CallStage stage_ = CallStage::Waiting; ///< Whether it waits or is in flight.
    SendCause sendCause_ = SendCause::First; ///< Why it is sent next, or was sent last.
    CallSlotRequest slot_; ///< Request for a slot, while it waits.
    uint64_t send_ = 0; ///< Number of the latest send; every send to an upstream has its own.
    UpstreamId upstream_; ///< Upstream of the latest send.
    std::string upstreamAddress_; ///< IP:PORT of that upstream, which may be removed from the list meanwhile.
    LinkUse use_; ///< Connection of the latest send that ended; number 0 while none has, or if it was broken off.
    TimePoint sentAt_{}; ///< Time of the latest send.
    TimePoint answerBegunAt_{ noDeadline }; ///< When the first event of the latest send was received, if any.
    TimePoint lastReceivedAt_{}; ///< When the answer last made progress, a stream by a whole event; at first sentAt_.
    TimePoint lastBytesAt_{}; ///< When anything was last received of the answer, also if it is no progress.
    TimePoint endedAt_{}; ///< When the connection of the latest send ended, see CallStage::Verifying.
    uint32_t attempts_ = 0; ///< Sends that reached, or may have reached, an upstream.
    uint32_t connectFailures_ = 0; ///< Sends that reached no upstream, or another instance than the intended one.
    bool mayHaveRun_ = false; ///< Whether an earlier send may have run.
    std::vector<std::string> triedInstances_; ///< Ids of the upstreams that it was sent to, that of upstream_ last.

    AnswerHead head_; ///< Header of the answer to the latest send.
    bool headReceived_ = false; ///< Whether head_ has been received for the latest send.
    std::string body_; ///< Body of an answer that is not streamed, or bytes of an unfinished event.
    bool streamStarted_ = false; ///< Whether the header of a streamed answer has been sent to the caller.
    std::optional<uint64_t> lastEvent_; ///< Id of the last event that the caller has.
    uint32_t events_ = 0; ///< Events sent to the caller.
    uint32_t sendEvents_ = 0; ///< Events of the latest send.
    CallHedging hedging_; ///< Its hedged send, if it may have one.
};

using CallId = PoolId<Call>; ///< Index of a call.

/// Call that arrived before any configuration was known.
struct DeferredArrival
{
    ExchangeId exchange_; ///< Exchange with the caller, which the answer goes to.
    CallRequest request_; ///< Decoded request.
    TimePoint arrivedAt_{}; ///< When it arrived.
};

/// Quota of a workspace across all gateways, kept as a token bucket.
struct WorkspaceQuota
{
    double level_ = 0; ///< Units left as of levelAt_; negative when overdrawn.
    TimePoint levelAt_{}; ///< When level_ was last updated.
    bool levelAssumed_ = false; ///< Whether the level at this start was assumed, as no peer has sent its level yet.
    uint64_t ownChargedUnits_ = 0; ///< Units charged by this gateway since its start, less refunds.
    TimePoint ownChargedAt_{}; ///< When that last changed.

    // Figures of the log, since the last report of the quota.
    int64_t peerChargedUnits_ = 0; ///< Units charged for usage that peers reported, less refunds.
    double lowestLevel_ = 0; ///< Lowest level, at most 0.
    double forgivenUnits_ = 0; ///< Units of debt that were dropped.
    uint64_t refusedCalls_ = 0; ///< Calls refused because of the quota.
};

/// Budget of retries at a service's upstreams.
struct RetryBudget
{
    double level_ = 0; ///< Retries left.
    bool started_ = false; ///< Whether level_ has been initialised.
};

/// Another gateway.
struct Peer
{
    std::string address_; ///< IP:PORT for datagrams and calls.
    std::string name_; ///< Node name, empty until a full update is received.
    std::string region_; ///< Region, empty until a full update is received.
    bool updatePending_ = true; ///< Whether an update is due before the next heartbeat, see markPeerUpdatesPending().
    TimePoint lastSentAt_{}; ///< When an update was last sent to it.
    uint64_t incarnation_ = 0; ///< Start of the peer's process that the fields below belong to.
    uint64_t sequence_ = 0; ///< Number of the last update received from it.
    TimePoint lastReceivedAt_{}; ///< When an update was last received from it; the epoch if never.
    TimePoint addedAt_{}; ///< When its address became known.
    uint64_t configurationVersion_ = 0; ///< Version of the configuration that it holds.
    uint64_t configurationEra_ = 0; ///< Era of the store in which it received that configuration.
    StoreVersion upstreamsVersion_; ///< Version of the store that its list of upstreams shows.
    std::optional<uint32_t> upstreamsDigest_; ///< Digest of that list; the release before doesn't tell it.
    std::unordered_map<std::string, uint32_t> inFlight_; ///< Its calls in flight, by upstream id.
    std::unordered_map<std::string, uint64_t> memoryTokens_; ///< Tokens of memory that they may take, by upstream id.
    std::unordered_map<std::string, uint64_t> chargedUnits_; ///< Units charged since its start, by workspace.
    size_t nameBytes_ = 0; ///< Memory of chargedUnits_.
    size_t countBytes_ = 0; ///< Memory of inFlight_ and memoryTokens_.
    bool usageComplete_ = false; ///< Whether chargedUnits_ holds all workspaces, as a full update has been received.

    uint32_t brokerWeight_ = 0; ///< Thousandths of a core that it has; 0 if it does not offer itself as a broker.
    TimePoint avoidAsBrokerUntil_{}; ///< Until when it is no candidate, since it did not reply to a slot request.
    bool countsPending_ = false; ///< Whether an update with the counts of calls is due at once.
    TimePoint countsAt_{}; ///< When inFlight_ was last received.
    std::vector<PendingGrant> pendingGrants_; ///< Slots granted to it that inFlight_ does not include.
    uint64_t grantsSent_ = 0; ///< Number of the latest grant.
    uint64_t newestCountedRequest_ = 0; ///< Highest number of its slot requests that was counted for exposure.
    std::map<std::string, FreeSlots> freeSlots_; ///< Free slots that it has reported as the broker of a region.
    TimePoint freeSlotsAt_{}; ///< When it reported them.
};

using PeerId = PoolId<Peer>; ///< Index of a peer.

/// Part of what a gateway can fetch from a peer. Parts are fetched separately, as a configuration can be large.
enum class SnapshotPart : uint8_t {
    Configuration, ///< The configuration.
    Upstreams, ///< The list of upstreams, and the levels of quotas.
};

/// Fetches of one part of a snapshot, one at a time.
struct SnapshotSchedule
{
    TimePoint nextAt_{ noDeadline }; ///< When the next fetch may begin; noDeadline while no peer has newer data.
    TimePoint busyUntil_{}; ///< When a fetch in progress is given up, if its end is not reported before.
};

/// Row of the store's list of upstreams.
struct UpstreamRow
{
    std::string id_; ///< Id of this start of the server.
    std::string service_; ///< Name of its service.
    std::string address_; ///< IP:PORT.
    std::string zone_; ///< Availability zone.
    uint32_t slots_ = 1; ///< Requests that the server runs at once.
    uint64_t startedAtMs_ = 0; ///< Start of the server in Unix milliseconds, 0 if unknown.
    bool draining_ = false; ///< Whether the server has announced that it leaves.
    bool removed_ = false; ///< Whether the row has been deleted.
    bool missing_
        = false; ///< In a peer's list: whether the row is missing since an outage of the store, see missingSince_.
    std::string version_; ///< Version of the server's software; empty if it has none.
    StoreVersion rowVersion_; ///< Store's version of the row; 0 if unknown.
    bool versionKnown_ = true; ///< False for a row from a peer of a release that does not send versions.
    bool unusable_ = false; ///< Of a removed one: whether the row is there and describes no upstream.
};

/// How fast the slots of a service become free, as moving averages over half a second.
struct SlotFlow
{
    double perSecond_ = 0; ///< Calls that got a slot in a second.
    double inFlight_ = 0; ///< Calls at the upstreams.
    double latestInFlight_ = 0; ///< The same as of updatedAt_, no average.
    uint32_t placed_ = 0; ///< Calls that got a slot since updatedAt_.
    TimePoint updatedAt_{}; ///< When the averages were last updated.
};

/// Settings that the gateway's decisions depend on.
struct Bounds
{
    double retryRatio_ = 0.2; ///< Retries allowed for each request of a service.
    double exposureShare_ = 0.1; ///< Share of a service's requests that a version on trial may get.
    double retrySlack_ = 50; ///< Retries allowed in a window in addition to the ratio.
    std::chrono::seconds quotaWindow_{ 8 }; ///< Window over which quotas are enforced.
    double quotaOvershoot_ = 0; ///< Units that may be used beyond a quota in a window, as a share of the quota.
    double quotaTokenSlack_ = 0; ///< Tokens that may be used beyond a quota in addition to the overshoot.
    Milliseconds configurationDelay_{ 2500 }; ///< Time from an acknowledged change until it has to be in force.
    Milliseconds drainDelay_{ 2500 }; ///< Time from an upstream's announcement to leave until no call may reach it.
    Milliseconds grace_{ 8000 }; ///< Time from SIGTERM to SIGKILL.
    size_t bodyBytes_ = 32U << 20U; ///< Most bytes that the bodies of all requests in progress may take together.
    size_t answerBytes_ = 32U << 20U; ///< Most bytes of answers that all calls in progress may buffer together.
    Milliseconds rowReturnTimeout_{ 2000 }; ///< Time after a store outage to write rows again that expired in it.
    double hedgingShare_ = 0; ///< Hedged sends allowed for each first send of a service; 0 for none.
};

/// What this gateway has seen of crashes and has to tell its peers.
struct CrashNews
{
    std::vector<CrashReport> crashes_; ///< Crashes that it saw recently.
    std::map<Trait, TimePoint> answered_; ///< Suspects found to have been answered, with the time of that finding.
};

/// All tables of a gateway.
struct GatewayState
{
    std::string name_; ///< Name of this node.
    std::string zone_; ///< Availability zone of this node.
    std::string region_; ///< Region of this node.
    std::map<std::string, std::string> regionByZone_; ///< Regions of all availability zones.
    std::string peerAddress_; ///< IP:PORT at which peers reach this node.
    uint64_t incarnation_ = 0; ///< Random number that identifies this start of the process.
    Bounds bounds_; ///< Settings that decisions depend on.
    bool firstStart_ = false; ///< Whether the whole system starts for the first time, so that no quota is used yet.
    std::mt19937_64 random_; ///< Source of random choices.
    TimePoint startedAt_{}; ///< When this process started.
    TimePoint lastPeerDisruptionAt_{}; ///< When a peer last restarted or was unreachable, or this node started.

    Configuration configuration_; ///< Configuration in force.
    std::string configurationText_; ///< The same as the operator wrote it, for snapshots to peers.
    uint64_t configurationEra_ = 0; ///< Era of the store in which it was received.
    TimePoint configurationAppliedAt_{}; ///< When it took effect.

    Pool<Upstream> upstreams_; ///< Upstreams of all services.
    std::unordered_map<std::string, UpstreamId> upstreamById_; ///< Index of upstreams_ by id.
    std::unordered_map<std::string, UpstreamId> latestUpstreamByAddress_; ///< Instance listed last at each address.
    std::unordered_map<std::string, RemovedUpstream> removedUpstreams_; ///< Recently removed upstreams by id.
    /// Version of the store that upstreams_ shows. It rises with each read, also if no row has changed.
    StoreVersion upstreamsVersion_;
    uint32_t upstreamsDigest_ = 0; ///< Digest of the listed rows, see digestUpstreams().
    std::map<std::string, Rollout> rollouts_; ///< Newest rollout of each service that has had an order.
    std::map<std::string, RolloutStatus> rolloutStatuses_; ///< Newest status row by service.
    std::map<std::string, std::set<std::string>>
        establishedVersions_; ///< Versions in use by service, see isHeldBack().
    StoreVersion operatorVersion_; ///< Version of the store up to which all orders are known.
    TimePoint storeUnreachableSince_{ noDeadline }; ///< Start of the store's outage; noDeadline without one.
    TimePoint storeReachableSince_{}; ///< When the store last became reachable again.

    Pool<Call> calls_; ///< Requests in progress.
    std::unordered_map<uint64_t, CallId> callByExchange_; ///< Index of calls_ by exchange.
    std::unordered_map<uint64_t, CallId> callBySend_; ///< Index of calls_ by the numbers of sends in flight.
    size_t bodyBytes_ = 0; ///< Bytes of the request bodies of all calls.
    size_t answerBytes_ = 0; ///< Bytes of answers that all calls buffer.
    std::vector<DeferredArrival> deferred_; ///< Calls that arrived before the first configuration.
    std::vector<CallId> waiting_; ///< Calls that wait for an upstream with free capacity.
    std::unordered_map<uint64_t, CallId> callBySlotRequest_; ///< Index of waiting calls by their slot request.
    uint64_t nextSlotRequest_ = 1; ///< Number of the next slot request.
    TimePoint slotCheckAt_{ noDeadline }; ///< When the slot requests of waiting calls have to be looked at again.
    DeadlineQueue<Call> deadlines_; ///< Times at which calls have to be checked.
    uint64_t nextSend_ = 1; ///< Number of the next send.
    Pool<Hedge> hedges_; ///< Hedged sends, and the requests for their slots.
    std::unordered_map<uint64_t, HedgeId> hedgeBySlotRequest_; ///< Index of hedges_ by their slot request.
    DeadlineQueue<Call> hedgeChecks_; ///< Times at which calls become slow.
    std::map<LatencyKey, LatencyProfile> latencyProfiles_; ///< Durations of calls that may be hedged.
    std::unordered_map<std::string, ServiceHedging> hedgingByService_; ///< Budgets of hedged sends by service.

    std::unordered_map<std::string, WorkspaceQuota> quotaByWorkspace_; ///< Quotas by workspace.
    TimePoint quotasReportedAt_{}; ///< When quotas were last reported to the log.
    std::unordered_map<std::string, RetryBudget> retryBudgets_; ///< Retry budgets by service.
    std::unordered_map<std::string, Duration> longestDurationByRoute_; ///< Longest recent time to a whole answer.
    std::unordered_map<std::string, Milliseconds> longestWaitByRoute_; ///< Longest wait that callers asked for.
    CrashEvidence crashEvidence_; ///< Crashes of upstreams, and what requests are refused because of them.
    TimePoint upstreamChecksAt_{ noDeadline }; ///< When upstreams are checked again next, see Upstream::nextCheckAt_.
    CrashStorage crashStorage_; ///< Part of the evidence that the store keeps.
    CrashNews crashNews_; ///< Part of the evidence that peers may not have yet.
    bool verdictsChanged_ = false; ///< Whether a verdict came into force whose calls in progress have to be ended.

    Pool<Peer> peers_; ///< Other gateways.
    std::map<std::string, PeerId> peerByAddress_; ///< Index of peers_ by address.
    uint64_t nextSequence_ = 1; ///< Number of the next update to peers.
    TimePoint upstreamRejectionLoggedAt_{}; ///< When rows of upstreams that were left out were last logged.
    TimePoint peerRejectionLoggedAt_{}; ///< When entries left out of the tables of peers were last logged.
    TimePoint peerAddedAt_{}; ///< When the address of a peer last became known.
    TimePoint lastFullUpdateAt_{}; ///< When a full update was last sent.
    TimePoint peerListDueAt_{}; ///< When a full update lists all peers next, if no peer is added before.
    std::map<SnapshotPart, SnapshotSchedule> snapshots_; ///< Fetches of peers' newer data.

    double processorShare_ = 1; ///< Cores that this node has; brokers are chosen among those with the most.
    std::map<std::string, std::vector<std::string>> brokersByRegion_; ///< Broker and standby of each region, IP:PORT.
    TimePoint brokersReviewAt_{}; ///< When the brokers are computed next.
    uint32_t announcedBrokerWeight_ = 0; ///< Weight in the latest full update, see Peer::brokerWeight_.
    std::map<std::string, TimePoint> countedRegions_; ///< Regions in which counts sent had calls, and when.
    std::unordered_map<std::string, UpstreamReport> upstreamReports_; ///< Not reported yet, by upstream id.
    std::unordered_map<std::string, double> meanPromptSpeeds_; ///< Mean of promptTokensPerSecond_ by service.
    std::map<std::string, SlotFlow> slotFlows_; ///< Flow of the slots that this node assigns, by service.
    std::vector<QueuedSlotRequest> slotQueue_; ///< Requests for slots that wait here, if this node is a broker.
    TimePoint freeSlotsDueAt_{}; ///< When free slots are reported to the other brokers next.
    std::unordered_map<uint64_t, uint64_t> grantsReceived_; ///< Newest grant received, by the broker's incarnation.

    bool stopping_ = false; ///< Whether a stop was requested.
    TimePoint stopAt_{}; ///< When the stop was requested.
    bool listening_ = true; ///< Whether new connections are still accepted.
    Metrics metrics_; ///< Metrics served on the metrics address.
};

} // namespace Burdockfield::Gateway
