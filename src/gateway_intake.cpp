/**
 * @file gateway_intake.cpp
 * @brief Systems that admit new calls, drop those whose caller has left, and stop the node.
 */
#include "gateway_func.h"

#include "digest_func.h"
#include "json_func.h"
#include "table/gateway_refusal_names.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

constexpr double waitShare = 0.6; ///< Part of the objective that a new call may wait for room.
constexpr Milliseconds returnMargin{ 60 }; ///< A wait shorter than the longest by more belongs to a returned call.
constexpr Milliseconds parkedTime{ 200 }; ///< A fresh process has its configuration after some ten ms.
constexpr size_t parkedLimit = 200; ///< Calls that may wait for the first configuration.
constexpr Milliseconds drainNotice{ 2600 }; ///< Time until the balancer has left off: two misses, a second apart.
constexpr Milliseconds killMargin{ 400 }; ///< Time kept before SIGKILL for the last answers to go out.

/// What intake found out about a call before it becomes a row.
struct IntakeResult
{
    const Route *route_ = nullptr; ///< Route.
    const WorkspaceRule *workspace_ = nullptr; ///< Workspace, if any.
    std::optional<RefusalReason> refusal_; ///< Why the call is refused, if it is.
};

IntakeResult judgeCall(const GatewayState &state, const CallRequest &request)
{
    IntakeResult result;
    const Configuration &configuration = state.configuration_;
    if (configuration.version_ == 0) {
        result.refusal_ = RefusalReason::NoConfiguration;
        return result;
    }
    result.route_ = findRoute(configuration, request.host_, request.path_);
    if (result.route_ == nullptr) {
        result.refusal_ = RefusalReason::NoRoute;
        return result;
    }
    result.workspace_ = findWorkspace(configuration, request.key_);
    const bool needsKey = !configuration.workspaces_.empty() && !result.route_->anonymous_;
    if (needsKey && result.workspace_ == nullptr) {
        result.refusal_ = RefusalReason::UnknownKey;
    } else if (request.id_.empty()) {
        result.refusal_ = RefusalReason::Malformed;
    }
    return result;
}

const std::string &drawTarget(GatewayState &state, const Route &route)
{
    static const std::string none;
    uint64_t total = 0;
    for (const RouteTarget &target : route.targets_) {
        total += target.weight_;
    }
    if (total == 0) {
        return route.targets_.empty() ? none : route.targets_.front().service_;
    }
    uint64_t drawn = state.random_() % total;
    for (const RouteTarget &target : route.targets_) {
        if (drawn < target.weight_) {
            return target.service_;
        }
        drawn -= target.weight_;
    }
    return none;
}

/// Callers that come back after a refusal have less time left than at first.
bool hasReturned(GatewayState &state, const Route &route, Milliseconds wait)
{
    Milliseconds &longest = state.longestWaitByRoute_[route.name_];
    longest = std::max(longest, wait);
    return wait + returnMargin < longest;
}

uint64_t chargeOf(const WorkspaceRule *workspace, const CallRequest &request)
{
    if (workspace == nullptr || workspace->ratePerSecond_ <= 0) {
        return 0;
    }
    return workspace->countsTokens_ ? request.tokens_.value_or(workspace->defaultTokens_) : 1;
}

uint64_t fingerprintOf(const CallRequest &request, const std::string &workspace)
{
    return fastHash(*request.body_, fastHash(request.target_, fastHash(workspace)));
}

Call makeCall(GatewayState &state, TimePoint now, CallArrived &arrival, const IntakeResult &found)
{
    const Route &route = *found.route_;
    Call call;
    call.exchange_ = arrival.exchange_;
    call.request_ = std::move(arrival.request_);
    call.routeName_ = route.name_;
    call.service_ = drawTarget(state, route);
    call.workspace_ = found.workspace_ == nullptr ? std::string() : found.workspace_->name_;
    call.kind_ = route.kind_;
    const bool resumable = route.kind_ == CallKind::Streaming && route.resumable_;
    call.retryable_ = route.kind_ == CallKind::Idempotent || resumable;
    call.rank_ = found.workspace_ == nullptr ? route.rank_ : found.workspace_->rank_.value_or(route.rank_);
    call.routeRank_ = route.rank_;
    call.attemptLimit_ = std::max(1U, route.attempts_);
    call.latencyTarget_ = route.latencyTarget_;
    call.gapTarget_ = route.gapTarget_;
    call.lastEvent_ = call.request_.resumeAfter_;
    call.fingerprint_ = fingerprintOf(call.request_, call.workspace_);
    call.arrivedAt_ = now;
    const Milliseconds wait = call.request_.wait_.value_or(route.timeout_);
    call.callerRetry_ = hasReturned(state, route, wait);
    call.deadline_ = now + std::min(wait, route.timeout_);
    const FractionalSeconds patience = FractionalSeconds(route.latencyTarget_) * waitShare;
    call.waitUntil_ = std::min(call.deadline_, now + std::chrono::duration_cast<Milliseconds>(patience));
    return call;
}

