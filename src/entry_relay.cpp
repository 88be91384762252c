/**
 * @file entry_relay.cpp
 * @brief Systems that relay answers to callers, drop requests of disconnected callers and expire deadlines.
 */
#include "digest_func.h"
#include "entry_func.h"
#include "error_type.h"
#include "request_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

/// @return number of deltas received of the run that is being read.
uint64_t receivedDeltaCount(const Request &request)
{
    return request.answer_.size() - request.attemptOffset_;
}

/// @return checksum of the deltas received of the run that is being read.
uint64_t receivedChecksum(const Request &request)
{
    std::string text;
    for (size_t index = request.attemptOffset_; index < request.answer_.size(); ++index) {
        text += request.answer_[index].text_;
    }
    return fastHash(text);
}

/// Appends the deltas of a frame that are new. @return false when earlier deltas are missing.
bool appendDeltas(EntryState &state, Request &request, AnswerFrame &frame, TimePoint now, EntryOutbox &outbox)
{
    const uint64_t expected = receivedDeltaCount(request);
    if (frame.offset_ > expected) {
        count(state.metrics_, "answer_gaps_total", "gap");
        return false;
    }
    const uint64_t duplicates = std::min<uint64_t>(expected - frame.offset_, frame.deltas_.size());
    if (request.answer_.empty() && !frame.deltas_.empty()) {
        observe(state.metrics_, "first_token_seconds", std::to_string(request.tier_), now - request.arrivedAt_);
    }
    std::vector<Delta> newDeltas(std::make_move_iterator(frame.deltas_.begin() + static_cast<ptrdiff_t>(duplicates)),
        std::make_move_iterator(frame.deltas_.end()));
    for (const Delta &delta : newDeltas) {
        request.receivedTokens_ += delta.tokens_;
        request.answerBytes_
            += 2 * sizeof(Delta) + delta.text_.size(); // the vector may be twice as long as its contents
        request.answer_.push_back(delta);
    }
    sendDeltas(request, std::move(newDeltas), outbox, state);
    return true;
}

/// Reads the answer of another run, because that run holds the claim on the request's idempotency key.
void attachToOwnerRun(EntryState &state, RequestId id, const AnswerEnd &end, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    request.attached_ = true;
    request.agentAddress_ = end.ownerAddress_;
    request.readRun_ = end.ownerRun_;
    request.lastReceivedAt_ = now;
    count(state.metrics_, "attached_total", std::to_string(request.tier_));
    openAnswerStream(state, id, now, outbox);
}

/// Handles an answer that ended because the agent will never start the run.
void handleNotRun(EntryState &state, RequestId id, const AnswerEnd &end, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    if (end.error_ == AdmissionErrc::ClaimedElsewhere && request.stage_ == RequestStage::Reading) {
        attachToOwnerRun(state, id, end, now, outbox);
    } else if (request.stage_ == RequestStage::Cancelling || end.error_ == AdmissionErrc::Expired) {
        const bool storeUnavailable = end.error_ == AdmissionErrc::StoreUnavailable;
        const RefusalErrc reason = storeUnavailable ? RefusalErrc::StoreUnavailable : RefusalErrc::WaitExpired;
        refuseRequest(state, id, reason, RunOutcome::NotRun, outbox);
    } else if (end.error_ == AdmissionErrc::StoreUnavailable) {
        refuseRequest(state, id, RefusalErrc::StoreUnavailable, RunOutcome::NotRun, outbox);
    } else if (end.error_ == AdmissionErrc::KeyReused) {
        refuseRequest(state, id, RefusalErrc::KeyReused, RunOutcome::NotRun, outbox);
    } else {
        request.releasedRun_ = request.readRun_;
        requeueRequest(state, id, outbox);
    }
}

void handleFailedRun(EntryState &state, RequestId id, const AnswerEnd &end, TimePoint now, EntryOutbox &outbox)
{
    if (end.runOutcome_ == RunOutcome::NotRun) {
        handleNotRun(state, id, end, now, outbox);
    } else if (end.error_ == RefusalErrc::UpstreamLost) {
        resolveLostAttempt(state, id, now, true, outbox);
    } else {
        refuseRequest(state, id, end.error_, end.runOutcome_, outbox);
    }
}

void handleAnswerEnd(EntryState &state, RequestId id, const AnswerFrame &frame, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    if (!request.attached_) {
        applyReport(state, request.upstream_, frame.report_, now);
    }
    if (frame.end_.error_) {
        handleFailedRun(state, id, frame.end_, now, outbox);
        return;
    }
    const bool complete
        = frame.end_.deltaCount_ == receivedDeltaCount(request) && frame.end_.checksum_ == receivedChecksum(request);
    if (!complete) {
        count(state.metrics_, "damaged_answers_total", "checksum");
        refuseRequest(state, id, RefusalErrc::AnswerDamaged, RunOutcome::Ran, outbox);
        return;
    }
    completeRequest(state, id, frame.end_, now, outbox);
}

