/**
 * @file schedule_test.cpp
 * @brief Promises under random schedules of faults, by RapidCheck.
 *
 * RC_PARAMS sets seed and count for long runs, for example RC_PARAMS="seed=7 max_success=2000".
 */
#include "schedule_fixture.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr int longestSchedule = 60;
constexpr Milliseconds settleTime{ 8000 };

/// Kinds of step of a schedule.
enum class Step : uint8_t {
    SubmitOnce, ///< A request that may run at most once, without a key.
    SubmitKeyed, ///< A request with a fresh key.
    Resend, ///< An earlier key again, through either entry.
    SubmitRepeatable, ///< A request that may be repeated.
    Wait, ///< Time passes.
    RestartAgent, ///< An agent dies and comes back.
    RestartEntry, ///< An entry dies and comes back.
    FreezeAgent, ///< An agent is paused.
    CrashEngine, ///< The next start crashes its engine.
    StoreDown, ///< The store refuses.
    StoreLoses, ///< The store loses answers.
    StoreUp, ///< The store works.
    Loss, ///< Messages are lost.
    NoLoss, ///< Messages arrive.
    Delay, ///< Messages take long, and overtake each other.
    NoDelay, ///< Messages are prompt.
};

constexpr uint8_t stepCount = 16;

void submitStep(ScheduleFixture &fixture, Step step, uint32_t argument, uint32_t number)
{
    ScheduledCall call;
    call.entry_ = argument % 2;
    call.tier_ = argument % 3 == 0 ? "urgent" : "background";
    call.payload_ = "p" + std::to_string(number);
    if (step == Step::SubmitRepeatable) {
        call.route_ = "itinerary";
    } else if (step == Step::SubmitKeyed) {
        call.key_ = "k" + call.payload_;
    } else if (step == Step::Resend) {
        const uint32_t earlier = number > 0 ? argument % number : 0;
        call.payload_ = "p" + std::to_string(earlier);
        call.key_ = "k" + call.payload_;
        for (const auto &[exchange, caller] : fixture.callers_) {
            if (caller.payload_ == call.payload_ && caller.key_.empty()) {
                return;
            }
        }
    }
    submit(fixture, call);
}

void applyStep(ScheduleFixture &fixture, Step step, uint32_t argument, uint32_t number)
{
    switch (step) {
    case Step::SubmitOnce:
    case Step::SubmitKeyed:
    case Step::Resend:
    case Step::SubmitRepeatable:
        submitStep(fixture, step, argument, number);
        break;
    case Step::Wait:
        passTime(fixture, Milliseconds(argument % 1500));
        break;
    case Step::RestartAgent:
        restartAgent(fixture, argument % 2);
        break;
    case Step::RestartEntry:
        restartEntry(fixture, argument % 2);
        break;
    case Step::FreezeAgent:
        freezeAgent(fixture, argument % 2, Milliseconds(argument % 7000));
        break;
    case Step::CrashEngine:
        fixture.engineCrashes_ = true;
        break;
    case Step::StoreDown:
        fixture.store_ = StoreWeather::Down;
        break;
    case Step::StoreLoses:
        fixture.store_ = StoreWeather::LosesAnswers;
        break;
    case Step::StoreUp:
        fixture.store_ = StoreWeather::Up;
        break;
    case Step::Loss:
        fixture.loss_ = 0.2;
        break;
    case Step::NoLoss:
        fixture.loss_ = 0;
        break;
    case Step::Delay:
        fixture.longestDelay_ = Milliseconds(argument % 9000);
        break;
    case Step::NoDelay:
        fixture.longestDelay_ = Milliseconds(5);
        break;
    }
}

void runSchedule(const std::vector<std::pair<uint8_t, uint32_t>> &steps)
{
    ScheduleFixture fixture;
    uint32_t number = 0;
    for (const auto &[kind, argument] : steps) {
        applyStep(fixture, static_cast<Step>(kind % stepCount), argument, number++);
        passTime(fixture, Milliseconds(20));
        RC_ASSERT(findBrokenPromise(fixture) == "");
    }
    passTime(fixture, settleTime);
    RC_ASSERT(findBrokenPromise(fixture) == "");
}

} // namespace

TEST_CASE("Promises_UnderRandomSchedulesOfFaults_HoldAfterEachStep")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=4000", 0);
    // Ranges of RapidCheck grow with the size, so the parts of a step are drawn at the full one.
    const auto kind = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint8_t>(0, stepCount));
    const auto argument = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint32_t>(0, 100000));
    const auto schedule = rc::gen::container<std::vector<std::pair<uint8_t, uint32_t>>>(rc::gen::pair(kind, argument));
    const bool held = rc::check([&schedule] { runSchedule(*rc::gen::resize(longestSchedule, schedule)); });
    CHECK(held);
}

TEST_CASE_FIXTURE(ScheduleFixture, "Request_WhenNothingFails_IsAnsweredWhole")
{
    const ExchangeId once = submit(*this, { "booking", "a", "", "standard", 0 });
    const ExchangeId keyed = submit(*this, { "booking", "b", "key", "standard", 1 });
    const ExchangeId repeatable = submit(*this, { "itinerary", "c", "", "standard", 0 });
    passTime(*this, Milliseconds(1000));
    for (const ExchangeId exchange : { once, keyed, repeatable }) {
        CHECK(callers_[exchange].answered_);
        CHECK(callers_[exchange].text_ == fakeAnswer(callers_[exchange].payload_));
    }
    CHECK(starts_.size() == 3);
}
