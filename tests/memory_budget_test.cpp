/**
 * @file memory_budget_test.cpp
 * @brief Tests of the decisions about memory that a process holds for others.
 */
#include "memory_budget_func.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace Burdockfield;

namespace {

constexpr size_t memoryBytes = 88U << 20U; ///< The smallest gateway.
constexpr size_t descriptors = 4100; ///< Of the smallest gateway.
constexpr size_t largeBody = 4U << 20U; ///< maxBodyBytes.
constexpr size_t smallBody = 12U << 10U; ///< A prompt.

/// Budget of the smallest gateway with a simulated clock.
struct MemoryBudgetFixture
{
    MemoryBudgetFixture()
    {
        budget_.limits_ = makeBudgetLimits(memoryBytes, descriptors);
    }

    HoldingId open(HoldingPhase phase)
    {
        const HoldingId id = addHolding(budget_, now_);
        startPhase(budget_, now_, id, phase);
        return id;
    }

    /// Starts uploads of @p bytes each. @return how many got their memory at once
    size_t startUploads(size_t count, size_t bytes)
    {
        size_t granted = 0;
        for (size_t index = 0; index < count; ++index) {
            granted += reserveInput(budget_, now_, open(HoldingPhase::Body), bytes) ? 1 : 0;
        }
        return granted;
    }

    /// Lets time pass with regular checks. @return all decisions
    BudgetDecisions run(Milliseconds time)
    {
        BudgetDecisions decisions;
        for (const TimePoint end = now_ + time; now_ < end;) {
            now_ += budgetCheckInterval;
            const BudgetDecisions next = runMemoryBudget(budget_, now_);
            decisions.insert(decisions.end(), next.begin(), next.end());
        }
        return decisions;
    }

    static size_t countReason(const BudgetDecisions &decisions, BudgetReason reason)
    {
        return static_cast<size_t>(std::count_if(decisions.begin(), decisions.end(),
            [reason](const BudgetDecision &decision) { return decision.reason_ == reason; }));
    }

