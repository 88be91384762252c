/**
 * @file memory_budget_func.h
 * @brief Decisions about the memory and the connections that a process holds for others. No I/O.
 *
 * Load patterns: crowds of uploads that stop short of their end, answers that are not read, connections that send
 * nothing. Small requests pass in all of them.
 */
#pragma once

#include "memory_budget_base.h"

namespace Burdockfield {

constexpr Milliseconds budgetCheckInterval{ 100 }; ///< A fraction of the shortest time limit of the budget.

constexpr size_t progressStep = 4U << 10U; ///< Bytes that count as progress; a link of 10 Mbit/s carries them in 4 ms.

/// Bytes that the kernel may hold of a connection that is not read, set as its SO_RCVBUF.
constexpr size_t receiveBufferBytes = 64U << 10U;

/// Memory of a connection itself. 9.2 KiB were measured for an idle one: the stack of its coroutine and its objects.
constexpr size_t connectionBytes = 12U << 10U;

/// @param memoryBytes memory of the process @param descriptors most descriptors that the process may open
BudgetLimits makeBudgetLimits(size_t memoryBytes, size_t descriptors);

/// Adds a connection that waits for a request.
HoldingId addHolding(MemoryBudget &budget, TimePoint now);

void removeHolding(MemoryBudget &budget, HoldingId id);

/// Starts a phase of a connection; one that waits for a request or closes holds neither input nor output.
void startPhase(MemoryBudget &budget, TimePoint now, HoldingId id, HoldingPhase phase);

/// Sets the memory of a connection's request without asking, for headers, whose length is bounded.
void setInput(MemoryBudget &budget, HoldingId id, size_t bytes);

/**
 * Requests memory for the body of a connection's request.
 * @param bytes memory of the whole request
 * @return whether it was granted; else the read is paused until runMemoryBudget() decides about it
 */
bool reserveInput(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes);

/// @return whether the read of a connection's request waits for memory.
bool isPaused(const MemoryBudget &budget, HoldingId id);

/// Records received bytes. A few bytes at a time are no progress.
void recordReceived(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes);

/// Records that the peer sends input that is not read before the end of its exchange.
void recordUnread(MemoryBudget &budget, HoldingId id);

/// Counts answer bytes that wait for the caller.
void addOutput(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes);

/// Records that answer bytes were written.
void removeOutput(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes);

/// @return everything held for others, in bytes.
size_t heldBytes(const MemoryBudget &budget);

/// @return whether more is held, or more connections are open, than allowed.
bool exceedsLimits(const MemoryBudget &budget);

/// @return whether the passing of time alone may lead to a decision.
bool needsCheck(const MemoryBudget &budget);

/// Decides which paused reads continue, and which connections are refused or closed.
BudgetDecisions runMemoryBudget(MemoryBudget &budget, TimePoint now);

/**
 * Chooses the sends to give up while more is held than allowed: those that hold the most for the longest time without
 * progress. Sends that make progress, or hold no more than what one read takes, are not chosen.
 */
std::vector<SendHolding> chooseSendsToGiveUp(
    const MemoryBudget &budget, TimePoint now, const std::vector<SendHolding> &sends);

} // namespace Burdockfield
