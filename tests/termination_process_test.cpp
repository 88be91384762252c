/**
 * @file termination_process_test.cpp
 * @brief Tests of the last log lines of processes that end unintentionally.
 */
#include "fleet_parts_func.h"
#include "gateway_fleet.h"
#include "json_func.h"
#include "process_fixture.h"

#include <fcntl.h>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr int signalStatusBase = 128; ///< Added by awaitExit() to the number of a signal.

/// One process that ends during the test.
struct TerminationFixture : ProcessFixture
{
    /// @return the line of an event in a process's log that has a time, a node and @p part; else empty
    std::string readLine(const std::string &process, const std::string &event, const std::string &part)
    {
        std::ifstream log(fleet_.folder_ + "/" + process + ".log");
        for (std::string text; std::getline(log, text);) {
            std::error_code error;
            const Json::value line = parseJson(text, error);
            if (!error && line.is_object() && line.at("event").as_string() == event && line.as_object().contains("time")
                && line.as_object().contains("node") && text.find(part) != std::string::npos) {
                return text;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE_FIXTURE(TerminationFixture, "Process_WhenEndedByAnException_LogsItAfterTheQueuedLines")
{
    makeFolder(fleet_);
    addStandin(fleet_, "failing", takeAddresses(1)[0], { "failing" });
    startProcess(fleet_, "failing");
    CHECK(awaitExit(fleet_, "failing", Milliseconds(5000)) == signalStatusBase + SIGABRT);
    CHECK_FALSE(readLine("failing", "started", "event").empty());
    const std::string line = readLine("failing", "ended-by-exception", "error");
    CHECK(line.find("cancel: Bad file descriptor") != std::string::npos);
    CHECK(line.find("std::runtime_error") != std::string::npos);
}

TEST_CASE_FIXTURE(TerminationFixture, "Process_WhenEndedByAFault_LogsTheSignal")
{
    GatewayFleetSpec spec;
    spec.gateways_ = 1;
    REQUIRE(startGatewayFleet(fleet_, spec));
    for (const int signal : { SIGSEGV, SIGABRT }) {
        signalProcess(fleet_, "gateway-1", signal);
        CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(5000)) == signalStatusBase + signal);
        const std::string text = R"("signal":")" + std::to_string(signal) + '"';
        CHECK(readLine("gateway-1", "ended-by-signal", text).find(text) != std::string::npos);
        startProcess(fleet_, "gateway-1");
        REQUIRE(waitUntil([this] { return isGatewayReady(fleet_, "gateway-1"); }));
    }
}

TEST_CASE_FIXTURE(TerminationFixture, "Process_WhenTheReaderOfItsLogGoesAway_KeepsServing")
{
    GatewayFleetSpec spec;
    spec.gateways_ = 1;
    REQUIRE(startGatewayFleet(fleet_, spec));
    signalProcess(fleet_, "gateway-1", SIGKILL);
    const std::string log = fleet_.folder_ + "/gateway-1.log";
    unlink(log.c_str());
    REQUIRE(mkfifo(log.c_str(), 0600) == 0);
    const int reader = open(log.c_str(), O_RDWR | O_NONBLOCK);
    startProcess(fleet_, "gateway-1");
    REQUIRE(waitUntil([this] { return isGatewayReady(fleet_, "gateway-1"); }));
    close(reader);
    for (const char *id : { "r1", "r2", "r3" }) {
        CHECK(callGateway(fleet_, "gateway-1", { id, "/read/x", "body", "key-1", Milliseconds(4000), {} }).status_
            == 200);
        std::this_thread::sleep_for(Milliseconds(200)); // log lines are written after 100 ms
    }
}