    MemoryBudget budget_;
    TimePoint now_{ Milliseconds(1000) };
};

} // namespace

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenIdle_GrantsASingleBodyOfTheLongestLength")
{
    CHECK(startUploads(1, largeBody + connectionBytes) == 1);
    CHECK(run(Milliseconds(1000)).empty());
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenLargeUploadsFillIt_StillGrantsSmallRequestsAtOnce")
{
    CHECK(startUploads(60, largeBody) < 60);
    CHECK(startUploads(100, smallBody) == 100);
    CHECK(heldBytes(budget_) <= budget_.limits_.totalBytes_);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenAnUploadEnds_ResumesTheReadThatWaitsLongest")
{
    const HoldingId first = open(HoldingPhase::Body);
    REQUIRE(reserveInput(budget_, now_, first, largeBody));
    startUploads(3, largeBody);
    const HoldingId second = open(HoldingPhase::Body);
    CHECK_FALSE(reserveInput(budget_, now_, second, largeBody));
    now_ += Milliseconds(10);
    const HoldingId third = open(HoldingPhase::Body);
    CHECK_FALSE(reserveInput(budget_, now_, third, largeBody));
    removeHolding(budget_, first);
    const BudgetDecisions decisions = runMemoryBudget(budget_, now_);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].holding_ == second);
    CHECK(decisions[0].reason_ == BudgetReason::Granted);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenStalledUploadsHoldIt_EndsThemForThoseThatWait")
{
    const size_t granted = startUploads(20, largeBody);
    const BudgetDecisions decisions = run(Milliseconds(900));
    CHECK(countReason(decisions, BudgetReason::LeastProgress) > 0);
    CHECK(countReason(decisions, BudgetReason::Granted) > 0);
    CHECK(granted + countReason(decisions, BudgetReason::Granted) < 20);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenUploadsMakeProgress_RefusesThoseThatWaitTooLongInstead")
{
    std::vector<HoldingId> active;
    for (int index = 0; index < 4; ++index) {
        active.push_back(open(HoldingPhase::Body));
        REQUIRE(reserveInput(budget_, now_, active.back(), largeBody));
    }
    startUploads(5, largeBody);
    BudgetDecisions decisions;
    for (int step = 0; step < 12; ++step) {
        for (const HoldingId id : active) {
            recordReceived(budget_, now_, id, 64U << 10U);
        }
        const BudgetDecisions next = run(budgetCheckInterval);
        decisions.insert(decisions.end(), next.begin(), next.end());
    }
    CHECK(decisions.size() == 5);
    CHECK(countReason(decisions, BudgetReason::NoMemory) == 5);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenABodyTrickles_RefusesItAsStalled")
{
    const HoldingId id = open(HoldingPhase::Body);
    REQUIRE(reserveInput(budget_, now_, id, smallBody));
    BudgetDecisions decisions;
    for (int step = 0; step < 160 && decisions.empty(); ++step) {
        recordReceived(budget_, now_, id, 1);
        decisions = run(budgetCheckInterval);
    }
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].reason_ == BudgetReason::Stalled);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenAnswersAreNotRead_EndsTheSlowestReadersOnly")
{
    const HoldingId waiting = open(HoldingPhase::Exchange); // its upstream works
    for (int reader = 0; reader < 20; ++reader) {
        addOutput(budget_, now_, open(HoldingPhase::Exchange), largeBody);
    }
    now_ += Milliseconds(1000);
    const HoldingId fast = open(HoldingPhase::Exchange);
    addOutput(budget_, now_, fast, largeBody);
    const BudgetDecisions decisions = run(budgetCheckInterval);
    CHECK(countReason(decisions, BudgetReason::SlowReader) == decisions.size());
    CHECK(heldBytes(budget_) <= budget_.limits_.totalBytes_);
    CHECK(findRow(budget_.holdings_, waiting)->phase_ == HoldingPhase::Exchange);
    CHECK(findRow(budget_.holdings_, fast)->phase_ == HoldingPhase::Exchange);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenConnectionsAreTooMany_ClosesThoseThatAreSilentLongest")
{
    const HoldingId busy = open(HoldingPhase::Exchange);
    const HoldingId oldest = open(HoldingPhase::Idle);
    now_ += Milliseconds(1);
    while (budget_.open_ <= budget_.limits_.connections_) {
        open(HoldingPhase::Idle);
    }
    const BudgetDecisions decisions = runMemoryBudget(budget_, now_);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].holding_ == oldest);
    CHECK(findRow(budget_.holdings_, busy)->phase_ == HoldingPhase::Exchange);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenAnswersTakeItAll_GivesUpThoseWithoutProgressThatCostMost")
{
    constexpr size_t small = 48U << 10U;
    constexpr size_t large = 4U << 20U;
    now_ += std::chrono::seconds(10);
    const std::vector<SendHolding> sends{ { 1, small, now_ - std::chrono::seconds(1) },
        { 2, large, now_ - std::chrono::seconds(1) }, { 3, small, now_ - std::chrono::seconds(9) },
        { 4, 4 * large, now_ - Milliseconds(50) }, { 5, 34U << 10U, now_ - std::chrono::seconds(9) } };
    budget_.otherBytes_ = budget_.limits_.totalBytes_;
    CHECK(chooseSendsToGiveUp(budget_, now_, sends).empty());
    budget_.otherBytes_ += large;
    std::vector<SendHolding> chosen = chooseSendsToGiveUp(budget_, now_, sends);
    REQUIRE(chosen.size() == 1);
    CHECK(chosen[0].send_ == 2);
    budget_.otherBytes_ += small;
    chosen = chooseSendsToGiveUp(budget_, now_, sends);
    REQUIRE(chosen.size() == 2);
    CHECK(chosen[1].send_ == 3);
    budget_.otherBytes_ += 8 * large;
    CHECK(chooseSendsToGiveUp(budget_, now_, sends).size() == 3); // neither the one in progress nor the ordinary one
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenTheMemoryIsLowered_FollowsAtTheNextCheck")
{
    for (int reader = 0; reader < 8; ++reader) {
        addOutput(budget_, now_, open(HoldingPhase::Exchange), largeBody);
    }
    CHECK(run(budgetCheckInterval).empty());
    budget_.limits_ = makeBudgetLimits(memoryBytes / 4, descriptors);
    CHECK_FALSE(run(budgetCheckInterval).empty());
    CHECK(heldBytes(budget_) <= budget_.limits_.totalBytes_);
}

TEST_CASE_FIXTURE(MemoryBudgetFixture, "Budget_WhenConnectionsChangeAtRandom_KeepsItsSumsAndLimits")
{
    std::mt19937_64 random(1); // fixed seed
    std::vector<HoldingId> ids;
    for (int step = 0; step < 20000; ++step) {
        if (ids.size() < 100) {
            ids.push_back(open(static_cast<HoldingPhase>(random() % 4)));
        }
        const size_t index = random() % ids.size();
        const size_t bytes = random() % largeBody;
        switch (random() % 6) {
        case 0:
            reserveInput(budget_, now_, ids[index], bytes);
            break;
        case 1:
            addOutput(budget_, now_, ids[index], bytes);
            break;
        case 2:
            removeOutput(budget_, now_, ids[index], bytes);
            break;
        case 3:
            startPhase(budget_, now_, ids[index], static_cast<HoldingPhase>(random() % 5));
            break;
        case 4:
            removeHolding(budget_, ids[index]);
            ids.erase(ids.begin() + static_cast<ptrdiff_t>(index));
            break;
        default:
            run(budgetCheckInterval);
            CHECK(heldBytes(budget_) <= budget_.limits_.totalBytes_);
        }
    }
    for (const HoldingId id : ids) {
        removeHolding(budget_, id);
    }
    CHECK(heldBytes(budget_) == 0);
}
