/**
 * @file feasibility_func.h
 * @brief Whether work can still end within its agreed wait.
 */
#pragma once

#include "time_type.h"

namespace Burdockfield {

/// Factor on the expected work, so that small errors of the estimate don't waste a prefill.
constexpr double workEstimateMargin = 1.2;

/**
 * @param work expected time of the work when it starts now
 * @param left time left of the agreed wait
 * @return whether starting the work would waste it
 */
inline bool cannotMeetDeadline(FractionalSeconds work, Duration left)
{
    return work * workEstimateMargin > std::chrono::duration_cast<FractionalSeconds>(left);
}

} // namespace Burdockfield
