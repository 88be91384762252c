/**
 * @file token_bucket_type.h
 * @brief Token bucket that limits the rate of an action per node, regardless of the size of the fleet.
 */
#pragma once

#include "time_type.h"

#include <algorithm>

namespace Burdockfield {

/// Token bucket, refilled at a constant rate.
struct TokenBucket
{
    double rate_ = 1; ///< Tokens added per second.
    double burst_ = 1; ///< Maximum number of tokens held.
    double tokens_ = 1; ///< Tokens held at updatedAt_.
    TimePoint updatedAt_{}; ///< When tokens_ was last updated.
};

/// Takes a token if one is available. @return @p now if it was taken, otherwise when the next one is available.
inline TimePoint takeToken(TokenBucket &bucket, TimePoint now)
{
    const FractionalSeconds passed = std::max(now, bucket.updatedAt_) - bucket.updatedAt_;
    bucket.tokens_ = std::min(bucket.burst_, bucket.tokens_ + bucket.rate_ * passed.count());
    bucket.updatedAt_ = std::max(now, bucket.updatedAt_);
    if (bucket.tokens_ >= 1) {
        bucket.tokens_ -= 1;
        return now;
    }
    const FractionalSeconds missing{ (1 - bucket.tokens_) / bucket.rate_ };
    return now + std::chrono::ceil<Milliseconds>(missing);
}

} // namespace Burdockfield
