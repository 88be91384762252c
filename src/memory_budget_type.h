/**
 * @file memory_budget_type.h
 * @brief Limits and decisions of a process's memory budget.
 */
#pragma once

#include "pool_type.h"
#include "time_type.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Burdockfield {

struct Holding;
using HoldingId = PoolId<Holding>; ///< Id of what one connection holds.

/// What a connection is doing.
enum class HoldingPhase : uint8_t {
    Idle, ///< Waits for a request.
    Header, ///< Its request's header is being received.
    Body, ///< Its request's body is being received.
    Exchange, ///< Its request is in progress, or its answer is being written.
    Closing, ///< Its request was refused; it closes within a bounded time.
};

/// Limits of a memory budget. makeBudgetLimits() derives them from the memory of the process.
struct BudgetLimits
{
    size_t totalBytes_ = 0; ///< Everything that is held for others.
    size_t inputBytes_ = 0; ///< Requests, from the first byte until the end of their exchange.
    size_t reservedBytes_ = 0; ///< Part of inputBytes_ that only small requests may use.
    size_t connections_ = 0; ///< Connections of callers; the other descriptors are for upstreams, store and peers.
};

/// Why the budget acts on a connection.
enum class BudgetReason : uint8_t {
    Granted, ///< The memory that a paused read waits for is available.
    NoMemory, ///< A paused read has waited too long for memory.
    LeastProgress, ///< It holds the most memory and makes the least progress while others wait for memory.
    Stalled, ///< Its body arrives too slowly.
    SlowReader, ///< Its caller does not read an answer, and memory is short.
    Silent, ///< It has been silent longest, and connections or memory are short.
};

/// Action that the budget requests for a connection.
struct BudgetDecision
{
    HoldingId holding_;
    BudgetReason reason_ = BudgetReason::Granted;
    HoldingPhase phase_ = HoldingPhase::Idle; ///< What the connection was doing.
    size_t heldBytes_ = 0; ///< What it held, for the log.
    Duration inactive_{}; ///< Time since its last progress, for the log.
};

/// What the process holds of the answer to a send.
struct SendHolding
{
    uint64_t send_ = 0; ///< Number of the send.
    size_t bytes_ = 0;
    TimePoint activeAt_; ///< Last progress of the answer; at first when the send was made.
};

using BudgetDecisions = std::vector<BudgetDecision>; ///< Actions in the order in which they were decided.

} // namespace Burdockfield
