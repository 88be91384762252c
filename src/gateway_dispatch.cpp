/**
 * @file gateway_dispatch.cpp
 * @brief System that sends waiting calls to upstreams with room.
 *
 * Engines admit requests as they come and know no ranks. Calls therefore wait here, where they can still be reordered
 * or refused, until an upstream has room by the counts that all gateways share. Less urgent calls leave headroom.
 */
#include "gateway_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Burdockfield::Gateway {

namespace {

/// Part of an engine's slots that calls may fill, by ranks below the most urgent one of the service.
constexpr std::array<double, 3> engineHeadroom{ 1.1, 1.0, 0.65 };
constexpr double plainHeadroom = 1.34; ///< The same for plain services, whose short queues cost little.
constexpr double otherRegionCost = 0.15; ///< Load difference that a way to another region is worth.
constexpr double otherZoneCost = 0.03; ///< The same for another availability zone of the region.
constexpr double failureCost = 1.0; ///< Load difference that an upstream that always fails is put back by.
constexpr double triedCost = 4.0; ///< The same for an upstream that has had the call before.
constexpr double missingCost = 2.0; ///< The same for one that the list lacks since an outage.
constexpr std::chrono::duration<double> failureHalfLife{ 1.5 }; ///< Time in which a failure counts half.
constexpr double failureWeight = 0.3; ///< Weight of the newest outcome.

double capacityFor(const GatewayState &state, const Upstream &upstream, uint32_t routeRank)
{
    const Service *service = findService(state.configuration_, upstream.service_);
    if (service != nullptr && !service->modelEngine_) {
        return upstream.slots_ * plainHeadroom;
    }
    const auto top = state.configuration_.mostUrgentRankByService_.find(upstream.service_);
    const uint32_t topRank = top == state.configuration_.mostUrgentRankByService_.end() ? 0 : top->second;
    const size_t below = routeRank > topRank ? routeRank - topRank : 0;
    return upstream.slots_ * engineHeadroom[std::min(below, engineHeadroom.size() - 1)];
}

/// @return whether an upstream serves a call's service, may be used, and has room for the call.
bool mayTake(const GatewayState &state, TimePoint now, const Upstream &upstream, const Call &call)
{
    return upstream.service_ == call.service_ && !upstream.draining_ && upstream.avoidUntil_ <= now
        && upstream.ownInFlight_ + upstream.peerInFlight_ < capacityFor(state, upstream, call.routeRank_);
}

double costOf(const GatewayState &state, const Upstream &upstream, const Call &call, TimePoint now)
{
    double cost = static_cast<double>(upstream.ownInFlight_ + upstream.peerInFlight_) / upstream.slots_;
    if (upstream.region_ != state.region_) {
        cost += otherRegionCost;
    } else if (upstream.zone_ != state.zone_) {
        cost += otherZoneCost;
    }
    cost += failureRateAt(upstream, now) * failureCost;
    if (std::find(call.triedInstances_.begin(), call.triedInstances_.end(), upstream.id_)
        != call.triedInstances_.end()) {
        cost += triedCost;
    }
    return upstream.missingSince_ == noDeadline ? cost : cost + missingCost;
}

/// What the choice of an upstream found.
struct Choice
{
    UpstreamId id_; ///< The upstream, if one has room.
    double cost_ = 0; ///< Its cost.
    uint32_t ties_ = 0; ///< Upstreams of the same cost met so far.
};

Choice chooseUpstream(GatewayState &state, TimePoint now, const Call &call)
{
    constexpr double tie = 1e-6;
    Choice choice;
    forEachRow(state.upstreams_, [&](UpstreamId id, const Upstream &upstream) {
        if (!mayTake(state, now, upstream, call)) {
            return;
        }
        const double cost = costOf(state, upstream, call, now);
        if (choice.ties_ == 0 || cost < choice.cost_ - tie) {
            choice = { id, cost, 1 };
        } else if (cost < choice.cost_ + tie && state.random_() % ++choice.ties_ == 0) {
            choice.id_ = id;
        }
    });
    return choice;
}

/// @return the part of an upstream's connections that falls to this gateway, 0 if they are not bounded.
uint32_t connectionShareOf(const GatewayState &state, const std::string &service)
{
    const Service *rule = findService(state.configuration_, service);
    if (rule == nullptr || rule->connectionLimit_ == 0) {
        return 0;
    }
    return std::max(1U, rule->connectionLimit_ / static_cast<uint32_t>(1 + state.peers_.size_));
}

void send(GatewayState &state, TimePoint now, CallId id, Call &call, UpstreamId target, GatewayOutbox &outbox)
{
    Upstream &upstream = *findRow(state.upstreams_, target);
    ++upstream.ownInFlight_;
    markPeerUpdatesPending(state, upstream.region_);
    call.stage_ = CallStage::Sent;
    call.send_ = state.nextSend_++;
    call.upstream_ = target;
    call.sentAt_ = now;
    call.lastReceivedAt_ = now;
    call.headReceived_ = false;
    call.body_.clear();
    ++call.attempts_;
    call.triedInstances_.push_back(upstream.id_);
    state.callBySend_[call.send_] = id;
    SendCall command;
    command.send_ = call.send_;
    command.address_ = upstream.address_;
    command.request_ = call.request_;
    command.parameters_.instance_ = upstream.id_;
    command.parameters_.workspace_ = call.workspace_;
    command.parameters_.wait_ = std::chrono::duration_cast<Milliseconds>(call.deadline_ - now);
    command.parameters_.resumeAfter_ = call.lastEvent_;
    command.retryable_ = call.retryable_;
    command.connectionShare_ = connectionShareOf(state, call.service_);
    outbox.decisions_.push_back({ "sent",
        { { "request", call.request_.id_ }, { "upstream", upstream.id_ }, { "attempt", std::to_string(call.attempts_) },
            { "route", call.routeName_ }, { "rank", std::to_string(call.rank_) },
            { "own", std::to_string(upstream.ownInFlight_) }, { "peers", std::to_string(upstream.peerInFlight_) },
            { "slots", std::to_string(upstream.slots_) }, { "waited_ms", millisecondsText(now - call.arrivedAt_) },
            { "left_ms", std::to_string(command.parameters_.wait_.count()) } } });
    outbox.sends_.push_back(std::move(command));
    pushDeadline(state.deadlines_, nextCallCheck(call), id);
}

/// Takes calls off the queue that have ended or wait no longer.
void dropSettled(GatewayState &state)
{
    std::erase_if(state.waiting_, [&state](CallId id) {
        const Call *call = findRow(state.calls_, id);
        return call == nullptr || call->stage_ != CallStage::Waiting;
    });
}

/// Streams that have begun first, then more urgent calls, those that can still be on time, and by arrival.
bool goesBefore(const Call &left, const Call &right)
{
    if (left.streamStarted_ != right.streamStarted_) {
        return left.streamStarted_;
    }
    if (left.rank_ != right.rank_) {
        return left.rank_ < right.rank_;
    }
    if (left.routeRank_ != right.routeRank_) {
        return left.routeRank_ < right.routeRank_;
    }
    if (left.callerRetry_ != right.callerRetry_) {
        return right.callerRetry_;
    }
    return left.arrivedAt_ < right.arrivedAt_;
}

} // namespace

