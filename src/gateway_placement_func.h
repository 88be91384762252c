/**
 * @file gateway_placement_func.h
 * @brief Choice of the upstream that gets a call.
 */
#pragma once

#include "gateway_func.h"

namespace Burdockfield::Gateway {

/// @return whether an upstream wants calls, and has not failed to answer them just now.
bool isAvailable(const Upstream &upstream, TimePoint now);

/// What a call needs of an upstream.
struct CallNeed
{
    uint32_t routeRank_ = 0; ///< See Call::routeRank_.
    uint64_t memoryTokens_ = 0; ///< See SlotRequest::memoryTokens_.
};

/// @return whether an upstream is available and not too full for a call.
bool hasFreeSlot(const GatewayState &state, TimePoint now, const Upstream &upstream, const CallNeed &need);

/// Cost of an upstream for a call, in calls per slot; calls go where the sum is lowest.
struct UpstreamCost
{
    double load_ = 0; ///< Calls in flight per slot.
    double distance_ = 0; ///< Another region or availability zone.
    double failures_ = 0; ///< Recent failures.
    double prompt_ = 0; ///< Time until the prompt is read, those before it included.
    double reportedLoad_ = 0; ///< Load that the upstream has reported beyond the counts.
    double tried_ = 0; ///< An earlier send of the call to it.
    double missing_ = 0; ///< A row that is missing since a store outage.
};

/// @return what an upstream costs a call.
UpstreamCost upstreamCost(
    const GatewayState &state, const Upstream &upstream, const SlotRequest &request, TimePoint now);

/// @return the sum of a cost's parts.
double sumOf(const UpstreamCost &cost);

/// @return whether an upstream can be chosen for a request.
bool isCandidate(const GatewayState &state, TimePoint now, const SlotRequest &request,
    const std::set<std::string> &regions, const Upstream &upstream);

/// @return the best upstream with a free slot in some regions; an id that matches no row if there is none.
UpstreamId chooseUpstream(
    GatewayState &state, TimePoint now, const SlotRequest &request, const std::set<std::string> &regions);

/// @return the free slots of the upstreams in some regions by service.
std::map<std::string, FreeSlots> countFreeSlots(
    const GatewayState &state, TimePoint now, const std::set<std::string> &regions);

/// @return the free slots for a route's rank that a broker has reported; nullptr if it has reported none.
uint32_t *findFreeSlots(const GatewayState &state, Peer &peer, const std::string &service, uint32_t routeRank);

/// @return whether a service may have a free slot for a route's rank, by what the region's broker has reported, if
/// anything.
bool mayHaveFreeSlot(const GatewayState &state, TimePoint now, const std::string &service, uint32_t routeRank);

} // namespace Burdockfield::Gateway
