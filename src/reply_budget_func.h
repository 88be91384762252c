/**
 * @file reply_budget_func.h
 * @brief Decisions about the memory of replies that a process is receiving. No I/O.
 *
 * Load patterns: stores, peers and agents whose replies never end, or trickle, many at once.
 */
#pragma once

#include "time_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Burdockfield {

/// Memory of a reply that is being received.
struct ReplyHolding
{
    size_t bytes_ = 0; ///< Size of its buffer.
    TimePoint since_{}; ///< When it began.
    bool givenUp_ = false; ///< Whether its receipt has to end.
};

/// Memory of all replies that a process is receiving.
struct ReplyBudget
{
    size_t limitBytes_ = size_t{ 64 } << 20U; ///< Most bytes of all replies together.
    size_t heldBytes_ = 0; ///< Sum over those not given up.
    uint64_t nextReply_ = 1; ///< Number of the next reply.
    uint64_t givenUp_ = 0; ///< Replies that were given up.
    std::map<uint64_t, ReplyHolding> replies_; ///< By number.
};

/// Adds a reply, which holds nothing yet. @return its number
uint64_t addReply(ReplyBudget &budget, TimePoint now);

/**
 * Sets the size of a reply. While all together exceed the limit, the reply with the greatest product of size and age is
 * given up.
 * @return the numbers of the replies that are given up now, which may include @p reply
 */
std::vector<uint64_t> setReplyBytes(ReplyBudget &budget, TimePoint now, uint64_t reply, size_t bytes);

/// @return whether a reply has been given up.
bool isGivenUp(const ReplyBudget &budget, uint64_t reply);

void removeReply(ReplyBudget &budget, uint64_t reply);

} // namespace Burdockfield
