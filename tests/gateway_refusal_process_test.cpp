/**
 * @file gateway_refusal_process_test.cpp
 * @brief Tests that calls to upstreams that copy their refusals run once, with a real gateway process.
 */
#include "copying_upstream.h"
#include "gateway_fleet.h"
#include "process_fixture.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <string>
#include <vector>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\n";
const std::string unavailable = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
const std::string succeeded = "HTTP/1.1 200 OK\r\nResponse-Signature: 1\r\n";
const std::string failed = "HTTP/1.1 500 Internal Server Error\r\nResponse-Signature: 1\r\n";

/// Upstream that answers each request without its id and works on it until the connection is closed.
struct UnnamingUpstream
{
    UnnamingUpstream()
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }

    UnnamingUpstream(const UnnamingUpstream &) = delete;
    UnnamingUpstream &operator=(const UnnamingUpstream &) = delete;

    ~UnnamingUpstream()
    {
        io_.stop();
        thread_.join();
    }

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (!error) {
                read(std::make_shared<CopyingConnection>(std::move(socket)), false);
            }
            accept();
        });
    }

    /// @param working whether the connection has carried a request
    void read(const std::shared_ptr<CopyingConnection> &connection, bool working)
    {
        connection->request_ = {};
        boost::beast::http::async_read(connection->socket_, connection->buffer_, connection->request_,
            [this, connection, working](const boost::system::error_code &error, size_t) {
                if (error) {
                    working_ -= working ? 1 : 0;
                    return;
                }
                ++requests_;
                working_ += working ? 0 : 1;
                connection->output_ = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                boost::asio::write(connection->socket_, boost::asio::buffer(connection->output_));
                read(connection, true);
            });
    }

    std::string address_ = takeAddresses(1)[0]; ///< Where it listens.
    boost::asio::io_context io_{ 1 };
    boost::asio::ip::tcp::acceptor acceptor_{ io_, *parseEndpoint(address_) };
    std::atomic<int> requests_ = 0; ///< Requests received.
    std::atomic<int> working_ = 0; ///< Open connections that have carried a request.
    std::thread thread_;
};

/// A gateway without upstreams of the service "desk", which the test lists.
struct GatewayRefusalFixture : ProcessFixture
{
    void start(uint32_t attempts, const std::string &settings = {})
    {
        GatewayFleetSpec spec;
        spec.settings_ = settings;
        spec.gateways_ = 1;
        spec.desks_ = 0;
        spec.attempts_ = attempts;
        REQUIRE(startGatewayFleet(fleet_, spec));
    }

    /// Lists an instance at the address of an upstream, which doesn't check it.
    template<typename Upstream>
    void list(const std::string &instance, const Upstream &upstream)
    {
        fleet_.processes_[instance].address_ = upstream.address_;
        writeUpstreamRow(fleet_, instance, "ready", 4);
        REQUIRE(waitUntil([&] {
            return readStatusField(fleet_, "gateway-1", "upstreams").find('"' + instance + '"') != std::string::npos;
        }));
    }

    /// Removes the rows of the engines that the fleet began with.
    void unlistEngines()
    {
        for (const char *instance : { "engines-1", "engines-2" }) {
            writeUpstreamRow(fleet_, instance, "ready", 4, true);
            REQUIRE(waitUntil([&] {
                const std::string upstreams = readStatusField(fleet_, "gateway-1", "upstreams");
                return upstreams.find('"' + std::string(instance) + '"') == std::string::npos;
            }));
        }
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
        return callRoute("/once/x", id);
    }

    HttpReply callRoute(const std::string &target, const std::string &id)
    {
        return callGateway(fleet_, "gateway-1", { id, target, "body", "key-1", Milliseconds(4000), {} });
    }

    /// Calls with the bytes of an id as they are; the HTTP client sends no value with blanks at its ends.
    HttpReply callWithRawId(const std::string &id)
    {
        namespace Http = boost::beast::http;
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        socket.connect(*parseEndpoint(fleet_.processes_.at("gateway-1").address_));
        boost::asio::write(socket,
            boost::asio::buffer("POST /once/x HTTP/1.1\r\nHost: " + std::string(gatewayHost) + "\r\nRequest-Id: " + id
                + "\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody"));
        boost::beast::flat_buffer buffer;
        Http::response<Http::string_body> response;
        boost::system::error_code error;
        Http::read(socket, buffer, response, error);
        CHECK_FALSE(error);
        return { static_cast<int>(response.result_int()), {}, response.body() };
    }

