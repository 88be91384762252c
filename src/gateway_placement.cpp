/**
 * @file gateway_placement.cpp
 * @brief Choice of the upstream that gets a call: how full it may be, and what speaks against it.
 *
 * Engines admit requests in order of arrival and do not know ranks. An upstream is therefore not filled beyond what it
 * can begin at once, and less than that with calls of less urgent ranks, which leaves headroom for urgent ones. Answers
 * the load pattern of many small bursts from many gateways, which would otherwise meet in the queue of an engine.
 */
#include "gateway_placement_func.h"

#include "gateway_replacement_func.h"
#include "gateway_rollout_func.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace Burdockfield::Gateway {

namespace {

/// Calls allowed at an engine, as a multiple of its slots, by the number of ranks below the service's top rank.
constexpr std::array<double, std::tuple_size_v<FreeSlots>> engineCapacityFactors{ 1.1, 1.0, 0.65 };
constexpr double plainCapacityFactor = 1.34; ///< The same for services without engines, where short queues cost little.
constexpr double otherRegionCost = 0.15; ///< Added to the load (calls per slot) of an upstream in another region.
constexpr double otherZoneCost = 0.03; ///< The same for another availability zone of this region.
constexpr double failureCost = 1.0; ///< The same for an upstream that always fails; less if it fails less often.
constexpr double alreadyTriedCost = 4.0; ///< The same for an upstream that this call was already sent to.
constexpr double slowdownCost = 0.15; ///< The same for one whose machine takes twice its usual time at this moment.
constexpr std::chrono::duration<double> loadHalfLife{ 0.2 }; ///< Time after which a reported load counts half as much.
constexpr double promptCost = 1.0; ///< The same for each second until the prompt is read, those before it included.
constexpr double mostPromptSeconds = 4.0; ///< Longer times are treated as this one.
constexpr double missingCost = 2.0; ///< The same for one that is missing from the list since a store outage.
constexpr Milliseconds freeSlotsValidity{ 1000 }; ///< Age from which free slots reported by a broker are unknown.

bool contains(const std::vector<std::string> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool isModelEngine(const GatewayState &state, const std::string &service)
{
    const Service *rule = findService(state.configuration_, service);
    return rule == nullptr || rule->modelEngine_;
}

/// @return the ranks between the service's most urgent one and @p routeRank, at most those that are told apart.
size_t ranksBelowTop(const GatewayState &state, const std::string &service, uint32_t routeRank)
{
    const auto found = state.configuration_.mostUrgentRankByService_.find(service);
    const uint32_t topRank = found == state.configuration_.mostUrgentRankByService_.end() ? 0 : found->second;
    return std::min<size_t>(routeRank > topRank ? routeRank - topRank : 0, engineCapacityFactors.size() - 1);
}

/// @return the calls in flight at an upstream below which it may get another call.
double capacityFor(const GatewayState &state, const Upstream &upstream, size_t ranksBelow)
{
    const bool engine = isModelEngine(state, upstream.service_);
    return upstream.slots_ * (engine ? engineCapacityFactors[ranksBelow] : plainCapacityFactor);
}

uint32_t callsInFlight(const Upstream &upstream)
{
    return upstream.ownInFlight_ + upstream.peerInFlight_;
}

/// @return the tokens of an upstream's memory that no call may take; the largest number if there is no limit.
uint64_t freeMemory(const GatewayState &state, const Upstream &upstream)
{
    const uint64_t capacity = memoryCapacityOf(state, upstream.service_);
    const uint64_t taken = upstream.ownTokens_ + upstream.peerTokens_;
    return capacity == 0 ? UINT64_MAX : capacity - std::min(capacity, taken);
}

/// @return how many further calls like those in flight at an upstream its memory holds, rounded up.
double callsThatFitMemory(const GatewayState &state, const Upstream &upstream)
{
    const uint64_t taken = upstream.ownTokens_ + upstream.peerTokens_;
    if (taken == 0 || callsInFlight(upstream) == 0) {
        return upstream.slots_ * engineCapacityFactors.front();
    }
    const double mean = static_cast<double>(taken) / callsInFlight(upstream);
    return std::ceil(static_cast<double>(freeMemory(state, upstream)) / mean);
}

/// @return how many further calls an upstream may get of those that are some ranks below the top one.
double freeSlotsOf(const GatewayState &state, const Upstream &upstream, size_t ranksBelow)
{
    const double room = std::max(0.0, capacityFor(state, upstream, ranksBelow) - callsInFlight(upstream));
    return memoryCapacityOf(state, upstream.service_) == 0 ? room : std::min(room, callsThatFitMemory(state, upstream));
}

/// @return the cost of the time until an upstream has read a prompt, which delays all answers there.
double costOfPrompt(const GatewayState &state, const Upstream &upstream, const SlotRequest &request, TimePoint now)
{
    const double speed = promptSpeed(state, upstream);
    if (speed <= 0 || request.promptTokens_ == 0) {
        return 0;
    }
    const double tokens = backlogTokens(state, upstream, now) + static_cast<double>(request.promptTokens_);
    return promptCost * std::min(tokens / speed, mostPromptSeconds);
}

/// @return the cost of the load that an upstream has reported, never negative; it fades as it grows old.
double costOfReportedLoad(const Upstream &upstream, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - upstream.reportedLoad_.at_) / loadHalfLife;
    const double slowdown = std::max(0.0, upstream.reportedLoad_.slowdown_ - 1) * slowdownCost;
    return std::exp2(-halfLives) * (upstream.reportedLoad_.excess_ / upstream.slots_ + slowdown);
}

/// @return the cost of the way to an upstream.
double costOfDistance(const GatewayState &state, const Upstream &upstream, const SlotRequest &request)
{
    if (upstream.region_ != regionOf(state, request.zone_)) {
        return otherRegionCost;
    }
    return upstream.zone_ == request.zone_ ? 0 : otherZoneCost;
}

} // namespace

