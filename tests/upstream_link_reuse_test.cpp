/**
 * @file upstream_link_reuse_test.cpp
 * @brief Tests of calls on connections that a gateway uses again, with full control over what its thread handles at
 * once.
 */
#include "address_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "upstream_link.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr Milliseconds arrivalTime{ 20 }; ///< Longest time that bytes take on loopback.

/// Link whose handlers run only while the test runs them, and the upstream's side of its connections.
struct UpstreamLinkReuseFixture
{
    UpstreamLinkReuseFixture()
        : address_(takeAddresses(1)[0])
        , acceptor_(io_, *parseEndpoint(address_))
        , link_(io_, makeHandlers())
    {
    }

    LinkHandlers makeHandlers()
    {
        LinkHandlers handlers;
        handlers.onHead_ = [](uint64_t /*send*/, const HttpReply & /*head*/) {
        };
        handlers.onBytes_ = [this](uint64_t send, const std::string &bytes) {
            bodies_[send] += bytes;
        };
        handlers.onEnd_ = [this](uint64_t send, std::error_code error) {
            ends_[send] = error;
            if (onEnd_) {
                std::exchange(onEnd_, nullptr)();
            }
        };
        return handlers;
    }

    void start(uint64_t send)
    {
        LinkCall call;
        call.send_ = send;
        call.address_ = address_;
        call.head_.method_ = "POST";
        call.head_.target_ = "/x";
        call.body_ = std::make_shared<const std::string>("body");
        call.isMismatched_ = [](const HttpReply & /*head*/) {
            return false;
        };
        startCall(link_, std::move(call));
    }

    /// Runs the link until it has sent a request on a new connection.
    Asio::ip::tcp::socket acceptRequest()
    {
        std::optional<Asio::ip::tcp::socket> accepted;
        acceptor_.async_accept([&accepted](const boost::system::error_code &error, Asio::ip::tcp::socket socket) {
            if (!error) {
                accepted.emplace(std::move(socket));
            }
        });
        runUntil([&accepted] {
            boost::system::error_code ignored;
            return accepted && accepted->available(ignored) > 0;
        });
        REQUIRE(accepted);
        return std::move(*accepted);
    }