void handleFrame(EntryState &state, AnswerFrameReceived &event, TimePoint now, EntryOutbox &outbox)
{
    Request *request = findRow(state.requests_, event.request_);
    const bool reading = request != nullptr && request->streamNumber_ == event.streamNumber_
        && (request->stage_ == RequestStage::Reading || request->stage_ == RequestStage::Cancelling);
    if (!reading) {
        count(state.metrics_, "late_replies_total", "frame");
        return;
    }
    if (event.frame_.name_ != request->readRun_) {
        count(state.metrics_, "crossed_answers_total", "frame");
        return;
    }
    request->lastReceivedAt_ = now;
    if (!appendDeltas(state, *request, event.frame_, now, outbox)) {
        openAnswerStream(state, event.request_, now, outbox);
        return;
    }
    if (event.frame_.ended_) {
        handleAnswerEnd(state, event.request_, event.frame_, now, outbox);
    }
}

/// Refuses the requests with the longest answers while those of all requests exceed their memory.
void boundAnswers(EntryState &state, EntryOutbox &outbox)
{
    size_t bytes = 0;
    forEachRow(state.requests_, [&bytes](RequestId /*id*/, const Request &request) { bytes += request.answerBytes_; });
    while (bytes > state.answerLimit_) {
        RequestId longest;
        size_t most = 0;
        forEachRow(state.requests_, [&longest, &most](RequestId id, const Request &request) {
            longest = request.answerBytes_ > most ? id : longest;
            most = std::max(most, request.answerBytes_);
        });
        bytes -= most;
        count(state.metrics_, "answers_given_up_total", "no-memory");
        if (Request &request = *findRow(state.requests_, longest); request.stage_ != RequestStage::Waiting) {
            cancelAttempt(request, longest, outbox);
        }
        refuseRequest(state, longest, RefusalErrc::UpstreamError, RunOutcome::Unknown, outbox);
    }
}

void handleStreamClosed(EntryState &state, const AnswerStreamClosed &event, TimePoint now, EntryOutbox &outbox)
{
    Request *request = findRow(state.requests_, event.request_);
    const bool reading = request != nullptr && request->streamNumber_ == event.streamNumber_
        && request->stage_ == RequestStage::Reading;
    if (!reading) {
        return;
    }
    count(state.metrics_, "answer_reads_broken_total", event.error_.message());
    if (event.unknownRun_) {
        resolveLostAttempt(state, event.request_, now, true, outbox);
    } else if (now - request->lastReceivedAt_ > agentSilenceTimeout) {
        resolveLostAttempt(state, event.request_, now, false, outbox);
    } else {
        request->retryAt_ = now + orderRetryInterval;
        pushDeadline(state.requestDeadlines_, request->retryAt_, event.request_);
    }
}

/// Handles the end of a request's agreed wait: refuses the request, or first cancels the attempt in progress.
void handleWaitExpired(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    if (request.stage_ == RequestStage::Waiting) {
        refuseRequest(state, id, RefusalErrc::WaitExpired, RunOutcome::NotRun, outbox);
    } else if (request.stage_ == RequestStage::Cancelling || request.attached_) {
        refuseRequest(state, id, RefusalErrc::WaitExpired, RunOutcome::Unknown, outbox);
    } else {
        clearPendingOrder(state, request);
        request.stage_ = RequestStage::Cancelling;
        request.deadline_ = now + cancelReplyTimeout;
        pushDeadline(state.requestDeadlines_, request.deadline_, id);
        cancelAttempt(request, id, outbox);
    }
}

void retryAttempt(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox)
{
    const Request &request = *findRow(state.requests_, id);
    if (request.stage_ == RequestStage::AwaitingReply) {
        sendOrder(state, id, now, outbox);
    } else if (request.stage_ == RequestStage::Reading) {
        openAnswerStream(state, id, now, outbox);
    }
}

} // namespace

void runRelay(EntryState &state, TimePoint now, EntryInbox &inbox, EntryOutbox &outbox)
{
    for (AnswerFrameReceived &event : inbox.frames_) {
        handleFrame(state, event, now, outbox);
    }
    if (!inbox.frames_.empty()) {
        boundAnswers(state, outbox);
    }
    for (const AnswerStreamClosed &event : inbox.closedAnswerStreams_) {
        handleStreamClosed(state, event, now, outbox);
    }
}

void runCallerDisconnects(EntryState &state, TimePoint /*now*/, const EntryInbox &inbox, EntryOutbox &outbox)
{
    for (const CallerDisconnected &event : inbox.disconnects_) {
        const auto found = state.requestByExchange_.find(event.exchange_);
        if (found == state.requestByExchange_.end()) {
            continue;
        }
        const RequestId id = found->second;
        if (Request &request = *findRow(state.requests_, id); request.stage_ != RequestStage::Waiting) {
            cancelAttempt(request, id, outbox);
        }
        dropRequest(state, id, outbox);
    }
}

void runDeadlines(EntryState &state, TimePoint now, EntryOutbox &outbox)
{
    for (const RequestId id : popDue(state.requestDeadlines_, now)) {
        const Request *request = findRow(state.requests_, id);
        if (request == nullptr) {
            continue;
        }
        if (request->deadline_ <= now) {
            handleWaitExpired(state, id, now, outbox);
        } else if (request->retryAt_ <= now) {
            retryAttempt(state, id, now, outbox);
        }
    }
}

} // namespace Burdockfield
