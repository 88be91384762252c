/**
 * @file time_type.h
 * @brief Clock and duration types used in every signature that holds a time.
 */
#pragma once

#include <chrono>

namespace Burdockfield {

using Clock = std::chrono::steady_clock; ///< Monotonic clock; ticks receive its values as arguments.
using TimePoint = Clock::time_point; ///< Instant on the monotonic clock.
using Duration = Clock::duration; ///< Difference of two instants.

using Milliseconds = std::chrono::milliseconds; ///< Whole milliseconds, the unit of wire messages.
using FractionalSeconds = std::chrono::duration<double>; ///< Seconds for estimates.

/// Instant later than any deadline.
constexpr TimePoint noDeadline = TimePoint::max();

} // namespace Burdockfield
