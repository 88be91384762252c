/**
 * @file gateway_answers.cpp
 * @brief System that forwards answers, and retries or ends failed calls.
 *
 * Answers that are not streamed are forwarded once they are complete. Of a stream only complete events are forwarded.
 * If a connection breaks within an event, another upstream can therefore resume after the last complete event.
 */
#include "gateway_hedging_func.h"
#include "gateway_replacement_func.h"
#include "gateway_rollout_func.h"

#include "error_type.h"
#include "gateway_event_stream_func.h"
#include "http_func.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

constexpr size_t maxAnswerBytes = 16U << 20U; ///< 16 MiB: longest answer that is buffered; below any memory limit.
constexpr size_t maxEventBytes = 256U << 10U; ///< Longest event of a stream.
constexpr size_t maxUnusedBytes = 64U << 10U; ///< Longest body of an answer that is not forwarded.
/// Bytes of an answer that count as progress; a link of 10 Mbit/s carries them in 4 ms.
constexpr size_t answerProgressStep = 4U << 10U;
constexpr uint32_t maxConnectFailures = 4; ///< Failures to connect after which a call is refused.
constexpr Milliseconds initialBackoff{ 250 }; ///< Time for which an upstream is not used after a failure to connect.
constexpr Milliseconds maxBackoff{ 4000 }; ///< Longest such time, after several failures in a row.
constexpr uint32_t maxBackoffDoublings = 4; ///< Failures in a row after which the time no longer doubles.
constexpr Milliseconds minRetryTime{ 100 }; ///< A call is not retried with less time left.
constexpr int firstServerErrorStatus = 500; ///< Lowest HTTP status that reports a server error.

bool isStreamed(const Call &call)
{
    return call.kind_ == CallKind::Streaming && call.headReceived_ && call.head_.authentic_ && call.head_.eventStream_;
}

void finishCall(GatewayState &state, TimePoint now, CallId id, const char *outcome, int status, GatewayOutbox &outbox)
{
    const Call &call = *findRow(state.calls_, id);
    outbox.decisions_.push_back({ "answered",
        { { "request", call.request_.id_ }, { "route", call.routeName_ }, { "workspace", call.workspace_ },
            { "outcome", outcome }, { "status", std::to_string(status) },
            { "attempts", std::to_string(call.attempts_) }, { "events", std::to_string(call.events_) },
            { "upstream", call.triedInstances_.empty() ? std::string() : call.triedInstances_.back() },
            { "connection", std::to_string(call.use_.number_) },
            { "calls_before", std::to_string(call.use_.callsBefore_) },
            { "took_ms", millisecondsText(now - call.arrivedAt_) } } });
    count(state.metrics_, "calls_ended", outcome);
    observe(state.metrics_, "call_seconds", call.routeName_, now - call.arrivedAt_);
    recordDuration(state, now, call);
    eraseCall(state, id);
}

void eraseFromAnswer(GatewayState &state, Call &call, size_t length)
{
    state.answerBytes_ -= length;
    if (length == call.body_.size()) {
        std::string().swap(call.body_); // unlike clear(), frees the memory
    } else {
        call.body_.erase(0, length);
    }
}

/**
 * Forwards all complete events of a call.
 * @param scanned length of the start of the call's body that contains no complete event, in bytes
 * @return false, and forwards nothing, if an event is missing between them
 */
bool forwardEvents(GatewayState &state, TimePoint now, Call &call, size_t scanned, GatewayOutbox &outbox)
{
    const EventScan scan = scanEvents(call.body_, call.lastEvent_, scanned);
    if (scan.outOfOrder_) {
        return false;
    }
    if (scan.consumed_ > 0) {
        call.lastReceivedAt_ = now;
    }
    if (scan.bytes_.empty()) {
        eraseFromAnswer(state, call, scan.consumed_);
        return true;
    }
    if (!call.streamStarted_) {
        call.streamStarted_ = true;
        outbox.streamStarts_.push_back({ call.exchange_, call.head_.reply_ });
        observe(state.metrics_, "first_event_seconds", call.routeName_, now - call.arrivedAt_);
    }
    call.events_ += scan.events_;
    if (call.sendEvents_ == 0) {
        recordFirstEvent(state, now, call);
    }
    call.sendEvents_ += scan.events_;
    call.lastEvent_ = scan.lastEvent_;
    call.answerBegunAt_ = std::min(call.answerBegunAt_, now);
    outbox.events_.push_back({ call.exchange_, scan.bytes_ });
    eraseFromAnswer(state, call, scan.consumed_);
    return true;
}

