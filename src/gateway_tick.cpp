/**
 * @file gateway_tick.cpp
 * @brief Tick of a gateway, deadlines of calls, and functions that several systems share.
 */
#include "gateway_hedging_func.h"
#include "gateway_rollout_func.h"
#include "json_func.h"
#include "table/gateway_refusal_names.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

// A call is moved away from an upstream that has sent nothing for the silence timeout, if it can be retried elsewhere.
// The timeout is the larger of a minimum and a multiple of the route's target. A stream is moved only if the upstream
// is also found to be unreachable, or sends bytes that complete no event: one that pauses would not notice the close of
// the connection, and go on with the stream beside the other upstream.
constexpr Milliseconds minFirstEventTimeout{ 1300 }; ///< Minimum before a first event; callers wait 2 s for it.
constexpr Milliseconds minStreamTimeout{ 900 }; ///< Minimum within a stream.
constexpr Milliseconds minAnswerTimeout{ 900 }; ///< Minimum for a call that is not streamed.
constexpr Milliseconds capacityRecheckInterval{ 100 }; ///< Interval of checks for free capacity elsewhere.
/// Share of the silence timeout after which the upstream of a stream is checked, so that the result is known in time.
constexpr double reachabilityCheckShare = 0.5;
/// Interval of checks whether the upstream of a silent stream is reachable. Each one may open a connection.
constexpr Milliseconds reachabilityInterval{ 500 };
/// An upstream that has sent bytes within this time notices the close of the connection at its next write, so that it
/// stops its run well within the 400 ms for which two runs of a stream may overlap.
constexpr Milliseconds writingUpstreamTime{ 200 };
constexpr int latencyTargetMultiple = 3; ///< Multiple of the latency target before a stream has started.
constexpr int gapTargetMultiple = 4; ///< Multiple of the gap target within a stream; callers give up after 8.

constexpr Milliseconds requeueWait{ 400 }; ///< Minimum time that a requeued call may wait for free capacity.
constexpr double retryAfterShare = 0.3; ///< Share of the time left; callers honour Retry-After up to a third of it.
constexpr Milliseconds minRetryAfter{ 50 }; ///< Shortest Retry-After.
constexpr Milliseconds maxRetryAfter{ 1500 }; ///< Longest Retry-After; the retried call is then late rather than lost.

Milliseconds silenceTimeout(const Call &call)
{
    if (call.streamStarted_) {
        return std::max(minStreamTimeout, gapTargetMultiple * call.gapTarget_);
    }
    const Milliseconds minimum = call.kind_ == CallKind::Streaming ? minFirstEventTimeout : minAnswerTimeout;
    return std::max(minimum, latencyTargetMultiple * call.latencyTarget_);
}

/// @return the silence after which a call is looked at: a stream earlier than it can be moved.
Milliseconds silenceUntilReview(const Call &call)
{
    const Milliseconds timeout = silenceTimeout(call);
    return call.kind_ == CallKind::Streaming
        ? std::chrono::duration_cast<Milliseconds>(timeout * reachabilityCheckShare)
        : timeout;
}

bool canRetryElsewhere(const Call &call)
{
    return call.retryable_ && call.attempts_ < call.attemptLimit_;
}

/// Draws a random Retry-After, so that callers do not all retry at once.
Milliseconds drawRetryAfter(GatewayState &state, TimePoint now, const Call &call)
{
    const auto left = std::chrono::duration_cast<Milliseconds>((call.deadline_ - now) * retryAfterShare);
    const Milliseconds most = std::min(left, maxRetryAfter);
    if (most <= minRetryAfter) {
        return minRetryAfter;
    }
    const auto range = static_cast<uint64_t>((most - minRetryAfter).count());
    return minRetryAfter + Milliseconds(state.random_() % (range + 1));
}

bool suggestsRetry(RefusalReason reason)
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::NoUpstream
        || reason == RefusalReason::UpstreamRefused || reason == RefusalReason::OverQuota;
}

void handleExpired(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool sent = call.attempts_ > 0;
    call.mayHaveRun_ = call.mayHaveRun_ || call.stage_ != CallStage::Waiting;
    cancelSend(state, now, call, outbox);
    refuse(state, now, id, sent ? RefusalReason::Expired : RefusalReason::Overloaded, outbox);
}

