/**
 * @file path_bench.cpp
 * @brief Measures a local fleet of processes: added time to the first token, throughput of an entry, cost when idle.
 *
 * With a number as argument, it measures the idle cost of an entry with that many upstreams and how long a confirmed
 * plan takes to reach every node.
 */
#include "address_func.h"
#include "fleet_func.h"
#include "http_client.h"
#include "http_func.h"
#include "json_func.h"
#include "replay_func.h"
#include "trace_wire.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <thread>

namespace {

using namespace Burdockfield;
using namespace Burdockfield::Testing;

constexpr int latencyCalls = 200;
constexpr int throughputCalls = 6000;
constexpr int concurrentCalls = 64;
constexpr std::chrono::seconds idleInterval{ 10 };

FleetSpec makeSpec()
{
    FleetSpec spec;
    spec.upstreams_ = {
        { "runner", RouteKind::Model, "itinerary", "norte-a", 256, 1000000, 1000, 0 },
        { "registration", RouteKind::Service, "booking", "norte-a", 8, 0, 0, 1 },
    };
    spec.entryPolicy_ = "  queue_limit: 100000\n";
    spec.changes_ = makeDeploymentChanges();
    return spec;
}

TraceRecord makeRecord(uint64_t id, uint32_t tokens)
{
    TraceRecord record;
    record.id_ = id;
    record.workspace_ = "faculty";
    record.token_ = "token-faculty";
    record.route_ = "itinerary";
    record.promptTokens_ = 50;
    record.answerTokens_ = tokens;
    record.wait_ = std::chrono::seconds(30);
    return record;
}

/// Sends streamed requests one at a time. @return times to the first bytes of the body in seconds, sorted
std::vector<double> measureFirstByteTimes(const std::string &address)
{
    std::vector<double> times;
    for (int index = 0; index < latencyCalls; ++index) {
        Asio::io_context io{ 1 };
        HttpClient client(io);
        const TimePoint sent = Clock::now();
        bool first = true;
        StreamHandlers handlers;
        handlers.onHead_ = [](const HttpReply & /*head*/) {
        };
        handlers.onBytes_ = [&](std::string_view /*bytes*/) {
            if (std::exchange(first, false)) {
                times.push_back(FractionalSeconds(Clock::now() - sent).count());
            }
        };
        handlers.onEnd_ = [](std::error_code /*error*/) {
        };
        openStream(client, address, traceRequest(makeRecord(static_cast<uint64_t>(index), 4)), Milliseconds(5000),
            std::move(handlers));
        io.run();
    }
    std::sort(times.begin(), times.end());
    return times;
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

/// Sends requests with a constant number in progress. @return successful requests a second
double measureThroughput(const std::string &address)
{
    Asio::io_context io{ 1 };
    HttpClient client(io);
    int sent = 0;
    int good = 0;
    std::function<void()> next = [&] {
        if (sent == throughputCalls) {
            return;
        }
        TraceRecord record = makeRecord(static_cast<uint64_t>(++sent), 1);
        record.streamed_ = false;
        fetch(client, address, traceRequest(record), Milliseconds(30000), ConnectionUse::Reuse,
            [&](std::error_code error, const HttpReply &reply) {
                good += !error && reply.status_ == 200 ? 1 : 0;
                next();
            });
    };
    const TimePoint startedAt = Clock::now();
    for (int index = 0; index < concurrentCalls; ++index) {
        next();
    }
    io.run();
    return good / FractionalSeconds(Clock::now() - startedAt).count();
}

size_t residentKilobytes(const Fleet &fleet, const std::string &name)
{
    std::ifstream stream("/proc/" + std::to_string(fleet.processes_.at(name).pid_) + "/status");
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::strtoul(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

void printIdle(const Fleet &fleet)
{
    std::map<std::string, FractionalSeconds> before;
    for (const auto &[name, process] : fleet.processes_) {
        before[name] = processorTime(fleet, name);
    }
    std::this_thread::sleep_for(idleInterval);
    for (const auto &[name, process] : fleet.processes_) {
        const FractionalSeconds used = processorTime(fleet, name) - before[name];
        std::printf("idle %-22s %.2f %% of a core, %zu KB resident\n", name.c_str(),
            100 * used.count() / FractionalSeconds(idleInterval).count(), residentKilobytes(fleet, name));
    }
}

void printLatency(const Fleet &fleet)
{
    const auto direct = measureFirstByteTimes(fleet.processes_.at("runner-upstream").address_);
    const auto through = measureFirstByteTimes(fleet.processes_.at("entry-1").address_);
    for (const double share : { 0.5, 0.95 }) {
        std::printf("first token p%.0f: direct %.3f ms, through entry and agent %.3f ms, added %.3f ms, ratio %.2f\n",
            100 * share, 1000 * quantile(direct, share), 1000 * quantile(through, share),
            1000 * (quantile(through, share) - quantile(direct, share)),
            quantile(through, share) / quantile(direct, share));
    }
}

void printThroughput(const Fleet &fleet)
{
    std::map<std::string, FractionalSeconds> before;
    for (const char *name : { "entry-1", "runner" }) {
        before[name] = processorTime(fleet, name);
    }
    const double direct = measureThroughput(fleet.processes_.at("runner-upstream").address_);
    const double through = measureThroughput(fleet.processes_.at("entry-1").address_);
    std::printf("requests a second: direct %.0f, through one entry and one agent %.0f\n", direct, through);
    for (const char *name : { "entry-1", "runner" }) {
        const FractionalSeconds used = processorTime(fleet, name) - before[name];
        std::printf("processor time of %s: %.1f us a request\n", name, 1e6 * used.count() / throughputCalls);
    }
}

/// Requests a report from an agent as an entry does and prints the size of both messages, without TCP and IP headers.
void printReportBytes(const Fleet &fleet)
{
    const std::string &address = fleet.processes_.at("runner").address_;
    const std::string request = "GET /v1/report?revision=1400&drained=0&version=0&hold_ms=0 HTTP/1.1\r\n"
                                "Host: "
        + address + "\r\nConnection: close\r\n\r\n";
    Asio::io_context io;
    Asio::ip::tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(*parseEndpoint(address), error);
    Asio::write(socket, Asio::buffer(request), error);
    std::string answer;
    Asio::read(socket, Asio::dynamic_buffer(answer), error);
    std::printf("report exchange: %zu bytes out, %zu bytes in\n", request.size(), answer.size());
}

/// Streams long answers in parallel and prints the processor time of a token.
void printTokenCost(const Fleet &fleet)
{
    constexpr uint64_t streams = 40;
    constexpr uint32_t tokens = 2000;
    Trace trace;
    for (uint64_t id = 0; id < streams; ++id) {
        trace.records_.push_back(makeRecord(50000 + id, tokens));
    }
    std::map<std::string, FractionalSeconds> before;
    for (const char *name : { "entry-1", "runner" }) {
        before[name] = processorTime(fleet, name);
    }
    ReplaySettings settings;
    settings.entries_ = { fleet.processes_.at("entry-1").address_ };
    const ReplaySummary summary = summarize(replayTrace(trace, settings));
    std::printf("streams: %lu of %lu good\n", summary.byGroup_.at("").good_, streams);
    for (const char *name : { "entry-1", "runner" }) {
        const FractionalSeconds used = processorTime(fleet, name) - before[name];
        std::printf("processor time of %s: %.1f us a streamed token\n", name, 1e6 * used.count() / (streams * tokens));
    }
}

/// @return whether the status of every entry and agent shows the configuration revision.
bool isRevisionEverywhere(const Fleet &fleet, const std::string &revision)
{
    const std::string text = "\"revision\":" + revision + ",";
    const auto hasRevision = [&](const std::string &name) {
        return callNode(fleet.processes_.at(name).control_, "GET", "/v1/status").body_.find(text) != std::string::npos;
    };
    return std::all_of(fleet.entries_.begin(), fleet.entries_.end(), hasRevision)
        && std::all_of(fleet.agents_.begin(), fleet.agents_.end(), hasRevision);
}

void printPropagation(const Fleet &fleet)
{
    for (int round = 2; round < 5; ++round) {
        const TimePoint startedAt = Clock::now();
        confirmChanges(fleet, "entry-1", { SetDrain{ DrainKind::Upstream, "elsewhere", round % 2 == 0 } });
        const bool inForce
            = waitUntil([&] { return isRevisionEverywhere(fleet, std::to_string(round)); }, Milliseconds(60000));
        std::printf("confirmed plan in force at every node: %s after %.2f s\n", inForce ? "yes" : "no",
            FractionalSeconds(Clock::now() - startedAt).count());
    }
}

/// Prints the idle cost of an entry with many upstreams, and how soon a confirmed plan is in force at every node.
bool printScaling(size_t upstreams)
{
    FleetSpec spec;
    spec.entries_ = 3;
    spec.entryPolicy_ = "  subset_size: 1000\n";
    spec.changes_ = makeDeploymentChanges();
    for (size_t index = 0; index < upstreams; ++index) {
        spec.upstreams_.push_back(
            { "runner-" + std::to_string(index), RouteKind::Model, "itinerary", "norte-a", 4, 8000, 100, 0 });
    }
    Fleet fleet;
    const bool started = startFleet(fleet, spec);
    if (started) {
        const FractionalSeconds before = processorTime(fleet, "entry-1");
        std::this_thread::sleep_for(idleInterval);
        const FractionalSeconds used = processorTime(fleet, "entry-1") - before;
        std::printf("%zu upstreams: idle entry %.2f %% of a core, %zu KB resident\n", upstreams,
            100 * used.count() / FractionalSeconds(idleInterval).count(), residentKilobytes(fleet, "entry-1"));
        printPropagation(fleet);
    }
    stopFleet(fleet);
    return started;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1) {
        return printScaling(std::strtoul(argv[1], nullptr, 10)) ? 0 : 1;
    }
    Fleet fleet;
    if (!startFleet(fleet, makeSpec())) {
        std::fprintf(stderr, "error: the fleet did not start\n");
        return 1;
    }
    printIdle(fleet);
    printReportBytes(fleet);
    printLatency(fleet);
    printThroughput(fleet);
    printTokenCost(fleet);
    stopFleet(fleet);
    return 0;
}
