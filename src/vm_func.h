/**
 * @file vm_func.h
 * @brief How often a node reads the VM list.
 */
#pragma once

#include "time_type.h"

#include <algorithm>
#include <cstddef>
#include <random>

namespace Burdockfield {

/// Bytes a second that a node spends on the VM list.
constexpr double vmListByteRate = 4096;

/// Share of the interval by which the reads of different nodes are spread.
constexpr double vmListJitter = 0.25;

/**
 * @param least shortest interval
 * @param bytes size of the last list
 * @return time to the next read: longer for a longer list, so that its cost is bounded
 */
inline Duration vmListReadInterval(std::mt19937_64 &random, Milliseconds least, size_t bytes)
{
    const FractionalSeconds paced{ static_cast<double>(bytes) / vmListByteRate };
    std::uniform_real_distribution<double> spread(1 - vmListJitter, 1 + vmListJitter);
    return std::chrono::duration_cast<Duration>(std::max<FractionalSeconds>(least, paced) * spread(random));
}

} // namespace Burdockfield