void logSilence(const GatewayState &state, TimePoint now, const Call &call, GatewayOutbox &outbox)
{
    outbox.decisions_.push_back({ "upstream-silent",
        { { "request", call.request_.id_ }, { "upstream", lastUpstreamId(state, call) },
            { "silent_ms", upstreamSilenceText(now, call) }, { "events", std::to_string(call.events_) } },
        true });
}

/// Gives up the silent send of a call.
void giveUpSilentSend(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        reportOutcome(state, *upstream, now, true);
        recordVersionOutcome(state, call, *upstream, true, outbox);
    }
    logSilence(state, now, call, outbox);
    call.mayHaveRun_ = true;
    cancelOwnSend(state, now, call, outbox);
}

/// Retries a call of a silent upstream if another has free capacity now; silence alone is no reason to end the call. A
/// call that may crash another upstream stays: a trial that moved would be sent twice.
void retrySilentCall(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    if (hasTwoSends(state, call)) {
        giveUpSilentSend(state, now, call, outbox);
        continueWithOtherSend(state, now, id, outbox);
        return;
    }
    if (isLikelyToCrash(state, call) || !hasCapacityElsewhere(state, now, call)
        || !consumeRetry(state, call.service_)) {
        pushDeadline(state.deadlines_, std::min(call.deadline_, now + capacityRecheckInterval), id);
        return;
    }
    eraseHedge(state, call);
    giveUpSilentSend(state, now, call, outbox);
    requeue(state, now, id, SendCause::Silent);
}

/// Reviews a stream without progress: it is moved once its upstream is known to be unreachable, or to notice that.
void reviewSilentStream(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    Upstream *upstream = findRow(state.upstreams_, call.upstream_);
    const bool unreachable = upstream != nullptr && upstream->unreachableSince_ != noDeadline;
    if ((unreachable || isUpstreamWriting(call, now)) && now - call.lastReceivedAt_ >= silenceTimeout(call)) {
        retrySilentCall(state, now, id, call, outbox);
        return;
    }
    if (upstream != nullptr && now - upstream->reachedAt_ >= reachabilityInterval) {
        checkUpstream(now, *upstream, outbox);
    }
    pushDeadline(state.deadlines_, std::min(call.deadline_, now + capacityRecheckInterval), id);
}

void checkCall(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    if (now >= call.deadline_) {
        handleExpired(state, now, id, call, outbox);
        return;
    }
    if (call.stage_ == CallStage::Waiting && now >= call.waitUntil_) {
        refuse(state, now, id, call.mayHaveRun_ ? RefusalReason::UpstreamFailed : RefusalReason::Overloaded, outbox);
        return;
    }
    const bool silent = call.stage_ == CallStage::Sent && now - call.lastReceivedAt_ >= silenceUntilReview(call);
    if (silent && canRetryElsewhere(call)) {
        if (call.kind_ == CallKind::Streaming) {
            reviewSilentStream(state, now, id, call, outbox);
        } else {
            retrySilentCall(state, now, id, call, outbox);
        }
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
    const bool movable = call.stage_ == CallStage::Sent && canRetryElsewhere(call);
    return movable ? std::min(call.deadline_, call.lastReceivedAt_ + silenceUntilReview(call)) : call.deadline_;
}

bool isUpstreamWriting(const Call &call, TimePoint now)
{
    return now - call.lastBytesAt_ < writingUpstreamTime;
}

void runDeadlines(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    for (const CallId id : popDue(state.deadlines_, now)) {
        if (Call *call = findRow(state.calls_, id); call != nullptr) {
            checkCall(state, now, id, *call, outbox);
        }
    }
}

void detachFromUpstream(GatewayState &state, Call &call)
{
    if (call.stage_ == CallStage::Waiting) {
        return;
    }
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        --upstream->ownInFlight_;
        upstream->ownTokens_ -= memoryTokensOf(call.request_);
        markCountsPending(state);
    }
    state.callBySend_.erase(call.send_);
    call.stage_ = CallStage::Waiting;
}

void cancelSend(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    cancelHedge(state, now, call, outbox);
    cancelOwnSend(state, now, call, outbox);
}