    std::string readMetrics()
    {
        return callNode(fleet_.processes_.at("gateway-1").control_, "GET", "/metrics").body_;
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

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenARefusalOfAnIdInOtherCaseIsCopied_IsAnswered")
{
    start(1);
    CopyingUpstream upstream(unavailable, 1);
    list("desk-1", upstream);
    CHECK(call("r1").status_ == 503);
    const HttpReply reply = call("R1");
    CHECK(reply.status_ == 200);
    CHECK(upstream.runsOf("R1") == 1);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenARefusalOfItsIdWithSpacesAroundIsCopied_RunsOnce")
{
    constexpr uint32_t attempts = 3;
    start(attempts);
    CopyingUpstream upstream(unavailable, attempts);
    list("desk-1", upstream);
    CHECK(call("r1").status_ == 503);
    const HttpReply reply = callWithRawId(" r1\t ");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
    CHECK(upstream.runsOf("r1") == 1);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenASuccessOfACallWithItsIdIsCopied_HasItsOwnAnswer")
{
    start(1);
    CopyingUpstream upstream(succeeded, 1);
    list("desk-1", upstream);
    CHECK(call("r1").body_ == "none");
    const HttpReply reply = call("r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "NonIdempotentCall_WhenAFailureOfACallWithItsIdIsCopied_HasItsOwnAnswer")
{
    start(1);
    CopyingUpstream upstream(failed, 1);
    list("desk-1", upstream);
    CHECK(call("r1").status_ == 500);
    const HttpReply reply = call("r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "done");
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "Stream_WhenAnAnswerWithoutIdMovesIt_IsNotLeftAtItsUpstream")
{
    constexpr int mostCalls = 30;
    start(3);
    UnnamingUpstream upstream;
    list("engines-3", upstream);
    for (int number = 0; number < mostCalls && upstream.requests_ == 0; ++number) {
        const std::string id = "r" + std::to_string(number);
        CHECK(callRoute("/stream/x", id).status_ == 200);
    }
    REQUIRE(upstream.requests_ > 0);
    CHECK(waitUntil([&] { return upstream.working_ == 0; }, Milliseconds(400)));
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "HedgedCall_WhenTheRefusalsOfBothItsSendsAreCopied_IsNotRefusedThoughItRuns")
{
    // The third send goes to an upstream that has refused the call, and keeps the connection of that refusal.
    constexpr int learntCalls = 100;
    constexpr int mostCalls = 12;
    const Milliseconds slowness{ 400 };
    start(3, "hedging: { share: 0.2 }\n");
    for (int number = 0; number < learntCalls; ++number) {
        REQUIRE(callRoute("/read/x", "r" + std::to_string(number)).status_ == 200);
    }
    unlistEngines();
    CopyingRules rules;
    rules.refusedPrefix_ = "slow";
    CopyingUpstream quick(unavailable, 0, rules);
    rules.refusalDelay_ = slowness;
    CopyingUpstream slow(unavailable, 0, rules);
    list("engines-3", quick);
    list("engines-4", slow);
    const std::string failedHedge = "burdockfield_hedges{kind=\"failed\"} 1\n";
    for (int number = 0; number < mostCalls && readMetrics().find(failedHedge) == std::string::npos; ++number) {
        const std::string id = "slow" + std::to_string(number);
        const HttpReply reply = callRoute("/read/x", id);
        CHECK(reply.status_ == 200);
        CHECK(quick.runsOf(id) + slow.runsOf(id) == 1);
    }
    CHECK(readMetrics().find(failedHedge) != std::string::npos);
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "Stream_WhenAStreamWithItsIdIsCopied_HasItsOwnEvents")
{
    start(3);
    unlistEngines();
    const std::string streamHead = succeeded + "Content-Type: text/event-stream\r\n";
    CopyingUpstream upstream(streamHead, 1, { streamHead, "id: 1\ndata: first\n\n", "id: 1\ndata: own\n\n", {}, {} });
    list("engines-3", upstream);
    CHECK(callRoute("/stream/x", "r1").body_ == "id: 1\ndata: first\n\n");
    const HttpReply reply = callRoute("/stream/x", "r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "id: 1\ndata: own\n\n");
}

TEST_CASE_FIXTURE(GatewayRefusalFixture, "Stream_WhenARefusalOfItsFirstAttemptIsCopied_RunsOnce")
{
    start(3);
    unlistEngines();
    CopyingRules rules;
    rules.answerHead_ = succeeded + "Content-Type: text/event-stream\r\n";
    rules.answerBody_ = "id: 1\ndata: own\n\n";
    CopyingUpstream upstream(unavailable, 1, rules);
    list("engines-3", upstream);
    const HttpReply reply = callRoute("/stream/x", "r1");
    CHECK(reply.status_ == 200);
    CHECK(reply.body_ == "id: 1\ndata: own\n\n");
    CHECK(upstream.runsOf("r1") == 1);
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
    CHECK(readMetrics().find("burdockfield_extra_answers{kind=\"before-answer\"} 1\n") != std::string::npos);
}
