/**
 * @file gateway_dispatch.cpp
 * @brief System that sends waiting calls to upstreams with free capacity.
 *
 * Engines admit requests in order of arrival and do not know ranks. Calls therefore wait in the gateway, where they can
 * still be reordered or refused. A call is sent once an upstream has free capacity according to the counts of calls in
 * flight that all gateways share. Calls of less urgent ranks may fill less of an engine, which leaves headroom for
 * urgent ones.
 */
#include "gateway_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Burdockfield::Gateway {

namespace {

/// Calls allowed at an engine, as a multiple of its slots, by the number of ranks below the service's top rank.
constexpr std::array<double, 3> engineCapacityFactors{ 1.1, 1.0, 0.65 };
constexpr double plainCapacityFactor = 1.34; ///< The same for services without engines, where short queues cost little.
constexpr double otherRegionCost = 0.15; ///< Added to the load (calls per slot) of an upstream in another region.
constexpr double otherZoneCost = 0.03; ///< The same for another availability zone of this region.
constexpr double failureCost = 1.0; ///< The same for an upstream that always fails; less if it fails less often.
constexpr double alreadyTriedCost = 4.0; ///< The same for an upstream that this call was already sent to.
constexpr double missingCost = 2.0; ///< The same for one that is missing from the list since a store outage.
constexpr std::chrono::duration<double> failureHalfLife{ 1.5 }; ///< Time after which a failure counts half as much.
constexpr double newestOutcomeWeight = 0.3; ///< Weight of the newest outcome in the failure rate, 0 to 1.

/// @return the calls in flight at an upstream below which it may get another call of a route rank.
double capacityFor(const GatewayState &state, const Upstream &upstream, uint32_t routeRank)
{
    const Service *service = findService(state.configuration_, upstream.service_);
    if (service != nullptr && !service->modelEngine_) {
        return upstream.slots_ * plainCapacityFactor;
    }
    const auto found = state.configuration_.mostUrgentRankByService_.find(upstream.service_);
    const uint32_t topRank = found == state.configuration_.mostUrgentRankByService_.end() ? 0 : found->second;
    const size_t ranksBelowTop = routeRank > topRank ? routeRank - topRank : 0;
    return upstream.slots_ * engineCapacityFactors[std::min(ranksBelowTop, engineCapacityFactors.size() - 1)];
}

/// @return whether an upstream wants calls, and has not failed to answer them just now.
bool isAvailable(const Upstream &upstream, TimePoint now)
{
    return !upstream.draining_ && !upstream.announcement_.leaving_ && upstream.announcement_.pausedUntil_ <= now
        && upstream.avoidUntil_ <= now;
}

/// @return whether an upstream of the call's service is available and has free capacity for it.
bool canAccept(const GatewayState &state, TimePoint now, const Upstream &upstream, const Call &call)
{
    return upstream.service_ == call.service_ && isAvailable(upstream, now)
        && upstream.ownInFlight_ + upstream.peerInFlight_ < capacityFor(state, upstream, call.routeRank_);
}

bool wasSentTo(const Call &call, const Upstream &upstream)
{
    return std::find(call.triedInstances_.begin(), call.triedInstances_.end(), upstream.id_)
        != call.triedInstances_.end();
}

/// @return the load of an upstream in calls per slot, plus the costs above that apply; calls go where it is lowest.
double upstreamCost(const GatewayState &state, const Upstream &upstream, const Call &call, TimePoint now)
{
    double cost = static_cast<double>(upstream.ownInFlight_ + upstream.peerInFlight_) / upstream.slots_;
    if (upstream.region_ != state.region_) {
        cost += otherRegionCost;
    } else if (upstream.zone_ != state.zone_) {
        cost += otherZoneCost;
    }
    cost += failureRateAt(upstream, now) * failureCost;
    if (wasSentTo(call, upstream)) {
        cost += alreadyTriedCost;
    }
    return upstream.missingSince_ == noDeadline ? cost : cost + missingCost;
}

/// Upstream selected for a call.
struct UpstreamChoice
{
    UpstreamId id_; ///< The upstream; valid if ties_ is not 0.
    double cost_ = 0; ///< Its cost, in calls per slot.
    uint32_t ties_ = 0; ///< Upstreams found so far with this cost; one of them is drawn at random.
};

UpstreamChoice chooseUpstream(GatewayState &state, TimePoint now, const Call &call)
{
    constexpr double costTolerance = 1e-6;
    UpstreamChoice choice;
    forEachRow(state.upstreams_, [&](UpstreamId id, const Upstream &upstream) {
        if (!canAccept(state, now, upstream, call)) {
            return;
        }
        const double cost = upstreamCost(state, upstream, call, now);
        if (choice.ties_ == 0 || cost < choice.cost_ - costTolerance) {
            choice = { id, cost, 1 };
        } else if (cost < choice.cost_ + costTolerance && state.random_() % ++choice.ties_ == 0) {
            choice.id_ = id;
        }
    });
    return choice;
}

/// @return how many of an upstream's connections this gateway may use, or 0 for no limit.
uint32_t connectionShareOf(const GatewayState &state, const std::string &service)
{
    const Service *rule = findService(state.configuration_, service);
    if (rule == nullptr || rule->connectionLimit_ == 0) {
        return 0;
    }
    return std::max(1U, rule->connectionLimit_ / static_cast<uint32_t>(1 + state.peers_.size_));
}

void sendToUpstream(GatewayState &state, TimePoint now, CallId id, Call &call, UpstreamId target, GatewayOutbox &outbox)
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
    call.answerBegunAt_ = noDeadline;
    clearAnswer(state, call);
    ++call.attempts_;
    state.callBySend_[call.send_] = id;
    SendCall command;
    command.send_ = call.send_;
    command.exchange_ = call.exchange_;
    command.address_ = upstream.address_;
    command.request_ = call.request_;
    command.parameters_.instance_ = upstream.id_;
    command.parameters_.workspace_ = call.workspace_;
    command.parameters_.wait_ = std::chrono::duration_cast<Milliseconds>(call.deadline_ - now);
    command.parameters_.resumeAfter_ = call.lastEvent_;
    command.retryable_ = call.retryable_;
    command.newConnection_ = wasSentTo(call, upstream);
    call.triedInstances_.push_back(upstream.id_);
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

/// Removes calls from the queue that have ended or have been sent.
void removeNonWaitingCalls(GatewayState &state)
{
    std::erase_if(state.waiting_, [&state](CallId id) {
        const Call *call = findRow(state.calls_, id);
        return call == nullptr || call->stage_ != CallStage::Waiting;
    });
}

/**
 * Orders calls by: started stream, rank, route rank, first attempt before a caller's retry, arrival.
 * First attempts precede callers' retries because they can still be on time.
 */
bool hasPriorityOver(const Call &left, const Call &right)
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
    removeNonWaitingCalls(state);
    std::sort(state.waiting_.begin(), state.waiting_.end(), [&state](CallId left, CallId right) {
        return hasPriorityOver(*findRow(state.calls_, left), *findRow(state.calls_, right));
    });
    // Services and route ranks for which this tick found no free capacity.
    std::set<std::pair<std::string, uint32_t>> withoutCapacity;
    for (const CallId id : state.waiting_) {
        Call &call = *findRow(state.calls_, id);
        if (withoutCapacity.contains({ call.service_, call.routeRank_ })) {
            continue;
        }
        const UpstreamChoice choice = chooseUpstream(state, now, call);
        if (choice.ties_ > 0) {
            sendToUpstream(state, now, id, call, choice.id_, outbox);
        } else {
            withoutCapacity.emplace(call.service_, call.routeRank_);
        }
    }
    removeNonWaitingCalls(state);
}

bool hasCapacityElsewhere(const GatewayState &state, TimePoint now, const Call &call)
{
    bool found = false;
    forEachRow(state.upstreams_, [&](UpstreamId id, const Upstream &upstream) {
        found = found || (id != call.upstream_ && canAccept(state, now, upstream, call));
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
    upstream.failureRate_
        = failureRateAt(upstream, now) * (1 - newestOutcomeWeight) + (failed ? newestOutcomeWeight : 0);
    upstream.failureAt_ = now;
}

} // namespace Burdockfield::Gateway
