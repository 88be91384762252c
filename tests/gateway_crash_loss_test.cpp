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

    /// @return how many copies reached engines later than the contact time after the third crash.
    size_t countLateCopies()
    {
        constexpr Milliseconds contactTime{ 3000 };
        for (int round = 0; round < 10; ++round) {
            for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
                arrive(gateway, { firstPart, deadlyPart }, "deadly");
            }
            run(Milliseconds(4000), 10, 0);
        }
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
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenOneGatewayNoticesNoCrash_IsContained")
{
    downEngines_ = { { 0, DownEngine::Accepts } };
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenUpdatesBetweenGatewaysAreLate_IsContained")
{
    disturbance_.longestDelay_ = Milliseconds(2000);
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenCrashedEnginesAcceptConnectionsForASecond_IsContained")
{
    disturbance_.longestExit_ = Milliseconds(1000);
    CHECK(countLateCopies() <= allowedCopies);
}

TEST_CASE_FIXTURE(CrashLossFixture, "DeadlyRequest_WhenItsCrashesSpread_IsContained")
{
    disturbance_.longestCrashDelay_ = Milliseconds(400);
    disturbance_.eventShare_ = 1;
    CHECK(countLateCopies() <= allowedCopies);
}