    static void answer(Asio::ip::tcp::socket &socket, const std::string &body)
    {
        const std::string length = std::to_string(body.size());
        Asio::write(socket, Asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body));
    }

    /// Ends a first call and leaves its connection idle.
    Asio::ip::tcp::socket completeFirstCall()
    {
        start(1);
        Asio::ip::tcp::socket socket = acceptRequest();
        answer(socket, "first");
        runUntil([this] { return ends_.contains(1); });
        CHECK(link_.idle_[address_].size() == 1);
        return socket;
    }

    /// Answers the second call on the connection that it opens, and checks that it is unaffected by the first.
    void checkSecondCallSucceedsOnNewConnection()
    {
        Asio::ip::tcp::socket socket = acceptRequest();
        answer(socket, "second");
        runUntil([this] { return ends_.contains(2); });
        CHECK_FALSE(ends_[2]);
        CHECK(bodies_[2] == "second");
        CHECK(link_.connectionsOpened_ == 2);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        REQUIRE(waitUntil(
            [this, &condition] {
                io_.poll();
                return condition();
            },
            Milliseconds(2000)));
    }

    /// Lets input arrive while the gateway's thread is busy with something else.
    static void stayBusy()
    {
        std::this_thread::sleep_for(arrivalTime);
    }

    Asio::io_context io_{ 1 };
    std::string address_;
    Asio::ip::tcp::acceptor acceptor_;
    UpstreamLink link_;
    std::map<uint64_t, std::error_code> ends_; ///< How calls ended, by number of the send.
    std::map<uint64_t, std::string> bodies_; ///< Bodies of the answers, by number of the send.
    std::function<void()> onEnd_; ///< What the next end of a call does, if set.
};

} // namespace

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenTheUpstreamClosesWithItsAnswer_StartsTheNextCallOnANewConnection")
{
    start(1);
    Asio::ip::tcp::socket socket = acceptRequest();
    onEnd_ = [this] {
        Asio::post(io_, [this] { start(2); });
    };
    answer(socket, "first");
    socket.close();
    stayBusy();
    checkSecondCallSucceedsOnNewConnection();
    CHECK_FALSE(ends_[1]);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenBytesFollowAnAnswer_DoesNotTakeThemForTheNextAnswer")
{
    start(1);
    Asio::ip::tcp::socket socket = acceptRequest();
    onEnd_ = [this, &socket] {
        answer(socket, "unsolicited");
        stayBusy();
        Asio::post(io_, [this] { start(2); });
    };
    answer(socket, "first");
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAnIdleConnectionWasClosedUnnoticed_StartsACallOnANewOne")
{
    Asio::ip::tcp::socket socket = completeFirstCall();
    socket.close();
    stayBusy();
    start(2);
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAnIdleConnectionReceivedBytesUnnoticed_StartsACallOnANewOne")
{
    Asio::ip::tcp::socket socket = completeFirstCall();
    answer(socket, "unsolicited");
    stayBusy();
    start(2);
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAnIdleConnectionIsOpen_StartsACallOnIt")
{
    Asio::ip::tcp::socket socket = completeFirstCall();
    start(2);
    io_.poll();
    answer(socket, "second");
    runUntil([this] { return ends_.contains(2); });
    CHECK(bodies_[2] == "second");
    CHECK(link_.connectionsOpened_ == 1);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenACallIsCancelledWhileItStarts_NeverSendsIt")
{
    Asio::ip::tcp::socket socket = completeFirstCall();
    std::string first;
    socket.non_blocking(true);
    boost::system::error_code error;
    Asio::read_until(socket, Asio::dynamic_buffer(first), "body", error);
    start(2);
    cancelCall(link_, 2);
    io_.poll();
    stayBusy();
    CHECK(link_.busy_.empty());
    CHECK(socket.available(error) == 0);
    CHECK_FALSE(ends_.contains(2));
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Check_WhenNothingListens_ReportsARefusedConnection")
{
    acceptor_.close();
    std::optional<std::error_code> end;
    checkAddress(link_, address_, [&end](std::error_code error) { end = error; });
    runUntil([&end] { return end.has_value(); });
    CHECK(end == make_error_code(TransportErrc::ConnectionRefused));
    CHECK(link_.idle_[address_].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Check_WhenTheProcessEndsAfterAConnectionIsMade_ReportsARefusedConnection")
{
    // Guards against a crash that goes unnoticed because the ending process still accepts a connection.
    std::optional<std::error_code> end;
    checkAddress(link_, address_, [&end](std::error_code error) { end = error; });
    runUntil([this] { return link_.connectionsOpened_ == 1; });
    std::this_thread::sleep_for(arrivalTime / 2); // the kernel completes the connection, which nobody accepts
    io_.poll();
    acceptor_.close();
    runUntil([&end] { return end.has_value(); });
    CHECK(end == make_error_code(TransportErrc::ConnectionRefused));
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Check_WhenConnectionsAreAcceptedAndClosed_FindsThatTheProcessLives")
{
    // An upstream at its limit of connections resets further ones; it has not crashed.
    std::optional<std::error_code> end;
    checkAddress(link_, address_, [&end](std::error_code error) { end = error; });
    runUntil([this, &end] {
        boost::system::error_code none;
        acceptor_.non_blocking(true, none);
        Asio::ip::tcp::socket socket(io_);
        acceptor_.accept(socket, none); // closed at once
        return end.has_value();
    });
    CHECK_FALSE(*end);
    CHECK(link_.idle_[address_].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Check_WhenAConnectionIsMade_LeavesItToTheNextCall")
{
    std::optional<std::error_code> end;
    checkAddress(link_, address_, [&end](std::error_code error) { end = error; });
    runUntil([&end] { return end.has_value(); });
    CHECK_FALSE(*end);
    start(1);
    Asio::ip::tcp::socket socket = acceptRequest();
    answer(socket, "first");
    runUntil([this] { return ends_.contains(1); });
    CHECK_FALSE(ends_[1]);
    CHECK(link_.connectionsOpened_ == 1);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Call_WhenNothingListens_EndsAsRefusedConnection")
{
    acceptor_.close();
    start(1);
    runUntil([this] { return ends_.contains(1); });
    CHECK(ends_[1] == make_error_code(TransportErrc::ConnectionRefused));
}
