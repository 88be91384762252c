/**
 * @file fleet.cpp
 * @brief Small deployment: gateways of the deploy file, runners as processes, and the store, all on loopback.
 */
#include "fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Review {

namespace {

constexpr const char *gatewayProgram = "target/burdockfieldd"; ///< As in the deploy file, from the repository's root.
constexpr const char *runnerProgram = "review/build/runner";
constexpr uint16_t seedPort = 8229; ///< Only the host of a seed is used.
constexpr Milliseconds readyTimeout{ 15000 };
constexpr int64_t downMs = 2500; ///< Time until a crashed runner is back.
constexpr int64_t rowMs = 3600; ///< Three heartbeats of silence, after which the row of a crashed runner is removed.

/// Operator's configuration: the kinds of routes of a small site, and its limits.
constexpr const char *configuration = R"({"version":7,"routes":[
{"name":"firm","host":"review.example","pathPrefix":"/firm/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,
"priority":0,"service":"engines","attempts":1,"allowAnonymous":false,"sessionAffinity":true,"resumable":false,
"gapTargetMs":200},
{"name":"stream","host":"review.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":6000,
"targetLatencyMs":400,"priority":0,"service":"engines","attempts":2,"allowAnonymous":false,"sessionAffinity":true,
"resumable":true,"gapTargetMs":200},
{"name":"once","host":"review.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":2000,
"targetLatencyMs":300,"priority":2,"service":"desk","attempts":1,"allowAnonymous":false,"resumable":false},
{"name":"long","host":"review.example","pathPrefix":"/long/","kind":"non_idempotent","timeoutMs":4000,
"targetLatencyMs":300,"priority":2,"service":"engines","attempts":1,"allowAnonymous":false,"resumable":false},
{"name":"read","host":"review.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":2000,
"targetLatencyMs":300,"priority":2,"service":"desk","attempts":2,"allowAnonymous":false,"resumable":false}],
"services":[{"name":"engines","healthPath":"/health","maxConns":300,"protocol":"h1","tls":false,"engine":{"slots":9}},
{"name":"desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"riders","apiKeys":["review-key"],"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}]})";

/// @return an endpoint that is free, below the ports that the system gives to outgoing connections.
Endpoint takeFreeEndpoint(const std::string &host)
{
    constexpr uint32_t firstPort = 18000;
    constexpr uint32_t ports = 12000;
    static std::mt19937 random(std::random_device{}());
    static std::set<uint32_t> taken;
    while (true) {
        const uint32_t port = firstPort + random() % ports;
        const Endpoint endpoint{ host, static_cast<uint16_t>(port) };
        if (isFree(endpoint) && taken.insert(port).second) {
            return endpoint;
        }
    }
}

/// @return a loopback address of this process alone, so that cases beside each other don't draw the same ports.
std::string loopbackHost(size_t number)
{
    constexpr pid_t values = 250;
    const pid_t process = getpid();
    return "127." + std::to_string(1 + process / values % values) + "." + std::to_string(1 + process % values) + "."
        + std::to_string(number);
}

std::string hostOf(size_t gateway)
{
    return loopbackHost(gateway + 2);
}

/// Writes the settings of a gateway as deploy/gateway.yaml.template gives them.
void writeSettings(Fleet &fleet, GatewayProcess &gateway, size_t index, uint16_t peerPort, size_t gateways)
{
    std::string seeds;
    for (size_t seed = 0; seed < std::min<size_t>(gateways, 3); ++seed) {
        seeds += (seed == 0 ? "\"" : ",\"") + hostOf(seed) + ":" + std::to_string(seedPort) + "\"";
    }
    std::ofstream file(gateway.settingsFile_);
    file << "role: gateway\nname: \"" << gateway.name_ << "\"\nregion: \"south-coast\"\nzone: \"bull-bay\"\nlisten: \""
         << toText(gateway.listen_) << "\"\nready: \"" << toText(gateway.ready_) << "\"\nmetrics: \""
         << toText(takeFreeEndpoint(hostOf(index))) << "\"\npeer: \"" << hostOf(index) << ":" << peerPort
         << "\"\nplatform: \"" << toText(fleet.store_.endpoint_) << "\"\nseeds: [" << seeds
         << "]\nzones:\n  \"bull-bay\": \"south-coast\"\nfirst_start: true\nmemory: " << fleet.memoryMb_
         << "MiB\nprocessor: 0.19\nbounds:\n  repeat_ratio: 0.2\n  repeat_slack: 56\n  quota_window: 8s\n"
            "  quota_overshoot: 0.1\n  quota_token_slack: 72000\n  configuration_delay: 2500ms\n"
            "  drain_delay: 2500ms\n  grace: 8s\n";
}