void abortStream(GatewayState &state, TimePoint now, CallId id, const char *reason, GatewayOutbox &outbox)
{
    const Call &call = *findRow(state.calls_, id);
    outbox.abortedExchanges_.push_back(call.exchange_);
    finishCall(state, now, id, reason, 0, outbox);
}

bool consumeRetryIfAllowed(GatewayState &state, TimePoint now, const Call &call)
{
    return call.attempts_ < call.attemptLimit_ && call.deadline_ - now > minRetryTime && !isLikelyToCrash(state, call)
        && consumeRetry(state, call.service_);
}

/// @return whether the answer's header reports that the call has not run. It counts only once the answer is complete.
bool isReportedNotRun(const Call &call)
{
    return call.headReceived_ && (call.head_.notRun_ || call.head_.wrongInstance_);
}

/// @return whether the body of the answer may be forwarded.
bool isForwardable(const Call &call)
{
    return call.head_.authentic_ && !isReportedNotRun(call) && (!call.streamStarted_ || call.head_.eventStream_);
}

void logFailedSend(
    const GatewayState &state, const Call &call, std::error_code error, TimePoint now, GatewayOutbox &outbox)
{
    const std::string status = call.headReceived_ ? std::to_string(call.head_.reply_.status_) : "none";
    const bool firstOfTwo = hasTwoSends(state, call) && !call.hedging_.ownSendIsHedge_;
    outbox.decisions_.push_back({ "send-failed",
        { { "request", call.request_.id_ }, { "upstream", lastUpstreamId(state, call) },
            { "address", call.upstreamAddress_ }, { "error", error ? error.message() : std::string("answer-refused") },
            { "status", status }, { "not_run", isReportedNotRun(call) ? "yes" : "no" },
            { "attempt", std::to_string(call.attempts_ - (firstOfTwo ? 1 : 0)) },
            { "events", std::to_string(call.events_) }, { "after_ms", millisecondsText(now - call.sentAt_) },
            { "connection", std::to_string(call.use_.number_) },
            { "calls_before", std::to_string(call.use_.callsBefore_) },
            { "written", call.use_.requestWritten_ ? "yes" : "no" } },
        true });
}

void recordReached(TimePoint now, Upstream &upstream)
{
    upstream.reachedAt_ = now;
    upstream.unreachableSince_ = noDeadline;
}

void backOffUpstream(Upstream &upstream, TimePoint now)
{
    const uint32_t doublings = std::min(upstream.connectFailures_, maxBackoffDoublings);
    upstream.avoidUntil_ = now + std::min(initialBackoff * (1 << doublings), maxBackoff);
    ++upstream.connectFailures_;
}

void handleFailedConnect(
    GatewayState &state, TimePoint now, Upstream &upstream, std::error_code error, GatewayOutbox &outbox)
{
    backOffUpstream(upstream, now);
    if (error == TransportErrc::ConnectionRefused) {
        recordUpstreamCrash(state, now, upstream, outbox);
    }
}

/// Handles a send that reached no upstream. The call has not run, so it may be sent to any other upstream.
void handleUnreachable(
    GatewayState &state, TimePoint now, CallId id, Call &call, std::error_code error, GatewayOutbox &outbox)
{
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        handleFailedConnect(state, now, *upstream, error, outbox);
    }
    --call.attempts_;
    ++call.connectFailures_;
    detachFromUpstream(state, call);
    if (continueWithOtherSend(state, now, id, outbox)) {
        return;
    }
    if (call.connectFailures_ < maxConnectFailures) {
        requeue(state, now, id, SendCause::NotConnected);
        return;
    }
    refuse(state, now, id, RefusalReason::NoUpstream, outbox);
}

