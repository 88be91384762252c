/**
 * @file case.cpp
 * @brief Case 10: what is known of a request that crashes runners is lost when all gateways are killed.
 *
 * A request crashes each runner that begins to run it, and comes again. After three crashes it is refused. Then all
 * gateways are killed at the same moment and started again, twice. Each time the request crashes three runners more.
 */
#include "../harness-2/runner.h"

namespace {

using namespace Review;

constexpr int64_t contactMs = 3000; ///< Of the sheet.
constexpr int64_t downMs = 300; ///< From the kill of all gateways to their start.
constexpr int64_t backMs = 1500; ///< From a runner's crash to its next start.
constexpr int64_t copyMs = 1200; ///< Time between two copies of the request.
constexpr int64_t marginMs = 300;
constexpr int copies = 5; ///< After each start of the gateways.
constexpr int starts = 3; ///< Of the gateways, the first one included.
constexpr size_t runnerCount = 8;
constexpr int allowedRetries = 3; ///< Of the rule.

/// Runners, which come back after a crash.
class Fleet
{
public:
    Fleet(Store &store, Processes &processes, std::string program, const std::string &folder, std::string recordFile)
        : heartbeats_(*new Heartbeats(store))
        , processes_(processes)
        , program_(std::move(program))
        , log_(folder + "/runners.log")
        , recordFile_(std::move(recordFile))
        , ports_(freePorts(runnerCount))
    {
        for (size_t index = 0; index < runnerCount; ++index) {
            runners_.push_back({ { ports_[index], "", 10, 3, true, recordFile_, 0, 0 }, "registro", "norte-a", 0, 0 });
            start(runners_.back());
        }
    }

    /// Starts runners again that have crashed some time ago. Called often by the only thread of the case.
    void review()
    {
        for (Runner &runner : runners_) {
            if (runner.process_ != 0 && processes_.hasEnded(runner.process_)) {
                heartbeats_.crash(runner.settings_.id_);
                runner.process_ = 0;
                backAt_[runner.settings_.port_] = nowMs() + backMs;
            } else if (runner.process_ == 0 && nowMs() >= backAt_[runner.settings_.port_]) {
                start(runner);
            }
        }
    }

    void stop()
    {
        heartbeats_.stop();
    }

private:
    void start(Runner &runner)
    {
        runner.settings_.id_ = "i-" + std::to_string(++started_);
        runner.born_ = unixMs();
        runner.process_ = processes_.start(runnerCommand(program_, runner.settings_), log_);
        sleepMs(50);
        heartbeats_.add(runner);
    }

    Heartbeats &heartbeats_; ///< Never destroyed, as its threads go on until the process ends.
    Processes &processes_;
    std::string program_;
    std::string log_;
    std::string recordFile_;
    std::vector<int> ports_;
    std::vector<Runner> runners_;
    std::map<int, int64_t> backAt_;
    int started_ = 0;
};

/// @return when runners were crashed, by the ids of the requests.
std::map<std::string, int64_t> readCrashes(const std::string &recordFile)
{
    std::map<std::string, int64_t> crashes;
    std::ifstream file(recordFile);
    std::string line;
    while (std::getline(file, line)) {
        const std::string mark = " is crashed by ";
        if (const size_t at = line.find(mark); at != std::string::npos) {
            crashes[line.substr(at + mark.size())] = std::atoll(line.c_str());
        }
    }
    return crashes;
}

int runCase(
    const std::string &program, const std::string &root, const std::string &folder, const std::string &recordFile)
{
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    const Record record(recordFile);
    Store &store = *new Store; // never destroyed: its threads go on until the process ends
    Processes processes;
    Fleet fleet(store, processes, program, folder, recordFile);
    store.put("op", "config",
        makeConfiguration(3,
            { { "once", "non_idempotent", "registro", 1000, 300, 1, false },
                { "read", "idempotent", "registro", 1000, 300, 2, false } }));
    std::vector<Gateway> gateways;
    for (const std::string zone : { "norte-a", "centro-a", "sur-a" }) {
        gateways.push_back(makeGateway(folder, "edge-" + zone + "-1", zone, store.port()));
        startGateway(processes, gateways.back(), root, folder);
    }
    if (!waitUntil([&] { return std::all_of(gateways.begin(), gateways.end(), isReady); }, 15000)) {
        record.write("gateways are not ready");
        return exitNotRun;
    }
    const auto wait = [&fleet](int64_t milliseconds) {
        for (const int64_t end = nowMs() + milliseconds; nowMs() < end; sleepMs(10)) {
            fleet.review();
        }
    };
    int served = 0;
    int number = 0;
    std::map<std::string, int64_t> sentAt;
    for (int start = 1; start <= starts; ++start) {
        wait(contactMs + marginMs); // all machines are in touch
        for (int copy = 0; copy < copies; ++copy) {
            const Gateway &gateway = gateways[static_cast<size_t>(number) % gateways.size()];
            const std::string name = std::to_string(number++);
            served += callOnce(gateway.listen_, { "other-" + name, "GET", "/read/" + name, "", 2000, 2000, "" }).status_
                    == 200
                ? 1
                : 0;
            sentAt["deadly-" + name] = nowMs();
            const Answer answer
                = callOnce(gateway.listen_, { "deadly-" + name, "POST", "/once/x", deadlyBody, 2000, 2000, "" });
            record.write(
                "client sent deadly-" + name + " to " + gateway.name_ + ", status " + std::to_string(answer.status_));
            wait(copyMs);
        }
        for (Gateway &gateway : gateways) {
            if (trouble && start < starts) {
                record.write("gateway " + gateway.name_ + " is killed");
                processes.kill(gateway.process_);
            }
        }
        wait(downMs);
        for (Gateway &gateway : gateways) {
            if (trouble && start < starts) {
                startGateway(processes, gateway, root, folder);
            }
        }
    }
    fleet.stop();
    const std::map<std::string, int64_t> crashes = readCrashes(recordFile);
    std::vector<int64_t> times;
    for (const auto &[id, at] : crashes) {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    if (served == 0 || times.size() < 3) {
        record.write("the request did not crash three runners");
        return exitNotRun;
    }
    const auto retries = std::count_if(
        crashes.begin(), crashes.end(), [&](const auto &crash) { return sentAt[crash.first] > times[2] + contactMs; });
    record.write(std::to_string(crashes.size()) + " runners were crashed, " + std::to_string(retries)
        + " of them by retries later than contactMs after the third; allowed are " + std::to_string(allowedRetries));
    return retries > allowedRetries ? exitBroken : exitHeld;
}

} // namespace

int main(int count, char **words)
{
    if (count == runnerWords && std::string(words[1]) == "runner") {
        return runRunner(runnerFrom(words));
    }
    return count == 4 ? runCase(words[0], words[1], words[2], words[3]) : exitNotRun;
}
