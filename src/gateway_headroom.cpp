/**
 * @file gateway_headroom.cpp
 * @brief Forecast of the slots that urgent calls will need, for which less urgent ones leave room.
 *
 * Answers the load pattern of an engine fleet that is full nearly all the time with calls that hold their slots for
 * very different times: a slot that is given to a long, less urgent call is lost to many short, urgent ones. Such a
 * call is admitted only while the free slots of all engines together exceed what the more urgent ranks are forecast to
 * need, beyond the slots they hold already, in the time for which it would hold its slot. Pooling keeps the headroom
 * small: the spread of the sum is much less than the sum of the spreads at each engine.
 */
#include "gateway_headroom_func.h"

#include <algorithm>
#include <cmath>

namespace Burdockfield::Gateway {

namespace {

/// Times after which the averages of the arrivals have mostly forgotten what was before. A change of demand has to be
/// followed within one to two seconds.
constexpr FractionalSeconds shortAveragingTime{ 0.5 };
constexpr FractionalSeconds longAveragingTime{ 1.5 };
constexpr double callsOfFullWeight = 50; ///< Calls after which the hold time has mostly forgotten those before.
constexpr std::chrono::seconds learningTime{ 2 }; ///< Time of observation before the first forecast.
constexpr std::chrono::seconds longestPause{ 1 }; ///< Time without updates after which demand is learnt anew.
constexpr double fewestPerSecond = 1; ///< Ranks with fewer calls need no hold time for a forecast.
/// Time for which a call is taken to hold its slot while none of its rank has ended.
constexpr FractionalSeconds usualHoldTime{ 1 };
/// A trend is followed for this time at the most; over the hold time of long calls, a straight line overshoots.
constexpr FractionalSeconds longestTrend{ 1 };
constexpr double mostGrowth = 2; ///< Largest ratio of the forecast rate to the present one.
constexpr double spreadFactor = 1; ///< Standard deviations that the forecast adds to the mean.

/// @return the arrivals forecast for a time ahead, in calls per second; a falling trend is not followed.
double forecastRate(const RankDemand &demand, FractionalSeconds ahead)
{
    const double trend
        = (demand.perSecond_ - demand.perSecondBefore_) / (longAveragingTime - shortAveragingTime).count();
    // An average lags behind a trend by its averaging time.
    const double growth = trend * (shortAveragingTime + std::min(ahead, longestTrend)).count();
    return std::min(demand.perSecond_ + std::max(0.0, growth), demand.perSecond_ * mostGrowth);
}

} // namespace

void recordArrival(ServiceHeadroom &headroom, size_t ranksBelow)
{
    ++headroom.ranks_[ranksBelow].arrived_;
}

void recordPlacement(ServiceHeadroom &headroom, size_t ranksBelow)
{
    headroom.ranks_[ranksBelow].held_ += 1;
    headroom.freeSlots_ -= 1;
}

void recordHolds(ServiceHeadroom &headroom, const HoldReports &holds)
{
    for (size_t rank = 0; rank < rankCount; ++rank) {
        if (holds[rank].calls_ == 0) {
            continue;
        }
        RankDemand &demand = headroom.ranks_[rank];
        const FractionalSeconds mean = FractionalSeconds(holds[rank].time_) / holds[rank].calls_;
        const bool first = demand.holdTime_.count() == 0;
        const double weight = first ? 1 : 1 - std::exp(-holds[rank].calls_ / callsOfFullWeight);
        demand.holdTime_ += (mean - demand.holdTime_) * weight;
    }
}

void updateDemand(ServiceHeadroom &headroom, TimePoint now)
{
    const FractionalSeconds passed = now - headroom.updatedAt_;
    if (passed.count() <= 0) {
        return;
    }
    if (passed > longestPause) {
        headroom = {};
        headroom.startedAt_ = now;
        headroom.updatedAt_ = now;
        return;
    }
    for (RankDemand &demand : headroom.ranks_) {
        const double rate = demand.arrived_ / passed.count();
        demand.perSecond_ += (rate - demand.perSecond_) * (1 - std::exp(-passed / shortAveragingTime));
        demand.perSecondBefore_ += (rate - demand.perSecondBefore_) * (1 - std::exp(-passed / longAveragingTime));
        demand.arrived_ = 0;
        const bool known = demand.holdTime_.count() > 0;
        demand.held_ *= std::exp(-passed / (known ? demand.holdTime_ : usualHoldTime));
    }
    headroom.updatedAt_ = now;
}

void setPool(ServiceHeadroom &headroom, double freeSlots, double callsInFlight)
{
    headroom.freeSlots_ = freeSlots;
    double sum = 0;
    for (const RankDemand &demand : headroom.ranks_) {
        sum += demand.held_;
    }
    for (RankDemand &demand : headroom.ranks_) {
        demand.held_ *= sum > 0 ? callsInFlight / sum : 1;
    }
}

bool hasForecast(const ServiceHeadroom &headroom, TimePoint now)
{
    const bool holdsKnown = std::all_of(headroom.ranks_.begin(), headroom.ranks_.end(),
        [](const RankDemand &demand) { return demand.holdTime_.count() > 0 || demand.perSecond_ < fewestPerSecond; });
    return holdsKnown && headroom.updatedAt_ - headroom.startedAt_ >= learningTime
        && now - headroom.updatedAt_ <= longestPause;
}

double reservedSlots(const ServiceHeadroom &headroom, size_t ranksBelow)
{
    const FractionalSeconds ownHoldTime = headroom.ranks_[ranksBelow].holdTime_;
    const FractionalSeconds ahead = ownHoldTime.count() > 0 ? ownHoldTime : usualHoldTime;
    double mean = 0; // slots that the more urgent ranks will hold; with random arrivals also the variance of that
    double held = 0;
    for (size_t rank = 0; rank < ranksBelow; ++rank) {
        const RankDemand &demand = headroom.ranks_[rank];
        mean += forecastRate(demand, ahead) * demand.holdTime_.count();
        held += demand.held_;
    }
    return std::max(0.0, mean + spreadFactor * std::sqrt(mean) - held);
}

bool mayTakeSlot(const ServiceHeadroom &headroom, size_t ranksBelow)
{
    return ranksBelow == 0 || headroom.freeSlots_ > reservedSlots(headroom, ranksBelow);
}

} // namespace Burdockfield::Gateway
