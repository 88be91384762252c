/**
 * @file gateway_refusal_process_test.cpp
 * @brief Tests that calls to upstreams that copy their refusals run once, with a real gateway process.
 */
#include "copying_upstream.h"
#include "gateway_fleet.h"
#include "process_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <string>
#include <vector>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\n";
const std::string unavailable = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";

/// A gateway without upstreams of the service "desk", which the test lists.
struct GatewayRefusalFixture : ProcessFixture
{
    void start(uint32_t attempts)
    {
        GatewayFleetSpec spec;
        spec.gateways_ = 1;
        spec.desks_ = 0;
        spec.attempts_ = attempts;
        REQUIRE(startGatewayFleet(fleet_, spec));
    }

    /// Lists an instance at the address of an upstream, which doesn't check it.
    void list(const std::string &instance, const CopyingUpstream &upstream)
    {
        fleet_.processes_[instance].address_ = upstream.address_;
        writeUpstreamRow(fleet_, instance, "ready", 4);
        REQUIRE(waitUntil([&] {
            return readStatusField(fleet_, "gateway-1", "upstreams").find('"' + instance + '"') != std::string::npos;
        }));
    }

    /// @return the first line of the gateway's log that has all texts, or an empty text.
    std::string awaitLine(const std::vector<std::string> &texts)
    {
        std::string found;
        waitUntil(
            [&] {
                std::ifstream log(fleet_.folder_ + "/gateway-1.log");
                for (std::string line; found.empty() && std::getline(log, line);) {
                    const bool matches = std::all_of(texts.begin(), texts.end(),
                        [&line](const std::string &text) { return line.find(text) != std::string::npos; });
                    found = matches ? line : std::string();
                }
                return !found.empty();
            },
            Milliseconds(3000));
        return found;
    }

    HttpReply call(const std::string &id)
    {
        return callGateway(fleet_, "gateway-1", { id, "/once/x", "body", "key-1", Milliseconds(4000), {} });
    }
};

} // namespace

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenTheRefusalOfItsFirstAttemptIsCopied_RunsOnce")
{
    start(3);
    CopyingUpstream upstream(unavailable, 1);
    list("desk-1", upstream);
    const HttpReply reply = call("r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
    CHECK(upstream.runsOf("r1") == 1);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenAMisdirectedAnswerIsCopiedAtTheSameAddress_RunsOnce")
{
    start(1);
    CopyingUpstream upstream(misdirected, 1);
    for (const char *instance : { "desk-1", "desk-2", "desk-3" }) {
        list(instance, upstream);
    }
    const HttpReply reply = call("r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
    CHECK(upstream.runsOf("r1") == 1);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenAMisdirectedAnswerToACallWithItsIdIsCopied_RunsOnce")
{
    start(1);
    CopyingUpstream upstream(misdirected, 1);
    list("desk-1", upstream);
    CHECK(call("r1").status_ == 503);
    REQUIRE(upstream.runsOf("r1") == 0);
    list("desk-2", upstream);
    list("desk-3", upstream);
    const HttpReply reply = call("r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
    CHECK(upstream.runsOf("r1") == 1);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenARefusalOfACallWithItsIdIsCopied_RunsOnce")
{
    constexpr uint32_t attempts = 3;
    start(attempts);
    CopyingUpstream upstream(unavailable, attempts);
    list("desk-1", upstream);
    CHECK(call("r1").status_ == 503);
    REQUIRE(upstream.runsOf("r1") == 0);
    const HttpReply reply = call("r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
    CHECK(upstream.runsOf("r1") == 1);
}

TEST_CASE_FIXTURE(
    GatewayRefusalFixture, "NonIdempotentCall_WhenARefusalOfACallWithItsIdIsCopiedAndNoAttemptIsLeft_IsNotRefused")
{
    start(1);
    CopyingUpstream upstream(unavailable, 1);
    list("desk-1", upstream);
    CHECK(call("r1").status_ == 503);
    const HttpReply reply = call("r1");
    CHECK(reply.status_ == 200);
    CHECK(upstream.runsOf("r1") == 1);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenARefusalOfAnotherCallIsCopied_IsAnswered")
{
    start(1);
    CopyingUpstream upstream(unavailable, 1);
    list("desk-1", upstream);
    CHECK(call("r1").status_ == 503);
    const HttpReply reply = call("r2");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
    CHECK(upstream.runsOf("r2") == 1);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "ExtraAnswer_WhenARefusalOfAnotherCallIsCopied_IsLoggedWithBothIds")
{
    start(1);
    CopyingUpstream upstream(unavailable, 1);
    list("desk-1", upstream);
    call("r1");
    call("r2");
    CHECK_FALSE(awaitLine({ R"("event":"send-failed")", R"("request":"r1")", R"("connection":"1")",
                              R"("calls_before":"0")", R"("written":"yes")" })
                    .empty());
    CHECK_FALSE(awaitLine({ R"("event":"extra-answer")", R"("address":")" + upstream.address_, R"("connection":"1")",
                              R"("calls_before":"1")", R"("place":"before-answer")", R"("request":"r2")",
                              R"("received":"r1")", R"("status":"503")", R"("not_run":"yes")" })
                    .empty());
    CHECK_FALSE(awaitLine({ R"("event":"answered")", R"("request":"r2")", R"("connection":"1")" }).empty());
    const std::string metrics = callNode(fleet_.processes_.at("gateway-1").control_, "GET", "/metrics").body_;
    CHECK(metrics.find("burdockfield_extra_answers{kind=\"before-answer\"} 1\n") != std::string::npos);
}
