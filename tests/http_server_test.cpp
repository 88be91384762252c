/**
 * @file http_server_test.cpp
 * @brief Tests of the HTTP server on loopback, with full control over what its thread handles at once.
 */
#include "address_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "http_server.h"

#include <array>
#include <atomic>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr Milliseconds shortTimeout{ 30 }; ///< Read and idle timeouts of the server.
constexpr Milliseconds busyTime{ 60 }; ///< Time for which its thread handles nothing, longer than shortTimeout.

constexpr Milliseconds longTimeout{ 10000 }; ///< Read timeout that does not pass during a test.

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
        handlers.onRequest_ = [this](ExchangeId exchange, const HttpRequest &request) {
            exchange_ = exchange;
            age_ = request.age_;
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
        handlers.onIdle_ = [this] {
            idle_ = true;
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

    void stop()
    {
        stopListening(server_);
        closeIdleConnections(server_);
        io_.poll();
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
    Milliseconds age_{ -1 }; ///< Its age.
    boost::system::error_code ignored_; ///< Of calls whose failure doesn't matter.
    bool failsOnRequest_ = false; ///< Whether the handler of requests throws.
    bool idle_ = false; ///< Whether the server has reported that it is idle.
    int disconnects_ = 0; ///< Exchanges that ended before their response.
};

const std::string requestHead = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";

} // namespace

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenARequestWaitsToBeRead_TellsForHowLong")
{
    send(requestHead + "body");
    stayBusy();
    runUntil([this] { return exchange_ != ExchangeId{}; });
    CHECK(age_ >= busyTime - Milliseconds(10));
    CHECK(age_ < Milliseconds(2000));
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenThePeerClosesUnnoticed_TellsThatItIsGone")
{
    send(requestHead + "body");
    runUntil([this] { return exchange_ != ExchangeId{}; });
    CHECK(isPeerConnected(server_, exchange_));
    caller_.close();
    stayBusy();
    CHECK_FALSE(isPeerConnected(server_, exchange_));
}

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

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenARequestArrivesWhileIdleConnectionsAreClosed_AnswersIt")
{
    closeIdleConnections(server_);
    send(requestHead + "body");
    answerRequest();
    CHECK(receiveAll().find("HTTP/1.1 200 OK") == 0);
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenTheReadTimeoutPassesBetweenTwoReads_RejectsTheRequest")
{
    send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
    runUntil([this] { return server_.idle_.empty(); });
    send(std::string(20000, 'x')); // several reads, so that one is complete when the timeout is handled
    stayBusy();
    CHECK(receiveAll().find("HTTP/1.1 408") == 0);
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenInputFollowsARejectedRequestWithoutEnd_ClosesTheConnection")
{
    send("malformed\r\n\r\n");
    std::atomic<bool> closed = false;
    std::thread sender([this, &closed] {
        const std::string input(65536, 'x');
        boost::system::error_code error;
        while (!error) {
            Asio::write(caller_, Asio::buffer(input), error);
        }
        closed = true;
    });
    const TimePoint end = Clock::now() + std::chrono::seconds(3);
    while (!closed && Clock::now() < end) {
        io_.run_one_for(Milliseconds(10));
    }
    CHECK(closed);
    caller_.shutdown(Asio::socket_base::shutdown_both, ignored_);
    sender.join();
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenNoDescriptorIsLeft_AcceptsAfterAPause")
{
    constexpr size_t mostHandlers = 50; // some accepts in 100 ms; a loop runs thousands of handlers
    Asio::ip::tcp::socket second(io_);
    second.open(Asio::ip::tcp::v4());
    rlimit limit{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const int next = dup(STDOUT_FILENO);
    close(next);
    const rlimit lowered{ static_cast<rlim_t>(next), limit.rlim_max };
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    server_.limits_.idleTimeout_ = Milliseconds(5000);
    second.connect(server_.acceptor_.local_endpoint()); // accepted when the first connection has reached its timeout
    CHECK(io_.run_for(Milliseconds(100)) < mostHandlers);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    Asio::write(second, Asio::buffer(requestHead + "body"));
    runUntil([this] { return exchange_ != ExchangeId{}; });
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenStoppedWhileARequestIsBeingReceived_IsIdleOnlyAfterItsAnswer")
{
    server_.limits_.readTimeout_ = longTimeout;
    send(requestHead + "bo");
    runUntil([this] { return server_.idle_.empty(); });
    stop();
    CHECK_FALSE(idle_);
    send("dy");
    runUntil([this] { return exchange_ != ExchangeId{}; });
    CHECK_FALSE(idle_);
    answerRequest();
    CHECK(receiveAll().find("HTTP/1.1 200 OK") == 0);
    CHECK(idle_);
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenStoppedBeforeAReceivedRequestIsRead_IsIdleOnlyAfterItsAnswer")
{
    server_.limits_.readTimeout_ = longTimeout;
    send(requestHead + "body");
    stopListening(server_);
    CHECK_FALSE(idle_);
    answerRequest();
    CHECK(receiveAll().find("HTTP/1.1 200 OK") == 0);
    CHECK(idle_);
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenStoppedAndARequestStaysIncomplete_IsIdleAfterRejectingIt")
{
    send(requestHead + "bo");
    runUntil([this] { return server_.idle_.empty(); });
    stop();
    CHECK_FALSE(idle_);
    CHECK(receiveAll().find("HTTP/1.1 408") == 0);
    caller_.close();
    runUntil([this] { return idle_; });
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenStoppedAndThePeerClosesDuringARequest_IsIdle")
{
    server_.limits_.readTimeout_ = longTimeout;
    send(requestHead + "bo");
    runUntil([this] { return server_.idle_.empty(); });
    stop();
    CHECK_FALSE(idle_);
    caller_.close();
    runUntil([this] { return idle_; });
}

TEST_CASE_FIXTURE(HttpServerFixture, "Server_WhenAResponseCannotBeWritten_ClosesTheConnection")
{
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([this] { return exchange_ != ExchangeId{}; });
    respond(server_, exchange_, { 200, { { "Request-Id", "r\r\nResponse-Signature: forged" } }, "body" });
    std::array<char, 64> bytes{};
    boost::system::error_code error;
    caller_.non_blocking(true);
    runUntil([&] {
        caller_.read_some(Asio::buffer(bytes), error);
        return error != Asio::error::would_block;
    });
    CHECK(error == Asio::error::eof);
}
