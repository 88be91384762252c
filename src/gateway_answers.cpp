/**
 * @file gateway_answers.cpp
 * @brief System that passes answers on, and repeats or ends what failed.
 *
 * Answers that are not streamed are passed on once they are whole. Streams are passed on event by event, so that a run
 * that breaks off inside an event can go on elsewhere after the last whole one.
 */
#include "gateway_func.h"

#include "error_type.h"
#include "gateway_event_stream_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr size_t answerBytesLimit = 16U << 20U; ///< Longest answer that is kept whole; below any memory limit.
constexpr uint32_t connectAttemptLimit = 4; ///< Upstreams that may be found unreachable before the call is given up.
constexpr Milliseconds firstAvoidance{ 250 }; ///< Time without use after a failure to connect.
constexpr Milliseconds longestAvoidance{ 4000 }; ///< The same after many failures in a row.
constexpr uint32_t avoidanceDoublings = 4; ///< Failures after which the time no longer doubles.
constexpr Milliseconds leastRepeatTime{ 100 }; ///< Time that has to be left for a call to be sent again.
constexpr int serverErrorStatus = 500; ///< Least status of a server's failure.

bool isStreamed(const Call &call)
{
    return call.kind_ == CallKind::Streaming && call.headReceived_ && call.head_.authentic_ && call.head_.eventStream_;
}

void finish(GatewayState &state, TimePoint now, CallId id, const char *outcome, int status, GatewayOutbox &outbox)
{
    const Call &call = *findRow(state.calls_, id);
    outbox.decisions_.push_back({ "answered",
        { { "request", call.request_.id_ }, { "route", call.routeName_ }, { "workspace", call.workspace_ },
            { "outcome", outcome }, { "status", std::to_string(status) },
            { "attempts", std::to_string(call.attempts_) }, { "events", std::to_string(call.events_) },
            { "upstream", call.triedInstances_.empty() ? std::string() : call.triedInstances_.back() },
            { "took_ms", millisecondsText(now - call.arrivedAt_) } } });
    count(state.metrics_, "calls_ended", outcome);
    observe(state.metrics_, "call_seconds", call.routeName_, now - call.arrivedAt_);
    eraseCall(state, id);
}

/// Passes on the events that have come whole. @return whether their order holds
bool relayEvents(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    const EventScan scan = scanEvents(call.body_, call.lastEvent_);
    if (scan.outOfOrder_) {
        return false;
    }
    if (scan.bytes_.empty()) {
        call.body_.erase(0, scan.consumed_);
        return true;
    }
    if (!call.streamStarted_) {
        call.streamStarted_ = true;
        outbox.streamStarts_.push_back({ call.exchange_, call.head_.reply_ });
        observe(state.metrics_, "first_event_seconds", call.routeName_, now - call.arrivedAt_);
    }
    call.events_ += scan.events_;
    call.lastEvent_ = scan.lastEvent_;
    outbox.events_.push_back({ call.exchange_, scan.bytes_ });
    call.body_.erase(0, scan.consumed_);
    return true;
}

void breakStream(GatewayState &state, TimePoint now, CallId id, const char *reason, GatewayOutbox &outbox)
{
    const Call &call = *findRow(state.calls_, id);
    outbox.abortedExchanges_.push_back(call.exchange_);
    finish(state, now, id, reason, 0, outbox);
}

bool mayRepeat(GatewayState &state, TimePoint now, const Call &call)
{
    return call.attempts_ < call.attemptLimit_ && call.deadline_ - now > leastRepeatTime
        && !isCrashSuspect(state, now, call.fingerprint_) && consumeRetry(state, call.service_);
}

/// @return whether the upstream promises that it has not run the call.
bool hasNotRun(const Call &call)
{
    return call.headReceived_ && (call.head_.notRun_ || call.head_.wrongInstance_);
}

void logFailedSend(
    const GatewayState &state, const Call &call, std::error_code error, TimePoint now, GatewayOutbox &outbox)
{
    const std::string status = call.headReceived_ ? std::to_string(call.head_.reply_.status_) : "none";
    outbox.decisions_.push_back({ "send-failed",
        { { "request", call.request_.id_ }, { "upstream", lastUpstreamId(state, call) },
            { "error", error ? error.message() : std::string("answer-refused") }, { "status", status },
            { "not_run", hasNotRun(call) ? "yes" : "no" }, { "attempt", std::to_string(call.attempts_) },
            { "events", std::to_string(call.events_) }, { "after_ms", millisecondsText(now - call.sentAt_) } },
        true });
}

void avoidUnreachable(Upstream &upstream, TimePoint now)
{
    const uint32_t doublings = std::min(upstream.connectFailures_, avoidanceDoublings);
    upstream.avoidUntil_ = now + std::min(firstAvoidance * (1 << doublings), longestAvoidance);
    ++upstream.connectFailures_;
}

/// The send reached no upstream: the call may go anywhere else.
void handleUnreachable(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        avoidUnreachable(*upstream, now);
        recordUpstreamCrash(state, now, *upstream, outbox);
    }
    --call.attempts_;
    ++call.connectFailures_;
    detachFromUpstream(state, call, false, outbox);
    if (call.connectFailures_ < connectAttemptLimit) {
        requeue(state, now, id);
        return;
    }
    refuse(state, now, id, RefusalReason::NoUpstream, outbox);
}

