/**
 * @file gateway_headroom_type.h
 * @brief Forecast of the slots that urgent calls will need, for which less urgent ones leave room.
 */
#pragma once

#include "gateway_slot_type.h"
#include "time_type.h"

#include <array>
#include <cstdint>
#include <tuple>

namespace Burdockfield::Gateway {

/// How many slots are kept free for calls of more urgent ranks.
enum class HeadroomPolicy : uint8_t {
    Fixed, ///< A fixed share of each engine.
    Forecast, ///< What these ranks are forecast to need, over all engines that the broker assigns.
};

/// Ranks that are told apart: the most urgent one of a service, the next one, and all others.
constexpr size_t rankCount = std::tuple_size_v<FreeSlots>;

/// Calls that have held a slot until their end.
struct HoldReport
{
    uint32_t calls_ = 0; ///< Number of calls.
    Milliseconds time_{ 0 }; ///< Sum of the times for which they held it.

    bool operator==(const HoldReport &) const = default;
};

using HoldReports = std::array<HoldReport, rankCount>; ///< Such calls by the ranks below a service's top rank.

/// What the calls of one rank need, as moving averages.
struct RankDemand
{
    uint32_t arrived_ = 0; ///< Calls that arrived since the averages were last updated.
    double perSecond_ = 0; ///< Calls that arrive in a second, over a short time.
    double perSecondBefore_ = 0; ///< The same over a longer time; the difference is the trend.
    FractionalSeconds holdTime_{ 0 }; ///< Time for which a call holds its slot; 0 while that is not known.
    double held_ = 0; ///< Slots that calls of the rank hold, as estimated from the slots given out and the hold time.
};

/// Demand for the slots of a service that this gateway assigns, and what is free of them.
struct ServiceHeadroom
{
    std::array<RankDemand, rankCount> ranks_; ///< Demand by the ranks below the service's top rank.
    double freeSlots_ = 0; ///< Free slots of all its upstreams together.
    TimePoint startedAt_{}; ///< Since when demand has been observed without a pause.
    TimePoint updatedAt_{}; ///< When the averages were last updated.
};

} // namespace Burdockfield::Gateway
