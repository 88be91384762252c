/**
 * @file gateway_crash_loss_test.cpp
 * @brief Tests of deadly requests in a simulated fleet in which crashes are hard to notice, or reports of them are
 * lost.
 */
#include "crash_fleet_fixture.h"

#include <algorithm>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Fleet of review case 5: three copies of a deadly request, one at each gateway, come every four seconds.
struct CrashLossFixture : CrashFleetFixture
{
    CrashLossFixture()
    {
        start({ 3, 8 });
    }

    /// Sends copies to all gateways, every four seconds.
    void sendCopies(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
                arrive(gateway, { firstPart, deadlyPart }, "deadly");
            }
            run(Milliseconds(4000), 10, 0);
        }
    }

    /// Kills all gateways and starts them again.
    void restartAll()
    {
        for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
            restartGateway(gateway);
        }
        run(Milliseconds(3000), 10, 0);
    }

    /// @return how many copies reached engines later than the contact time after the third crash.
    size_t countLateCopies()
    {
        constexpr Milliseconds contactTime{ 3000 };
        const DeadlyRequestRecord &record = deadlyRequests_.at("deadly");
        REQUIRE(record.crashes_.size() >= 3);
        const TimePoint limit = record.crashes_[2] + contactTime;
        return std::count_if(record.sends_.begin(), record.sends_.end(), [limit](TimePoint at) { return at > limit; });
    }

    static constexpr size_t allowedCopies = 3; ///< Late copies that callers are promised at most.
};

} // namespace

// A relay or another process at the address accepts connections, so that no check finds the engine to be down.
TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenConnectionsToDownEnginesAreAccepted_IsContained")
{
    downEngines_ = { { 0, DownEngine::Accepts }, { 1, DownEngine::Accepts }, { 2, DownEngine::Accepts } };
    sendCopies(10);
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenOneGatewayNoticesNoCrash_IsContained")
{
    downEngines_ = { { 0, DownEngine::Accepts } };
    sendCopies(10);
    CHECK(countLateCopies() <= allowedCopies);
}

// Each gateway sees one crash of each three, and hears of none of the others.
TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenUpdatesBetweenGatewaysAreLost_IsContained")
{
    isolated_ = { 0, 1, 2 };
    sendCopies(10);
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenUpdatesBetweenGatewaysAreLate_IsContained")
{
    disturbance_.longestDelay_ = Milliseconds(2000);
    sendCopies(10);
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenCrashedEnginesAcceptConnectionsForASecond_IsContained")
{
    disturbance_.longestExit_ = Milliseconds(1000);
    sendCopies(10);
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenItsCrashesSpread_IsContained")
{
    disturbance_.longestCrashDelay_ = Milliseconds(400);
    disturbance_.eventShare_ = 1;
    sendCopies(10);
    CHECK(countLateCopies() <= allowedCopies);
}

// Review case 10: what is known of the request was lost when all gateways were killed.
TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenAllGatewaysRestart_IsContained")
{
    for (int restart = 0; restart < 4; ++restart) {
        sendCopies(2);
        restartAll();
    }
    sendCopies(2);
    CHECK(countLateCopies() <= allowedCopies);
}

// One copy between two restarts: crashes have to be kept before they are enough for a verdict.
TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenAllGatewaysRestartAfterEachCrash_IsContained")
{
    for (int restart = 0; restart < 10; ++restart) {
        arrive(static_cast<size_t>(restart) % gateways_.size(), { firstPart, deadlyPart }, "deadly");
        run(Milliseconds(4000), 10, 0);
        restartAll();
    }
    CHECK(countLateCopies() <= allowedCopies);
}

// The store comes back from a copy without the rows; gateways still know them.
TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenTheStoreLosesItsRowsBeforeAllGatewaysRestart_IsContained")
{
    sendCopies(1);
    REQUIRE_FALSE(storedVerdicts_.empty());
    storedCrashes_.clear();
    storedVerdicts_.clear();
    for (GatewayInbox &inbox : inboxes_) {
        UpstreamsReceived change;
        change.version_ = { 1, 1 };
        inbox.upstreams_.push_back(change);
    }
    run(Milliseconds(1000), 10, 0);
    CHECK_FALSE(storedVerdicts_.empty());
    CHECK_FALSE(storedCrashes_.empty());
    restartAll();
    sendCopies(2);
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenTheStoreIsDownForAWhile_IsKeptOnceItIsBack")
{
    storeDown_ = true;
    sendCopies(1);
    CHECK(storedVerdicts_.empty());
    storeDown_ = false;
    run(Milliseconds(2000), 10, 0);
    CHECK_FALSE(storedVerdicts_.empty());
}

// A verdict that outlives all gateways would refuse a request for ever that nobody sends any more.
TEST_CASE_FIXTURE(CrashLossFixture, "Verdict_WhenAllGatewaysRestartAfterItsTime_IsForgotten")
{
    sendCopies(1);
    REQUIRE_FALSE(storedVerdicts_.empty());
    now_ += std::chrono::minutes(11);
    restartAll();
    CHECK(gateways_[0].crashEvidence_.verdicts_.empty());
    run(Milliseconds(2000), 10, 0);
    CHECK(storedVerdicts_.empty());
    CHECK(storedCrashes_.empty());
}

TEST_CASE_FIXTURE(CrashLossFixture, "Verdict_WhenItsRequestIsAnswered_IsRemovedFromTheStore")
{
    sendCopies(1);
    REQUIRE_FALSE(storedVerdicts_.empty());
    deadlyParts_.clear();
    for (int round = 0; round < 10; ++round) { // one of them is the trial
        sendCopies(1);
    }
    CHECK(storedVerdicts_.empty());
    restartAll();
    CHECK(gateways_[0].crashEvidence_.verdicts_.empty());
}

// Suspects that were answered, and crashes that blame nobody any more, would blame sound requests after a restart.
TEST_CASE_FIXTURE(CrashLossFixture, "SoundRequest_WhenAnsweredAfterItsCrashes_IsNotBlamedAfterARestart")
{
    const auto sendSound = [this] {
        for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
            arrive(gateway, { firstPart }, "sound");
        }
    };
    for (int round = 0; round < 4; ++round) {
        sendSound();
        run(Milliseconds(50), 0, 0);
        crashEngines({ 0, 1, 2, 3, 4, 5, 6, 7 });
        run(Milliseconds(4000), 0, 0);
        sendSound();
        run(Milliseconds(1000), 0, 0);
    }
    CHECK(storedCrashes_.empty());
    restartAll();
    CHECK(gateways_[0].crashEvidence_.suspects_.empty());
    CHECK(gateways_[0].crashEvidence_.verdicts_.empty());
}

// A transaction has at most 100 rows, and all gateways together have 400 writes a second.
TEST_CASE_FIXTURE(CrashLossFixture, "StoreWrites_WhenManyDifferentRequestsCrashEngines_StayFew")
{
    start({ 3, 40 });
    storeWrites_ = 0;
    constexpr int64_t seconds = 60;
    run(std::chrono::seconds(seconds), 200, 20);
    CHECK(counts_.crashes_ > 3);
    CHECK(largestWrite_ <= 100);
    CHECK(storeWrites_ <= 3 * 2 * seconds);
}