pid_t startProcess(const std::vector<std::string> &words, const std::string &logFile)
{
    std::vector<char *> arguments;
    for (const std::string &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // also when the case is ended by a signal
        const int log = open(logFile.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(arguments.front(), arguments.data());
        std::_Exit(2);
    }
    return process;
}

bool isReady(const GatewayProcess &gateway)
{
    Stream stream{ connectTo(gateway.ready_), {} };
    return stream.socket_.descriptor_ >= 0
        && sendAll(stream.socket_, "GET /burdockfield/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        && statusOf(receiveMessage(stream, BodyEnd::AtClose)) == 200;
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void prepareFleet(Fleet &fleet, const std::string &recordFile, uint32_t gateways)
{
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        std::perror("cannot make a temporary folder");
        std::_Exit(2);
    }
    fleet.folder_ = folder;
    fleet.recordFile_ = recordFile;
    std::filesystem::remove(recordFile);
    openRecord(recordFile);
    fleet.store_.endpoint_.host_ = loopbackHost(1);
    startStore(fleet.store_);
    writeRow(fleet.store_, "op", "config", configuration, false);
    const uint16_t peerPort = takeFreeEndpoint(hostOf(0)).port_;
    for (uint32_t index = 0; index < gateways; ++index) {
        GatewayProcess &gateway = fleet.gateways_.emplace_back();
        gateway.name_ = "gateway-" + std::to_string(index + 1);
        gateway.settingsFile_ = folder + "/" + gateway.name_ + ".yaml";
        gateway.listen_ = takeFreeEndpoint(hostOf(index));
        gateway.ready_ = takeFreeEndpoint(hostOf(index));
        writeSettings(fleet, gateway, index, peerPort, gateways);
    }
}

RunnerProcess &addRunner(Fleet &fleet, const std::string &service, const std::vector<std::string> &options)
{
    RunnerProcess &runner = fleet.runners_.emplace_back();
    runner.service_ = service;
    runner.options_ = options;
    runner.endpoint_ = takeFreeEndpoint(loopbackHost(1));
    return runner;
}

void startRunner(Fleet &fleet, RunnerProcess &runner)
{
    runner.id_ = "i-" + std::to_string(++fleet.startedRunners_);
    std::vector<std::string> words{ runnerProgram, runner.endpoint_.host_, std::to_string(runner.endpoint_.port_),
        runner.id_, fleet.recordFile_ };
    words.insert(words.end(), runner.options_.begin(), runner.options_.end());
    runner.process_ = startProcess(words, fleet.folder_ + "/runners.log");
    const auto born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    const std::string row = R"({"service":")" + runner.service_ + R"(","address":")" + toText(runner.endpoint_)
        + R"(","zone":"bull-bay","version":"v1","slots":)" + std::to_string(runner.slots_)
        + R"(,"state":"ready","coldRemainingMs":0,"sequence":1,"born":)" + std::to_string(born.count()) + "}";
    record(runner.id_, "starts", "", runner.service_);
    writeRow(fleet.store_, "servers", runner.id_, row, false);
}

void startGateway(Fleet &fleet, GatewayProcess &gateway)
{
    record(gateway.name_, "starts", "");
    gateway.process_ = startProcess(
        { gatewayProgram, "--settings", gateway.settingsFile_ }, fleet.folder_ + "/" + gateway.name_ + ".log");
}

