/**
 * @file call_number_test.cpp
 * @brief Tests of calls between nodes whose peer sends replies to earlier calls again.
 */
#include "call_number_func.h"

#include "endless_peer_fixture.h"
#include "error_type.h"
#include "http_client.h"
#include "http_func.h"
#include "http_server.h"

#include <optional>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Client that calls a node, which is the test itself.
struct CallNumberFixture : EndlessPeerFixture
{
    static constexpr Milliseconds callTimeout{ 2000 };

    CallNumberFixture()
    {
        client_.onExtraReply_ = [this](const ExtraReply &reply) {
            extra_.push_back(reply);
        };
    }

    void start(ConnectionUse use = ConnectionUse::ReuseOnce)
    {
        end_.reset();
        reply_ = {};
        const auto done = [this](std::error_code error, HttpReply reply) {
            end_ = error;
            reply_ = std::move(reply);
        };
        fetchFromNode(client_, address_, HttpRequest(), callTimeout, use, done);
    }

    /// Makes a call whose reply is due, so that the connection is kept.
    void callOnce(const std::string &reply)
    {
        start();
        acceptConnection();
        receiveRequest();
        send(reply);
        awaitEnd();
        REQUIRE_FALSE(*end_);
    }

    void awaitEnd()
    {
        runUntil([this] { return end_.has_value(); });
    }

    /// @return a reply that names a call, or none if the number is 0.
    static std::string makeReply(uint64_t number, const std::string &body)
    {
        const std::string name = number == 0 ? "" : "Call-Number: " + std::to_string(number) + "\r\n";
        return "HTTP/1.1 200 OK\r\n" + name + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    HttpClient client_{ io_ };
    std::optional<std::error_code> end_; ///< How the last call ended.
    HttpReply reply_; ///< Its reply.
    std::vector<ExtraReply> extra_; ///< Replies that the client has dropped.
};

/// Server on loopback that answers each request at once.
struct NodeServerFixture
{
    NodeServerFixture()
        : server_(io_, {}, makeHandlers())
    {
        REQUIRE_FALSE(listen(server_, address_));
    }

    ServerHandlers makeHandlers()
    {
        ServerHandlers handlers;
        handlers.onRequest_ = [this](ExchangeId exchange, const HttpRequest & /*request*/) {
            respond(server_, exchange, {});
        };
        handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
        };
        return handlers;
    }

    /// @return the call number of the reply to a numbered call.
    std::optional<uint64_t> callNumbered(uint64_t number)
    {
        client_.nextCall_ = number;
        std::optional<HttpReply> reply;
        const auto done = [&reply](std::error_code error, HttpReply received) {
            CHECK_FALSE(error);
            reply = std::move(received);
        };
        HttpRequest request;
        request.target_ = "/";
        fetchFromNode(client_, address_, std::move(request), Milliseconds(2000), ConnectionUse::Reuse, done);
        REQUIRE(waitUntil([this, &reply] {
            io_.poll();
            return reply.has_value();
        }));
        return findCallNumber(reply->headers_);
    }

