/**
 * @file gateway_slot_forecast.cpp
 * @brief Forecast of whether a waiting call will get a slot in time.
 *
 * Answers the load pattern of a burst beyond capacity: calls that can't be served in time are refused at once, while
 * their callers still have time to come back. The forecast is optimistic, as more urgent calls may still arrive, so
 * that nothing is refused that would have been served.
 */
#include "gateway_func.h"

#include <algorithm>
#include <cmath>

namespace Burdockfield::Gateway {

namespace {

constexpr FractionalSeconds averagingTime{ 0.5 }; ///< Time after which an average has mostly forgotten what was before.
constexpr double waitMargin
    = 0.9; ///< Share of its wait that a call may spend in the queue; the rest is lost on the way.
constexpr double leastPerSecond = 1; ///< Slower flows allow no forecast.

std::map<std::string, double> countInFlight(const GatewayState &state, const std::set<std::string> &regions)
{
    std::map<std::string, double> counts;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (regions.contains(upstream.region_)) {
            counts[upstream.service_] += upstream.ownInFlight_ + upstream.peerInFlight_;
        }
    });
    return counts;
}

} // namespace

void updateSlotFlows(GatewayState &state, TimePoint now)
{
    for (const auto &[service, inFlight] : countInFlight(state, assignedRegions(state))) {
        SlotFlow &flow = state.slotFlows_[service];
        const FractionalSeconds passed = now - flow.updatedAt_;
        const double weight = 1 - std::exp(-passed / averagingTime);
        if (passed.count() > 0) {
            flow.perSecond_ += (flow.placed_ / passed.count() - flow.perSecond_) * weight;
            flow.inFlight_ += (inFlight - flow.inFlight_) * weight;
            flow.latestInFlight_ = inFlight;
            flow.placed_ = 0;
            flow.updatedAt_ = now;
        }
    }
}

std::optional<FractionalSeconds> forecastSlotWait(const GatewayState &state, const std::string &service, size_t ahead)
{
    const auto found = state.slotFlows_.find(service);
    if (found == state.slotFlows_.end() || found->second.perSecond_ < leastPerSecond) {
        return std::nullopt;
    }
    const SlotFlow &flow = found->second;
    // At the beginning of a burst slots are given out faster than on average: as many times as there are more calls.
    const double growth = flow.inFlight_ < 1 ? 1 : flow.latestInFlight_ / flow.inFlight_;
    const double perSecond = flow.perSecond_ * std::max(1.0, growth);
    return FractionalSeconds(static_cast<double>(ahead + 1) / perSecond);
}

bool cannotGetSlotInTime(const GatewayState &state, const std::string &service, size_t ahead, Duration wait)
{
    const auto forecast = forecastSlotWait(state, service, ahead);
    return forecast && *forecast > FractionalSeconds(wait) * waitMargin;
}

} // namespace Burdockfield::Gateway
