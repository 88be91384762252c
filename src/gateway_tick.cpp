/**
 * @file gateway_tick.cpp
 * @brief Tick of a gateway, deadlines of calls, and what several systems do alike.
 */
#include "gateway_func.h"
#include "json_func.h"
#include "table/gateway_refusal_names.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr Milliseconds firstEventSilence{ 1300 }; ///< Callers leave a stream without an event after two seconds.
constexpr Milliseconds streamSilence{ 900 }; ///< Silence within a stream after which it goes on elsewhere.
constexpr Milliseconds answerSilence{ 900 }; ///< Silence of a repeatable call that is not streamed.
constexpr Milliseconds silenceRecheck{ 100 }; ///< Time between looks for room for a call whose upstream is silent.
constexpr int silentObjectives = 3; ///< Silence in objectives for calls whose objective is long.
constexpr int silentPauses = 4; ///< Silence in allowed pauses; callers leave after eight.
constexpr Milliseconds requeueWait{ 400 }; ///< Time that a call which has to be sent again may wait for room.
constexpr double retryLeftShare = 0.3; ///< Callers honour a time to come back up to a third of what they have left.
constexpr Milliseconds shortestRetry{ 50 }; ///< Least time to come back.
constexpr Milliseconds longestRetry{ 1500 }; ///< Bound that keeps the answer late rather than lost.

Milliseconds silenceBound(const Call &call)
{
    if (call.streamStarted_) {
        return std::max(streamSilence, silentPauses * call.gapTarget_);
    }
    const Milliseconds least = call.kind_ == CallKind::Streaming ? firstEventSilence : answerSilence;
    return std::max(least, silentObjectives * call.latencyTarget_);
}

bool mayGoElsewhere(const Call &call)
{
    return call.retryable_ && call.attempts_ < call.attemptLimit_;
}

/// Callers come back spread over some time, not all at once.
Milliseconds drawRetryAfter(GatewayState &state, TimePoint now, const Call &call)
{
    const auto left = std::chrono::duration_cast<Milliseconds>((call.deadline_ - now) * retryLeftShare);
    const Milliseconds most = std::min(left, longestRetry);
    if (most <= shortestRetry) {
        return shortestRetry;
    }
    const auto range = static_cast<uint64_t>((most - shortestRetry).count());
    return shortestRetry + Milliseconds(state.random_() % (range + 1));
}

bool invitesReturn(RefusalReason reason)
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::NoUpstream
        || reason == RefusalReason::UpstreamRefused || reason == RefusalReason::OverQuota;
}

void expire(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool sent = call.attempts_ > 0;
    call.mayHaveRun_ = call.mayHaveRun_ || call.stage_ != CallStage::Waiting;
    detachFromUpstream(state, call, true, outbox);
    refuse(state, now, id, sent ? RefusalReason::Expired : RefusalReason::Overloaded, outbox);
}

/// Gives a silent upstream up if the call can go elsewhere now; silence alone is no reason to end it.
void leaveSilent(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    if (!hasCapacityElsewhere(state, now, call) || !consumeRetry(state, call.service_)) {
        pushDeadline(state.deadlines_, std::min(call.deadline_, now + silenceRecheck), id);
        return;
    }
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        recordOutcome(*upstream, now, true);
    }
    outbox.decisions_.push_back({ "upstream-silent",
        { { "request", call.request_.id_ }, { "upstream", lastUpstreamId(state, call) },
            { "silent_ms", upstreamSilenceText(now, call) }, { "events", std::to_string(call.events_) } },
        true });
    call.mayHaveRun_ = true;
    detachFromUpstream(state, call, true, outbox);
    requeue(state, now, id);
}

void checkCall(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    if (now >= call.deadline_) {
        expire(state, now, id, call, outbox);
        return;
    }
    if (call.stage_ == CallStage::Waiting && now >= call.waitUntil_) {
        refuse(state, now, id, call.mayHaveRun_ ? RefusalReason::UpstreamFailed : RefusalReason::Overloaded, outbox);
        return;
    }
    const bool silent = call.stage_ != CallStage::Waiting && now - call.lastReceivedAt_ >= silenceBound(call);
    if (silent && mayGoElsewhere(call)) {
        leaveSilent(state, now, id, call, outbox);
        return;
    }
    pushDeadline(state.deadlines_, std::max(nextCallCheck(call), now + Milliseconds(1)), id);
}

} // namespace

TimePoint nextCallCheck(const Call &call)
{
    if (call.stage_ == CallStage::Waiting) {
        return std::min(call.waitUntil_, call.deadline_);
    }
    return mayGoElsewhere(call) ? std::min(call.deadline_, call.lastReceivedAt_ + silenceBound(call)) : call.deadline_;
}

