/**
 * @file feasibility_func.h
 * @brief Check whether work can finish before its deadline.
 */
#pragma once

#include "time_type.h"

namespace Burdockfield {

/// Safety factor on the estimated work, so that a small error of the estimate does not waste a prefill.
constexpr double workEstimateMargin = 1.2;

/**
 * @param work expected duration of the work if it starts now
 * @param left time left until the deadline
 * @return whether the work would finish too late, so that starting it would be wasted effort
 */
inline bool cannotMeetDeadline(FractionalSeconds work, Duration left)
{
    return work * workEstimateMargin > std::chrono::duration_cast<FractionalSeconds>(left);
}

} // namespace Burdockfield
