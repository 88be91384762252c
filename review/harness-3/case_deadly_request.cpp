/**
 * @file case_deadly_request.cpp
 * @brief A request that crashes runners comes again with another query: it is never contained.
 */
#include "cases.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <sys/wait.h>

namespace Review {

namespace {

constexpr uint64_t bornMs = 1790000000000;
constexpr size_t runnerCount = 3;
constexpr Milliseconds restartTime{ 2500 }; ///< Time for which a crashed runner is away.
constexpr Milliseconds contactTime{ 3000 };
constexpr size_t allowedRetries = 3;
constexpr int deadlyRequests = 20;
constexpr Milliseconds deadlyInterval{ 1200 };
constexpr Milliseconds watchInterval{ 10 };

/// Crashes of all runners, as the platform sees them.
struct Crashes
{
    std::mutex mutex_;
    std::vector<Clock::time_point> times_;
};

/// Runner that is started again, as a new incarnation at its address, some seconds after each crash.
struct RestartedRunner
{
    RunnerSpec spec_;
    std::string name_;
    int starts_ = 0;
    Process process_;
};

void startAgain(Deployment &deployment, const std::string &program, RestartedRunner &runner)
{
    ++runner.starts_;
    runner.spec_.id_ = runner.name_ + std::to_string(runner.starts_);
    runner.process_
        = startProgram({ program, "runner", runner.spec_.id_, std::to_string(runner.spec_.address_.port_),
                           deployment.spec_.folder_ + "/" + runner.spec_.id_ + ".txt", isCalm() ? "sound" : "mortal" },
            deployment.spec_.folder_ + "/runner.log");
    std::this_thread::sleep_for(Milliseconds(200));
    registerRunner(deployment, runner.spec_, "ready", bornMs + static_cast<uint64_t>(runner.starts_));
}

/// @return whether the runner's process has ended.
bool hasEnded(RestartedRunner &runner)
{
    const bool ended = waitpid(runner.process_.id_, nullptr, WNOHANG) == runner.process_.id_;
    runner.process_.id_ = ended ? -1 : runner.process_.id_;
    return ended;
}

void keepRunning(Record &record, Deployment &deployment, const std::string &program, RestartedRunner &runner,
    Crashes &crashes, const std::atomic<bool> &stopped)
{
    while (!stopped) {
        std::this_thread::sleep_for(watchInterval);
        if (!hasEnded(runner)) {
            continue;
        }
        {
            const std::lock_guard lock(crashes.mutex_);
            crashes.times_.push_back(Clock::now());
        }
        note(record, "runner " + runner.spec_.id_ + ": crashes");
        std::this_thread::sleep_for(restartTime);
        removeRow(*deployment.store_, { "servers", runner.spec_.id_ });
        startAgain(deployment, program, runner);
    }
}

void sendDeadlyRequests(Record &record, Deployment &deployment)
{
    for (int number = 1; number <= deadlyRequests; ++number) {
        Connection client = connectTo(deployment.spec_.front_);
        const std::string path = "/read/2f?attempt=" + std::to_string(number);
        sendRequest(record, client, { "POST", path, "9c41d07be2a3" + std::to_string(1000 + number), deadlyBody });
        const std::optional<Message> answer = readMessage(client, Milliseconds(7000));
        note(record, "client: gets " + (answer ? answer->startLine_ : "no whole answer"));
        std::this_thread::sleep_for(deadlyInterval);
    }
}

Outcome judge(Record &record, const std::vector<Clock::time_point> &crashes)
{
    const auto isLate = [&crashes](Clock::time_point at) {
        return at > crashes[2] + contactTime;
    };
    const auto late
        = crashes.size() < 3 ? 0 : static_cast<size_t>(std::count_if(crashes.begin(), crashes.end(), isLate));
    note(record,
        std::to_string(crashes.size()) + " crashes, " + std::to_string(late)
            + " of them by retries later than contactMs after the third; " + std::to_string(allowedRetries)
            + " are allowed");
    return late > allowedRetries ? Outcome::Broken : Outcome::Held;
}

} // namespace

Outcome runDeadlyRequestCase(Record &record, const std::string &program)
{
    Deployment deployment;
    if (!startPlatform(deployment)) {
        return Outcome::NotRun;
    }
    std::array<RestartedRunner, runnerCount> runners;
    for (size_t number = 0; number < runnerCount; ++number) {
        runners[number].name_ = "i-7f3a91c" + std::to_string(number) + "-";
        runners[number].spec_.address_ = findFreeAddress("127.0.0.1");
        startAgain(deployment, program, runners[number]);
    }
    if (!startGateway(deployment)) {
        return Outcome::NotRun;
    }
    Crashes crashes;
    std::atomic<bool> stopped = false;
    std::vector<std::thread> watches;
    for (RestartedRunner &runner : runners) {
        watches.emplace_back([&] { keepRunning(record, deployment, program, runner, crashes, stopped); });
    }
    sendDeadlyRequests(record, deployment);
    stopped = true;
    std::for_each(watches.begin(), watches.end(), [](std::thread &watch) { watch.join(); });
    return judge(record, crashes.times_);
}

} // namespace Review
