/**
 * @file case_cut.cpp
 * @brief One of four runners of each service is killed while it sends answers that end with their connection.
 */
#include "fleet.h"

#include <csignal>
#include <cstdio>
#include <thread>

namespace {

using namespace Review;

constexpr int requests = 16; ///< Of each kind, in flight at once.
constexpr int runnersOfService = 4; ///< One of them is killed, the largest share that the site's days crash.
constexpr int workMs = 300; ///< Of a plain answer to its first half, and again to its second.
constexpr Milliseconds killAfter{ 450 }; ///< Streams are in their middle then, plain answers between their halves.
constexpr size_t wholeEvents = 20;
constexpr size_t wholeBytes = 800;

/// Whether a client has received a complete success that is shorter than what a runner gives to such a request.
bool isShortSuccess(const Message &answer, bool streamed)
{
    const bool whole = streamed ? countOf(answer.body_, "id: ") == wholeEvents : answer.body_.size() == wholeBytes;
    return statusOf(answer) == 200 && answer.complete_ && !whole;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    Fleet fleet;
    prepareFleet(fleet, argv[1], 2);
    for (int index = 0; index < runnersOfService; ++index) {
        addRunner(fleet, "engines", { "unframed=1", "trace=1" });
        addRunner(fleet, "desk", { "unframed=1", "work=" + std::to_string(workMs) });
    }
    startFleet(fleet);
    std::mutex mutex;
    int streams = 0;
    int bookings = 0;
    std::vector<std::thread> clients;
    for (int index = 0; index < 2 * requests; ++index) {
        clients.emplace_back([&, index] {
            const bool streamed = index % 2 == 0;
            const std::string id = (streamed ? "stream-" : "booking-") + std::to_string(index / 2);
            const Call call{ id, streamed ? "/stream/a" : "/once/a", "body " + id };
            const Message answer = sendCall(fleet.gateways_[static_cast<size_t>(index / 2) % 2], call);
            if (isShortSuccess(answer, streamed)) {
                record("check", streamed ? "ORDER" : "MIXED", id, describeAnswer(answer));
                const std::scoped_lock lock(mutex);
                ++(streamed ? streams : bookings);
            }
        });
    }
    std::this_thread::sleep_for(killAfter);
    if (hasTrouble()) {
        for (size_t index = 0; index < 2; ++index) { // the first runner of each service
            record(fleet.runners_[index].id_, "killed", "");
            killProcess(fleet.runners_[index].process_, SIGKILL);
        }
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::printf("%d of %d streams ended as complete before their last event, %d of %d bookings got a success without"
                " the whole body\n",
        streams, requests, bookings, requests);
    stopFleet(fleet);
    return streams + bookings > 0 ? 1 : 0;
}