void startFleet(Fleet &fleet)
{
    for (RunnerProcess &runner : fleet.runners_) {
        startRunner(fleet, runner);
    }
    for (GatewayProcess &gateway : fleet.gateways_) {
        startGateway(fleet, gateway);
    }
    constexpr Milliseconds settleTime{ 1500 }; // the gateways have met and chosen a broker by then
    const auto end = Clock::now() + readyTimeout;
    for (GatewayProcess &gateway : fleet.gateways_) {
        while (!isReady(gateway)) {
            if (Clock::now() > end || hasEnded(gateway.process_)) {
                std::fprintf(stderr, "%s is not ready\n", gateway.name_.c_str());
                stopFleet(fleet);
                std::_Exit(2);
            }
            std::this_thread::sleep_for(Milliseconds(20));
        }
    }
    std::this_thread::sleep_for(settleTime);
}

void killProcess(pid_t &process, int signal)
{
    if (process > 0) {
        kill(process, signal);
        waitpid(process, nullptr, 0);
        process = -1;
    }
}

bool hasEnded(pid_t &process)
{
    if (process > 0 && waitpid(process, nullptr, WNOHANG) == process) {
        process = -1;
    }
    return process < 0;
}

void reviveRunners(Fleet &fleet)
{
    for (RunnerProcess &runner : fleet.runners_) {
        if (runner.downSince_ == 0 && hasEnded(runner.process_)) {
            runner.downSince_ = nowMs();
            fleet.staleRows_.push_back({ runner.id_, nowMs() + rowMs });
        } else if (runner.downSince_ != 0 && nowMs() - runner.downSince_ >= downMs) {
            runner.downSince_ = 0;
            startRunner(fleet, runner);
        }
    }
    std::erase_if(fleet.staleRows_, [&fleet](const StaleRow &row) {
        if (nowMs() < row.removeAt_) {
            return false;
        }
        writeRow(fleet.store_, "servers", row.id_, "", true);
        return true;
    });
}

void stopFleet(Fleet &fleet)
{
    for (GatewayProcess &gateway : fleet.gateways_) {
        killProcess(gateway.process_, SIGKILL);
    }
    for (RunnerProcess &runner : fleet.runners_) {
        killProcess(runner.process_, SIGKILL);
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(fleet.folder_);
    } else {
        std::fprintf(stderr, "logs in %s\n", fleet.folder_.c_str());
    }
}

std::string makeRequestHead(const Call &call, size_t bodyBytes)
{
    return "POST " + call.target_ + " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: " + call.id_
        + "\r\nModel: m\r\nToken-Usage: 100,60\r\nPrefix-Hash: " + call.parts_
        + "\r\nDeadline-Ms: " + std::to_string(call.deadlineMs_)
        + "\r\nAuthorization: Bearer review-key\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

std::string makeRequest(const Call &call)
{
    return makeRequestHead(call, call.body_.size()) + call.body_;
}

Message sendCall(const GatewayProcess &gateway, const Call &call)
{
    Stream stream{ connectTo(gateway.listen_), {} };
    record("client", "sends", call.id_, gateway.name_);
    Message answer;
    if (stream.socket_.descriptor_ >= 0 && sendAll(stream.socket_, makeRequest(call))) {
        setReceiveTimeout(stream.socket_, Milliseconds(call.deadlineMs_));
        answer = receiveMessage(stream, BodyEnd::AtClose);
    }
    record("client", "gets", call.id_, describeAnswer(answer));
    return answer;
}

std::string describeAnswer(const Message &answer)
{
    if (!answer.headReceived_) {
        return "no-answer";
    }
    return std::to_string(statusOf(answer)) + (answer.complete_ ? " complete" : " cut") + " bytes "
        + std::to_string(answer.body_.size()) + " events " + std::to_string(countOf(answer.body_, "id: "));
}

} // namespace Review