UpstreamCost upstreamCost(
    const GatewayState &state, const Upstream &upstream, const SlotRequest &request, TimePoint now)
{
    UpstreamCost cost;
    cost.load_ = static_cast<double>(callsInFlight(upstream)) / upstream.slots_;
    cost.distance_ = costOfDistance(state, upstream, request);
    cost.failures_ = failureRateAt(upstream, now) * failureCost;
    cost.prompt_ = costOfPrompt(state, upstream, request, now);
    cost.reportedLoad_ = costOfReportedLoad(upstream, now);
    cost.tried_ = contains(request.tried_, upstream.id_) ? alreadyTriedCost : 0;
    cost.missing_ = upstream.missingSince_ == noDeadline ? 0 : missingCost;
    return cost;
}

double sumOf(const UpstreamCost &cost)
{
    return cost.load_ + cost.distance_ + cost.failures_ + cost.prompt_ + cost.reportedLoad_ + cost.tried_
        + cost.missing_;
}

bool isCandidate(const GatewayState &state, TimePoint now, const SlotRequest &request,
    const std::set<std::string> &regions, const Upstream &upstream)
{
    return upstream.service_ == request.service_ && regions.contains(upstream.region_)
        && hasFreeSlot(state, now, upstream, { request.routeRank_, request.memoryTokens_ })
        && mayAssign(state, upstream, request.route_) && !contains(request.excluded_, upstream.id_);
}

bool isAvailable(const Upstream &upstream, TimePoint now)
{
    return !upstream.draining_ && !upstream.announcement_.leaving_ && upstream.announcement_.pausedUntil_ <= now
        && upstream.avoidUntil_ <= now && !isReplaced(upstream, now);
}

uint64_t memoryCapacityOf(const GatewayState &state, const std::string &service)
{
    const Service *rule = findService(state.configuration_, service);
    return rule == nullptr ? 0 : rule->kvCapacityTokens_;
}

