/**
 * @file reply_budget_test.cpp
 * @brief Tests of the decisions about the memory of replies that are being received.
 */
#include "reply_budget_func.h"

#include <doctest/doctest.h>

using namespace Burdockfield;

namespace {

/// Budget of 1,000 bytes.
struct ReplyBudgetFixture
{
    ReplyBudgetFixture()
    {
        budget_.limitBytes_ = 1000;
    }

    uint64_t begin(size_t bytes)
    {
        const uint64_t reply = addReply(budget_, now_);
        CHECK(setReplyBytes(budget_, now_, reply, bytes).empty());
        return reply;
    }

    ReplyBudget budget_;
    TimePoint now_{ std::chrono::hours(1) };
};

using Replies = std::vector<uint64_t>;

} // namespace

TEST_CASE_FIXTURE(ReplyBudgetFixture, "ReplyBudget_WhenAllRepliesFit_GivesNoneUp")
{
    const uint64_t reply = begin(400);
    begin(600);
    CHECK(budget_.heldBytes_ == 1000);
    removeReply(budget_, reply);
    CHECK(budget_.heldBytes_ == 600);
    CHECK(budget_.givenUp_ == 0);
}

TEST_CASE_FIXTURE(ReplyBudgetFixture, "ReplyBudget_WhenALargeReplyTrickles_GivesItUpForANewOne")
{
    const uint64_t trickling = begin(500);
    now_ += std::chrono::seconds(5);
    const uint64_t fresh = begin(400);
    CHECK(setReplyBytes(budget_, now_, fresh, 700) == Replies{ trickling });
    CHECK(isGivenUp(budget_, trickling));
    CHECK_FALSE(isGivenUp(budget_, fresh));
    CHECK(budget_.heldBytes_ == 700);
    CHECK(setReplyBytes(budget_, now_, trickling, 900).empty()); // its last bytes before it ends
    removeReply(budget_, trickling);
    CHECK(budget_.heldBytes_ == 700);
}

TEST_CASE_FIXTURE(ReplyBudgetFixture, "ReplyBudget_WhenOneReplyExceedsAllMemory_GivesItUp")
{
    const uint64_t small = begin(10);
    const uint64_t endless = addReply(budget_, now_);
    CHECK(setReplyBytes(budget_, now_, endless, 1001) == Replies{ endless });
    CHECK_FALSE(isGivenUp(budget_, small));
    CHECK(budget_.heldBytes_ == 10);
}

TEST_CASE_FIXTURE(ReplyBudgetFixture, "ReplyBudget_WhenSmallRepliesAreOld_GivesUpTheLargeOne")
{
    const uint64_t old = begin(10);
    now_ += std::chrono::seconds(5);
    const uint64_t endless = addReply(budget_, now_);
    now_ += std::chrono::seconds(1);
    CHECK(setReplyBytes(budget_, now_, endless, 995) == Replies{ endless });
    CHECK_FALSE(isGivenUp(budget_, old));
}
