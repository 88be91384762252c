/**
 * @file termination_process_test.cpp
 * @brief Tests of the last log lines of processes that end unintentionally.
 */
#include "fleet_parts_func.h"
#include "gateway_fleet.h"
#include "json_func.h"
#include "process_fixture.h"

#include <fstream>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr int signalStatusBase = 128; ///< Added by awaitExit() to the number of a signal.

/// One process that ends during the test.
struct TerminationFixture : ProcessFixture
{
    /// @return the line of an event in a process's log, with the members "time", "node" and @p member; else empty
    std::string readLine(const std::string &process, const std::string &event, const std::string &member)
    {
        std::ifstream log(fleet_.folder_ + "/" + process + ".log");
        for (std::string text; std::getline(log, text);) {
            std::error_code error;
            const Json::value line = parseJson(text, error);
            if (!error && line.is_object() && line.at("event").as_string() == event && line.as_object().contains("time")
                && line.as_object().contains("node") && line.as_object().contains(member)) {
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
    signalProcess(fleet_, "gateway-1", SIGSEGV);
    CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(5000)) == signalStatusBase + SIGSEGV);
    const std::string line = readLine("gateway-1", "ended-by-signal", "signal");
    CHECK(line.find(R"("signal":"11")") != std::string::npos);
}
