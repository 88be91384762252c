/**
 * @file service.cpp
 * @brief Plain service stand-in.
 */
#include "digest_func.h"
#include "http_func.h"
#include "json_func.h"
#include "service_base.h"

namespace Burdockfield::Standin {

namespace {

void writeLedger(StandinOutbox &outbox, const ServiceCall &call, const char *event)
{
    outbox.ledger_.push_back(Json::serialize(Json::object{ { "event", event }, { "request", call.id_ },
        { "prompt", toHex(fastHash(call.body_)) }, { "ticket", call.ticket_ } }));
}

void takeCall(ServiceState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    ServiceCall call;
    call.exchange_ = arrival.exchange_;
    call.id_ = findHeader(arrival.request_.headers_, "X-Request-Id");
    call.body_ = arrival.request_.body_;
    call.ticket_ = state.nextTicket_++;
    call.doneAt_ = now + state.duration_;
    writeLedger(outbox, call, "started");
    const TimePoint doneAt = call.doneAt_;
    pushDeadline(state.deadlines_, doneAt, insertRow(state.calls_, std::move(call)));
}

void finishCall(ServiceState &state, PoolId<ServiceCall> id, StandinOutbox &outbox)
{
    const ServiceCall *call = findRow(state.calls_, id);
    if (call == nullptr) {
        return;
    }
    writeLedger(outbox, *call, "finished");
    const Json::object body{ { "ticket", call->ticket_ }, { "echo", toHex(fastHash(call->body_)) } };
    outbox.outputs_.push_back(
        { call->exchange_, ServerOutput::Kind::Full, makeJsonReply(201, Json::serialize(body)), {} });
    eraseRow(state.calls_, id);
}

} // namespace

StandinOutbox tickService(ServiceState &state, TimePoint now, StandinInbox inbox)
{
    StandinOutbox outbox;
    for (const Arrival &arrival : inbox.arrivals_) {
        if (arrival.request_.target_ == "/load") {
            outbox.outputs_.push_back({ arrival.exchange_, ServerOutput::Kind::Full, makeJsonReply(200, "{}"), {} });
        } else {
            takeCall(state, arrival, now, outbox);
        }
    }
    for (const PoolId<ServiceCall> id : popDue(state.deadlines_, now)) {
        finishCall(state, id, outbox);
    }
    return outbox;
}

TimePoint nextServiceDeadline(const ServiceState &state)
{
    return nextDeadline(state.deadlines_);
}

} // namespace Burdockfield::Standin
