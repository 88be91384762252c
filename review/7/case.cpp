/**
 * @file case.cpp
 * @brief Case 7: a gateway takes a runner back that has left, from a peer that is cut off from the store.
 *
 * One gateway of three is cut off from the store, and the other two are killed. Meanwhile a runner's row is removed;
 * the runner serves on for a while, as runners that leave do. The two gateways start and read the list without the
 * runner. Then they take the older list of the gateway that is cut off for a newer one, and send requests to the
 * runner.
 */
#include "../harness-2/runner.h"

namespace {

using namespace Review;

constexpr int64_t drainMs = 2500; ///< Of the sheet.
constexpr int64_t contactMs = 3000; ///< Of the sheet.
constexpr int64_t cutMs = 5500; ///< Longest cut of one machine from the store on the sheet.
constexpr int64_t lingerMs = 8000; ///< For which the runner serves after its row was removed.
constexpr size_t runnerCount = 7; ///< One that leaves is 0.143; the sheet has up to 0.159.
constexpr int clients = 4; ///< That send requests at once.
constexpr int64_t marginMs = 300; ///< Kept from both ends of the time in which requests count.

/// Relay between a gateway and the store. While it is cut, it holds all bytes, and connections to it hang.
class Path
{
public:
    explicit Path(int target)
        : listener_(listenOn(0))
        , target_(target)
    {
        std::thread([this] {
            for (int socket = accept(listener_, nullptr, nullptr); socket >= 0;
                 socket = accept(listener_, nullptr, nullptr)) {
                std::thread([this, socket] { relay(socket); }).detach();
            }
        }).detach();
    }

    int port() const
    {
        return portOf(listener_);
    }

    void cut(bool isCut)
    {
        cut_ = isCut;
    }

private:
    void relay(int near)
    {
        waitWhileCut();
        const int far = connectTo(target_);
        std::thread back([&] { copy(far, near); });
        copy(near, far);
        back.join();
        close(near);
        close(far);
    }

    void copy(int from, int to)
    {
        std::vector<char> bytes(65536);
        for (ssize_t length = recv(from, bytes.data(), bytes.size(), 0); length > 0;
             length = recv(from, bytes.data(), bytes.size(), 0)) {
            waitWhileCut();
            if (!sendAll(to, std::string(bytes.data(), static_cast<size_t>(length)))) {
                break;
            }
        }
        waitWhileCut();
        shutdown(to, SHUT_WR);
        shutdown(from, SHUT_RD);
    }

    void waitWhileCut() const
    {
        while (cut_) {
            sleepMs(5);
        }
    }

    int listener_;
    int target_;
    std::atomic<bool> cut_{ false };
};

struct Sent
{
    std::string id_;
    int64_t at_ = 0;
    int status_ = 0;
};

/// @return when a runner began to run requests, by their ids.
std::map<std::string, int64_t> readRuns(const std::string &recordFile, const std::string &runner)
{
    std::map<std::string, int64_t> runs;
    std::ifstream file(recordFile);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        int64_t time = 0;
        std::string who;
        std::string name;
        std::string verb;
        std::string id;
        words >> time >> who >> name >> verb >> id;
        if (who == "runner" && name == runner && verb == "runs") {
            runs[id] = time;
        }
    }
    return runs;
}

