/**
 * @file entry_orders.cpp
 * @brief System that takes in agents' answers to orders and cancellations.
 */
#include "entry_func.h"
#include "error_type.h"
#include "request_func.h"
#include "suspect_func.h"

namespace Burdockfield {

namespace {

constexpr Milliseconds turnedDownPause{ 20 }; ///< Pause before an upstream is chosen again.

/// The order did not reach the agent, or its answer did not come back.
void handleOrderFailure(EntryState &state, RequestId id, std::error_code error, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    if (error == TransportErrc::NotSent && request.orderSends_ == 1) {
        if (Upstream *upstream = findRow(state.upstreams_, request.upstream_); upstream != nullptr) {
            upstream->report_.reachable_ = false;
        }
        requeueRequest(state, id, outbox);
        return;
    }
    if (now - request.lastReceivedAt_ > agentSilenceTimeout) {
        resolveLostAttempt(state, id, now, false, outbox);
        return;
    }
    request.retryAt_ = now + orderRetryInterval;
    pushDeadline(state.requestDeadlines_, request.retryAt_, id);
}

/// Leaves the upstream alone for a moment, so that a run it turned down does not come straight back.
void holdUpstream(EntryState &state, UpstreamId id, TimePoint now)
{
    if (Upstream *upstream = findRow(state.upstreams_, id); upstream != nullptr) {
        upstream->backoffUntil_ = now + turnedDownPause;
        pushDeadline(state.reportDeadlines_, upstream->backoffUntil_, id);
    }
}

/// The agent will not run this attempt.
void handleNotTaken(EntryState &state, RequestId id, const RunReply &reply, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    if (reply.error_ == AdmissionErrc::StaleIncarnation && request.orderSends_ > 1) {
        resolveLostAttempt(state, id, now, true, outbox);
    } else if (reply.error_ == AdmissionErrc::KeyReused) {
        refuseRequest(state, id, RefusalErrc::KeyReused, RunOutcome::NotRun, outbox);
    } else if (reply.error_ == AdmissionErrc::CrashSuspect) {
        const RunOutcome runOutcome = request.mayHaveRun_ ? RunOutcome::Ran : RunOutcome::NotRun;
        const uint32_t crashes = crashCountIfRefused(state.suspects_, request.digest_);
        refuseRequest(state, id, RefusalErrc::CrashSuspect, runOutcome, outbox, crashes);
    } else {
        holdUpstream(state, request.upstream_, now);
        requeueRequest(state, id, outbox);
    }
}

void handleTaken(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    request.lastReceivedAt_ = now;
    openAnswerStream(state, id, now, outbox);
}

void handleRunReply(EntryState &state, const RunReplied &event, TimePoint now, EntryOutbox &outbox)
{
    Request *request = findRow(state.requests_, event.request_);
    if (request == nullptr || request->attempt_ != event.attempt_ || request->stage_ != RequestStage::AwaitingReply) {
        count(state.metrics_, "late_replies_total", "order");
        return;
    }
    if (!event.error_) {
        applyReport(state, request->upstream_, event.reply_.report_, now);
    }
    if (event.error_) {
        handleOrderFailure(state, event.request_, event.error_, now, outbox);
    } else if (event.reply_.error_) {
        handleNotTaken(state, event.request_, event.reply_, now, outbox);
    } else {
        handleTaken(state, event.request_, now, outbox);
    }
}

void handleCancelReply(EntryState &state, const CancelReplied &event, EntryOutbox &outbox)
{
    Request *request = findRow(state.requests_, event.request_);
    const bool awaited
        = request != nullptr && request->attempt_ == event.attempt_ && request->stage_ == RequestStage::Cancelling;
    if (!awaited) {
        return;
    }
    const bool notRun = !event.error_ && event.reply_.runOutcome_ == RunOutcome::NotRun && !request->attached_;
    const RunOutcome runOutcome = notRun ? RunOutcome::NotRun : RunOutcome::Unknown;
    refuseRequest(state, event.request_, RefusalErrc::WaitExpired, runOutcome, outbox);
}

} // namespace

void runOrders(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox)
{
    for (const RunReplied &event : inbox.runReplies_) {
        handleRunReply(state, event, now, outbox);
    }
    for (const CancelReplied &event : inbox.cancelReplies_) {
        handleCancelReply(state, event, outbox);
    }
}

} // namespace Burdockfield
