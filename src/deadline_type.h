/**
 * @file deadline_type.h
 * @brief Priority queue of the deadlines of a pool's rows, earliest first.
 *
 * An entry stays in the queue until it is due, even if its row is erased or gets another deadline. The code that
 * pops it detects this by looking up the id and comparing the row's own deadline.
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
    TimePoint at_; ///< When the row is due.
    PoolId<Row> id_; ///< Row that is due.

    auto operator<=>(const DeadlineEntry &) const = default;
};

/// Deadlines of the rows of one pool.
template<typename Row>
struct DeadlineQueue
{
    std::priority_queue<DeadlineEntry<Row>, std::vector<DeadlineEntry<Row>>, std::greater<>> heap_; ///< Earliest first.
};

/// Adds a deadline @p at for the row @p id; entries that the row already has stay.
template<typename Row>
void pushDeadline(DeadlineQueue<Row> &queue, TimePoint at, PoolId<Row> id)
{
    queue.heap_.push({ at, id });
}

/**
 * Removes the entries that are due at @p now.
 * @return their ids, earliest first; some of the rows may have been erased.
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

/// @return the earliest deadline, or noDeadline if the queue is empty.
template<typename Row>
TimePoint nextDeadline(const DeadlineQueue<Row> &queue)
{
    return queue.heap_.empty() ? noDeadline : queue.heap_.top().at_;
}

} // namespace Burdockfield
