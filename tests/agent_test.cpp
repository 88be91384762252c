/**
 * @file agent_test.cpp
 * @brief Tests of an agent's decisions, tick by tick.
 */
#include "agent_func.h"
#include "error_type.h"
#include "run_func.h"

#include <doctest/doctest.h>

using namespace Burdockfield;

namespace {

/// Agent whose upstream is reachable, with two slots and a queue depth of one.
struct AgentFixture
{
    AgentFixture()
    {
        AgentInbox inbox;
        inbox.loads_.push_back({ {}, 0, {} });
        tick(std::move(inbox));
    }

    AgentOutbox tick(AgentInbox inbox = {})
    {
        return tickAgent(state_, now_, std::move(inbox));
    }

    RunOrder makeOrder(TierRank tier, const std::string &workspace = "w")
    {
        RunOrder order;
        order.name_ = { "request-" + std::to_string(next_++), 1 };
        order.agentIncarnation_ = state_.incarnation_;
        order.workspace_ = workspace;
        order.tier_ = tier;
        order.route_ = "m";
        order.payload_ = "{}";
        order.digest_ = order.name_.request_;
        order.remainingWait_ = std::chrono::seconds(10);
        order.promptTokens_ = 10;
        order.answerTokens_ = 10;
        return order;
    }

    AgentOutbox order(const RunOrder &order)
    {
        AgentInbox inbox;
        inbox.orders_.push_back({ ExchangeId{ next_++ }, order });
        return tick(std::move(inbox));
    }

    TimePoint now_{ std::chrono::hours(1) }; ///< Current time; advanced by the tests.
    AgentState state_
        = makeAgentState({ "a", "a:1", "r", "z" }, AgentPolicy{}, { "e:1", RouteKind::Model, { "m" }, 2, 1 }, 42);
    uint64_t next_ = 1; ///< Next unused number of a request or exchange.
};

std::error_code replyError(const AgentOutbox &outbox)
{
    return outbox.runReplies_.at(0).reply_.error_;
}

} // namespace

TEST_CASE_FIXTURE(AgentFixture, "Admission_WhenSlotsAndQueueAreFullOfTheSameTier_RefusesTheRun")
{
    for (int index = 0; index < 3; ++index) {
        CHECK(!replyError(order(makeOrder(1))));
    }
    CHECK(replyError(order(makeOrder(1))) == AdmissionErrc::QueueFull);
    CHECK(replyError(order(makeOrder(0))) == AdmissionErrc::QueueFull);
}

TEST_CASE_FIXTURE(AgentFixture, "Admission_WhenARunOfAHigherTierIsOrdered_DisplacesWaitingAndPausesRunningLowerTiers")
{
    for (int index = 0; index < 3; ++index) {
        order(makeOrder(1));
    }
    const AgentOutbox admitted = order(makeOrder(2));
    CHECK(!replyError(admitted));
    CHECK(admitted.engineAborts_.empty());
    now_ += preemptionDelay;
    const AgentOutbox outbox = tick();
    CHECK(outbox.engineAborts_.size() == 1);
    REQUIRE(outbox.engineStarts_.size() == 1);
    CHECK(outbox.engineStarts_[0].order_.tier_ == 2);
    CHECK(state_.metrics_.counters_["runs_ended_total"]["displaced"] == 1);
}

TEST_CASE_FIXTURE(AgentFixture, "Preemption_WhenRunningRunsAreNotRetryable_DoesNotPauseThem")
{
    for (int index = 0; index < 2; ++index) {
        RunOrder once = makeOrder(0);
        once.retryPolicy_ = RetryPolicy::AtMostOnce;
        order(once);
    }
    CHECK(!replyError(order(makeOrder(3))));
    now_ += preemptionDelay;
    const AgentOutbox outbox = tick();
    CHECK(outbox.engineAborts_.empty());
    CHECK(outbox.engineStarts_.empty());
}

TEST_CASE_FIXTURE(AgentFixture, "Run_WhenItCannotEndInTime_IsRefusedBeforeItsPrefill")
{
    state_.prefillRate_ = 1000;
    state_.decodeRate_ = 10;
    RunOrder infeasible = makeOrder(1);
    infeasible.estimatedMaxTokens_ = 200;
    CHECK(order(infeasible).engineStarts_.empty());
    CHECK(findRow(state_.runs_, state_.runByName_[infeasible.name_])->end_.runOutcome_ == RunOutcome::NotRun);
    RunOrder feasible = makeOrder(1);
    feasible.estimatedMaxTokens_ = 20;
    CHECK(order(feasible).engineStarts_.size() == 1);
}

TEST_CASE_FIXTURE(AgentFixture, "Order_WhenReceivedTwice_StartsOneRun")
{
    const RunOrder once = makeOrder(1);
    CHECK(order(once).engineStarts_.size() == 1);
    const AgentOutbox again = order(once);
    CHECK(!replyError(again));
    CHECK(again.engineStarts_.empty());
}

