/**
 * @file token_bucket_type.h
 * @brief Token bucket that bounds how often a node does something, whatever the size of the fleet.
 */
#pragma once

#include "time_type.h"

#include <algorithm>

namespace Burdockfield {

/// Token bucket.
struct TokenBucket
{
    double rate_ = 1; ///< Tokens a second.
    double burst_ = 1; ///< Most tokens held.
    double tokens_ = 1; ///< Tokens at the time below.
    TimePoint at_{}; ///< When the tokens were counted.
};

/// Takes a token if there is one. @return when there will be one, or @p now when it was taken
inline TimePoint takeToken(TokenBucket &pace, TimePoint now)
{
    const FractionalSeconds passed = std::max(now, pace.at_) - pace.at_;
    pace.tokens_ = std::min(pace.burst_, pace.tokens_ + pace.rate_ * passed.count());
    pace.at_ = std::max(now, pace.at_);
    if (pace.tokens_ >= 1) {
        pace.tokens_ -= 1;
        return now;
    }
    const FractionalSeconds missing{ (1 - pace.tokens_) / pace.rate_ };
    return now + std::chrono::ceil<Milliseconds>(missing);
}

} // namespace Burdockfield
