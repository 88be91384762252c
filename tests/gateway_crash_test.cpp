/**
 * @file gateway_crash_test.cpp
 * @brief Tests of what gateways do about requests that crash the engines that answer them, in a simulated fleet.
 */
#include "crash_fleet_fixture.h"

#include "crash_evidence_func.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr Milliseconds settleTime{ 3000 }; ///< Time after the fifth crash from which hardly any request may follow.
constexpr Milliseconds returnTime{ 3000 }; ///< Time for engines to come back.
constexpr size_t allowedRuns = 3; ///< Requests with a deadly part that may reach engines after that.
constexpr Milliseconds contactTime{ 3000 }; ///< Time after its third crash from which copies of a request count.
constexpr Trait secondPart = 667; ///< Another part that crashes engines.

/// @return the seeds of drawn schedules, the first and the one after the last: a few, or as the environment variable
/// BURDOCKFIELD_CRASH_SEEDS says (FIRST:COUNT).
std::pair<uint64_t, uint64_t> scheduleSeeds()
{
    constexpr uint64_t seedsOfATest = 40;
    const char *text = std::getenv("BURDOCKFIELD_CRASH_SEEDS");
    if (text == nullptr) {
        return { 0, seedsOfATest };
    }
    const std::string range(text);
    const uint64_t first = std::stoull(range);
    return { first, first + std::stoull(range.substr(range.find(':') + 1)) };
}

/// Draws what disturbs a fleet: none of it lasts longer than a slow machine or a lossy link makes it.
CrashFleetDisturbance drawDisturbance(std::mt19937_64 &random)
{
    CrashFleetDisturbance disturbance;
    disturbance.stallsPerSecond_ = static_cast<double>(random() % 20) / 10;
    disturbance.longestStall_ = Milliseconds(random() % 600);
    disturbance.lostShare_ = static_cast<double>(random() % 30) / 1000;
    disturbance.longestDelay_ = Milliseconds(random() % 60);
    disturbance.eventShare_ = static_cast<double>(random() % 100) / 100;
    disturbance.longestCrashDelay_ = Milliseconds(random() % 100);
    return disturbance;
}

/// Runs a fleet until it has seen five crashes, or a time has passed, then for the settle time. Counts start there;
/// those of sound calls start once the engines are back.
void runUntilSettled(CrashFleetFixture &fleet, double sound, double deadly)
{
    const TimePoint end = fleet.now_ + std::chrono::seconds(12);
    while (fleet.counts_.crashes_ < 5 && fleet.now_ < end) {
        fleet.run(Milliseconds(10), sound, deadly);
    }
    fleet.run(settleTime, sound, deadly);
    fleet.counts_ = {};
    fleet.run(returnTime, sound, deadly);
    fleet.counts_.soundCalls_ = 0;
    fleet.counts_.soundServed_ = 0;
}

/// @return how many copies of a request reached engines later than the contact time after the third crash that it
/// caused.
size_t countLateSends(const DeadlyRequestRecord &record)
{
    if (record.crashes_.size() < 3) {
        return 0;
    }
    const TimePoint limit = record.crashes_[2] + contactTime;
    return std::count_if(record.sends_.begin(), record.sends_.end(), [limit](TimePoint at) { return at > limit; });
}

/// Copies of a deadly request that recur.
struct CopySchedule
{
    const char *body_ = "deadly"; ///< Body of the request.
    size_t copies_ = 1; ///< Copies that come one after another, each at another gateway.
    Milliseconds stagger_{ 0 }; ///< Time between these.
    Milliseconds interval_{ 0 }; ///< Time from these to the next ones.
    int rounds_ = 12; ///< How often they come.
    double sound_ = 30; ///< Sound requests a second beside them.
};

/// Sends copies of deadly requests beside sound requests, and has every request stay within the bound.
void checkContainment(CrashFleetFixture &fleet, const CopySchedule &schedule, const char *secondBody = nullptr)
{
    for (int round = 0; round < schedule.rounds_; ++round) {
        for (size_t copy = 0; copy < schedule.copies_; ++copy) {
            fleet.arrive(
                (round + copy) % fleet.gateways_.size(), { fleet.firstPart, fleet.deadlyPart }, schedule.body_);
            if (secondBody != nullptr) {
                fleet.arrive((round + copy) % fleet.gateways_.size(), { fleet.firstPart, secondPart }, secondBody);
            }
            fleet.run(schedule.stagger_, schedule.sound_, 0);
        }
        fleet.run(schedule.interval_, schedule.sound_, 0);
    }
    for (const auto &request : fleet.deadlyRequests_) {
        const auto &record = request.second;
        CAPTURE(request.first);
        CHECK(record.crashes_.size() >= 3);
        CHECK(countLateSends(record) <= allowedRuns);
    }
    CHECK_FALSE(isCondemned(fleet.gateways_[0].crashEvidence_, fleet.firstPart));
}

