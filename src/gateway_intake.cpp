/**
 * @file gateway_intake.cpp
 * @brief Systems that admit new calls, and end calls whose caller has disconnected.
 */
#include "gateway_hedging_func.h"

#include "digest_func.h"
#include "json_func.h"
#include "table/gateway_refusal_names.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

constexpr double queueWaitShare = 0.6; ///< Share of the route's latency target for which a new call may be queued.
constexpr Milliseconds callerRetryMargin{ 60 }; ///< Wait below the route's longest that marks a caller's retry.
constexpr Milliseconds maxDeferral{ 200 }; ///< Longest wait for the first configuration; it takes about ten ms.
constexpr size_t maxDeferredCalls = 200; ///< Calls that may wait for the first configuration at once.

/// Result of validating a request before a call is inserted for it.
struct IntakeResult
{
    const Route *route_ = nullptr; ///< Matching route, or nullptr.
    const WorkspaceRule *workspace_ = nullptr; ///< Workspace of the caller's key, or nullptr.
    std::optional<RefusalReason> refusal_; ///< Why the request is refused; empty if it is valid.
};

IntakeResult validateCall(const GatewayState &state, const CallArrived &arrival)
{
    IntakeResult result;
    const CallRequest &request = arrival.request_;
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
    result.workspace_ = findWorkspaceByKey(configuration, request.key_);
    const bool needsKey = !configuration.workspaces_.empty() && !result.route_->anonymous_;
    if (needsKey && result.workspace_ == nullptr) {
        result.refusal_ = RefusalReason::UnknownKey;
    } else if (request.id_.empty()) {
        result.refusal_ = RefusalReason::Malformed;
    } else if (arrival.age_ > std::min(request.wait_.value_or(result.route_->timeout_), result.route_->timeout_)) {
        result.refusal_ = RefusalReason::ReadLate;
    }
    return result;
}

/// @return whether a request takes more memory than any engine of a service has; such a request would crash it.
bool exceedsEngineMemory(const GatewayState &state, const std::string &service, const CallRequest &request)
{
    const uint64_t capacity = memoryCapacityOf(state, service);
    return capacity > 0 && memoryTokensOf(request) > capacity;
}

/// Draws one of a route's targets by weight, among those whose engines have the memory for a request.
const std::string &drawTargetService(GatewayState &state, const Route &route, const CallRequest &request)
{
    static const std::string none;
    uint64_t total = 0;
    for (const RouteTarget &target : route.targets_) {
        total += exceedsEngineMemory(state, target.service_, request) ? 0 : target.weight_;
    }
    if (total == 0) {
        return route.targets_.empty() ? none : route.targets_.front().service_;
    }
    uint64_t drawn = state.random_() % total;
    for (const RouteTarget &target : route.targets_) {
        if (exceedsEngineMemory(state, target.service_, request)) {
            continue;
        }
        if (drawn < target.weight_) {
            return target.service_;
        }
        drawn -= target.weight_;
    }
    return none;
}

/// @return whether a call seems to be a caller's retry: after a refusal the caller has less time left than at first.
bool isCallerRetry(GatewayState &state, const Route &route, Milliseconds wait)
{
    Milliseconds &longest = state.longestWaitByRoute_[route.name_];
    longest = std::max(longest, wait);
    return wait + callerRetryMargin < longest;
}

/// @return what a request may have in common with others that crash upstreams.
std::vector<Trait> makeTraits(const CallRequest &request, const std::string &workspace)
{
    std::vector<Trait> traits{ fastHash(*request.body_, fastHash(request.target_, fastHash(workspace))) };
    traits.insert(traits.end(), request.promptParts_.begin(), request.promptParts_.end());
    return traits;
}

Call makeCall(GatewayState &state, TimePoint now, CallArrived &arrival, const IntakeResult &intake)
{
    const Route &route = *intake.route_;
    Call call;
    call.exchange_ = arrival.exchange_;
    call.request_ = std::move(arrival.request_);
    call.routeName_ = route.name_;
    call.service_ = drawTargetService(state, route, call.request_);
    call.workspace_ = intake.workspace_ == nullptr ? std::string() : intake.workspace_->name_;
    call.kind_ = route.kind_;
    const bool resumable = route.kind_ == CallKind::Streaming && route.resumable_;
    call.retryable_ = route.kind_ == CallKind::Idempotent || resumable;
    call.rank_ = rankOf(route, intake.workspace_);
    call.routeRank_ = route.rank_;
    call.attemptLimit_ = std::max(1U, route.attempts_);
    call.latencyTarget_ = route.latencyTarget_;
    call.gapTarget_ = route.gapTarget_;
    call.lastEvent_ = call.request_.resumeAfter_;
    call.traits_ = makeTraits(call.request_, call.workspace_);
    call.arrivedAt_ = now - arrival.age_;
    const Milliseconds wait = call.request_.wait_.value_or(route.timeout_);
    call.callerRetry_ = isCallerRetry(state, route, wait);
    call.deadline_ = std::min(call.arrivedAt_ + std::min(wait, route.timeout_), lastAnswerTime(state));
    call.waitUntil_ = std::min(call.deadline_, now + queueWaitOf(route));
    return call;
}

void refuseArrival(GatewayState &state, const CallArrived &arrival, RefusalReason reason, GatewayOutbox &outbox)
{
    outbox.refusals_.push_back({ arrival.exchange_, reason, true, {}, arrival.request_.id_ });
    outbox.decisions_.push_back({ "refused",
        { { "request", arrival.request_.id_ }, { "reason", std::string(nameOf(reason, refusalReasonNames)) },
            { "path", arrival.request_.path_ }, { "configuration", std::to_string(state.configuration_.version_) },
            { "age_ms", millisecondsText(arrival.age_) } },
        true });
    count(state.metrics_, "calls_refused", std::string(nameOf(reason, refusalReasonNames)));
}