void cancelOwnSend(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    if (call.stage_ != CallStage::Waiting) {
        recordUnansweredCall(state, now, call, true);
        outbox.cancels_.push_back(call.send_);
    }
    detachFromUpstream(state, call);
}

CallId findCallBySend(const GatewayState &state, uint64_t send)
{
    const auto found = state.callBySend_.find(send);
    return found == state.callBySend_.end() ? CallId{} : found->second;
}

const std::string &regionOf(const GatewayState &state, const std::string &zone)
{
    const auto region = state.regionByZone_.find(zone);
    return region == state.regionByZone_.end() ? zone : region->second;
}

Upstream *findUpstream(GatewayState &state, const std::string &id)
{
    const auto found = state.upstreamById_.find(id);
    return found == state.upstreamById_.end() ? nullptr : findRow(state.upstreams_, found->second);
}

void eraseCall(GatewayState &state, CallId id)
{
    if (Call *call = findRow(state.calls_, id); call != nullptr) {
        eraseHedge(state, *call);
        state.bodyBytes_ -= call->request_.body_->size();
        state.answerBytes_ -= call->body_.size();
        state.callByExchange_.erase(call->exchange_.value_);
        state.callBySlotRequest_.erase(call->slot_.number_);
        eraseRow(state.calls_, id);
    }
}

void clearAnswer(GatewayState &state, Call &call)
{
    state.answerBytes_ -= call.body_.size();
    std::string().swap(call.body_); // unlike clear(), frees the memory
}

void requeue(GatewayState &state, TimePoint now, CallId id, SendCause cause)
{
    Call &call = *findRow(state.calls_, id);
    clearAnswer(state, call);
    call.sendCause_ = cause;
    // Refusing a stream that has started would abort it, so it may wait as long as its caller does.
    call.waitUntil_
        = call.streamStarted_ ? call.deadline_ : std::min(call.deadline_, std::max(call.waitUntil_, now + requeueWait));
    state.waiting_.push_back(id);
    pushDeadline(state.deadlines_, nextCallCheck(call), id);
}

void refuse(GatewayState &state, TimePoint now, CallId id, RefusalReason reason, GatewayOutbox &outbox)
{
    const Call &call = *findRow(state.calls_, id);
    RefuseCall refusal{ call.exchange_, reason, !call.mayHaveRun_, {}, call.request_.id_ };
    if (refusal.notRun_ && suggestsRetry(reason)) {
        refusal.retryAfter_ = drawRetryAfter(state, now, call);
    } else if (refusal.notRun_ && reason == RefusalReason::Stopping) {
        refusal.retryAfter_ = minRetryAfter; // another gateway can take it at once
    } else if (refusal.notRun_ && reason == RefusalReason::CrashSuspect) {
        refusal.retryAfter_ = retryTimeOfCrashSuspect(state, now, call);
    }
    if (refusal.notRun_) {
        refundQuota(state, now, call.workspace_, call.charge_);
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
    runRollouts(state, now, inbox, outbox);
    runPeers(state, now, inbox, outbox);
    runBrokers(state, now, outbox);
    runIntake(state, now, inbox, outbox);
    runCallerDisconnects(state, now, inbox, outbox); // after the intake: a caller may leave in the tick of its request
    runAnswers(state, now, inbox, outbox);
    runUpstreamChecks(state, now, outbox);
    runCrashReview(state, now, outbox);
    runCrashRecords(state, now, inbox, outbox);
    runDeadlines(state, now, outbox);
    runSlots(state, now, inbox, outbox);
    runDispatch(state, now, outbox);
    runHedging(state, now, outbox); // after the dispatch: calls that wait get free slots first
    runSlotRequests(state, now, outbox);
    runRolloutStatuses(state, now, outbox);
    runPeerUpdates(state, now, outbox);
    reportQuotas(state, now, outbox);
    return outbox;
}

TimePoint nextGatewayDeadline(const GatewayState &state)
{
    return std::min({ nextDeadline(state.deadlines_), nextPeerDeadline(state), nextStopDeadline(state),
        nextDeferredDeadline(state), state.crashEvidence_.reviewAt_, state.upstreamChecksAt_, state.slotCheckAt_,
        nextHedgingDeadline(state), nextRolloutDeadline(state), nextCrashRecordDeadline(state) });
}

} // namespace Burdockfield::Gateway