void refuseArrival(GatewayState &state, const CallArrived &arrival, RefusalReason reason, GatewayOutbox &outbox)
{
    outbox.refusals_.push_back({ arrival.exchange_, reason, true, {}, arrival.request_.id_ });
    outbox.decisions_.push_back({ "refused",
        { { "request", arrival.request_.id_ }, { "reason", std::string(nameOf(reason, refusalReasonNames)) },
            { "path", arrival.request_.path_ }, { "configuration", std::to_string(state.configuration_.version_) } },
        true });
    count(state.metrics_, "calls_refused", std::string(nameOf(reason, refusalReasonNames)));
}

void admit(GatewayState &state, TimePoint now, CallArrived &arrival, GatewayOutbox &outbox)
{
    const IntakeResult found = judgeCall(state, arrival.request_);
    if (found.refusal_) {
        refuseArrival(state, arrival, *found.refusal_, outbox);
        return;
    }
    if (state.bodyBytes_ + arrival.request_.body_->size() > state.bounds_.bodyBytes_) {
        refuseArrival(state, arrival, RefusalReason::Overloaded, outbox);
        return;
    }
    const uint64_t charge = chargeOf(found.workspace_, arrival.request_);
    Call call = makeCall(state, now, arrival, found);
    creditRetryBudget(state, call.service_);
    count(state.metrics_, "calls", call.routeName_);
    const CallId id = insertRow(state.calls_, std::move(call));
    Call &row = *findRow(state.calls_, id);
    state.callByExchange_[row.exchange_.value_] = id;
    state.bodyBytes_ += row.request_.body_->size();
    if (isCrashSuspect(state, now, row.fingerprint_)) {
        refuse(state, now, id, RefusalReason::CrashSuspect, outbox);
        return;
    }
    if (charge > 0 && !chargeQuota(state, now, *found.workspace_, charge)) {
        refuse(state, now, id, RefusalReason::OverQuota, outbox);
        return;
    }
    row.charge_ = charge;
    state.waiting_.push_back(id);
    pushDeadline(state.deadlines_, row.waitUntil_, id);
}

/// Admits what came before the configuration, or refuses it if that does not come soon.
void admitParked(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    std::vector<DeferredArrival> parked = std::exchange(state.deferred_, {});
    for (DeferredArrival &item : parked) {
        if (state.configuration_.version_ == 0 && now - item.arrivedAt_ < parkedTime) {
            state.deferred_.push_back(std::move(item));
            continue;
        }
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - item.arrivedAt_);
        if (item.request_.wait_) {
            item.request_.wait_ = std::max(Milliseconds(1), *item.request_.wait_ - waited);
        }
        CallArrived arrival{ item.exchange_, std::move(item.request_) };
        admit(state, now, arrival, outbox);
    }
}

} // namespace

void runIntake(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    admitParked(state, now, outbox);
    for (CallArrived &arrival : inbox.arrivals_) {
        if (state.configuration_.version_ == 0 && state.deferred_.size() < parkedLimit) {
            state.deferred_.push_back({ arrival.exchange_, std::move(arrival.request_), now });
        } else {
            admit(state, now, arrival, outbox);
        }
    }
}

void runCallerDisconnects(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (const ExchangeId exchange : inbox.disconnects_) {
        std::erase_if(state.deferred_, [exchange](const auto &item) { return item.exchange_ == exchange; });
        const auto found = state.callByExchange_.find(exchange.value_);
        Call *call = found == state.callByExchange_.end() ? nullptr : findRow(state.calls_, found->second);
        if (call == nullptr) {
            continue;
        }
        outbox.decisions_.push_back({ "caller-left",
            { { "request", call->request_.id_ }, { "after_ms", millisecondsText(now - call->arrivedAt_) },
                { "attempts", std::to_string(call->attempts_) }, { "events", std::to_string(call->events_) },
                { "upstream", lastUpstreamId(state, *call) }, { "silent_ms", upstreamSilenceText(now, *call) } } });
        count(state.metrics_, "calls_ended", "caller-left");
        if (call->attempts_ == 0) {
            refundQuota(state, call->workspace_, call->charge_);
        }
        const CallId id = found->second;
        detachFromUpstream(state, *call, true, outbox);
        eraseCall(state, id);
    }
}

void runStop(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    if (inbox.stopRequested_ && !state.stopping_) {
        state.stopping_ = true;
        state.stopAt_ = now;
        outbox.decisions_.push_back({ "stopping", { { "calls", std::to_string(state.calls_.size_) } } });
    }
    if (!state.stopping_) {
        return;
    }
    if (state.listening_ && now - state.stopAt_ >= drainNotice) {
        state.listening_ = false;
        outbox.stopListening_ = true;
    }
    outbox.exit_ = !state.listening_ && state.calls_.size_ == 0;
    outbox.exitImmediately_ = now - state.stopAt_ >= state.bounds_.grace_ - killMargin;
}

TimePoint nextStopDeadline(const GatewayState &state)
{
    if (!state.stopping_) {
        return noDeadline;
    }
    return state.stopAt_ + (state.listening_ ? drainNotice : state.bounds_.grace_ - killMargin);
}

TimePoint nextDeferredDeadline(const GatewayState &state)
{
    return state.deferred_.empty() ? noDeadline : state.deferred_.front().arrivedAt_ + parkedTime;
}

bool isReady(const GatewayState &state)
{
    return !state.stopping_ && state.configuration_.version_ != 0 && state.upstreams_.size_ > 0;
}

} // namespace Burdockfield::Gateway
