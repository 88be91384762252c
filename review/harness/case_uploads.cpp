/**
 * @file case_uploads.cpp
 * @brief Many clients send long requests at once, each within the operator's limits. The platform ends a gateway that
 * exceeds the memory of its machine, and starts it again.
 */
#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace {

using namespace Review;

constexpr uint32_t machineMemoryMb = 110; ///< memory_mb of an edge machine of the site.
constexpr size_t bodyBytes = 4'000'000; ///< Below the operator's maxBodyBytes of 4,194,304.
constexpr int uploadsAtOnce = 60; ///< To each gateway.
constexpr int uploadsAtOnceWithoutTrouble = 2;
constexpr int bookings = 8; ///< On kept connections to each gateway, at a runner when the uploads begin.
constexpr int rounds = 3;
constexpr int workMs = 1500; ///< Of a booking at its runner.
constexpr size_t allowedLost = 3; ///< LOST.
constexpr Milliseconds restartDelay{ 300 };
constexpr Milliseconds checkInterval{ 2 };
constexpr Milliseconds roundPause{ 4500 }; ///< More than contactMs, so that the machines are in touch again.

/// @return the resident memory of a process in MB, 0 if it has none.
double memoryMbOf(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    constexpr double bytesPerMb = 1e6;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMb;
}

std::string lastLogLine(const Fleet &fleet, const GatewayProcess &gateway)
{
    std::ifstream log(fleet.folder_ + "/" + gateway.name_ + ".log");
    std::string last;
    for (std::string line; std::getline(log, line);) {
        last = line;
    }
    return last;
}

/// Platform's part: ends gateways that exceed the memory of their machine and starts them again.
void watchMemory(Fleet &fleet, const std::atomic<bool> &stop, std::atomic<int> &kills, std::atomic<int> &ownEnds)
{
    double peak = 0;
    while (!stop) {
        for (GatewayProcess &gateway : fleet.gateways_) {
            const double memory = memoryMbOf(gateway.process_);
            peak = std::max(peak, memory);
            const bool exceeds = memory > machineMemoryMb;
            if (exceeds || hasEnded(gateway.process_)) {
                record("platform", exceeds ? "ends" : "restarts", gateway.name_,
                    exceeds ? std::to_string(memory) + " MB" : "ended by itself: " + lastLogLine(fleet, gateway));
                killProcess(gateway.process_, SIGKILL);
                ++(exceeds ? kills : ownEnds);
                std::this_thread::sleep_for(restartDelay);
                startGateway(fleet, gateway);
            }
        }
        std::this_thread::sleep_for(checkInterval);
    }
    record("platform", "peak", "", std::to_string(peak) + " MB");
}

/// Sends a first booking and another one on the same connection. The second takes long at its runner.
void bookOnKeptConnection(const GatewayProcess &gateway, const std::string &id)
{
    Stream stream{ connectTo(gateway.listen_), {} };
    setReceiveTimeout(stream.socket_, Milliseconds(2 * workMs + 2000));
    for (const char *part : { "-first", "-kept" }) {
        const Call call{ id + part, "/once/a", "body", 4000 };
        record("client", "sends", call.id_, gateway.name_);
        if (!sendAll(stream.socket_, makeRequest(call))) {
            return;
        }
        record("client", "gets", call.id_, describeAnswer(receiveMessage(stream, BodyEnd::AtClose)));
    }
}

void upload(const GatewayProcess &gateway, const std::string &id)
{
    static const std::string body(bodyBytes, 'x');
    Stream stream{ connectTo(gateway.listen_), {} };
    setReceiveTimeout(stream.socket_, Milliseconds(4000));
    record("client", "sends", id, gateway.name_);
    const Call call{ id, "/long/b", {}, 4000 };
    const bool sent = sendAll(stream.socket_, makeRequestHead(call, body.size())) && sendAll(stream.socket_, body);
    record("client", "gets", id, describeAnswer(sent ? receiveMessage(stream, BodyEnd::AtClose) : Message()));
}

void playRound(const Fleet &fleet, int round)
{
    const std::string suffix = "-" + std::to_string(round) + "-";
    std::vector<std::thread> clients;
    for (const GatewayProcess &gateway : fleet.gateways_) {
        for (int index = 0; index < bookings; ++index) {
            clients.emplace_back([&gateway, id = "booking-" + gateway.name_ + suffix + std::to_string(index)] {
                bookOnKeptConnection(gateway, id);
            });
        }
    }
    std::this_thread::sleep_for(Milliseconds(workMs + 300)); // the second bookings are at their runners
    std::vector<std::thread> uploads;
    for (const GatewayProcess &gateway : fleet.gateways_) {
        const int lanes = hasTrouble() ? uploadsAtOnce : uploadsAtOnceWithoutTrouble;
        for (int lane = 0; lane < lanes; ++lane) {
            uploads.emplace_back([&gateway, &suffix, lane, lanes] {
                for (int index = lane; index < uploadsAtOnce; index += lanes) {
                    upload(gateway, "upload-" + gateway.name_ + suffix + std::to_string(index));
                }
            });
        }
    }
    for (std::thread &client : clients) {
        client.join();
    }
    for (std::thread &client : uploads) {
        client.join();
    }
}

} // namespace

int main(int /*argc*/, char **argv)
{
    Fleet fleet;
    fleet.memoryMb_ = machineMemoryMb;
    prepareFleet(fleet, argv[1], 2);
    for (int index = 0; index < 4; ++index) {
        addRunner(fleet, "desk", { "work=" + std::to_string(workMs) });
    }
    for (int index = 0; index < 4; ++index) {
        addRunner(fleet, "engines", { "work=20" });
    }
    startFleet(fleet);
    std::atomic<bool> stop = false;
    std::atomic<int> kills = 0;
    std::atomic<int> ownEnds = 0; ///< Not for their memory.
    std::thread platform([&] { watchMemory(fleet, stop, kills, ownEnds); });
    for (int round = 0; round < rounds; ++round) {
        playRound(fleet, round);
        std::this_thread::sleep_for(roundPause);
    }
    stop = true;
    platform.join();
    const std::vector<RecordLine> lines = readRecord(fleet.recordFile_);
    size_t lost = 0;
    for (const RecordLine &line : lines) {
        const bool unanswered = line.event_ == "gets" && line.request_.ends_with("-kept") && line.rest_ == "no-answer";
        const bool ran = unanswered && std::any_of(lines.begin(), lines.end(), [&line](const RecordLine &other) {
            return other.event_ == "runs" && other.request_ == line.request_;
        });
        lost += ran ? 1 : 0;
    }
    std::printf("%d times a gateway exceeded %u MB and was ended, %d times one ended by itself; %zu bookings on kept "
                "connections were at a runner and"
                " their connection was closed without an answer, %zu are allowed\n",
        kills.load(), machineMemoryMb, ownEnds.load(), lost, allowedLost);
    stopFleet(fleet);
    return lost > allowedLost ? 1 : 0;
}