/// Handles a send that could not be written, so that nothing was sent. Only an id that can't stand in a header is the
/// upstream's fault.
void handleUnsendable(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool upstreamAtFault = !isFieldValue(call.triedInstances_.back());
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr && upstreamAtFault) {
        upstream->avoidUntil_ = now + maxBackoff;
    }
    --call.attempts_;
    ++call.connectFailures_;
    detachFromUpstream(state, call);
    if (continueWithOtherSend(state, now, id, outbox)) {
        return;
    }
    if (upstreamAtFault && call.connectFailures_ < maxConnectFailures) {
        requeue(state, now, id, SendCause::NotConnected);
        return;
    }
    refuse(state, now, id, RefusalReason::Unsendable, outbox);
}

/// Handles an answer that reports that the call has not run.
void handleNotRun(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool wrongInstance = call.head_.wrongInstance_;
    Upstream *upstream = findRow(state.upstreams_, call.upstream_);
    if (upstream != nullptr && wrongInstance) {
        upstream->avoidUntil_ = now + maxBackoff;
        recordWrongInstance(state, *upstream, outbox);
    }
    detachFromUpstream(state, call);
    if (wrongInstance) {
        --call.attempts_;
        ++call.connectFailures_;
    }
    if (continueWithOtherSend(state, now, id, outbox)) {
        return;
    }
    const bool retry
        = wrongInstance ? call.connectFailures_ < maxConnectFailures : consumeRetryIfAllowed(state, now, call);
    if (retry) {
        requeue(state, now, id, wrongInstance ? SendCause::WrongInstance : SendCause::Refused);
        return;
    }
    refuse(state, now, id, RefusalReason::UpstreamRefused, outbox);
}

void forwardAnswer(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const int status = call.head_.reply_.status_;
    HttpReply reply = std::move(call.head_.reply_);
    state.answerBytes_ -= call.body_.size();
    reply.body_ = std::exchange(call.body_, {});
    outbox.answers_.push_back({ call.exchange_, std::move(reply) });
    finishCall(state, now, id, status < firstServerErrorStatus ? "ok" : "upstream-error", status, outbox);
}

/// Handles a failed send whose call may have run. @param complete whether the answer was received completely
void handleFailure(GatewayState &state, TimePoint now, CallId id, Call &call, bool complete, GatewayOutbox &outbox)
{
    call.mayHaveRun_ = true;
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        reportOutcome(state, *upstream, now, true);
        recordVersionOutcome(state, call, *upstream, true, outbox);
    }
    detachFromUpstream(state, call);
    if (continueWithOtherSend(state, now, id, outbox)) {
        return;
    }
    if (call.retryable_ && consumeRetryIfAllowed(state, now, call)) {
        requeue(state, now, id, SendCause::Failed);
        return;
    }
    if (call.streamStarted_) {
        abortStream(state, now, id, "stream-broken", outbox);
        return;
    }
    if (complete && call.head_.authentic_ && call.head_.reply_.status_ >= firstServerErrorStatus) {
        forwardAnswer(state, now, id, call, outbox);
        return;
    }
    refuse(state, now, id, RefusalReason::UpstreamFailed, outbox);
}

void handleCompleteAnswer(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool streamed = isStreamed(call);
    const int status = call.head_.reply_.status_;
    // An upstream that crashes as it begins a stream may close the connection in the same way as one that ends it.
    // Events of earlier sends don't count: the upstream that resumes a stream may be the one that crashes.
    const bool neverBegun = streamed && call.head_.endsWithConnection_ && call.answerBegunAt_ == noDeadline;
    const bool truncated = neverBegun || (streamed && !call.body_.empty());
    const bool retryable = status >= firstServerErrorStatus && call.retryable_;
    if (!call.head_.authentic_ || truncated || retryable || (call.streamStarted_ && !streamed)) {
        handleFailure(state, now, id, call, true, outbox);
        return;
    }
    recordHedgingAnswer(state, now, call);
    cancelHedge(state, now, call, outbox);
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        reportOutcome(state, *upstream, now, status >= firstServerErrorStatus);
        recordVersionOutcome(state, call, *upstream, status >= firstServerErrorStatus, outbox);
    }
    detachFromUpstream(state, call);
    if (status < firstServerErrorStatus) {
        recordAnswered(state, now, call, outbox);
    }
    if (!streamed) {
        forwardAnswer(state, now, id, call, outbox);
        return;
    }
    if (!call.streamStarted_) {
        outbox.streamStarts_.push_back({ call.exchange_, call.head_.reply_ });
    }
    outbox.streamEnds_.push_back(call.exchange_);
    finishCall(state, now, id, "ok", status, outbox);
}

