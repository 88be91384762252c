/**
 * @file gateway_func.h
 * @brief Systems of a gateway, and the functions that they share.
 *
 * A system is a function that runs over the tables once in each tick.
 */
#pragma once

#include "gateway_base.h"
#include "gateway_command_type.h"
#include "gateway_event_type.h"

namespace Burdockfield::Gateway {

/// Runs all systems once. @return the commands to execute
GatewayOutbox tickGateway(GatewayState &state, TimePoint now, GatewayInbox inbox);

/// @return when the next tick is due if no event arrives before.
TimePoint nextGatewayDeadline(const GatewayState &state);

/// @return when the next step of a graceful stop is due; noDeadline while none is in progress.
TimePoint nextStopDeadline(const GatewayState &state);

/// @return when the oldest call that waits for the first configuration has to be refused.
TimePoint nextDeferredDeadline(const GatewayState &state);

/// @return when a call has to be checked next.
TimePoint nextCallCheck(const Call &call);

/// @return whether the load balancer may send new connections to this node.
bool isReady(const GatewayState &state);

/**
 * @return whether a configuration that the store had in @p era is newer than the one in force. The operator's versions
 * go on rising when the store comes back from a copy, so that an older one is not taken in a new era either.
 */
bool isNewerConfiguration(const GatewayState &state, uint64_t version, uint64_t era);

/// Applies received configurations that are newer than the one in force.
void runConfiguration(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Applies changes of the list of upstreams.
void runMembership(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Records what the upstream of a call says of itself in the header of its answer.
void recordAnnouncement(GatewayState &state, TimePoint now, const Call &call, GatewayOutbox &outbox);

/// Adds the upstreams to a full update whose answers said that they leave.
void addLeavingUpstreams(const GatewayState &state, PeerUpdate &update);

/// Records upstreams of which a peer says that they leave. Repeated by every peer, so that a new process learns it.
void applyLeavingUpstreams(GatewayState &state, const PeerUpdate &update, GatewayOutbox &outbox);

/// Applies updates of peers, removes peers that timed out, and fetches a snapshot from a peer with newer data.
void runPeers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// @return whether an update was received from a peer recently.
bool isReachable(const Peer &peer, TimePoint now);

/// @return the peers from which an update was received recently.
size_t countReachablePeers(const GatewayState &state, TimePoint now);

/// Sends updates to the peers for which one is due.
void runPeerUpdates(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/**
 * Schedules updates before the next heartbeat. Called when calls in flight, the configuration or the upstreams change.
 * @param region the region whose peers get the update; empty for all peers
 */
void markPeerUpdatesPending(GatewayState &state, const std::string &region);

/// Schedules updates with the counts of calls to those that need them at once.
void markCountsPending(GatewayState &state);

/// @return when the next update to a peer, or fetch from a peer, is due.
TimePoint nextPeerDeadline(const GatewayState &state);

/// Starts a graceful stop when requested and carries it out.
void runStop(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// @return the time by which a gateway that stops has answered all calls; noDeadline if it does not stop.
TimePoint lastAnswerTime(const GatewayState &state);

/// Records how long a call of a route took to be answered.
void recordDuration(GatewayState &state, TimePoint now, const Call &call);

/// @return whether a new call will probably be answered before this gateway exits, if it stops.
bool canEndBeforeExit(const GatewayState &state, TimePoint now, const Call &call);

/// Admits or refuses new calls.
void runIntake(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Ends the calls of callers that have disconnected, also those that were admitted in this tick.
void runCallerDisconnects(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Checks whether an upstream is down, unless such a check is in progress.
void checkUpstream(TimePoint now, Upstream &upstream, GatewayOutbox &outbox);

/// Forwards answers to callers, and retries or ends failed calls.
void runAnswers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Ends calls whose deadline has passed, and moves calls away from silent upstreams.
void runDeadlines(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// Computes the brokers of all regions.
void runBrokers(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// @return this gateway's weight as a broker, see Peer::brokerWeight_.
uint32_t brokerWeight(const GatewayState &state, TimePoint now);

/// @return IP:PORT of the gateway that assigns the slots of a region's upstreams; nullptr if none is known.
const std::string *findBroker(const GatewayState &state, const std::string &region);

/// @return whether this gateway assigns the slots of a region's upstreams, as their broker or for want of one.
bool assignsSlots(const GatewayState &state, const std::string &region);

/// @return the regions whose upstreams' slots this gateway assigns.
std::set<std::string> assignedRegions(const GatewayState &state);

/// @return the regions of whose upstreams this gateway is told all counts, as their broker or standby.
std::set<std::string> countedRegions(const GatewayState &state);

/// Replaces a broker that does not reply for a time.
void avoidBroker(GatewayState &state, TimePoint now, const std::string &address, GatewayOutbox &outbox);

/// @return the addresses of the peers that need this gateway's counts of calls.
std::set<std::string> findCountReceivers(const GatewayState &state);

/// Handles the messages about slots.
void runSlots(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Requests slots for the calls that are still waiting, and replies to the requests of others that are.
void runSlotRequests(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// @return what a call needs of an upstream.
SlotRequest makeSlotRequest(const GatewayState &state, TimePoint now, const Call &call);

/// Sends a request for a slot to a broker.
void sendSlotRequest(GatewayState &state, const std::string &broker, SlotRequest request, GatewayOutbox &outbox);

/// Grants a slot at an upstream to the gateway that requested it.
void grantSlot(
    GatewayState &state, TimePoint now, const QueuedSlotRequest &queued, UpstreamId target, GatewayOutbox &outbox);

/// Tells a gateway that no slot is expected in time for its request.
void denySlot(const QueuedSlotRequest &queued, GatewayOutbox &outbox);

/// Updates the averages of how fast slots become free.
void updateSlotFlows(GatewayState &state, TimePoint now);

/// @return the time until a call gets a slot that has @p ahead others before it; empty if there is no forecast.
std::optional<FractionalSeconds> forecastSlotWait(const GatewayState &state, const std::string &service, size_t ahead);

/// @return the calls and requests of others that wait here for the same service and go first.
size_t countWaitingAhead(const GatewayState &state, TimePoint now, const Call &call);

/// @return whether a call is not expected to get a slot in time.
bool cannotGetSlotInTime(const GatewayState &state, const std::string &service, size_t ahead, Duration wait);

/// @return the broker of another region that has a free slot, which is counted as taken; nullptr if none has.
const Peer *takeFreeSlotElsewhere(GatewayState &state, TimePoint now, const SlotRequest &request);

/// Passes a request of another gateway on to a broker.
void forwardRequest(GatewayState &state, const Peer &broker, const SlotRequest &request, GatewayOutbox &outbox);

/// Requests a slot for a call of this gateway from the broker of another region.
void requestSlotElsewhere(
    GatewayState &state, TimePoint now, CallId id, Call &call, const Peer &broker, GatewayOutbox &outbox);

/// Sends waiting calls to upstreams with free capacity, and grants slots to other gateways.
void runDispatch(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/**
 * Sends a waiting call to an upstream.
 * @param inFlight the calls there, this one included, as whoever chose the upstream counts them; for log lines
 */
void sendCall(
    GatewayState &state, TimePoint now, CallId id, UpstreamId target, uint32_t inFlight, GatewayOutbox &outbox);

/// @return the command for a send of a call to an upstream.
SendCall makeSendCommand(
    const GatewayState &state, TimePoint now, const Call &call, const Upstream &upstream, uint64_t send);

/// @return whether an upstream other than the call's present one has free capacity for the call.
bool hasCapacityElsewhere(const GatewayState &state, TimePoint now, const Call &call);

/// @return the units left of a workspace's quota, as this gateway knows it.
double quotaLevelAt(const GatewayState &state, TimePoint now, const WorkspaceRule &rule);

/// @return whether a call that costs some units is admitted at a level of its workspace's quota.
bool isWithinQuota(const GatewayState &state, double level, uint64_t units);

/// @return the units that a request is charged with; 0 without a workspace or quota.
uint64_t quotaCharge(const WorkspaceRule *workspace, const CallRequest &request);

/// @return the longest time for which a new call of a route waits for a slot.
Milliseconds queueWaitOf(const Route &route);

/// @return the rank of a call: the workspace's if it has one, else the route's.
uint32_t rankOf(const Route &route, const WorkspaceRule *workspace);

/// Charges units to a workspace's quota. @return false if too little is left of it; then nothing is charged
bool chargeQuota(GatewayState &state, TimePoint now, const WorkspaceRule &rule, uint64_t units);

/// @return this gateway's view of each quota's level, for peers.
QuotaLevels collectQuotaLevels(const GatewayState &state);

/// Replaces levels that were assumed at the start by those received from a peer.
void applyQuotaLevels(GatewayState &state, TimePoint now, const QuotaLevels &levels);

/// Refunds units charged for a call that has not run.
void refundQuota(GatewayState &state, TimePoint now, const std::string &workspace, uint64_t units);

/// Subtracts units that a peer has charged to a workspace from its quota; negative units are a refund.
void chargePeerUsage(GatewayState &state, TimePoint now, const Peer &peer, const std::string &workspace, int64_t units);

/// Logs quotas that refused calls or dropped debt, at most once a second.
void reportQuotas(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// @return the share of all known gateways, this one included, from which updates were received recently.
double reachableGatewayShare(const GatewayState &state, TimePoint now);

/// Adds one request's share to the retry budget of its service.
void creditRetryBudget(GatewayState &state, const std::string &service);

/// Takes one retry from a service's budget. @return whether one was left
bool consumeRetry(GatewayState &state, const std::string &service);

/// @return whether few retries are left in a service's budget, so that they are kept for calls that fail.
bool isRetryBudgetLow(const GatewayState &state, const std::string &service);

/// @return the call that a send belongs to; the id matches no row when the send has ended.
CallId findCallBySend(const GatewayState &state, uint64_t send);

/// @return an upstream in the form of a row of the store's list.
UpstreamRow makeUpstreamRow(const Upstream &upstream);

/// @return the tokens that the memory of a service's engines holds; 0 if the configuration sets no limit.
uint64_t memoryCapacityOf(const GatewayState &state, const std::string &service);

/// @return the tokens of an engine's memory that a request may take: its prompt and its longest answer; 0 if unknown.
uint64_t memoryTokensOf(const CallRequest &request);

/// @return the same for a call whose service limits them, else 0.
uint64_t memoryTokensOf(const GatewayState &state, const Call &call);

/// @return the region of an availability zone; the zone itself if that is not known.
const std::string &regionOf(const GatewayState &state, const std::string &zone);

/// @return the upstream with that id, or nullptr.
Upstream *findUpstream(GatewayState &state, const std::string &id);

/// Ends a call with a refusal by the gateway itself; a stream that has started is aborted instead.
void refuse(GatewayState &state, TimePoint now, CallId id, RefusalReason reason, GatewayOutbox &outbox);

/// @return whether the upstream of a call has sent bytes so recently that it notices the close of the connection.
bool isUpstreamWriting(const Call &call, TimePoint now);

/// Detaches a call from the upstream that it was sent to, if any, after the send has ended.
void detachFromUpstream(GatewayState &state, Call &call);

/// Cancels a call's sends that are in flight, the hedged one included, and detaches the call from its upstream.
void cancelSend(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox);

/// Cancels a call's own send, if it is in flight, and detaches the call from its upstream; a hedged one goes on.
void cancelOwnSend(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox);

/// Drops what is buffered of the answer to a call's latest send.
void clearAnswer(GatewayState &state, Call &call);

/// Removes an ended call from the tables.
void eraseCall(GatewayState &state, CallId id);

/// Puts a call back into the queue and extends its wait. @param cause why it is sent again
void requeue(GatewayState &state, TimePoint now, CallId id, SendCause cause);

/// Adds one outcome to an upstream's failure rate.
void recordOutcome(Upstream &upstream, TimePoint now, bool failed);

/// Adds one outcome of a call of this gateway to its upstream's failure rate, also at the brokers.
void reportOutcome(GatewayState &state, Upstream &upstream, TimePoint now, bool failed);

/// Applies what other gateways have seen of an upstream.
void applyReport(Upstream &upstream, TimePoint now, const UpstreamReport &report);

/// Records how long an upstream has taken to read the prompt of a call whose answer begins now.
void recordFirstEvent(GatewayState &state, TimePoint now, const Call &call);

/// Records the load that an upstream reports with an answer.
void recordReportedLoad(
    GatewayState &state, TimePoint now, const AnswerHead &head, Upstream &upstream, GatewayOutbox &outbox);

/// Computes how fast the upstreams of each service read prompts on average.
void updateSpeedMeans(GatewayState &state);

/// @return how fast an upstream reads prompts, in tokens a second, or else those of its service; 0 if unknown.
double promptSpeed(const GatewayState &state, const Upstream &upstream);

/// @return the tokens of prompts that an upstream has still to read, as far as this gateway has placed them.
double backlogTokens(const GatewayState &state, const Upstream &upstream, TimePoint now);

/// Adds a prompt to what an upstream has to read.
void addBacklog(const GatewayState &state, Upstream &upstream, TimePoint now, uint64_t tokens);

/// @return an upstream's failure rate as of @p now.
double failureRateAt(const Upstream &upstream, TimePoint now);

/**
 * Records that a call's connection to its upstream ended before its answer was complete. The call is a suspect if the
 * upstream turns out to have crashed.
 * @param cancelled whether this gateway closed the connection
 * @return its upstream; nullptr if that is not listed any more
 */
Upstream *recordUnansweredCall(GatewayState &state, TimePoint now, const Call &call, bool cancelled);

/// Records that a call's connection to its upstream broke, and has the upstream checked.
void recordBrokenCall(GatewayState &state, TimePoint now, const Call &call, GatewayOutbox &outbox);

/// Records the crash of an upstream that refuses connections, if calls broke there recently. A planned end is no crash.
void recordUpstreamCrash(GatewayState &state, TimePoint now, Upstream &upstream, GatewayOutbox &outbox);

/// Schedules another check of an upstream that the last one has not found to be down, as long as a crash may be seen.
void scheduleNextCheck(GatewayState &state, TimePoint now, Upstream &upstream);

/// Records what an answer says of its upstream: one to a call that was sent after others broke ends the checks; one of
/// another start shows a crash.
void recordAnsweringStart(
    GatewayState &state, TimePoint now, const Call &call, Upstream &upstream, GatewayOutbox &outbox);

/// Records that nothing answered at an upstream's address: its machine may be cut off, so that its end is no crash.
void recordSilentCheck(Upstream &upstream);

/// Records the crash of an upstream whose place another start takes, if it has not answered since calls broke there.
void recordReplacedUpstream(GatewayState &state, TimePoint now, Upstream &upstream, GatewayOutbox &outbox);

/// Checks the upstreams again that are due.
void runUpstreamChecks(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// Records that a call was answered completely, so that its traits are sound.
void recordAnswered(GatewayState &state, TimePoint now, const Call &call, GatewayOutbox &outbox);

/// @return whether a call has a condemned trait and must not be admitted. It is admitted as a trial when one is due.
bool isRefusedAsCrashSuspect(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox);

/// @return whether a call that failed may crash another upstream and is not sent again.
bool isLikelyToCrash(const GatewayState &state, const Call &call);

/// @return when a caller whose request has a condemned trait should retry.
Milliseconds retryTimeOfCrashSuspect(const GatewayState &state, TimePoint now, const Call &call);

/// Reviews crashes, and ends calls in progress whose traits have been condemned.
void runCrashReview(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// Adds crashes, answered suspects and verdicts to a full update.
void addCrashNews(GatewayState &state, TimePoint now, PeerUpdate &update);

/// Records a crash that this gateway has learnt of.
void receiveCrash(GatewayState &state, TimePoint now, const CrashReport &report);

/// Applies a verdict of a peer or of the store. @param source where it comes from, for the log
void receiveVerdict(GatewayState &state, TimePoint now, Trait trait, const CrashVerdict &verdict,
    const std::string &source, GatewayOutbox &outbox);

/// Keeps a crash that this gateway has seen in the store, as long as it has a suspect.
void keepCrashReport(GatewayState &state, TimePoint now, const CrashReport &report);

/// Removes a suspect that was answered from what is kept.
void dropKeptSuspect(GatewayState &state, TimePoint now, Trait trait);

/// Reads and writes the evidence of crashes that the store keeps.
void runCrashRecords(GatewayState &state, TimePoint now, const GatewayInbox &inbox, GatewayOutbox &outbox);

/// @return when runCrashRecords() has to run next.
TimePoint nextCrashRecordDeadline(const GatewayState &state);

/// Applies the crashes, answered suspects and verdicts of a peer.
void applyCrashNews(GatewayState &state, TimePoint now, const PeerUpdate &update, GatewayOutbox &outbox);

/// @return the id of a call's last upstream for log lines; "none" if it was not sent, "gone" if that was removed.
std::string lastUpstreamId(const GatewayState &state, const Call &call);

/// @return the milliseconds since a call's last upstream sent anything, for log lines; 0 if the call was not sent.
std::string upstreamSilenceText(TimePoint now, const Call &call);

/// @return whole milliseconds as text.
std::string millisecondsText(Duration duration);

} // namespace Burdockfield::Gateway
