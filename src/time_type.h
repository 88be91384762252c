/**
 * @file time_type.h
 * @brief Clock and duration types for all signatures that contain a time.
 */
#pragma once

#include <chrono>

namespace Burdockfield {

using Clock = std::chrono::steady_clock; ///< Monotonic clock; a tick receives the current time as an argument.
using TimePoint = Clock::time_point; ///< Point in time on the monotonic clock.
using Duration = Clock::duration; ///< Difference between two time points.

using Milliseconds = std::chrono::milliseconds; ///< Unit of times in wire messages.
using FractionalSeconds = std::chrono::duration<double>; ///< Floating-point seconds, for estimates.

/// Stands for "no deadline"; later than any real deadline.
constexpr TimePoint noDeadline = TimePoint::max();

} // namespace Burdockfield