TEST_CASE_FIXTURE(AgentFixture, "Order_WhenRefusedOnce_IsRefusedAgain")
{
    state_.reachable_ = false;
    const RunOrder late = makeOrder(1);
    CHECK(replyError(order(late)) == AdmissionErrc::UpstreamDown);
    state_.reachable_ = true;
    CHECK(replyError(order(late)) == AdmissionErrc::Withdrawn);
}

TEST_CASE_FIXTURE(AgentFixture, "Order_WhenAddressedToAnEarlierIncarnation_IsRefused")
{
    RunOrder stale = makeOrder(1);
    stale.agentIncarnation_ = 1;
    CHECK(replyError(order(stale)) == AdmissionErrc::StaleIncarnation);
}

TEST_CASE_FIXTURE(AgentFixture, "Agent_WhenDrainedByANewerRevision_IgnoresOlderRevisions")
{
    AgentInbox inbox;
    inbox.reportRequests_.push_back({ ExchangeId{ 100 }, 5, true, 0, Milliseconds(0) });
    inbox.reportRequests_.push_back({ ExchangeId{ 101 }, 4, false, 0, Milliseconds(0) });
    tick(std::move(inbox));
    CHECK(replyError(order(makeOrder(1))) == AdmissionErrc::Leaving);
}

TEST_CASE_FIXTURE(AgentFixture, "Agent_WhenALeaveNoticeIsReceived_RefusesNewRuns")
{
    AgentInbox inbox;
    inbox.leave_ = true;
    tick(std::move(inbox));
    CHECK(replyError(order(makeOrder(1))) == AdmissionErrc::Leaving);
}

TEST_CASE_FIXTURE(AgentFixture, "Report_WhenNothingChanges_IsHeldUntilItsHoldTimeEnds")
{
    AgentInbox inbox;
    inbox.reportRequests_.push_back({ ExchangeId{ 100 }, 0, false, state_.reportVersion_, Milliseconds(5000) });
    CHECK(tick(std::move(inbox)).reports_.empty());
    now_ += Milliseconds(4999);
    CHECK(tick().reports_.empty());
    now_ += Milliseconds(1);
    CHECK(tick().reports_.size() == 1);
}

TEST_CASE_FIXTURE(AgentFixture, "Report_WhenTwoEntriesAlwaysRequestItInTheSameOrder_IsSentToThemInRandomOrder")
{
    constexpr int rounds = 200;
    const ExchangeId first{ 100 };
    const ExchangeId second{ 101 };
    int firstServed = 0;
    for (int round = 0; round < rounds; ++round) {
        AgentInbox requests;
        requests.reportRequests_.push_back({ first, 0, false, state_.reportVersion_, Milliseconds(5000) });
        requests.reportRequests_.push_back({ second, 0, false, state_.reportVersion_, Milliseconds(5000) });
        REQUIRE(tick(std::move(requests)).reports_.empty());
        state_.upstream_.slots_ = 3 - round % 2; // capacity grows or shrinks
        const AgentOutbox outbox = tick();
        REQUIRE(outbox.reports_.size() == 2);
        firstServed += outbox.reports_[0].exchange_ == first ? 1 : 0;
    }
    CHECK(firstServed > rounds / 4);
    CHECK(firstServed < rounds * 3 / 4);
}

TEST_CASE_FIXTURE(AgentFixture, "Suspect_WhenUpstreamCrashedWhileItRanAlone_IsRefused")
{
    const RunOrder bad = makeOrder(1);
    const AgentOutbox started = order(bad);
    AgentInbox inbox;
    inbox.ends_.push_back({ started.engineStarts_.at(0).run_, 1, TransportErrc::Lost, {} });
    tick(std::move(inbox));
    AgentInbox up;
    up.loads_.push_back({ {}, 0, {} });
    tick(std::move(up));
    RunOrder again = makeOrder(1);
    again.digest_ = bad.digest_;
    CHECK(replyError(order(again)) == AdmissionErrc::CrashSuspect);
    CHECK(!replyError(order(makeOrder(1))));
}

TEST_CASE_FIXTURE(AgentFixture, "Claim_WhenAnotherRunHoldsTheKey_RefusesTheRunWithTheHoldersAddress")
{
    RunOrder keyed = makeOrder(1);
    keyed.key_ = "k";
    const AgentOutbox outbox = order(keyed);
    REQUIRE(outbox.storeWrites_.size() == 1);
    CHECK(outbox.engineStarts_.empty());
    StoreRow holder;
    holder.version_ = 1;
    holder.value_
        = R"({"request":"other","attempt":1,"agent":"b:1","incarnation":9,"digest":")" + keyed.digest_ + "\"}";
    AgentInbox inbox;
    inbox.storeReplies_.push_back({ outbox.storeWrites_[0].call_, { StoreErrc::Conflict, { holder } } });
    CHECK(tick(std::move(inbox)).engineStarts_.empty());
    const Run &run = *findRow(state_.runs_, state_.runByName_[keyed.name_]);
    CHECK(run.end_.error_ == AdmissionErrc::ClaimedElsewhere);
    CHECK(run.end_.ownerAddress_ == "b:1");
}
