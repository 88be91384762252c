/**
 * @file http_server_test.cpp
 * @brief Tests of the HTTP server on loopback, with full control over what its thread handles at once.
 */
#include "address_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "http_server.h"

#include <array>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr Milliseconds shortTimeout{ 30 }; ///< Read and idle timeouts of the server.
constexpr Milliseconds busyTime{ 60 }; ///< Time for which its thread handles nothing, longer than shortTimeout.

/// Server whose handlers run only while the test runs them, and one connection to it.
struct HttpServerFixture
{
    HttpServerFixture()
        : server_(io_, makeLimits(), makeHandlers())
    {
        const std::string address = takeAddresses(1)[0];
        REQUIRE_FALSE(listen(server_, address));
        caller_.connect(*parseEndpoint(address));
        runUntil([this] { return !server_.idle_.empty(); });
    }

    static ServerLimits makeLimits()
    {
        ServerLimits limits;
        limits.readTimeout_ = shortTimeout;
        limits.idleTimeout_ = shortTimeout;
        return limits;
    }

    ServerHandlers makeHandlers()
    {
        ServerHandlers handlers;
        handlers.onRequest_ = [this](ExchangeId exchange, const HttpRequest & /*request*/) {
            exchange_ = exchange;
            if (failsOnRequest_) {
                throw std::out_of_range("no such row");
            }
        };
        handlers.onDisconnect_ = [this](ExchangeId /*exchange*/) {
            ++disconnects_;
        };
        handlers.onBadRequest_ = [](std::error_code error) {
            HttpReply reply;
            reply.status_ = error == RefusalErrc::SlowRequest ? 408 : 400;
            return reply;
        };
        return handlers;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        CHECK(waitUntil(
            [this, &condition] {
                io_.poll();
                return condition();
            },
            Milliseconds(2000)));
    }

    /// Lets timeouts pass and input arrive while the server's thread is busy with something else.
    static void stayBusy()
    {
        std::this_thread::sleep_for(busyTime);
    }

    void send(const std::string &text)
    {
        Asio::write(caller_, Asio::buffer(text));
    }

    /// Runs the server until it has received a request, then answers it and closes the connection.
    void answerRequest()
    {
        runUntil([this] { return exchange_ != ExchangeId{}; });
        io_.poll();
        server_.announceClose_ = true;
        respond(server_, exchange_, {});
    }

    /// @return what the caller receives until the server closes the connection.
    std::string receiveAll()
    {
        std::string text;
        caller_.non_blocking(true);
        runUntil([this, &text] {
            std::array<char, 4096> bytes{};
            boost::system::error_code error;
            const size_t length = caller_.read_some(Asio::buffer(bytes), error);
            text.append(bytes.data(), length);
            return error && error != Asio::error::would_block;
        });
        return text;
    }

    Asio::io_context io_{ 1 };
    HttpServer server_;
    Asio::ip::tcp::socket caller_{ io_ };
    ExchangeId exchange_; ///< Exchange of the last request that the server has received.
    bool failsOnRequest_ = false; ///< Whether the handler of requests throws.
    int disconnects_ = 0; ///< Exchanges that ended before their response.
};

const std::string requestHead = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";

} // namespace

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenAnIdleTimeoutPassesWhileIdleConnectionsAreClosed_KeepsRunning")
{
    stayBusy();
    stopListening(server_);
    closeIdleConnections(server_);
    CHECK_NOTHROW(io_.poll());
    CHECK(server_.idle_.empty());
    CHECK(receiveAll().empty());
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenAReadTimeoutPassesWhileThePeerCloses_KeepsRunning")
{
    send(requestHead + "bo");
    runUntil([this] { return server_.idle_.empty(); });
    caller_.close();
    stayBusy();
    CHECK_NOTHROW(io_.poll());
    CHECK(exchange_ == ExchangeId{});
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenAReadTimeoutPassesWhileTheRequestIsCompleted_AnswersIt")
{
    send(requestHead + "bo");
    runUntil([this] { return server_.idle_.empty(); });
    send("dy");
    stayBusy();
    answerRequest();
    CHECK(receiveAll().find("HTTP/1.1 200 OK") == 0);
    CHECK(disconnects_ == 0);
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenAnIdleTimeoutPassesWhileARequestArrives_AnswersIt")
{
    send(requestHead + "body");
    stayBusy();
    answerRequest();
    CHECK(receiveAll().find("HTTP/1.1 200 OK") == 0);
    CHECK(disconnects_ == 0);
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenAnIdleTimeoutPassesWhileAMalformedRequestArrives_RejectsItAsMalformed")
{
    send("malformed\r\n\r\n");
    stayBusy();
    CHECK(receiveAll().find("HTTP/1.1 400") == 0);
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenARequestTakesLongerThanTheReadTimeout_RejectsItAsSlow")
{
    send(requestHead + "bo");
    runUntil([this] { return server_.idle_.empty(); });
    stayBusy();
    CHECK(receiveAll().find("HTTP/1.1 408") == 0);
    CHECK(exchange_ == ExchangeId{});
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenNoRequestArrivesWithinTheIdleTimeout_ClosesTheConnection")
{
    stayBusy();
    CHECK(receiveAll().empty());
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenTheHandlerOfARequestThrows_EndsOnlyItsExchange")
{
    failsOnRequest_ = true;
    send(requestHead + "body");
    CHECK(receiveAll().empty());
    CHECK(server_.exchanges_.empty());
    CHECK(disconnects_ == 1);
}
