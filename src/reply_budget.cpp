/**
 * @file reply_budget.cpp
 * @brief Decisions about the memory of replies that a process is receiving. No I/O.
 */
#include "reply_budget_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

double weightOf(const ReplyHolding &reply, TimePoint now)
{
    // A reply that has just begun weighs by its size alone.
    return static_cast<double>(reply.bytes_) * FractionalSeconds(now - reply.since_ + Milliseconds(1)).count();
}

} // namespace

uint64_t addReply(ReplyBudget &budget, TimePoint now)
{
    const uint64_t reply = budget.nextReply_++;
    budget.replies_[reply].since_ = now;
    return reply;
}

std::vector<uint64_t> setReplyBytes(ReplyBudget &budget, TimePoint now, uint64_t reply, size_t bytes)
{
    std::vector<uint64_t> givenUp;
    ReplyHolding &changed = budget.replies_.at(reply);
    if (changed.givenUp_) {
        return givenUp;
    }
    budget.heldBytes_ += bytes - changed.bytes_;
    changed.bytes_ = bytes;
    while (budget.heldBytes_ > budget.limitBytes_) {
        const auto heaviest = std::max_element(
            budget.replies_.begin(), budget.replies_.end(), [now](const auto &left, const auto &right) {
                return (left.second.givenUp_ ? 0 : weightOf(left.second, now))
                    < (right.second.givenUp_ ? 0 : weightOf(right.second, now));
            });
        heaviest->second.givenUp_ = true;
        budget.heldBytes_ -= heaviest->second.bytes_;
        ++budget.givenUp_;
        givenUp.push_back(heaviest->first);
    }
    return givenUp;
}

bool isGivenUp(const ReplyBudget &budget, uint64_t reply)
{
    const auto found = budget.replies_.find(reply);
    return found != budget.replies_.end() && found->second.givenUp_;
}

void removeReply(ReplyBudget &budget, uint64_t reply)
{
    const auto found = budget.replies_.find(reply);
    if (found == budget.replies_.end()) {
        return;
    }
    budget.heldBytes_ -= found->second.givenUp_ ? 0 : found->second.bytes_;
    budget.replies_.erase(found);
}

} // namespace Burdockfield