int runCase(
    const std::string &program, const std::string &root, const std::string &folder, const std::string &recordFile)
{
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    const Record record(recordFile);
    Store &store = *new Store; // never destroyed: its threads go on until the process ends
    Path &path = *new Path(store.port()); // the same
    Heartbeats &heartbeats = *new Heartbeats(store); // the same
    Processes processes;
    const std::vector<int> ports = freePorts(runnerCount);
    for (size_t index = 0; index < ports.size(); ++index) {
        const std::string id = "i-" + std::to_string(index + 1);
        Runner runner{ { ports[index], id, 10, 3, true, recordFile, 0, 0 }, "registro", "norte-a", unixMs(), 0 };
        runner.process_ = processes.start(runnerCommand(program, runner.settings_), folder + "/runners.log");
        sleepMs(100);
        heartbeats.add(runner);
    }
    const std::string leaving = "i-" + std::to_string(runnerCount); // its row is the newest one
    store.put("op", "config", makeConfiguration(3, { { "read", "idempotent", "registro", 1000, 300, 2, false } }));
    std::vector<Gateway> gateways;
    for (const std::string name : { "edge-norte-a-1", "edge-norte-a-2", "edge-norte-a-3" }) {
        const bool isCut = gateways.empty();
        gateways.push_back(makeGateway(folder, name, "norte-a", isCut ? path.port() : store.port()));
        startGateway(processes, gateways.back(), root, folder);
    }
    if (!waitUntil([&] { return std::all_of(gateways.begin(), gateways.end(), isReady); }, 15000)) {
        record.write("gateways are not ready");
        return exitNotRun;
    }
    sleepMs(4000);
    if (trouble) {
        record.write("gateway " + gateways[0].name_ + " is cut off from the store");
        path.cut(true);
    }
    const int64_t cutAt = nowMs();
    sleepMs(100);
    for (size_t index = 1; trouble && index < gateways.size(); ++index) {
        record.write("gateway " + gateways[index].name_ + " is killed");
        processes.kill(gateways[index].process_);
    }
    sleepMs(100);
    const int64_t leftAt = nowMs();
    heartbeats.leave(leaving);
    record.write(
        "the store has removed the row of " + leaving + ", which serves on for " + std::to_string(lingerMs) + " ms");
    sleepMs(200);
    for (size_t index = 1; trouble && index < gateways.size(); ++index) {
        startGateway(processes, gateways[index], root, folder);
        record.write("gateway " + gateways[index].name_ + " is started");
    }
    const int64_t inTouchAt = nowMs() + contactMs;
    const int64_t countFrom = std::max(inTouchAt, leftAt + drainMs) + marginMs;
    const int64_t countUntil = cutAt + cutMs - marginMs;
    sleepMs(countFrom - nowMs());
    std::vector<Sent> all;
    std::mutex mutex;
    const auto sendRequests = [&](int client) {
        for (int number = 0; nowMs() < countUntil; ++number) {
            const Gateway &gateway = gateways[1 + static_cast<size_t>(client % 2)];
            Sent sent{ "request-" + std::to_string(client) + "-" + std::to_string(number), nowMs(), 0 };
            sent.status_ = callOnce(gateway.listen_, { sent.id_, "GET", "/read/x", "", 2000, 2000, "" }).status_;
            record.write(
                "client sent " + sent.id_ + " to " + gateway.name_ + ", status " + std::to_string(sent.status_));
            const std::lock_guard lock(mutex);
            all.push_back(sent);
        }
    };
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back(sendRequests, client);
    }
    std::for_each(threads.begin(), threads.end(), [](std::thread &thread) { thread.join(); });
    sleepMs(cutAt + cutMs - nowMs());
    path.cut(false);
    sleepMs(leftAt + lingerMs - nowMs());
    heartbeats.stop();
    const std::map<std::string, int64_t> runs = readRuns(recordFile, leaving);
    int late = 0;
    int served = 0;
    for (const Sent &sent : all) {
        const auto run = runs.find(sent.id_);
        served += sent.status_ == 200 ? 1 : 0;
        if (run != runs.end() && run->second > leftAt + drainMs) {
            ++late;
            record.write(sent.id_ + " reached " + leaving + " " + std::to_string(run->second - leftAt)
                + " ms after the store had removed its row  <- over " + std::to_string(drainMs) + " ms");
        }
    }
    if (served == 0) {
        record.write("no request was served");
        return exitNotRun;
    }
    record.write(
        std::to_string(late) + " of " + std::to_string(all.size()) + " requests reached a runner that had left");
    return late > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int count, char **words)
{
    if (count == runnerWords && std::string(words[1]) == "runner") {
        return runRunner(runnerFrom(words));
    }
    return count == 4 ? runCase(words[0], words[1], words[2], words[3]) : exitNotRun;
}