/// Defers the end of an answer whose end only its connection shows: a crash of the upstream closes it in the same way.
void verifyAnswerEnd(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    call.stage_ = CallStage::Verifying;
    call.endedAt_ = now;
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        checkUpstream(now, *upstream, outbox);
    } else { // it is not listed any more, but may live on
        outbox.checks_.push_back({ call.triedInstances_.back(), call.upstreamAddress_ });
    }
}

/// Treats the answer of a call as broken off.
void handleBrokenAnswer(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    recordBrokenCall(state, now, call, outbox);
    clearAnswer(state, call);
    handleFailure(state, now, id, call, false, outbox);
}

/// Ends the calls that wait for the result of a check of their upstream.
void endVerifiedCalls(GatewayState &state, TimePoint now, const UpstreamChecked &event, GatewayOutbox &outbox)
{
    std::vector<CallId> verifying;
    forEachRow(state.calls_, [&](CallId id, const Call &call) {
        if (call.stage_ == CallStage::Verifying && call.triedInstances_.back() == event.upstream_) {
            verifying.push_back(id);
        }
    });
    for (const CallId id : verifying) {
        Call &call = *findRow(state.calls_, id);
        Upstream *upstream = findRow(state.upstreams_, call.upstream_);
        if (event.error_ || (upstream != nullptr && isReplaced(*upstream, now))) {
            handleBrokenAnswer(state, now, id, call, outbox);
        } else if (upstream != nullptr && call.endedAt_ > upstream->checkStartedAt_) {
            checkUpstream(now, *upstream, outbox); // the last check began before the end of this answer
        } else {
            handleCompleteAnswer(state, now, id, call, outbox);
        }
    }
}

void handleHead(GatewayState &state, TimePoint now, HeadReceived &event, GatewayOutbox &outbox)
{
    Call *call = findRow(state.calls_, findCallBySend(state, event.send_));
    if (call == nullptr) {
        return;
    }
    call->lastReceivedAt_ = now;
    call->headReceived_ = true;
    if (call->streamStarted_) { // the caller has already received the header of the first answer
        event.head_.reply_.headers_ = call->head_.reply_.headers_;
    }
    call->head_ = std::move(event.head_);
    Upstream *upstream = findRow(state.upstreams_, call->upstream_);
    if (upstream != nullptr && !call->head_.wrongInstance_) { // else another instance speaks
        upstream->connectFailures_ = 0;
        recordReached(now, *upstream);
        recordSignOfLife(*upstream, outbox);
        recordReportedLoad(state, now, call->head_, *upstream, outbox);
        recordAnsweringStart(state, now, *call, *upstream, outbox);
    }
    recordAnnouncement(state, now, *call, outbox);
}

/// @return the most bytes of the answer that may be buffered.
size_t bufferLimit(const Call &call)
{
    if (!isForwardable(call)) {
        return maxUnusedBytes;
    }
    return isStreamed(call) ? maxEventBytes : maxAnswerBytes;
}

/// Answer of a send as far as it is buffered.
struct BufferedAnswer
{
    uint64_t send_ = 0; ///< Number of the send; 0 for none.
    size_t bytes_ = 0; ///< Bytes buffered.
    double cost_ = 0; ///< The same times the seconds without progress.
};