    Asio::io_context io_{ 1 };
    std::string address_ = takeAddresses(1)[0];
    HttpServer server_;
    HttpClient client_{ io_ };
};

} // namespace

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenACopyOfAnEarlierReplyComesFirst_TakesItsOwn")
{
    callOnce(makeReply(1, "earlier"));
    start();
    receiveRequest();
    send(makeReply(1, "earlier"));
    runFor(Milliseconds(20));
    send(makeReply(2, "own"));
    awaitEnd();
    CHECK(reply_.body_ == "own");
    REQUIRE(extra_.size() == 1);
    CHECK(extra_[0].address_ == address_);
    CHECK(extra_[0].place_ == ExtraAnswerPlace::BeforeAnswer);
    CHECK(extra_[0].expected_ == 2);
    CHECK(extra_[0].received_ == 1);
    runUntil([this] { return isClosed(); });
}

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenTwoCopiesComeWithItsReply_TakesItsOwnAndReportsOnce")
{
    callOnce(makeReply(1, "earlier"));
    start();
    receiveRequest();
    send(makeReply(1, "earlier") + makeReply(1, "earlier") + makeReply(2, "own"));
    awaitEnd();
    CHECK(reply_.body_ == "own");
    CHECK(extra_.size() == 1);
    runUntil([this] { return isClosed(); });
}

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenACopyCameOnTheIdleConnection_TakesANewOne")
{
    callOnce(makeReply(1, "earlier"));
    send(makeReply(1, "earlier"));
    start();
    acceptConnection();
    receiveRequest();
    send(makeReply(2, "own"));
    awaitEnd();
    CHECK(reply_.body_ == "own");
    REQUIRE(extra_.size() == 1);
    CHECK(extra_[0].place_ == ExtraAnswerPlace::Idle);
    CHECK(extra_[0].expected_ == 1);
}

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenACopyFollowsItsReply_ReportsItAndClosesTheConnection")
{
    callOnce(makeReply(1, "own") + makeReply(1, "own"));
    CHECK(reply_.body_ == "own");
    REQUIRE(extra_.size() == 1);
    CHECK(extra_[0].place_ == ExtraAnswerPlace::BehindAnswer);
    runUntil([this] { return isClosed(); });
}

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenTheNodeIsOfAnEarlierRelease_TakesItsReplyWithoutNumber")
{
    callOnce(makeReply(0, "first"));
    start();
    receiveRequest();
    send(makeReply(0, "second"));
    awaitEnd();
    CHECK(reply_.body_ == "second");
    CHECK(extra_.empty());
}

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenOnlyCopiesCome_EndsWithoutAReply")
{
    callOnce(makeReply(1, "earlier"));
    start();
    receiveRequest();
    for (int copy = 0; copy < 100 && !end_; ++copy) {
        send(makeReply(1, "earlier"));
    }
    awaitEnd();
    CHECK(end_ == make_error_code(TransportErrc::Malformed));
    CHECK(extra_.size() == 1);
}

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenAReplyHasTwoNumbers_DropsIt")
{
    start();
    acceptConnection();
    receiveRequest();
    send("HTTP/1.1 200 OK\r\nCall-Number: 1\r\nCall-Number: 2\r\nContent-Length: 0\r\n\r\n");
    send(makeReply(1, "own"));
    awaitEnd();
    CHECK(reply_.body_ == "own");
    CHECK(extra_.size() == 1);
}

TEST_CASE_FIXTURE(CallNumberFixture, "NodeCall_WhenCopiesKeepComing_EndsInTime")
{
    callOnce(makeReply(1, "earlier"));
    start();
    receiveRequest();
    const TimePoint began = Clock::now();
    while (!end_ && Clock::now() - began < 2 * callTimeout) {
        send(makeReply(1, "earlier"));
        runFor(callTimeout / 5);
    }
    CHECK(Clock::now() - began < callTimeout + Milliseconds(500));
    CHECK(end_ == make_error_code(TransportErrc::TimedOut));
}

TEST_CASE_FIXTURE(CallNumberFixture, "ForeignCall_WhenItIsMade_CarriesNoNumber")
{
    fetch(
        client_, address_, HttpRequest(), callTimeout, ConnectionUse::Reuse, [](std::error_code, const HttpReply &) {});
    acceptConnection();
    std::string text;
    runUntil([this, &text] {
        receiveSome(text);
        return text.ends_with("\r\n\r\n");
    });
    CHECK(text.find(callNumberHeader) == std::string::npos);
}

TEST_CASE_FIXTURE(NodeServerFixture, "Server_WhenItServesNodes_RepeatsEachCallNumber")
{
    server_.servesNodes_ = true;
    CHECK(callNumbered(41) == 41);
    CHECK(callNumbered(42) == 42);
    CHECK(client_.idle_.size() == 1);
}

TEST_CASE_FIXTURE(NodeServerFixture, "Server_WhenItServesCallers_RepeatsNoCallNumber")
{
    CHECK_FALSE(callNumbered(41));
}