/// The upstream promises that it has not run the call.
void handleNotRun(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool elsewhere = call.head_.wrongInstance_;
    Upstream *upstream = findRow(state.upstreams_, call.upstream_);
    if (upstream != nullptr && elsewhere) {
        upstream->avoidUntil_ = now + longestAvoidance;
    }
    detachFromUpstream(state, call, false, outbox);
    if (elsewhere) {
        --call.attempts_;
        ++call.connectFailures_;
    }
    const bool again = elsewhere ? call.connectFailures_ < connectAttemptLimit : mayRepeat(state, now, call);
    if (again) {
        requeue(state, now, id);
        return;
    }
    refuse(state, now, id, RefusalReason::UpstreamRefused, outbox);
}

void passWhole(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const int status = call.head_.reply_.status_;
    HttpReply reply = std::move(call.head_.reply_);
    reply.body_ = std::move(call.body_);
    outbox.answers_.push_back({ call.exchange_, std::move(reply) });
    finish(state, now, id, status < serverErrorStatus ? "ok" : "upstream-error", status, outbox);
}

/// The upstream failed the call, which may have run. @param whole whether its answer came whole
void handleFailure(GatewayState &state, TimePoint now, CallId id, Call &call, bool whole, GatewayOutbox &outbox)
{
    call.mayHaveRun_ = true;
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        recordOutcome(*upstream, now, true);
    }
    detachFromUpstream(state, call, false, outbox);
    if (call.retryable_ && mayRepeat(state, now, call)) {
        requeue(state, now, id);
        return;
    }
    if (call.streamStarted_) {
        breakStream(state, now, id, "stream-broken", outbox);
        return;
    }
    if (whole && call.head_.authentic_ && call.head_.reply_.status_ >= serverErrorStatus) {
        passWhole(state, now, id, call, outbox);
        return;
    }
    refuse(state, now, id, RefusalReason::UpstreamFailed, outbox);
}

void handleWholeAnswer(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool streamed = isStreamed(call);
    const int status = call.head_.reply_.status_;
    const bool torn = streamed && !call.body_.empty();
    const bool retryable = status >= serverErrorStatus && call.retryable_;
    if (!call.head_.authentic_ || torn || retryable || (call.streamStarted_ && !streamed)) {
        handleFailure(state, now, id, call, true, outbox);
        return;
    }
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        recordOutcome(*upstream, now, status >= serverErrorStatus);
    }
    detachFromUpstream(state, call, false, outbox);
    if (!streamed) {
        passWhole(state, now, id, call, outbox);
        return;
    }
    if (!call.streamStarted_) {
        outbox.streamStarts_.push_back({ call.exchange_, call.head_.reply_ });
    }
    outbox.streamEnds_.push_back(call.exchange_);
    finish(state, now, id, "ok", status, outbox);
}

void takeHead(GatewayState &state, TimePoint now, HeadReceived &event)
{
    Call *call = findRow(state.calls_, findCallBySend(state, event.send_));
    if (call == nullptr) {
        return;
    }
    call->lastReceivedAt_ = now;
    call->headReceived_ = true;
    if (call->streamStarted_) { // the caller keeps the header of the first run
        event.head_.reply_.headers_ = call->head_.reply_.headers_;
    }
    call->head_ = std::move(event.head_);
    if (Upstream *upstream = findRow(state.upstreams_, call->upstream_); upstream != nullptr) {
        upstream->connectFailures_ = 0;
    }
}

void takeBytes(GatewayState &state, TimePoint now, BytesReceived &event, GatewayOutbox &outbox)
{
    const CallId id = findCallBySend(state, event.send_);
    Call *call = findRow(state.calls_, id);
    if (call == nullptr) {
        return;
    }
    call->lastReceivedAt_ = now;
    call->body_ += event.bytes_;
    const bool relayed = !isStreamed(*call) || relayEvents(state, now, *call, outbox);
    if (relayed && call->body_.size() <= answerBytesLimit) {
        return;
    }
    logFailedSend(state, *call, TransportErrc::Malformed, now, outbox);
    outbox.cancels_.push_back(call->send_);
    call->body_.clear();
    handleFailure(state, now, id, *call, false, outbox);
}

void takeEnd(GatewayState &state, TimePoint now, const SendEnded &event, GatewayOutbox &outbox)
{
    const CallId id = findCallBySend(state, event.send_);
    Call *call = findRow(state.calls_, id);
    if (call == nullptr) {
        return;
    }
    const bool notRun = hasNotRun(*call);
    const bool failed = event.error_ || notRun || !call->head_.authentic_
        || (call->retryable_ && call->head_.reply_.status_ >= serverErrorStatus);
    if (failed) {
        logFailedSend(state, *call, event.error_, now, outbox);
        count(state.metrics_, "sends_failed", event.error_ ? event.error_.message() : "answer-refused");
    }
    if (notRun) {
        handleNotRun(state, now, id, *call, outbox);
    } else if (event.error_ == TransportErrc::NotSent) {
        handleUnreachable(state, now, id, *call, outbox);
    } else if (event.error_) {
        if (Upstream *upstream = findRow(state.upstreams_, call->upstream_); upstream != nullptr) {
            recordBrokenCall(*upstream, now, call->fingerprint_);
        }
        call->body_.clear();
        handleFailure(state, now, id, *call, false, outbox);
    } else {
        handleWholeAnswer(state, now, id, *call, outbox);
    }
}

} // namespace

void runAnswers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (HeadReceived &event : inbox.heads_) {
        takeHead(state, now, event);
    }
    for (BytesReceived &event : inbox.bytes_) {
        takeBytes(state, now, event, outbox);
    }
    for (const SendEnded &event : inbox.ends_) {
        takeEnd(state, now, event, outbox);
    }
}

} // namespace Burdockfield::Gateway
