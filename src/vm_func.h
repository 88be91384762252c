/**
 * @file vm_func.h
 * @brief Interval at which a node reads the VM list.
 */
#pragma once

#include "time_type.h"

#include <algorithm>
#include <cstddef>
#include <random>

namespace Burdockfield {

/// Bytes per second to which a node limits its reads of the VM list.
constexpr double vmListByteRate = 4096;

/// Random variation of the interval, as a fraction of it, so that the reads of different nodes spread out.
constexpr double vmListJitter = 0.25;

/**
 * @param least shortest interval
 * @param bytes size of the list at the last read
 * @return time until the next read. It grows with the list, so that the traffic per node stays bounded.
 */
inline Duration vmListReadInterval(std::mt19937_64 &random, Milliseconds minimum, size_t bytes)
{
    const FractionalSeconds rateLimited{ static_cast<double>(bytes) / vmListByteRate };
    std::uniform_real_distribution<double> jitter(1 - vmListJitter, 1 + vmListJitter);
    return std::chrono::duration_cast<Duration>(std::max<FractionalSeconds>(minimum, rateLimited) * jitter(random));
}

} // namespace Burdockfield
