/**
 * @file deadline_type.h
 * @brief Queue of deadlines of pool rows, earliest first.
 *
 * Entries are never removed early: a row that is gone, or that has moved its deadline, is recognised by its
 * generation-checked id and its own deadline field when the entry comes up.
 */
#pragma once

#include "pool_type.h"
#include "time_type.h"

#include <queue>
#include <vector>

namespace Burdockfield {

/// Deadline of one row.
template<typename Row>
struct DeadlineEntry
{
    TimePoint at_; ///< When the row wants to be looked at.
    PoolId<Row> id_; ///< The row.

    auto operator<=>(const DeadlineEntry &) const = default;
};

/// Deadlines of the rows of one pool.
template<typename Row>
struct DeadlineQueue
{
    std::priority_queue<DeadlineEntry<Row>, std::vector<DeadlineEntry<Row>>, std::greater<>> heap_; ///< Earliest first.
};

/// Asks for the row @p id to come up at @p at.
template<typename Row>
void pushDeadline(DeadlineQueue<Row> &queue, TimePoint at, PoolId<Row> id)
{
    queue.heap_.push({ at, id });
}

/**
 * Takes the ids whose deadline is not after @p now.
 * @return the ids, earliest first; some may name rows that are gone.
 */
template<typename Row>
std::vector<PoolId<Row>> popDue(DeadlineQueue<Row> &queue, TimePoint now)
{
    std::vector<PoolId<Row>> due;
    while (!queue.heap_.empty() && queue.heap_.top().at_ <= now) {
        due.push_back(queue.heap_.top().id_);
        queue.heap_.pop();
    }
    return due;
}

/// @return the earliest deadline, or noDeadline.
template<typename Row>
TimePoint nextDeadline(const DeadlineQueue<Row> &queue)
{
    return queue.heap_.empty() ? noDeadline : queue.heap_.top().at_;
}

} // namespace Burdockfield
