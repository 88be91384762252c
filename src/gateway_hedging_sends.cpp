/**
 * @file gateway_hedging_sends.cpp
 * @brief Table of hedged sends: their begin, the exchange with the call's own send, their end.
 *
 * A call with two sends in flight keeps one as its own; the other is in the table of hedges. Events of the other one
 * are handled like those of the own one after the two are exchanged, so that outcomes, crashes and counts of calls are
 * recorded by the same code, once for each send.
 */
#include "gateway_hedging_func.h"

#include <utility>

namespace Burdockfield::Gateway {

namespace {

void exchangeSends(Call &call, Hedge &hedge)
{
    std::swap(call.send_, hedge.send_);
    std::swap(call.upstream_, hedge.upstream_);
    std::swap(call.upstreamAddress_, hedge.upstreamAddress_);
    std::swap(call.sentAt_, hedge.sentAt_);
    std::swap(call.lastReceivedAt_, hedge.lastReceivedAt_);
    std::swap(call.head_, hedge.head_);
    std::swap(call.headReceived_, hedge.headReceived_);
    std::swap(call.body_, hedge.body_);
    std::swap(call.triedInstances_.back(), call.triedInstances_[call.triedInstances_.size() - 2]);
    call.hedging_.ownSendIsHedge_ = !call.hedging_.ownSendIsHedge_;
}

void logHedgeEnd(const GatewayState &state, TimePoint now, const Call &call, const char *outcome, GatewayOutbox &outbox)
{
    outbox.decisions_.push_back({ "hedge-ended",
        { { "request", call.request_.id_ }, { "outcome", outcome }, { "upstream", lastUpstreamId(state, call) },
            { "after_ms", millisecondsText(now - call.hedging_.firstSentAt_) } } });
}

} // namespace

void sendHedge(
    GatewayState &state, TimePoint now, HedgeId id, UpstreamId target, uint32_t inFlight, GatewayOutbox &outbox)
{
    Hedge &hedge = *findRow(state.hedges_, id);
    Call &call = *findRow(state.calls_, hedge.call_);
    Upstream &upstream = *findRow(state.upstreams_, target);
    consumeRetry(state, call.service_); // one is left, see HedgeConditions::retryBudgetLow_
    state.hedgingByService_[call.service_].tokens_ -= 1;
    state.hedgeBySlotRequest_.erase(hedge.slotRequest_);
    ++upstream.ownInFlight_;
    upstream.ownTokens_ += memoryTokensOf(call.request_);
    markPeerUpdatesPending(state, upstream.region_);
    if (hedge.slotRequest_ == 0) { // then nobody else knows of the send
        markCountsPending(state);
    }
    hedge.send_ = state.nextSend_++;
    hedge.upstream_ = target;
    hedge.upstreamAddress_ = upstream.address_;
    hedge.sentAt_ = now;
    hedge.lastReceivedAt_ = now;
    state.callBySend_[hedge.send_] = hedge.call_;
    ++call.attempts_;
    outbox.sends_.push_back(makeSendCommand(state, now, call, upstream, hedge.send_));
    call.triedInstances_.insert(call.triedInstances_.end() - 1, upstream.id_); // the own send stays the last one
    const Upstream *first = findRow(state.upstreams_, call.upstream_);
    outbox.decisions_.push_back({ "hedged",
        { { "request", call.request_.id_ }, { "upstream", upstream.id_ }, { "address", upstream.address_ },
            { "first_upstream", first == nullptr ? "gone" : first->id_ }, { "attempt", std::to_string(call.attempts_) },
            { "route", call.routeName_ }, { "in_flight", std::to_string(inFlight) },
            { "own", std::to_string(upstream.ownInFlight_) }, { "slots", std::to_string(upstream.slots_) },
            { "broker", hedge.broker_.empty() ? "self" : hedge.broker_ },
            { "threshold_ms", millisecondsText(call.hedging_.threshold_.value_or(Duration(0))) },
            { "after_ms", millisecondsText(now - call.hedging_.firstSentAt_) } } });
    count(state.metrics_, "hedges", "sent");
}

bool hasTwoSends(const GatewayState &state, const Call &call)
{
    const Hedge *hedge = findRow(state.hedges_, call.hedging_.hedge_);
    return hedge != nullptr && hedge->send_ != 0;
}

bool takeUpSend(GatewayState &state, uint64_t send)
{
    Call *call = findRow(state.calls_, findCallBySend(state, send));
    if (call == nullptr || call->send_ == send || !hasTwoSends(state, *call)) {
        return false;
    }
    exchangeSends(*call, *findRow(state.hedges_, call->hedging_.hedge_));
    return true;
}

void putBackSend(GatewayState &state, uint64_t send)
{
    Call *call = findRow(state.calls_, findCallBySend(state, send));
    if (call != nullptr && call->send_ == send && hasTwoSends(state, *call)) {
        exchangeSends(*call, *findRow(state.hedges_, call->hedging_.hedge_));
    }
}

void cancelHedge(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    if (!hasTwoSends(state, call)) {
        eraseHedge(state, call);
        return;
    }
    Hedge &hedge = *findRow(state.hedges_, call.hedging_.hedge_);
    const char *outcome = call.hedging_.ownSendIsHedge_ ? "won" : "cancelled";
    logHedgeEnd(state, now, call, outcome, outbox);
    count(state.metrics_, "hedges", outcome);
    exchangeSends(call, hedge);
    cancelOwnSend(state, now, call, outbox);
    clearAnswer(state, call);
    exchangeSends(call, hedge);
    call.stage_ = CallStage::Sent;
    eraseHedge(state, call);
}

bool continueWithOtherSend(GatewayState &state, TimePoint now, CallId id, GatewayOutbox &outbox)
{
    Call &call = *findRow(state.calls_, id);
    if (!hasTwoSends(state, call)) {
        eraseHedge(state, call);
        return false;
    }
    const bool hedgeFailed = call.hedging_.ownSendIsHedge_;
    logHedgeEnd(state, now, call, hedgeFailed ? "failed" : "first-send-failed", outbox);
    count(state.metrics_, "hedges", hedgeFailed ? "failed" : "first-send-failed");
    clearAnswer(state, call);
    exchangeSends(call, *findRow(state.hedges_, call.hedging_.hedge_));
    call.stage_ = CallStage::Sent;
    eraseHedge(state, call);
    pushDeadline(state.deadlines_, nextCallCheck(call), id);
    return true;
}

void eraseHedge(GatewayState &state, Call &call)
{
    if (const Hedge *hedge = findRow(state.hedges_, call.hedging_.hedge_); hedge != nullptr) {
        state.answerBytes_ -= hedge->body_.size();
        state.hedgeBySlotRequest_.erase(hedge->slotRequest_);
        eraseRow(state.hedges_, call.hedging_.hedge_);
    }
}

} // namespace Burdockfield::Gateway
