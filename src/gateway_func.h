/**
 * @file gateway_func.h
 * @brief Systems of a gateway, in the order in which a tick runs them.
 */
#pragma once

#include "gateway_base.h"
#include "gateway_command_type.h"
#include "gateway_event_type.h"

namespace Burdockfield::Gateway {

/// Runs all systems once. @return what has to be done outside
GatewayOutbox tickGateway(GatewayState &state, TimePoint now, GatewayInbox inbox);

/// @return when the next tick is due without events.
TimePoint nextGatewayDeadline(const GatewayState &state);

/// @return when a stopping node has to go on with its stop.
TimePoint nextStopDeadline(const GatewayState &state);

/// @return when calls that wait for the first configuration have to be refused.
TimePoint nextDeferredDeadline(const GatewayState &state);

/// @return when a call has to be looked at again.
TimePoint nextCallCheck(const Call &call);

/// @return whether new connections should come here.
bool isReady(const GatewayState &state);

/// Puts newer configurations in force.
void runConfiguration(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Applies changes of the list of upstreams.
void runMembership(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Applies what peers tell, forgets silent ones and tells them what has changed here.
void runPeers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Tells peers what has changed here.
void runPeerUpdates(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// Notes that the calls at upstreams of a region have changed, or, for an empty region, that everybody has to know.
void markPeerUpdatesPending(GatewayState &state, const std::string &region);

/// @return when peers have to be told something, or asked.
TimePoint nextPeerDeadline(const GatewayState &state);

/// Starts the graceful stop and carries it through.
void runStop(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Drops the calls of callers that have left.
void runCallerDisconnects(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Admits new calls, or refuses them.
void runIntake(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Passes answers on, and repeats or ends what failed.
void runAnswers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Ends calls whose time is over, and gives up upstreams that stay silent.
void runDeadlines(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// Sends waiting calls to upstreams with room.
void runDispatch(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// @return whether another upstream than the call's present one has room for it.
bool hasCapacityElsewhere(const GatewayState &state, TimePoint now, const Call &call);

/// Takes units from a workspace's quota. @return whether there were enough
bool chargeQuota(GatewayState &state, TimePoint now, const WorkspaceRule &rule, uint64_t units);

/// @return the level of each quota as this gateway knows it.
QuotaLevels collectQuotaLevels(const GatewayState &state);

/// Takes the levels that a peer knows in place of those that were assumed at the start.
void applyQuotaLevels(GatewayState &state, TimePoint now, const QuotaLevels &levels);

/// Gives back units of a call that has not run.
void refundQuota(GatewayState &state, const std::string &workspace, uint64_t units);

/// Takes units that a peer has charged.
void chargePeerUsage(GatewayState &state, TimePoint now, const std::string &workspace, int64_t units);

/// @return the share of all gateways that this one hears, itself included.
double reachableGatewayShare(const GatewayState &state, TimePoint now);

/// Counts a request of a service towards its repeat budget.
void creditRetryBudget(GatewayState &state, const std::string &service);

/// Takes one repeat from a service's budget. @return whether there was one
bool consumeRetry(GatewayState &state, const std::string &service);

/// @return the call that a send belongs to; matches no row when the send has ended.
CallId findCallBySend(const GatewayState &state, uint64_t send);

/// @return an upstream's row, as the list has it.
UpstreamRow makeUpstreamRow(const Upstream &upstream);

/// @return the upstream of that id, or nullptr.
Upstream *findUpstream(GatewayState &state, const std::string &id);

/// Ends a call with an answer of the gateway itself.
void refuse(GatewayState &state, TimePoint now, CallId id, RefusalReason reason, GatewayOutbox &outbox);

/// Takes a call off its upstream. @param cancel whether the send goes on outside and has to be given up
void detachFromUpstream(GatewayState &state, Call &call, bool cancel, GatewayOutbox &outbox);

/// Removes an ended call from the tables.
void eraseCall(GatewayState &state, CallId id);

/// Puts a call back into the queue and extends its wait.
void requeue(GatewayState &state, TimePoint now, CallId id);

/// Brings an upstream's failure rate up to date with one more outcome.
void recordOutcome(Upstream &upstream, TimePoint now, bool failed);

/// @return an upstream's failure rate as of @p now.
double failureRateAt(const Upstream &upstream, TimePoint now);

/// Remembers that a call's connection broke.
void recordBrokenCall(Upstream &upstream, TimePoint now, uint64_t fingerprint);

/// Makes suspects of the calls that broke at an upstream that has proved to be down.
void recordUpstreamCrash(GatewayState &state, TimePoint now, Upstream &upstream, GatewayOutbox &outbox);

/// @return crashes by fingerprint that this gateway has seen lately.
std::map<uint64_t, uint32_t> recentCrashSuspects(const GatewayState &state, TimePoint now);

/// @return whether a request has crashed too many upstreams to be run again.
bool isCrashSuspect(const GatewayState &state, TimePoint now, uint64_t fingerprint);

/// @return the upstream that a call was sent to last, for log lines.
std::string lastUpstreamId(const GatewayState &state, const Call &call);

/// @return for how long that upstream has sent nothing, in ms, for log lines.
std::string upstreamSilenceText(TimePoint now, const Call &call);

/// @return whole milliseconds as text.
std::string millisecondsText(Duration duration);

} // namespace Burdockfield::Gateway
