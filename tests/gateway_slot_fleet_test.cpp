/**
 * @file gateway_slot_fleet_test.cpp
 * @brief Tests of how a large fleet of gateways shares the slots of few engines, under load and while brokers fail.
 */
#include "crash_fleet_fixture.h"

#include <algorithm>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Fleet of many gateways before few engines, as in a deployment with hundreds of machines.
struct SlotFleetFixture : CrashFleetFixture
{
    static constexpr size_t gatewayCount = 60;
    static constexpr size_t engineCount = 12;
    static constexpr double callsPerSecond = 190; ///< Four fifths of what the engines can answer.

    SlotFleetFixture()
    {
        start({ gatewayCount, engineCount });
        counts_ = {};
    }

    /// Runs the fleet under load for a time, then until all calls have ended.
    void load(Milliseconds time)
    {
        run(time, callsPerSecond, 0);
        run(std::chrono::seconds(1), 0, 0);
    }

    /// @return the gateway that assigns the slots, as seen by another one.
    size_t findBrokerIndex() const
    {
        const std::string *broker = findBroker(gateways_[0], "region-1");
        for (size_t index = 0; index < gateways_.size(); ++index) {
            if (broker != nullptr && gateways_[index].peerAddress_ == *broker) {
                return index;
            }
        }
        return 0;
    }

    double servedShare() const
    {
        return static_cast<double>(counts_.soundServed_)
            / static_cast<double>(std::max<size_t>(1, counts_.soundCalls_));
    }

    double crowdedShare() const
    {
        return static_cast<double>(counts_.crowdedRuns_)
            / static_cast<double>(std::max<size_t>(1, counts_.soundCalls_));
    }
};

} // namespace

TEST_CASE_FIXTURE(SlotFleetFixture, "Slots_WhenManyGatewaysShareFewEngines_AreHardlyEverTakenTwice")
{
    load(std::chrono::seconds(5));
    CHECK(crowdedShare() < 0.03);
    CHECK(servedShare() > 0.95);
}

TEST_CASE_FIXTURE(SlotFleetFixture, "Refusals_WhenDemandIsTwiceTheCapacity_ComeEarlyAndLeaveNoSlotUnused")
{
    constexpr double capacity = 240; // calls a second: twelve engines with four slots, 200 ms each
    run(std::chrono::seconds(1), 2 * capacity, 0);
    counts_ = {};
    run(std::chrono::seconds(4), 2 * capacity, 0);
    REQUIRE(counts_.refused_ > 0);
    const Duration mean = counts_.refusedAfter_ / static_cast<int64_t>(counts_.refused_);
    CHECK(mean < Milliseconds(100)); // a quarter of the latency target
    CHECK(static_cast<double>(counts_.soundServed_) > 0.95 * capacity * 4);
}

TEST_CASE_FIXTURE(SlotFleetFixture, "Slots_WhenMessagesAreLateAndLost_AreRarelyTakenTwice")
{
    disturbance_.lostShare_ = 0.025;
    disturbance_.longestDelay_ = Milliseconds(20);
    load(std::chrono::seconds(5));
    CHECK(crowdedShare() < 0.05);
    CHECK(servedShare() > 0.95);
}

TEST_CASE_FIXTURE(SlotFleetFixture, "Slots_WhenTheBrokerIsCutOff_AreAssignedByAnother")
{
    run(std::chrono::seconds(1), callsPerSecond, 0);
    counts_ = {};
    isolated_.insert(findBrokerIndex());
    load(std::chrono::seconds(4));
    CHECK(servedShare() > 0.9);
    CHECK(crowdedShare() < 0.05);
}

TEST_CASE_FIXTURE(SlotFleetFixture, "Slots_WhenBrokersRestartOneAfterTheOther_AreStillAssigned")
{
    run(std::chrono::seconds(1), callsPerSecond, 0);
    counts_ = {};
    size_t restarts = 0;
    for (; restarts < 5; ++restarts) {
        restartGateway(findBrokerIndex());
        run(Milliseconds(800), callsPerSecond, 0);
    }
    load(std::chrono::seconds(1));
    CHECK(servedShare() > 0.85);
    CHECK(crowdedShare() < 0.06);
}

TEST_CASE_FIXTURE(SlotFleetFixture, "Slots_WhenAllGatewaysRestartAtOnce_AreAssignedAgain")
{
    for (size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        restartGateway(gateway);
    }
    run(std::chrono::seconds(2), 0, 0);
    counts_ = {};
    load(std::chrono::seconds(3));
    CHECK(crowdedShare() < 0.03);
    CHECK(servedShare() > 0.95);
}
