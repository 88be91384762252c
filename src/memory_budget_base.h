/**
 * @file memory_budget_base.h
 * @brief Table of the memory that a process holds for others, one row for each connection.
 */
#pragma once

#include "memory_budget_type.h"

namespace Burdockfield {

/// Memory held for one connection.
struct Holding
{
    HoldingPhase phase_ = HoldingPhase::Idle;
    size_t inputBytes_ = 0; ///< Buffers of its request.
    size_t unreadBytes_ = 0; ///< Bytes that the kernel may hold of input that is not read for now.
    size_t outputBytes_ = 0; ///< Answer bytes that wait for the caller.
    size_t wantedBytes_ = 0; ///< Input that a paused read needs in all; 0 unless paused.
    size_t progressBytes_ = 0; ///< Bytes received since activeAt_.
    TimePoint activeAt_; ///< Last progress: enough bytes received, a part of the answer written, or a new phase.
    TimePoint pausedAt_; ///< When its read was paused.
};

/// Memory budget of a process. All its servers share one.
struct MemoryBudget
{
    BudgetLimits limits_;
    Pool<Holding> holdings_;
    size_t open_ = 0; ///< Holdings that are not closing.
    size_t inputBytes_ = 0; ///< Sum over all holdings.
    size_t unreadBytes_ = 0; ///< Sum over all holdings.
    size_t outputBytes_ = 0; ///< Sum over all holdings.
    size_t otherBytes_ = 0; ///< Answers and replies of others that are not queued for a connection.
};

} // namespace Burdockfield
