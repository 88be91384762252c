/**
 * @file case_deadly.cpp
 * @brief A request that crashes each runner at once comes in three copies at the same time, again and again.
 */
#include "fleet.h"

#include <cstdio>
#include <thread>

namespace {

using namespace Review;

constexpr int64_t contactMs = 3000;
constexpr size_t allowedRetries = 3; ///< BUDGET.
constexpr size_t crashesBefore = 3; ///< The third crash begins the count, after contactMs.
constexpr Milliseconds tick{ 20 };
constexpr int64_t lengthMs = 40000;
constexpr int64_t deadlyIntervalMs = 4000;
constexpr int copies = 3; ///< One to each gateway.
constexpr uint32_t gateways = 3;
constexpr int runners = 8;
constexpr int64_t otherIntervalMs = 100;

} // namespace

int main(int /*argc*/, char **argv)
{
    Fleet fleet;
    prepareFleet(fleet, argv[1], gateways);
    for (int index = 0; index < runners; ++index) {
        addRunner(fleet, "engines", { hasTrouble() ? "deadly=0" : "deadly=-1" });
    }
    startFleet(fleet);
    std::vector<std::thread> clients;
    const auto send = [&](const std::string &name, size_t number, const std::string &body,
                          const std::string &lastPart) {
        const GatewayProcess &gateway = fleet.gateways_[number % fleet.gateways_.size()];
        const Call call{ name + "-" + std::to_string(number), "/firm/a", body, 6000, "aa:60," + lastPart + ":40" };
        clients.emplace_back([&gateway, call] { sendCall(gateway, call); });
    };
    size_t deadly = 0;
    size_t others = 0;
    const int64_t begin = nowMs();
    int64_t nextDeadly = begin;
    for (int64_t nextOther = begin; nowMs() - begin < lengthMs; std::this_thread::sleep_for(tick)) {
        reviveRunners(fleet);
        if (nowMs() >= nextDeadly) {
            nextDeadly += deadlyIntervalMs;
            for (int copy = 0; copy < copies; ++copy) {
                send("deadly", deadly++, "deadly", "dead");
            }
        }
        if (nowMs() >= nextOther) {
            nextOther += otherIntervalMs;
            send("other", others, "body " + std::to_string(others), std::to_string(others));
            ++others;
        }
    }
    for (std::thread &client : clients) {
        client.join();
    }
    size_t crashes = 0;
    int64_t countFrom = 0;
    size_t retries = 0;
    size_t cutOthers = 0;
    for (const RecordLine &line : readRecord(fleet.recordFile_)) {
        crashes += line.event_ == "crashes" ? 1 : 0;
        countFrom = countFrom == 0 && crashes == crashesBefore ? line.at_ + contactMs : countFrom;
        const bool arrives = line.event_ == "runs" && line.request_.starts_with("deadly");
        retries += arrives && countFrom != 0 && line.at_ > countFrom ? 1 : 0;
        cutOthers += line.event_ == "gets" && line.request_.starts_with("other")
                && line.rest_.find(" complete") == std::string::npos
            ? 1
            : 0;
    }
    std::printf("%zu crashes; the request reached runners %zu times later than %d ms after the third crash, %zu are"
                " allowed; %zu streams of other clients were cut\n",
        crashes, retries, static_cast<int>(contactMs), allowedRetries, cutOthers);
    stopFleet(fleet);
    return retries > allowedRetries ? 1 : 0;
}