/// Runs a fleet with drawn copies of one of several deadly requests and, now and then, the outage of a rack.
void drawCopies(CrashFleetFixture &fleet, size_t requests)
{
    std::mt19937_64 &random = fleet.random_;
    const size_t request = random() % requests;
    const size_t copies = 1 + random() % 4;
    const Milliseconds stagger(random() % 2 == 0 ? 0 : random() % 200);
    for (size_t copy = 0; copy < copies; ++copy) {
        fleet.arrive(random() % fleet.gateways_.size(), { fleet.firstPart, fleet.deadlyPart + request },
            "deadly-" + std::to_string(request));
        fleet.run(stagger, 40, 0);
    }
    if (random() % 8 == 0) { // the outage of a rack
        const size_t first = random() % fleet.engines_.size();
        fleet.crashEngines({ first, (first + 1) % fleet.engines_.size(), (first + 2) % fleet.engines_.size() });
    }
    fleet.run(Milliseconds(random() % 4000), 40, 0);
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

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_WhenEnginesSendAnEventBeforeTheyCrash_ReachesEnginesNoMore")
{
    crashesAfterFirstEvent_ = true;
    runUntilSettled(*this, 100, 2);
    run(Milliseconds(5000), 100, 2);
    CHECK(counts_.deadlyRuns_ <= allowedRuns);
    CHECK(counts_.soundServed_ * 10 >= counts_.soundCalls_ * 9);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_WhenItsRequestsAreRare_ReachesEnginesNoMore")
{
    for (int request = 0; request < 20; ++request) {
        arrive(request % gateways_.size(), { firstPart, deadlyPart }, "rare-" + std::to_string(request));
        run(std::chrono::seconds(10), 5, 0);
    }
    CHECK(counts_.crashes_ <= 5 + allowedRuns);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_WhenItWasAnsweredBefore_ReachesEnginesNoMore")
{
    deadlyParts_.clear();
    run(Milliseconds(5000), 20, 5);
    deadlyParts_ = { deadlyPart };
    run(std::chrono::seconds(20), 20, 2);
    counts_ = {};
    run(std::chrono::seconds(10), 20, 2);
    CHECK(counts_.deadlyRuns_ <= allowedRuns);
    CHECK(counts_.soundServed_ * 10 >= counts_.soundCalls_ * 9);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_WhileGatewaysRestart_ReachesEnginesNoMore")
{
    runUntilSettled(*this, 50, 2);
    for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
        restartGateway(gateway);
        run(Milliseconds(1200), 50, 0); // requests within contactMs of a start are not held against it
        run(Milliseconds(4000), 50, 2);
    }
    CHECK(counts_.deadlyRuns_ <= allowedRuns);
    CHECK(isCondemned(gateways_[0].crashEvidence_, deadlyPart));
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_WhileItIsRequestedForMinutes_IsTriedAtMostThreeTimes")
{
    runUntilSettled(*this, 20, 2);
    run(std::chrono::seconds(150), 20, 2);
    CHECK(counts_.deadlyRuns_ <= allowedRuns);
    CHECK(counts_.deadlyRuns_ >= 1);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "Trial_WhileTheGatewayThatSendsItIsReplaced_IsSentAtMostThreeTimes")
{
    runUntilSettled(*this, 20, 2);
    for (int second = 0; second < 100; ++second) {
        if (second % 7 == 0) {
            restartGateway(static_cast<size_t>(second / 7) % gateways_.size());
            isolated_ = { static_cast<size_t>(second / 7 + 2) % gateways_.size() };
            run(Milliseconds(500), 20, 0);
            isolated_.clear();
        }
        run(Milliseconds(1000), 20, 2);
    }
    CHECK(counts_.deadlyRuns_ <= allowedRuns);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "Verdict_WhenItsCauseIsMended_IsWithdrawn")
{
    runUntilSettled(*this, 20, 2);
    deadlyParts_.clear();
    run(std::chrono::seconds(70), 20, 2); // until the next trial
    counts_ = {};
    refusals_.clear();
    run(std::chrono::seconds(5), 20, 2);
    CHECK(refusals_.empty());
    CHECK(counts_.soundServed_ * 10 >= counts_.soundCalls_ * 9);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "Verdict_WhenACutOffGatewayIsWrong_IsWithdrawnOnceItsPeersAreBack")
{
    constexpr Trait soundPart = 2;
    isolated_ = { 0 };
    gateways_[0].crashEvidence_.verdicts_[soundPart] = { 1, false, 0, noDeadline, now_ };
    arrive(1, { firstPart, soundPart }, "sound");
    run(Milliseconds(3000), 10, 0);
    isolated_.clear();
    run(Milliseconds(3000), 10, 0);
    for (const GatewayState &gateway : gateways_) {
        CHECK_FALSE(isCondemned(gateway.crashEvidence_, soundPart));
    }
}

TEST_CASE_FIXTURE(CrashFleetFixture, "RarePart_WhenEnginesCrashInWaves_IsNotBlamed")
{
    constexpr Trait rarePart = 3;
    for (size_t wave = 0; wave < 6; ++wave) {
        arrive(wave % gateways_.size(), { firstPart, rarePart }, "rare-" + std::to_string(wave));
        run(Milliseconds(50), 100, 0);
        crashEngines({ wave % 9, (wave + 3) % 9, (wave + 6) % 9 });
        run(Milliseconds(1000), 100, 0);
    }
    CHECK(std::none_of(refusals_.begin(), refusals_.end(),
        [](const RefuseCall &refusal) { return refusal.reason_ == RefusalReason::CrashSuspect; }));
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequest_WhenItIsSentAgainAndAgain_IsRefusedWithoutBlameForItsParts")
{
    constexpr Trait ownPart = 4;
    deadlyParts_ = { ownPart };
    for (int request = 0; request < 40; ++request) {
        arrive(request % gateways_.size(), { firstPart, ownPart }, "the same body");
        run(Milliseconds(500), 50, 0);
    }
    CHECK(counts_.crashes_ <= 5 + allowedRuns);
    CHECK_FALSE(isCondemned(gateways_[0].crashEvidence_, firstPart));
    CHECK_FALSE(isCondemned(gateways_[0].crashEvidence_, ownPart));
}

TEST_CASE_FIXTURE(CrashFleetFixture, "RareFirstPart_WhenDeadlyRequestsHaveIt_IsNotBlamed")
{
    constexpr Trait rareFirstPart = 5;
    for (int second = 0; second < 30; ++second) {
        arrive(second % gateways_.size(), { rareFirstPart, deadlyPart }, "deadly-" + std::to_string(second));
        if (second % 5 == 4) {
            arrive(second % gateways_.size(), { rareFirstPart }, "sound-" + std::to_string(second));
        }
        run(std::chrono::seconds(1), 50, 0);
        CHECK_FALSE(isCondemned(gateways_[0].crashEvidence_, rareFirstPart));
    }
    CHECK(isCondemned(gateways_[0].crashEvidence_, deadlyPart));
    CHECK(counts_.crashes_ <= 5 + allowedRuns);
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

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyPart_UnderDrawnStallsDelaysAndLosses_ReachesEnginesNoMore")
{
    const std::pair<uint64_t, uint64_t> seeds = scheduleSeeds();
    for (uint64_t seed = seeds.first; seed < seeds.second; ++seed) {
        CAPTURE(seed);
        random_.seed(seed);
        disturbance_ = {};
        crashesAfterFirstEvent_ = false;
        start({ 3 + random_() % 4, 9 });
        disturbance_ = drawDisturbance(random_);
        counts_ = {};
        const double deadly = 0.5 + static_cast<double>(random_() % 60) / 10;
        runUntilSettled(*this, 60, deadly);
        run(Milliseconds(5000), 60, deadly);
        CHECK(counts_.deadlyRuns_ <= allowedRuns);
    }
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequest_WhenItsEngineCrashesWithinTheStream_IsContained")
{
    crashesAfterFirstEvent_ = true;
    for (const int delay : { 100, 500, 1500, 3000 }) {
        CAPTURE(delay);
        disturbance_.shortestCrashDelay_ = disturbance_.longestCrashDelay_ = Milliseconds(delay);
        start({});
        checkContainment(*this, { .interval_ = Milliseconds(3200) });
    }
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequest_WhenItsEngineIsSilentBeforeItCrashes_IsContained")
{
    disturbance_.shortestCrashDelay_ = disturbance_.longestCrashDelay_ = Milliseconds(1800);
    checkContainment(*this, { .interval_ = Milliseconds(3200), .rounds_ = 30 }); // until both trials have been sent
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequest_WhenCopiesComeTogether_IsContained")
{
    for (const int stagger : { 0, 30, 90, 150 }) {
        CAPTURE(stagger);
        start({ 3, 12 });
        checkContainment(*this, { .copies_ = 3, .stagger_ = Milliseconds(stagger), .interval_ = Milliseconds(4000) });
    }
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequests_WhenTwoCrashEnginesAtTheSameTime_AreBothContained")
{
    deadlyParts_ = { deadlyPart, secondPart };
    for (const size_t copies : { 1, 2, 3 }) {
        CAPTURE(copies);
        start({ 3, 18 });
        checkContainment(*this, { .copies_ = copies, .interval_ = Milliseconds(4000) }, "deadly too");
    }
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequest_WhenOtherEnginesCrashAtTheSameTime_IsContained")
{
    start({ 3, 18 });
    for (int round = 0; round < 12; ++round) {
        for (size_t copy = 0; copy < 3; ++copy) {
            arrive(copy, { firstPart, deadlyPart }, "deadly");
        }
        run(Milliseconds(100), 30, 0);
        crashEngines({ static_cast<size_t>(round) % 18, static_cast<size_t>(round + 5) % 18 });
        run(Milliseconds(4000), 30, 0);
    }
    CHECK(countLateSends(deadlyRequests_.at("deadly")) <= allowedRuns);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequest_WhenItsEndingEngineAcceptsConnections_IsContained")
{
    disturbance_.longestExit_ = Milliseconds(300);
    checkContainment(*this, { .interval_ = Milliseconds(3200), .sound_ = 0.5 });
}

TEST_CASE_FIXTURE(CrashFleetFixture, "SoundCopies_WhenARackOfTheirEnginesCrashes_AreServedAgainSoon")
{
    for (size_t copy = 0; copy < 9; ++copy) {
        arrive(copy % gateways_.size(), { firstPart, Trait{ 7 } }, "copy");
    }
    run(Milliseconds(50), 30, 0);
    crashEngines({ 0, 1, 2, 3, 4, 5 });
    run(Milliseconds(2000), 30, 0);
    arrive(0, { firstPart, Trait{ 7 } }, "copy");
    run(Milliseconds(2000), 30, 0); // a trial, if there was a verdict
    refusals_.clear();
    counts_ = {};
    for (size_t copy = 0; copy < 9; ++copy) {
        arrive(copy % gateways_.size(), { firstPart, Trait{ 7 } }, "copy");
        run(Milliseconds(300), 30, 0);
    }
    CHECK(refusals_.empty());
    CHECK(counts_.soundServed_ + 10 >= counts_.soundCalls_);
}

TEST_CASE_FIXTURE(CrashFleetFixture, "DeadlyRequests_UnderDrawnSchedules_StayWithinTheBound")
{
    const std::pair<uint64_t, uint64_t> seeds = scheduleSeeds();
    for (uint64_t seed = seeds.first; seed < seeds.second; ++seed) {
        CAPTURE(seed);
        random_.seed(seed);
        disturbance_ = {};
        deadlyParts_ = { deadlyPart, deadlyPart + 1, deadlyPart + 2 };
        crashesAfterFirstEvent_ = random_() % 2 == 0;
        start({ 3 + random_() % 4, 12 });
        disturbance_ = drawDisturbance(random_);
        disturbance_.longestCrashDelay_ = Milliseconds(random_() % 3 == 0 ? 0 : random_() % 5000);
        disturbance_.longestExit_ = Milliseconds(random_() % 300);
        const size_t requests = 1 + random_() % 3;
        for (const TimePoint end = now_ + std::chrono::seconds(90); now_ < end;) {
            drawCopies(*this, requests);
        }
        for (const auto &request : deadlyRequests_) {
            const auto &record = request.second;
            CAPTURE(request.first);
            CHECK(countLateSends(record) <= allowedRuns);
        }
    }
}