uint64_t memoryTokensOf(const CallRequest &request)
{
    return request.tokens_.value_or(0);
}

uint64_t memoryTokensOf(const GatewayState &state, const Call &call)
{
    return memoryCapacityOf(state, call.service_) > 0 ? memoryTokensOf(call.request_) : 0;
}

bool hasFreeSlot(const GatewayState &state, TimePoint now, const Upstream &upstream, const CallNeed &need)
{
    const size_t ranksBelow = ranksBelowTop(state, upstream.service_, need.routeRank_);
    return isAvailable(upstream, now) && callsInFlight(upstream) < capacityFor(state, upstream, ranksBelow)
        && need.memoryTokens_ <= freeMemory(state, upstream);
}

UpstreamId chooseUpstream(
    GatewayState &state, TimePoint now, const SlotRequest &request, const std::set<std::string> &regions)
{
    constexpr double costTolerance = 1e-6;
    UpstreamId chosen;
    double lowest = 0;
    uint32_t ties = 0; // of upstreams with equal costs one is drawn
    forEachRow(state.upstreams_, [&](UpstreamId id, const Upstream &upstream) {
        if (!isCandidate(state, now, request, regions, upstream)) {
            return;
        }
        const double cost = sumOf(upstreamCost(state, upstream, request, now));
        if (ties == 0 || cost < lowest - costTolerance) {
            chosen = id;
            lowest = cost;
            ties = 1;
        } else if (cost < lowest + costTolerance && state.random_() % ++ties == 0) {
            chosen = id;
        }
    });
    return chosen;
}

std::map<std::string, FreeSlots> countFreeSlots(
    const GatewayState &state, TimePoint now, const std::set<std::string> &regions)
{
    std::map<std::string, FreeSlots> free;
    std::map<std::string, FreeSlots> limited; // at versions that may get a limited number of calls
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (!regions.contains(upstream.region_)) {
            return;
        }
        const uint32_t assignable = assignableCalls(state, upstream);
        const bool isLimited = assignable < std::numeric_limits<uint32_t>::max();
        FreeSlots &slots = isLimited ? limited[upstream.service_] : free[upstream.service_];
        for (size_t ranksBelow = 0; isAvailable(upstream, now) && ranksBelow < slots.size(); ++ranksBelow) {
            const double room = freeSlotsOf(state, upstream, ranksBelow);
            slots[ranksBelow] += static_cast<uint32_t>(std::ceil(room));
            slots[ranksBelow] = std::min(slots[ranksBelow], assignable);
        }
    });
    for (const auto &[service, slots] : limited) {
        FreeSlots &sum = free[service];
        std::transform(slots.begin(), slots.end(), sum.begin(), sum.begin(), std::plus<>());
    }
    return free;
}

uint32_t *findFreeSlots(const GatewayState &state, Peer &peer, const std::string &service, uint32_t routeRank)
{
    const auto found = peer.freeSlots_.find(service);
    return found == peer.freeSlots_.end() ? nullptr : &found->second[ranksBelowTop(state, service, routeRank)];
}

bool mayHaveFreeSlot(const GatewayState &state, TimePoint now, const std::string &service, uint32_t routeRank)
{
    const std::string *broker = findBroker(state, state.region_);
    const auto found = broker == nullptr ? state.peerByAddress_.end() : state.peerByAddress_.find(*broker);
    const Peer *peer = found == state.peerByAddress_.end() ? nullptr : findRow(state.peers_, found->second);
    if (peer == nullptr || now - peer->freeSlotsAt_ > freeSlotsValidity) {
        return true;
    }
    const auto free = peer->freeSlots_.find(service);
    return free == peer->freeSlots_.end() || free->second[ranksBelowTop(state, service, routeRank)] > 0;
}

} // namespace Burdockfield::Gateway