void admitCall(GatewayState &state, TimePoint now, CallArrived &arrival, GatewayOutbox &outbox)
{
    const IntakeResult intake = validateCall(state, arrival);
    if (intake.refusal_) {
        refuseArrival(state, arrival, *intake.refusal_, outbox);
        return;
    }
    if (state.bodyBytes_ + arrival.request_.body_->size() > state.bounds_.bodyBytes_) {
        refuseArrival(state, arrival, RefusalReason::Overloaded, outbox);
        return;
    }
    const uint64_t charge = quotaCharge(intake.workspace_, arrival.request_);
    Call call = makeCall(state, now, arrival, intake);
    creditRetryBudget(state, call.service_);
    recordHedgingArrival(state, now, call);
    count(state.metrics_, "calls", call.routeName_);
    const CallId id = insertRow(state.calls_, std::move(call));
    Call &row = *findRow(state.calls_, id);
    state.callByExchange_[row.exchange_.value_] = id;
    state.bodyBytes_ += row.request_.body_->size();
    if (exceedsEngineMemory(state, row.service_, row.request_)) {
        refuse(state, now, id, RefusalReason::ExceedsMemory, outbox);
        return;
    }
    if (!canEndBeforeExit(state, now, row)) {
        refuse(state, now, id, RefusalReason::Stopping, outbox);
        return;
    }
    if (charge > 0 && !chargeQuota(state, now, *intake.workspace_, charge)) {
        refuse(state, now, id, RefusalReason::OverQuota, outbox);
        return;
    }
    row.charge_ = charge;
    if (isRefusedAsCrashSuspect(state, now, row, outbox)) {
        refuse(state, now, id, RefusalReason::CrashSuspect, outbox);
        return;
    }
    state.waiting_.push_back(id);
    pushDeadline(state.deadlines_, row.waitUntil_, id);
}

/// Admits deferred calls once a configuration is known. Those that have waited too long for it are refused.
void admitDeferred(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    std::vector<DeferredArrival> deferred = std::exchange(state.deferred_, {});
    for (DeferredArrival &item : deferred) {
        if (state.configuration_.version_ == 0 && now - item.arrivedAt_ < maxDeferral) {
            state.deferred_.push_back(std::move(item));
            continue;
        }
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - item.arrivedAt_);
        if (item.request_.wait_) {
            item.request_.wait_ = std::max(Milliseconds(1), *item.request_.wait_ - waited);
        }
        CallArrived arrival{ item.exchange_, std::move(item.request_) };
        admitCall(state, now, arrival, outbox);
    }
}

} // namespace

uint64_t quotaCharge(const WorkspaceRule *workspace, const CallRequest &request)
{
    if (workspace == nullptr || workspace->ratePerSecond_ <= 0) {
        return 0;
    }
    return workspace->countsTokens_ ? request.tokens_.value_or(workspace->defaultTokens_) : 1;
}

Milliseconds queueWaitOf(const Route &route)
{
    return std::chrono::duration_cast<Milliseconds>(FractionalSeconds(route.latencyTarget_) * queueWaitShare);
}

uint32_t rankOf(const Route &route, const WorkspaceRule *workspace)
{
    return workspace == nullptr ? route.rank_ : workspace->rank_.value_or(route.rank_);
}

void runIntake(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    admitDeferred(state, now, outbox);
    for (CallArrived &arrival : inbox.arrivals_) {
        if (state.configuration_.version_ == 0 && state.deferred_.size() < maxDeferredCalls) {
            state.deferred_.push_back({ arrival.exchange_, std::move(arrival.request_), now - arrival.age_ });
        } else {
            admitCall(state, now, arrival, outbox);
        }
    }
}

void runCallerDisconnects(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (const auto &[exchange, unsent] : inbox.disconnects_) {
        std::erase_if(state.deferred_, [left = exchange](const auto &item) { return item.exchange_ == left; });
        const auto found = state.callByExchange_.find(exchange.value_);
        Call *call = found == state.callByExchange_.end() ? nullptr : findRow(state.calls_, found->second);
        if (call == nullptr) {
            continue;
        }
        call->attempts_ -= unsent ? 1 : 0;
        cancelSend(state, now, *call, outbox); // before the line that says how the call ended
        outbox.decisions_.push_back({ "caller-left",
            { { "request", call->request_.id_ }, { "after_ms", millisecondsText(now - call->arrivedAt_) },
                { "attempts", std::to_string(call->attempts_) }, { "events", std::to_string(call->events_) },
                { "upstream", lastUpstreamId(state, *call) }, { "silent_ms", upstreamSilenceText(now, *call) } } });
        count(state.metrics_, "calls_ended", unsent ? "caller-left-unsent" : "caller-left");
        if (call->attempts_ == 0) {
            refundQuota(state, now, call->workspace_, call->charge_);
        }
        const CallId id = found->second;
        eraseCall(state, id);
    }
}

TimePoint nextDeferredDeadline(const GatewayState &state)
{
    return state.deferred_.empty() ? noDeadline : state.deferred_.front().arrivedAt_ + maxDeferral;
}

bool isReady(const GatewayState &state)
{
    return !state.stopping_ && state.configuration_.version_ != 0 && state.upstreams_.size_ > 0;
}

} // namespace Burdockfield::Gateway
