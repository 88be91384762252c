/**
 * @file gateway_crash_test.cpp
 * @brief Tests of what gateways do about requests that crash the engines that answer them, in a simulated fleet.
 */
#include "crash_fleet_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr Milliseconds settleTime{ 3000 }; ///< Time after the fifth crash from which hardly any request may follow.
constexpr Milliseconds returnTime{ 3000 }; ///< Time for engines to come back.
constexpr size_t allowedRuns = 3; ///< Requests with a deadly part that may reach engines after that.

/// Runs a fleet until it has seen five crashes, or a time has passed, then for the settle time. Counts start there;
/// those of sound calls start once the engines are back.
void runUntilSettled(CrashFleetFixture &fleet, double sound, double deadly)
{
    const TimePoint end = fleet.now_ + std::chrono::seconds(60);
    while (fleet.counts_.crashes_ < 5 && fleet.now_ < end) {
        fleet.run(Milliseconds(10), sound, deadly);
    }
    fleet.run(settleTime, sound, deadly);
    fleet.counts_ = {};
    fleet.run(returnTime, sound, deadly);
    fleet.counts_.soundCalls_ = 0;
    fleet.counts_.soundServed_ = 0;
}

} // namespace

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_WhenItsRequestsAreAllDifferent_ReachesEnginesNoMore")
{
    for (const double deadly : { 0.5, 2.0, 8.0 }) {
        CAPTURE(deadly);
        start({});
        counts_ = {};
        runUntilSettled(*this, 100, deadly);
        run(Milliseconds(12000), 100, deadly);
        CHECK(counts_.deadlyRuns_ <= allowedRuns);
        CHECK(counts_.soundServed_ * 10 >= counts_.soundCalls_ * 9);
    }
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_WhenTheFleetIsLarge_ReachesEnginesNoMore")
{
    start({ 25, 40 });
    runUntilSettled(*this, 400, 10);
    run(Milliseconds(5000), 400, 10);
    CHECK(counts_.deadlyRuns_ <= allowedRuns);
    CHECK(counts_.soundServed_ * 10 >= counts_.soundCalls_ * 9);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "SharedPart_WhenEnginesCrashInWaves_IsNotBlamed")
{
    for (size_t wave = 0; wave < 6; ++wave) {
        crashEngines({ wave % 9, (wave + 3) % 9, (wave + 6) % 9 });
        run(Milliseconds(1000), 100, 0);
    }
    run(Milliseconds(4000), 100, 0);
    CHECK(std::none_of(refusals_.begin(), refusals_.end(),
        [](const RefuseCall &refusal) { return refusal.reason_ == RefusalReason::CrashSuspect; }));
}
