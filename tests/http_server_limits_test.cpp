/**
 * @file http_server_limits_test.cpp
 * @brief Tests of the HTTP server's limits on headers and trailers.
 */
#include "address_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "http_server.h"

#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <string>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr size_t longFieldBytes = 66000; ///< Longer than any field that the parser can store.

/// Server whose handlers run only while the test runs them, and one connection to it.
struct HttpServerLimitsFixture
{
    HttpServerLimitsFixture()
        : server_(io_, {}, makeHandlers())
    {
        const std::string address = takeAddresses(1)[0];
        REQUIRE_FALSE(listen(server_, address));
        caller_.connect(*parseEndpoint(address));
        caller_.non_blocking(true);
    }

    ServerHandlers makeHandlers()
    {
        ServerHandlers handlers;
        handlers.onRequest_ = [this](ExchangeId exchange, const HttpRequest & /*request*/) {
            server_.announceClose_ = true;
            respond(server_, exchange, {});
        };
        handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
        };
        handlers.onBadRequest_ = [](std::error_code error) {
            HttpReply reply;
            reply.status_ = error == RefusalErrc::HeaderTooLarge ? 431 : 400;
            reply.status_ = error == RefusalErrc::Overloaded ? 503 : reply.status_;
            return reply;
        };
        return handlers;
    }

    /// Sends a request. @return the status line that the server answers with
    std::string exchange(std::string request)
    {
        std::string answer;
        const bool answered = waitUntil(
            [this, &request, &answer] {
                boost::system::error_code error;
                request.erase(0, caller_.write_some(Asio::buffer(request), error));
                io_.poll();
                std::array<char, 4096> bytes{};
                answer.append(bytes.data(), caller_.read_some(Asio::buffer(bytes), error));
                return answer.find("\r\n") != std::string::npos;
            },
            Milliseconds(2000));
        CHECK(answered);
        return answer.substr(0, answer.find("\r\n"));
    }

    /// Connects further callers. @return their sockets
    std::vector<Asio::ip::tcp::socket> connectCallers(size_t count)
    {
        std::vector<Asio::ip::tcp::socket> callers;
        for (size_t caller = 0; caller < count; ++caller) {
            callers.emplace_back(io_).connect(server_.acceptor_.local_endpoint());
        }
        return callers;
    }

    static std::string makeLongField()
    {
        return "Long: " + std::string(longFieldBytes, 'x') + "\r\n";
    }

    Asio::io_context io_{ 1 };
    HttpServer server_;
    Asio::ip::tcp::socket caller_{ io_ };
};

} // namespace

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenAFieldIsLongerThanTheParserCanStore_RejectsItAsTooLarge")
{
    server_.limits_.headerBytes_ = 1U << 20U;
    CHECK(exchange("GET / HTTP/1.1\r\n" + makeLongField() + "\r\n") == "HTTP/1.1 431 Request Header Fields Too Large");
}

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenATrailerIsLongerThanTheParserCanStore_RejectsItAsTooLarge")
{
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(exchange(head + "4\r\nbody\r\n0\r\n" + makeLongField() + "\r\n")
        == "HTTP/1.1 431 Request Header Fields Too Large");
}

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenTheHeaderLimitExceeds32Bits_ServesRequests")
{
    server_.limits_.headerBytes_ = size_t{ 1 } << 32U;
    CHECK(exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n") == "HTTP/1.1 200 OK");
}

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenABodyIsLongerThanTheLongestHeader_ServesIt")
{
    const std::string body(4U << 20U, 'x');
    const std::string head = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    CHECK(exchange(head + body) == "HTTP/1.1 200 OK");
}

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenItsMemoryHasNoRoomForABody_RefusesItAsOverloaded")
{
    setBudgetMemory(*server_.budget_, 8U << 20U);
    const std::string head = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(4U << 20U) + "\r\n\r\n";
    CHECK(exchange(head) == "HTTP/1.1 503 Service Unavailable");
}

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenItsMemoryIsTooSmallForAChunkedBody_RefusesItAsOverloaded")
{
    setBudgetMemory(*server_.budget_, 8U << 20U);
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(exchange(head + "200000\r\n" + std::string(2U << 20U, 'x')) == "HTTP/1.1 503 Service Unavailable");
}

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenAChunkIsLongerThanTheLongestHeader_ServesIt")
{
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "100000\r\n" + std::string(1U << 20U, 'x') + "\r\n";
    CHECK(exchange(head + chunk + "0\r\n\r\n") == "HTTP/1.1 200 OK");
}

TEST_CASE_FIXTURE(HttpServerLimitsFixture, "Server_WhenManyConnectionsWait_AcceptsThemInOneTurn")
{
    constexpr size_t count = 50;
    const auto callers = connectCallers(count);
    for (int handler = 0; handler < 10; ++handler) { // on a busy machine each handler may have to wait for many others
        io_.poll_one();
    }
    stopListening(server_);
    io_.poll();
    CHECK(server_.idle_.size() == count + 1);
}
