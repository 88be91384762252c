/**
 * @file request.cpp
 * @brief Steps in the life of a request, shared by the systems of an entry.
 */
#include "request_func.h"

#include "error_type.h"
#include "fair_queue_func.h"
#include "suspect_func.h"

#include <algorithm>
#include <cmath>

namespace Burdockfield {

namespace {

constexpr double answerMeanGain = 0.05; ///< Weight of the newest answer in the learnt mean length.

std::string tierLabel(const Request &request)
{
    return std::to_string(request.tier_);
}

CallerOutput makeOutput(const EntryState &state, const Request &request)
{
    CallerOutput output;
    output.exchange_ = request.caller_.exchange_;
    output.request_ = request.name_;
    output.path_ = request.caller_.path_;
    output.kind_ = request.caller_.kind_;
    output.streamed_ = request.caller_.streamed_;
    output.responseStarted_ = request.responseStarted_;
    if (const Route *route = findRow(state.routes_, request.route_); route != nullptr) {
        output.route_ = route->name_;
    }
    return output;
}

/// Forgets the request's rows and counts.
void eraseRequest(EntryState &state, RequestId id, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    if (request.stage_ == RequestStage::Waiting) {
        removeFromQueue(state, request);
    }
    clearPendingOrder(state, request);
    if (request.streamNumber_ > 0) {
        outbox.answerStreamsToClose_.push_back({ id, request.streamNumber_ });
    }
    if (Workspace *workspace = findRow(state.workspaces_, request.workspace_); workspace != nullptr) {
        --workspace->inProgress_;
    }
    state.requestByExchange_.erase(request.caller_.exchange_);
    eraseRow(state.requests_, id);
}

bool helpsToRetry(std::error_code error)
{
    return error == RefusalErrc::Overloaded || error == RefusalErrc::WaitExpired || error == RefusalErrc::NotReady
        || error == RefusalErrc::Stopping || error == RefusalErrc::WorkspaceLimit
        || error == RefusalErrc::StoreUnavailable;
}

void logRefusal(const EntryState &state, const Request &request, std::error_code error, EntryOutbox &outbox)
{
    RoutingDecision decision;
    decision.request_ = request.name_;
    decision.tier_ = request.tier_;
    decision.attempt_ = request.attempt_;
    decision.reason_ = DecisionReason::Refused;
    decision.error_ = error;
    decision.revision_ = state.configuration_.revision_;
    if (const Workspace *workspace = findRow(state.workspaces_, request.workspace_); workspace != nullptr) {
        decision.workspace_ = workspace->name_;
    }
    if (const Route *route = findRow(state.routes_, request.route_); route != nullptr) {
        decision.route_ = route->name_;
    }
    outbox.decisions_.push_back(std::move(decision));
}

void learnAnswerLength(EntryState &state, const Request &request)
{
    Route *route = findRow(state.routes_, request.route_);
    if (route == nullptr || request.receivedTokens_ == 0) {
        return;
    }
    const auto tokens = static_cast<double>(request.receivedTokens_);
    const bool first = route->meanAnswerTokens_ == 0;
    const double distance = first ? 0 : std::abs(tokens - route->meanAnswerTokens_);
    route->answerDeviation_ += answerMeanGain * (distance - route->answerDeviation_);
    route->meanAnswerTokens_ += first ? tokens : answerMeanGain * (tokens - route->meanAnswerTokens_);
}

RunOrder makeOrder(const EntryState &state, const Request &request, TimePoint now)
{
    RunOrder order;
    order.name_ = { request.name_, request.attempt_ };
    order.agentIncarnation_ = request.agentIncarnation_;
    order.revision_ = state.configuration_.revision_;
    order.tier_ = request.tier_;
    order.kind_ = request.caller_.kind_;
    order.retryPolicy_ = request.retryPolicy_;
    order.method_ = request.caller_.method_;
    order.path_ = request.caller_.path_;
    order.payload_ = request.caller_.payload_;
    order.digest_ = request.digest_;
    order.key_ = request.caller_.key_;
    order.remainingWait_ = std::chrono::ceil<Milliseconds>(request.deadline_ - now);
    order.promptTokens_ = request.promptTokens_;
    order.answerTokens_ = request.answerTokens_;
    order.estimatedMaxTokens_ = request.estimatedMaxTokens_;
    order.resumeTokens_ = request.receivedTokens_;
    order.isolated_ = mustRunAlone(state.suspects_, request.digest_);
    order.releasedRun_ = request.releasedRun_;
    if (const Workspace *workspace = findRow(state.workspaces_, request.workspace_); workspace != nullptr) {
        order.workspace_ = workspace->name_;
        order.weight_ = workspace->weight_;
    }
    if (const Route *route = findRow(state.routes_, request.route_); route != nullptr) {
        order.route_ = route->name_;
    }
    return order;
}

} // namespace

size_t queueRank(const EntryState &state, const Request &request)
{
    return state.policy_.queue_ == QueueRule::TierFair ? request.tier_ : 0;
}

WorkspaceId queueWorkspace(const EntryState &state, const Request &request)
{
    return state.policy_.queue_ == QueueRule::TierFair ? request.workspace_ : WorkspaceId{ 0, 0 };
}

bool isWaiting(const EntryState &state, RequestId id)
{
    const Request *row = findRow(state.requests_, id);
    return row != nullptr && row->stage_ == RequestStage::Waiting;
}

void sendDeltas(Request &request, std::vector<Delta> deltas, EntryOutbox &outbox, const EntryState &state)
{
    if (!request.caller_.streamed_ || deltas.empty()) {
        return;
    }
    CallerOutput output = makeOutput(state, request);
    output.body_ = CallerDeltas{ std::move(deltas) };
    outbox.callerOutputs_.push_back(std::move(output));
    request.responseStarted_ = true;
}

void refuseRequest(EntryState &state, RequestId id, std::error_code error, RunOutcome runOutcome, EntryOutbox &outbox,
    uint32_t timesRun)
{
    Request &request = *findRow(state.requests_, id);
    const bool uncertain = runOutcome == RunOutcome::NotRun && request.mayHaveRun_;
    Refusal refusal{ error, uncertain ? RunOutcome::Unknown : runOutcome, Milliseconds(0), timesRun };
    if (helpsToRetry(error)) {
        refusal.retryAfter_ = overloadRetryAfter;
    }
    CallerOutput output = makeOutput(state, request);
    output.body_ = refusal;
    outbox.callerOutputs_.push_back(std::move(output));
    logRefusal(state, request, error, outbox);
    count(state.metrics_, "refused_total", error.message());
    count(state.metrics_, "refused_by_tier_total", tierLabel(request));
    eraseRequest(state, id, outbox);
}

void completeRequest(EntryState &state, RequestId id, AnswerEnd end, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    learnAnswerLength(state, request);
    count(state.metrics_, "answered_total", tierLabel(request));
    observe(state.metrics_, "answer_seconds", tierLabel(request), now - request.arrivedAt_);
    CallerOutput output = makeOutput(state, request);
    CallerEnd body;
    body.end_ = std::move(end);
    body.answerTokens_ = request.receivedTokens_;
    if (!request.caller_.streamed_) {
        body.deltas_ = std::move(request.answer_);
    }
    output.body_ = std::move(body);
    outbox.callerOutputs_.push_back(std::move(output));
    eraseRequest(state, id, outbox);
}

void dropRequest(EntryState &state, RequestId id, EntryOutbox &outbox)
{
    count(state.metrics_, "caller_left_total", tierLabel(*findRow(state.requests_, id)));
    eraseRequest(state, id, outbox);
}

void enqueueRequest(EntryState &state, RequestId id)
{
    Request &request = *findRow(state.requests_, id);
    Route &route = *findRow(state.routes_, request.route_);
    const size_t rank = queueRank(state, request);
    pushBack(route.queue_.tiers_[rank], queueWorkspace(state, request), id);
    ++route.waiting_[rank];
}

void requeueRequest(EntryState &state, RequestId id, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    clearPendingOrder(state, request);
    if (request.streamNumber_ > 0) {
        outbox.answerStreamsToClose_.push_back({ id, request.streamNumber_ });
    }
    Route *route = findRow(state.routes_, request.route_);
    if (route == nullptr) {
        refuseRequest(state, id, RefusalErrc::UnknownRoute, RunOutcome::NotRun, outbox);
        return;
    }
    request.stage_ = RequestStage::Waiting;
    request.retryAt_ = noDeadline;
    request.attached_ = false;
    request.attemptOffset_ = request.answer_.size();
    const size_t rank = queueRank(state, request);
    requeueFront(route->queue_.tiers_[rank], queueWorkspace(state, request), id, request.cost_);
    ++route->waiting_[rank];
}

void removeFromQueue(EntryState &state, Request &request)
{
    if (Route *route = findRow(state.routes_, request.route_); route != nullptr) {
        --route->waiting_[queueRank(state, request)];
    }
}

void clearPendingOrder(EntryState &state, Request &request)
{
    if (!request.orderPending_) {
        return;
    }
    request.orderPending_ = false;
    if (Upstream *upstream = findRow(state.upstreams_, request.upstream_); upstream != nullptr) {
        --upstream->pendingOrders_[request.tier_];
    }
}

void sendOrder(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    ++request.orderSends_;
    request.retryAt_ = noDeadline;
    outbox.orders_.push_back({ id, request.agentAddress_, makeOrder(state, request, now) });
}

void openAnswerStream(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    if (request.streamNumber_ > 0) {
        outbox.answerStreamsToClose_.push_back({ id, request.streamNumber_ });
    }
    clearPendingOrder(state, request);
    request.stage_ = RequestStage::Reading;
    request.retryAt_ = noDeadline;
    ++request.streamNumber_;
    const uint64_t offset = request.answer_.size() - request.attemptOffset_;
    outbox.answerStreamsToOpen_.push_back(
        { id, request.streamNumber_, request.agentAddress_, request.readRun_, offset });
    observe(state.metrics_, "order_seconds", tierLabel(request), now - request.arrivedAt_);
}

void cancelAttempt(Request &request, RequestId id, EntryOutbox &outbox)
{
    const RunName name{ request.name_, request.attempt_ };
    outbox.cancels_.push_back({ id, request.agentAddress_, name, request.agentIncarnation_ });
}

void resolveLostAttempt(EntryState &state, RequestId id, TimePoint now, bool certain, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    request.mayHaveRun_ = true;
    const bool mayRepeat = request.retryPolicy_ == RetryPolicy::Retryable && !request.attached_;
    if (mayRepeat && state.retryBudget_ >= 1) {
        state.retryBudget_ -= 1;
        count(state.metrics_, "repeated_total", tierLabel(request));
        if (!certain) {
            cancelAttempt(request, id, outbox);
        }
        requeueRequest(state, id, outbox);
        return;
    }
    if (certain || mayRepeat) {
        refuseRequest(state, id, RefusalErrc::UpstreamLost, RunOutcome::Unknown, outbox);
        return;
    }
    request.retryAt_ = now + orderRetryInterval;
    pushDeadline(state.requestDeadlines_, request.retryAt_, id);
}

} // namespace Burdockfield