void runDispatch(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    dropSettled(state);
    std::sort(state.waiting_.begin(), state.waiting_.end(), [&state](CallId left, CallId right) {
        return goesBefore(*findRow(state.calls_, left), *findRow(state.calls_, right));
    });
    std::set<std::pair<std::string, uint32_t>> full; // services and ranks that found no room in this tick
    for (const CallId id : state.waiting_) {
        Call &call = *findRow(state.calls_, id);
        if (full.contains({ call.service_, call.routeRank_ })) {
            continue;
        }
        const Choice choice = chooseUpstream(state, now, call);
        if (choice.ties_ > 0) {
            send(state, now, id, call, choice.id_, outbox);
        } else {
            full.emplace(call.service_, call.routeRank_);
        }
    }
    dropSettled(state);
}

bool hasCapacityElsewhere(const GatewayState &state, TimePoint now, const Call &call)
{
    bool found = false;
    forEachRow(state.upstreams_, [&](UpstreamId id, const Upstream &upstream) {
        found = found || (id != call.upstream_ && mayTake(state, now, upstream, call));
    });
    return found;
}

double failureRateAt(const Upstream &upstream, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - upstream.failureAt_) / failureHalfLife;
    return upstream.failureRate_ * std::exp2(-halfLives);
}

void recordOutcome(Upstream &upstream, TimePoint now, bool failed)
{
    upstream.failureRate_ = failureRateAt(upstream, now) * (1 - failureWeight) + (failed ? failureWeight : 0);
    upstream.failureAt_ = now;
}

} // namespace Burdockfield::Gateway
