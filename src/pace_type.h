/**
 * @file pace_type.h
 * @brief Token bucket that limits the rate of an action per node, regardless of the size of the fleet.
 */
#pragma once

#include "time_type.h"

#include <algorithm>

namespace Burdockfield {

/// Token bucket, refilled at a constant rate.
struct Pace
{
    double rate_ = 1; ///< Tokens added per second.
    double burst_ = 1; ///< Maximum number of tokens held.
    double tokens_ = 1; ///< Tokens held at updatedAt_.
    TimePoint updatedAt_{}; ///< When tokens_ was last updated.
};

/// Takes a token if one is available. @return @p now if it was taken, otherwise when the next one is available.
inline TimePoint takeToken(Pace &pace, TimePoint now)
{
    const FractionalSeconds passed = std::max(now, pace.updatedAt_) - pace.updatedAt_;
    pace.tokens_ = std::min(pace.burst_, pace.tokens_ + pace.rate_ * passed.count());
    pace.updatedAt_ = std::max(now, pace.updatedAt_);
    if (pace.tokens_ >= 1) {
        pace.tokens_ -= 1;
        return now;
    }
    const FractionalSeconds missing{ (1 - pace.tokens_) / pace.rate_ };
    return now + std::chrono::ceil<Milliseconds>(missing);
}

} // namespace Burdockfield