void runDeadlines(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    for (const CallId id : popDue(state.deadlines_, now)) {
        if (Call *call = findRow(state.calls_, id); call != nullptr) {
            checkCall(state, now, id, *call, outbox);
        }
    }
}

void detachFromUpstream(GatewayState &state, Call &call, bool cancel, GatewayOutbox &outbox)
{
    if (call.stage_ == CallStage::Waiting) {
        return;
    }
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        --upstream->ownInFlight_;
        markPeerUpdatesPending(state, upstream->region_);
    }
    state.callBySend_.erase(call.send_);
    if (cancel) {
        outbox.cancels_.push_back(call.send_);
    }
    call.stage_ = CallStage::Waiting;
}

CallId findCallBySend(const GatewayState &state, uint64_t send)
{
    const auto found = state.callBySend_.find(send);
    return found == state.callBySend_.end() ? CallId{} : found->second;
}

Upstream *findUpstream(GatewayState &state, const std::string &id)
{
    const auto found = state.upstreamById_.find(id);
    return found == state.upstreamById_.end() ? nullptr : findRow(state.upstreams_, found->second);
}

void eraseCall(GatewayState &state, CallId id)
{
    if (const Call *call = findRow(state.calls_, id); call != nullptr) {
        state.bodyBytes_ -= call->request_.body_->size();
        state.callByExchange_.erase(call->exchange_.value_);
        eraseRow(state.calls_, id);
    }
}

void requeue(GatewayState &state, TimePoint now, CallId id)
{
    Call &call = *findRow(state.calls_, id);
    // A stream that has begun can only be broken off, so that it waits as long as its caller does.
    call.waitUntil_
        = call.streamStarted_ ? call.deadline_ : std::min(call.deadline_, std::max(call.waitUntil_, now + requeueWait));
    state.waiting_.push_back(id);
    pushDeadline(state.deadlines_, nextCallCheck(call), id);
}

void refuse(GatewayState &state, TimePoint now, CallId id, RefusalReason reason, GatewayOutbox &outbox)
{
    const Call &call = *findRow(state.calls_, id);
    RefuseCall refusal{ call.exchange_, reason, !call.mayHaveRun_, {}, call.request_.id_ };
    if (refusal.notRun_ && invitesReturn(reason)) {
        refusal.retryAfter_ = drawRetryAfter(state, now, call);
    }
    if (refusal.notRun_) {
        refundQuota(state, call.workspace_, call.charge_);
    }
    outbox.decisions_.push_back({ "refused",
        { { "request", call.request_.id_ }, { "route", call.routeName_ }, { "workspace", call.workspace_ },
            { "reason", std::string(nameOf(reason, refusalReasonNames)) },
            { "not_run", refusal.notRun_ ? "yes" : "no" }, { "attempts", std::to_string(call.attempts_) },
            { "events", std::to_string(call.events_) }, { "waited_ms", millisecondsText(now - call.arrivedAt_) },
            { "upstream", lastUpstreamId(state, call) }, { "silent_ms", upstreamSilenceText(now, call) },
            { "retry_after_ms", std::to_string(refusal.retryAfter_.count()) },
            { "configuration", std::to_string(state.configuration_.version_) } },
        true });
    count(state.metrics_, "calls_refused", std::string(nameOf(reason, refusalReasonNames)));
    if (call.streamStarted_) {
        outbox.abortedExchanges_.push_back(call.exchange_);
    } else {
        outbox.refusals_.push_back(std::move(refusal));
    }
    eraseCall(state, id);
}

std::string lastUpstreamId(const GatewayState &state, const Call &call)
{
    if (call.attempts_ == 0) {
        return "none";
    }
    const Upstream *upstream = findRow(state.upstreams_, call.upstream_);
    return upstream == nullptr ? "gone" : upstream->id_;
}

std::string upstreamSilenceText(TimePoint now, const Call &call)
{
    return call.attempts_ == 0 ? "0" : millisecondsText(now - call.lastReceivedAt_);
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

GatewayOutbox tickGateway(GatewayState &state, TimePoint now, GatewayInbox inbox)
{
    GatewayOutbox outbox;
    runStop(state, now, inbox, outbox);
    runConfiguration(state, now, inbox, outbox);
    runMembership(state, now, inbox, outbox);
    runPeers(state, now, inbox, outbox);
    runCallerDisconnects(state, now, inbox, outbox);
    runIntake(state, now, inbox, outbox);
    runAnswers(state, now, inbox, outbox);
    runDeadlines(state, now, outbox);
    runDispatch(state, now, outbox);
    runPeerUpdates(state, now, outbox);
    return outbox;
}

TimePoint nextGatewayDeadline(const GatewayState &state)
{
    return std::min({ nextDeadline(state.deadlines_), nextPeerDeadline(state), nextStopDeadline(state),
        nextDeferredDeadline(state) });
}

} // namespace Burdockfield::Gateway