/// @return the answer that takes the most memory for the longest time without progress, with send_ 0 if there is none.
BufferedAnswer findCostliestAnswer(const GatewayState &state, TimePoint now)
{
    BufferedAnswer costliest;
    const auto consider = [&costliest, now](uint64_t send, const std::string &body, TimePoint progressAt) {
        const double cost = static_cast<double>(body.size()) * FractionalSeconds(now - progressAt).count();
        if (std::pair(cost, body.size()) > std::pair(costliest.cost_, costliest.bytes_)) {
            costliest = { send, body.size(), cost };
        }
    };
    forEachRow(state.calls_,
        [&consider](CallId /*id*/, const Call &call) { consider(call.send_, call.body_, call.lastReceivedAt_); });
    forEachRow(state.hedges_,
        [&consider](HedgeId /*id*/, const Hedge &hedge) { consider(hedge.send_, hedge.body_, hedge.lastReceivedAt_); });
    return costliest;
}

/// Handles the end of a send whose connection this side closes before the upstream has ended its answer. A stream whose
/// upstream pauses is not resumed elsewhere: the upstream would not notice the close, and go on with it, too.
void handleGivenUpSend(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    const bool workEnds = call.stage_ == CallStage::Verifying || isUpstreamWriting(call, now);
    call.retryable_ = call.retryable_ && (call.kind_ != CallKind::Streaming || workEnds);
    clearAnswer(state, call);
    handleFailure(state, now, id, call, false, outbox);
}

/// Ends a send whose answer is malformed or too long, or takes the memory of others.
void breakOffSend(
    GatewayState &state, TimePoint now, CallId id, Call &call, std::error_code error, GatewayOutbox &outbox)
{
    logFailedSend(state, call, error, now, outbox);
    outbox.cancels_.push_back(call.send_);
    handleGivenUpSend(state, now, id, call, outbox);
}

/// Appends to a buffer that takes at most a quarter more than its bytes, whereas std::string would double it.
void appendBytes(std::string &buffer, std::string bytes)
{
    if (buffer.empty()) {
        buffer = std::move(bytes);
        return;
    }
    constexpr size_t spareDivisor = 4;
    const size_t needed = buffer.size() + bytes.size();
    if (needed > buffer.capacity()) {
        std::string grown;
        grown.reserve(needed + needed / spareDivisor);
        grown += buffer;
        buffer = std::move(grown);
    }
    buffer += bytes;
}

/// Ends sends until all buffered answers together are within their limit.
void limitAnswers(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    while (state.answerBytes_ > state.bounds_.answerBytes_) {
        const uint64_t send = findCostliestAnswer(state, now).send_;
        takeUpSend(state, send); // the end of either send decides on the call
        const CallId id = findCallBySend(state, send);
        Call *call = findRow(state.calls_, id);
        if (call == nullptr) {
            return;
        }
        breakOffSend(state, now, id, *call, TransportErrc::NoMemory, outbox);
    }
}

void handleBytes(GatewayState &state, TimePoint now, BytesReceived &event, GatewayOutbox &outbox)
{
    const CallId id = findCallBySend(state, event.send_);
    Call *call = findRow(state.calls_, id);
    if (call == nullptr) {
        return;
    }
    Upstream *upstream = findRow(state.upstreams_, call->upstream_);
    if (upstream != nullptr && !call->head_.wrongInstance_) {
        recordReached(now, *upstream);
        recordSignOfLife(*upstream, outbox);
    }
    call->lastBytesAt_ = now;
    const size_t scanned = call->body_.size();
    const bool streamed = isForwardable(*call) && isStreamed(*call);
    state.answerBytes_ += event.bytes_.size();
    appendBytes(call->body_, std::move(event.bytes_));
    if (isForwardable(*call) && !streamed && scanned / answerProgressStep != call->body_.size() / answerProgressStep) {
        call->lastReceivedAt_ = now;
    }
    const bool valid = !streamed || forwardEvents(state, now, *call, scanned, outbox);
    if (!valid || call->body_.size() > bufferLimit(*call)) {
        breakOffSend(state, now, id, *call, TransportErrc::Malformed, outbox);
    } else {
        limitAnswers(state, now, outbox);
    }
}

/// @return whether an upstream is reached although a check of it has failed. Only a refusal shows that its process is
/// gone: a connection isn't made in time, or is reset, also where too many connections wait or are open.
bool isReachedDespite(const UpstreamChecked &event, const Upstream &upstream)
{
    const bool receivedSince = upstream.reachedAt_ > upstream.checkStartedAt_;
    return event.error_ != TransportErrc::ConnectionRefused && (receivedSince || event.acknowledged_);
}

