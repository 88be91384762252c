/**
 * @file entry_dispatch.cpp
 * @brief System that gives waiting requests to upstreams.
 */
#include "entry_func.h"
#include "error_type.h"
#include "fair_queue_func.h"
#include "feasibility_func.h"
#include "request_func.h"
#include "routing_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

/// What became of the request at the head of a queue.
enum class HeadOutcome : uint8_t {
    Taken, ///< Ordered or refused; the next one may be tried.
    NoRoom, ///< No upstream has room for its tier.
};

void logChoice(
    const EntryState &state, const Route &route, const Request &request, RoutingChoice choice, EntryOutbox &outbox)
{
    RoutingDecision decision;
    decision.request_ = request.name_;
    decision.workspace_ = findRow(state.workspaces_, request.workspace_)->name_;
    decision.route_ = route.name_;
    decision.tier_ = request.tier_;
    decision.attempt_ = request.attempt_;
    decision.candidates_ = std::move(choice.candidates_);
    decision.choice_ = findRow(state.upstreams_, *choice.upstream_)->name_;
    const bool inTurn = state.policy_.routing_ == RoutingRule::RoundRobin;
    decision.reason_ = inTurn ? DecisionReason::NextInTurn : DecisionReason::EarliestFinish;
    decision.revision_ = state.configuration_.revision_;
    outbox.decisions_.push_back(std::move(decision));
}

void orderRun(EntryState &state, RequestId id, UpstreamId upstreamId, TimePoint now, EntryOutbox &outbox)
{
    Request &request = *findRow(state.requests_, id);
    Upstream &upstream = *findRow(state.upstreams_, upstreamId);
    removeFromQueue(state, request);
    request.stage_ = RequestStage::AwaitingReply;
    request.upstream_ = upstreamId;
    request.agentAddress_ = upstream.address_;
    request.agentIncarnation_ = upstream.report_.incarnation_;
    ++request.attempt_;
    request.readRun_ = { request.name_, request.attempt_ };
    request.orderSends_ = 0;
    request.orderPending_ = true;
    request.lastReceivedAt_ = now;
    ++upstream.pendingOrders_[request.tier_];
    recordPrefixes(upstream.prefixes_, request.prefixes_);
    sendOrder(state, id, now, outbox);
}

/// @return whether the answer cannot be complete by the deadline, as far as speeds and lengths have been learnt.
bool isInfeasible(const EntryState &state, const Request &request, const RoutingChoice &choice, TimePoint now)
{
    if (!state.policy_.dropInfeasible_ || request.caller_.kind_ != RouteKind::Model) {
        return false;
    }
    const Upstream &upstream = *findRow(state.upstreams_, *choice.upstream_);
    const AgentReport &report = upstream.report_;
    if (report.prefillRate_ <= 0 || report.decodeRate_ <= 0) {
        return false;
    }
    const uint32_t left = request.estimatedMaxTokens_ - std::min(request.estimatedMaxTokens_, request.receivedTokens_);
    const FractionalSeconds work = expectedPrefill(state, upstream, request) + expectedDecode(upstream, left);
    return cannotMeetDeadline(work, request.deadline_ - now);
}

HeadOutcome dispatchHead(
    EntryState &state, Route &route, TierQueue &queue, const QueueEntry &head, TimePoint now, EntryOutbox &outbox)
{
    const Request &request = *findRow(state.requests_, head.request_);
    RoutingChoice choice = chooseUpstream(state, route, request, now);
    if (!choice.upstream_) {
        return HeadOutcome::NoRoom;
    }
    if (isInfeasible(state, request, choice, now)) {
        refuseRequest(state, head.request_, RefusalErrc::WaitExpired, RunOutcome::NotRun, outbox);
        return HeadOutcome::Taken;
    }
    dequeueHead(queue, head, request.cost_);
    orderRun(state, head.request_, *choice.upstream_, now, outbox);
    logChoice(state, route, request, std::move(choice), outbox);
    return HeadOutcome::Taken;
}

/// Empties the queue of one tier as far as there is room. @return whether lower tiers may be served.
bool dispatchTier(EntryState &state, Route &route, size_t rank, TimePoint now, EntryOutbox &outbox)
{
    const auto waits = [&state](RequestId id) {
        return isWaiting(state, id);
    };
    TierQueue &queue = route.queue_.tiers_[rank];
    while (const auto head = findHead(queue, waits)) {
        if (dispatchHead(state, route, queue, *head, now, outbox) == HeadOutcome::NoRoom) {
            return false;
        }
    }
    return true;
}

} // namespace

void runDispatch(EntryState &state, TimePoint now, EntryOutbox &outbox)
{
    forEachRow(state.routes_, [&](RouteId /*id*/, Route &route) {
        for (size_t rank = tierRankCount; rank-- > 0;) {
            if (route.waiting_[rank] > 0 && !dispatchTier(state, route, rank, now, outbox)) {
                return;
            }
        }
    });
}

} // namespace Burdockfield
