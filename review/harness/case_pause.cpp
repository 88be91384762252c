/**
 * @file case_pause.cpp
 * @brief A runner pauses in the middle of a stream. Does the stream go on at another one while the first still works?
 */
#include "fleet.h"

#include <cstdio>
#include <thread>

namespace {

using namespace Review;

constexpr int pauseMs = 1800; ///< Below the two seconds after which clients abandon a stream.
constexpr int64_t allowedOverlapMs = 400; ///< TWICE.
constexpr int requests = 12;
constexpr Milliseconds requestInterval{ 400 };

/// Run of a request at a runner.
struct Run
{
    std::string runner_;
    int64_t from_ = 0;
    int64_t to_ = 0; ///< Its last event or its end.
};

std::vector<Run> findRuns(const std::vector<RecordLine> &lines, const std::string &request)
{
    std::vector<Run> runs;
    for (const RecordLine &line : lines) {
        if (line.request_ != request || line.who_ == "client") {
            continue;
        }
        if (line.event_ == "runs") {
            runs.push_back({ line.who_, line.at_, line.at_ });
        }
        for (Run &run : runs) {
            run.to_ = run.runner_ == line.who_ ? line.at_ : run.to_;
        }
    }
    return runs;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    Fleet fleet;
    prepareFleet(fleet, argv[1], 2);
    const std::string pause = "pause=" + std::to_string(hasTrouble() ? pauseMs : 0);
    for (int index = 0; index < 3; ++index) {
        addRunner(fleet, "engines", { pause, "trace=1" });
    }
    startFleet(fleet);
    std::vector<std::thread> clients;
    for (int index = 0; index < requests; ++index) {
        clients.emplace_back([&fleet, index] {
            const std::string id = "request-" + std::to_string(index);
            sendCall(fleet.gateways_[static_cast<size_t>(index) % 2], { id, "/stream/a", "body " + id });
        });
        std::this_thread::sleep_for(requestInterval);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::this_thread::sleep_for(Milliseconds(pauseMs + 1000)); // runs that go on have ended
    const std::vector<RecordLine> lines = readRecord(fleet.recordFile_);
    int broken = 0;
    for (int index = 0; index < requests; ++index) {
        const std::string id = "request-" + std::to_string(index);
        const std::vector<Run> runs = findRuns(lines, id);
        if (runs.size() > 1 && runs[0].to_ - runs[1].from_ > allowedOverlapMs) {
            ++broken;
            record("check", "TWICE", id,
                runs[0].runner_ + " works " + std::to_string(runs[0].to_ - runs[1].from_) + " ms after it went on at "
                    + runs[1].runner_);
        }
    }
    std::printf(
        "%d of %d requests went on at another runner while the one before still worked on them over %d ms later\n",
        broken, requests, static_cast<int>(allowedOverlapMs));
    stopFleet(fleet);
    return broken > 0 ? 1 : 0;
}