void handleCheck(GatewayState &state, TimePoint now, const UpstreamChecked &event, GatewayOutbox &outbox)
{
    Upstream *upstream = findUpstream(state, event.upstream_);
    if (upstream != nullptr) {
        upstream->checking_ = false;
    }
    endVerifiedCalls(state, now, event, outbox); // those that broke belong to the report of a crash
    if (upstream != nullptr && event.error_) {
        if (!isReachedDespite(event, *upstream)) {
            upstream->unreachableSince_ = std::min(upstream->unreachableSince_, now);
        } else if (event.acknowledged_) {
            recordReached(now, *upstream);
        }
        if (event.error_ == TransportErrc::NotSent) {
            recordSilentCheck(*upstream);
        }
        handleFailedConnect(state, now, *upstream, event.error_, outbox);
    } else if (upstream != nullptr) {
        recordReached(now, *upstream);
    }
    if (upstream != nullptr) {
        scheduleNextCheck(state, now, *upstream);
    }
}

void handleSendEnd(GatewayState &state, TimePoint now, const SendEnded &event, GatewayOutbox &outbox)
{
    const CallId id = findCallBySend(state, event.send_);
    Call *call = findRow(state.calls_, id);
    if (call == nullptr) {
        return;
    }
    call->use_ = event.use_;
    const bool notRun = !event.error_ && isReportedNotRun(*call);
    const bool failed = event.error_ || notRun || !call->head_.authentic_
        || (call->retryable_ && call->head_.reply_.status_ >= firstServerErrorStatus);
    if (failed) {
        logFailedSend(state, *call, event.error_, now, outbox);
        count(state.metrics_, "sends_failed", event.error_ ? event.error_.message() : "answer-refused");
    }
    if (notRun) {
        handleNotRun(state, now, id, *call, outbox);
    } else if (event.error_ == TransportErrc::NotSent || event.error_ == TransportErrc::ConnectionRefused) {
        handleUnreachable(state, now, id, *call, event.error_, outbox);
    } else if (event.error_ == TransportErrc::Unsendable) {
        handleUnsendable(state, now, id, *call, outbox);
    } else if (event.error_ == TransportErrc::NoMemory) {
        handleGivenUpSend(state, now, id, *call, outbox);
    } else if (event.error_) {
        handleBrokenAnswer(state, now, id, *call, outbox);
    } else if (call->head_.endsWithConnection_ && (!isStreamed(*call) || call->sendEvents_ > 0)) {
        if (hasTwoSends(state, *call)) { // the other send goes on, so that nothing is gained by the check
            handleBrokenAnswer(state, now, id, *call, outbox);
        } else {
            verifyAnswerEnd(state, now, *call, outbox);
        }
    } else {
        handleCompleteAnswer(state, now, id, *call, outbox);
    }
}

} // namespace

void checkUpstream(TimePoint now, Upstream &upstream, GatewayOutbox &outbox)
{
    if (!upstream.checking_) {
        upstream.checking_ = true;
        upstream.checkStartedAt_ = now;
        outbox.checks_.push_back({ upstream.id_, upstream.address_ });
    }
}

void runAnswers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (const UpstreamChecked &event : inbox.checks_) {
        handleCheck(state, now, event, outbox);
    }
    for (HeadReceived &event : inbox.heads_) {
        const bool takenUp = takeUpSend(state, event.send_);
        handleHead(state, now, event, outbox);
        if (takenUp) {
            putBackSend(state, event.send_);
        }
    }
    for (BytesReceived &event : inbox.bytes_) {
        const bool takenUp = takeUpSend(state, event.send_);
        handleBytes(state, now, event, outbox);
        if (takenUp) {
            putBackSend(state, event.send_);
        }
    }
    for (const SendEnded &event : inbox.ends_) {
        takeUpSend(state, event.send_); // the end of either send decides on the call
        handleSendEnd(state, now, event, outbox);
    }
}

} // namespace Burdockfield::Gateway
