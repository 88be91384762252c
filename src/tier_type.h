/**
 * @file tier_type.h
 * @brief Ranks of tiers, and counters by rank.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Burdockfield {

/// Rank of a tier; a larger rank is more urgent.
using TierRank = uint8_t;

/// Number of ranks that a configuration may use.
constexpr size_t tierRankCount = 8;

/// One counter for each tier rank.
using TierCounts = std::array<uint32_t, tierRankCount>;

/**
 * @param counts counters by tier rank
 * @param rank lowest rank to include
 * @return the sum of the counters of @p rank and all more urgent ranks.
 */
inline uint32_t countAtOrAbove(const TierCounts &counts, TierRank rank)
{
    uint32_t sum = 0;
    for (size_t index = rank; index < counts.size(); ++index) {
        sum += counts[index];
    }
    return sum;
}

} // namespace Burdockfield
