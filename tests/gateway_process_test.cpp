/**
 * @file gateway_process_test.cpp
 * @brief Tests of real gateway processes: calls, stops and logs.
 */
#include "gateway_process_fixture.h"

#include <fcntl.h>
#include <fstream>
#include <future>
#include <sys/stat.h>
#include <unistd.h>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenAllUpstreamsWork_ServesEachKindOfCall")
{
    CHECK(call("/once/x", "r1").body_ == Standin::echoBody("/once/x", "body"));
    CHECK(call("/read/x", "r2", "gateway-2").body_ == Standin::echoBody("/read/x", "body"));
    const HttpReply stream = call("/stream/x", "r3");
    CHECK(stream.body_ == Standin::streamBody("/stream/x", "body"));
    CHECK(findHeader(stream.headers_, "Request-Id") == "r3");
    CHECK(call("/nowhere/x", "r4").status_ == 404);
    CHECK(call("/once/x", "r5", "gateway-1", "key-2").status_ == 401);
    CHECK(runsOf("r1") == 1);
    CHECK(runsOf("r5") == 0);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenAnUpstreamResets_ResumesStreamsAndNeverRetriesNonIdempotentCalls")
{
    setMode("engines-1", "reset");
    setMode("desk-1", "reset");
    setMode("desk-2", "reset");
    for (int index = 0; index < 4; ++index) {
        const std::string id = "stream-" + std::to_string(index);
        CHECK(call("/stream/x", id).body_ == Standin::streamBody("/stream/x", "body"));
    }
    CHECK(call("/once/x", "once-1").status_ == 502);
    CHECK(runsOf("once-1") == 1);
}

TEST_CASE_FIXTURE(
    GatewayProcessFixture, "Gateway_WhenUpstreamsAreMuteOrAnswerAnotherRequest_NeverForwardsAForeignAnswer")
{
    setMode("desk-1", "crossed");
    setMode("desk-2", "crossed");
    setMode("engines-1", "mute");
    CHECK(call("/once/x", "r1").status_ >= 500);
    CHECK(call("/read/x", "r2").body_ == Standin::echoBody("/read/x", "body"));
    CHECK(call("/stream/x", "r3").body_ == Standin::streamBody("/stream/x", "body"));
}

TEST_CASE_FIXTURE(
    GatewayProcessFixture, "Gateway_WhenAnswersNeverEnd_RetriesIdempotentCallsElsewhereAndFailsOthersInTime")
{
    setMode("engines-1", "endless");
    setMode("desk-1", "endless");
    setMode("desk-2", "endless");
    for (int index = 0; index < 4; ++index) {
        const std::string number = std::to_string(index);
        CHECK(call("/read/x", "read-" + number).body_ == Standin::echoBody("/read/x", "body"));
        CHECK(call("/stream/x", "stream-" + number).body_ == Standin::streamBody("/stream/x", "body"));
    }
    const HttpReply reply = call("/once/x", "once-1");
    CHECK(reply.status_ == 502);
    CHECK(runsOf("once-1") == 1);
    setMode("desk-1", "good");
    setMode("desk-2", "good");
    CHECK(call("/once/x", "once-2").body_ == Standin::echoBody("/once/x", "body"));
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenUpstreamsAreFull_RefusesAsNotRunWithRetryAfter")
{
    setMode("desk-1", "full");
    setMode("desk-2", "full");
    const HttpReply reply = call("/once/x", "r1");
    CHECK(reply.status_ == 503);
    CHECK_FALSE(findHeader(reply.headers_, "Retry-After").empty());
    CHECK(runsOf("r1") == 0);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenACallerLeavesWhileItIsPaused_DoesNotSendTheRequest")
{
    for (int index = 0; index < 8; ++index) { // leaves idle connections to all upstreams
        REQUIRE(call("/read/x", "r" + std::to_string(index)).status_ == 200);
    }
    signalProcess(fleet_, "gateway-1", SIGSTOP);
    {
        const SlowCaller caller(fleet_.processes_.at("gateway-1").address_, "/read/x");
        std::this_thread::sleep_for(Milliseconds(100));
    }
    signalProcess(fleet_, "gateway-1", SIGCONT);
    CHECK(call("/read/x", "r9").status_ == 200);
    std::this_thread::sleep_for(Milliseconds(200));
    CHECK(runsOf("slow") == 0);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenStopped_FinishesItsCallsAndExitsWithStatusZero")
{
    constexpr int streams = 8; // as many as all engines have slots
    controlStandin(fleet_, "engines-1", R"({"step_ms":550})");
    controlStandin(fleet_, "engines-2", R"({"step_ms":550})");
    std::vector<std::future<HttpReply>> running;
    for (int index = 0; index < streams; ++index) {
        const std::string id = "r" + std::to_string(index);
        running.push_back(std::async(std::launch::async, [this, id] { return call("/stream/x", id); }));
    }
    REQUIRE(waitUntil([&] { return runsOf("r0") == 1 && runsOf("r7") == 1; }));
    signalProcess(fleet_, "gateway-1", SIGTERM);
    CHECK(waitUntil([&] { return !isGatewayReady(fleet_, "gateway-1"); }, Milliseconds(500)));
    for (auto &stream : running) {
        CHECK(stream.get().body_ == Standin::streamBody("/stream/x", "body"));
    }
    CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(5000)) == 0);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenStoppedWhileACallerReadsSlowly_WritesTheWholeAnswer")
{
    constexpr size_t answerBytes = 14U << 20U; // more than the socket buffers hold, less than a gateway's limit
    for (const char *desk : { "desk-1", "desk-2" }) {
        controlStandin(fleet_, desk, R"({"padding":)" + std::to_string(answerBytes) + "}");
    }
    SlowCaller caller(fleet_.processes_.at("gateway-1").address_, "/once/x");
    REQUIRE(waitUntil([&] { return readStatusField(fleet_, "gateway-1", "calls") == "0" && runsOf("slow") == 1; }));
    signalProcess(fleet_, "gateway-1", SIGTERM);
    std::this_thread::sleep_for(Milliseconds(3500)); // by then it has stopped listening
    CHECK(readAnswerBody(caller) == answerBytes + Standin::echoBody("/once/x", "body").size());
    CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(2000)) == 0);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenStoppedWhileARequestArrivesSlowly_AnswersItBeforeItExits")
{
    SlowCaller caller(fleet_.processes_.at("gateway-1").address_, "/once/x", 2);
    signalProcess(fleet_, "gateway-1", SIGTERM);
    std::this_thread::sleep_for(Milliseconds(3500)); // by then it has stopped listening
    boost::system::error_code error;
    boost::asio::write(caller.socket_, boost::asio::buffer("dy", 2), error);
    CHECK(readAnswerBody(caller) == Standin::echoBody("/once/x", "body").size());
    CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(2000)) == 0);
    CHECK(runsOf("slow") == 1);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenARequestOutlastsItsStop_AnswersItBeforeItExits")
{
    for (const char *desk : { "desk-1", "desk-2" }) {
        controlStandin(fleet_, desk, R"({"step_ms":10000})");
    }
    SlowCaller caller(fleet_.processes_.at("gateway-1").address_, "/once/x", 2);
    signalProcess(fleet_, "gateway-1", SIGTERM);
    std::this_thread::sleep_for(Milliseconds(2000));
    boost::system::error_code error;
    boost::asio::write(caller.socket_, boost::asio::buffer("dy", 2), error);
    CHECK(readAnswerBody(caller) > 0);
    CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(3500)) == 0);
    CHECK(runsOf("slow") == 1);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenStoppedWhileARequestStaysIncomplete_ExitsWithinItsGrace")
{
    const SlowCaller caller(fleet_.processes_.at("gateway-1").address_, "/once/x", 2);
    signalProcess(fleet_, "gateway-1", SIGTERM);
    CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(5000)) == 0);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenReloadedSettingsAreInvalid_KeepsServing")
{
    const std::string file = fleet_.folder_ + "/gateway-1.yaml";
    const int handle = open(file.c_str(), O_WRONLY | O_APPEND);
    REQUIRE(write(handle, "unknown: 1\n", 11) == 11);
    close(handle);
    signalProcess(fleet_, "gateway-1", SIGHUP);
    std::this_thread::sleep_for(Milliseconds(300));
    CHECK(call("/once/x", "r1").status_ == 200);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Upstream_WhenItsAnswersSayThatItLeaves_GetsNoMoreCalls")
{
    controlStandin(fleet_, "desk-1", R"({"leaving":true})");
    int leaving = 0;
    for (int index = 0; index < 40; ++index) {
        const HttpReply reply = call("/once/x", "r" + std::to_string(index));
        CHECK(reply.status_ == 200);
        leaving += findHeader(reply.headers_, "Server-Leaving").empty() ? 0 : 1;
    }
    CHECK(leaving == 1);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Upstream_WhenItAsksForAPause_GetsNoCallsMeanwhile")
{
    controlStandin(fleet_, "desk-1", R"({"mode":"full","pause_ms":3000})");
    for (int index = 0; index < 40; ++index) {
        CHECK(call("/once/x", "r" + std::to_string(index)).status_ == 200);
    }
    const HttpReply counts = callNode(fleet_.processes_.at("desk-1").address_, "POST", "/control", "{}");
    CHECK(counts.body_ == R"({"refusals":1})");
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Log_WhenTheProcessIsKilled_ContainsEarlierDecisions")
{
    CHECK(call("/once/x", "r1").status_ == 200);
    std::this_thread::sleep_for(Milliseconds(400)); // log lines are buffered for 100 ms
    signalProcess(fleet_, "gateway-1", SIGKILL);
    std::ifstream log(fleet_.folder_ + "/gateway-1.log");
    const std::string text{ std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>() };
    CHECK(text.find(R"("event":"answered","request":"r1")") != std::string::npos);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Log_WhenItsReaderDoesNotRead_DoesNotBlockCalls")
{
    constexpr int calls = 300; // about 150 KB of log lines; a pipe holds 64 KB
    signalProcess(fleet_, "gateway-1", SIGKILL);
    const std::string log = fleet_.folder_ + "/gateway-1.log";
    unlink(log.c_str());
    REQUIRE(mkfifo(log.c_str(), 0600) == 0);
    const int reader = open(log.c_str(), O_RDWR | O_NONBLOCK);
    REQUIRE(reader >= 0);
    startProcess(fleet_, "gateway-1");
    REQUIRE(waitUntil([&] { return isGatewayReady(fleet_, "gateway-1"); }));
    for (int index = 0; index < calls; ++index) {
        CHECK(call("/read/x", "r" + std::to_string(index)).status_ == 200);
    }
    signalProcess(fleet_, "gateway-1", SIGTERM);
    CHECK(awaitExit(fleet_, "gateway-1", Milliseconds(5000)) == 0);
    close(reader);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Metrics_WhenFetched_CountCalls")
{
    call("/once/x", "r1");
    const HttpReply reply = callNode(fleet_.processes_.at("gateway-1").control_, "GET", "/metrics");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_.find("burdockfield_calls{kind=\"once\"} 1") != std::string::npos);
}

namespace {

/// One gateway that hedges, and two engines.
struct HedgingProcessFixture : ProcessFixture
{
    HedgingProcessFixture()
    {
        GatewayFleetSpec spec;
        spec.gateways_ = 1;
        spec.settings_ = "hedging: { share: 0.2 }\n";
        REQUIRE(startGatewayFleet(fleet_, spec));
    }

    HttpReply call(uint64_t number)
    {
        return callGateway(fleet_, "gateway-1", { "r" + std::to_string(number), "/read/x" });
    }

    HttpReply readPage(const std::string &target)
    {
        return callNode(fleet_.processes_.at("gateway-1").control_, "GET", target);
    }
};

} // namespace

TEST_CASE_FIXTURE(HedgingProcessFixture, "Gateway_WhenAnUpstreamIsSilent_AnswersIdempotentCallsByAHedgedRequest")
{
    // The silence timeout is 3 s; without a hedge the calls at the silent engine are answered after that.
    constexpr uint64_t learntCalls = 100;
    uint64_t number = 0;
    while (number < learntCalls) {
        REQUIRE(call(++number).status_ == 200);
    }
    controlStandin(fleet_, "engines-1", R"({"mode":"mute"})");
    for (uint64_t last = number + 4; number < last;) {
        CHECK(call(++number).status_ == 200);
    }
    CHECK(readPage("/metrics").body_.find("burdockfield_hedges{kind=\"won\"}") != std::string::npos);
}

TEST_CASE_FIXTURE(HedgingProcessFixture, "Gateway_WhenAskedWhereARequestWouldGo_ReportsItOnTheMetricsAddress")
{
    const std::string target = std::string("/v1/where?host=") + gatewayHost + "&path=/once/x&workspace=workspace-1";
    const HttpReply reply = readPage(target);
    CHECK(reply.status_ == 200);
    CHECK(reply.body_.find(R"("choice":"desk-1")") != std::string::npos);
    CHECK(reply.body_.find("key-1") == std::string::npos);
    CHECK(readPage("/v1/where?host=x").status_ == 400);
}
