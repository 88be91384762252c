/**
 * @file upstream_link_sends_test.cpp
 * @brief Tests of what a gateway's link says of sends whose connection is not made or breaks, and of checks.
 */
#include "upstream_link_reuse_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr size_t maxFirstRequestBytes = 1024; ///< Above the length of a request with the body of most tests.

} // namespace

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAStreamIsCopied_DoesNotTakeTheCopyForTheNextStreamOfItsRequest")
{
    start(1);
    Asio::ip::tcp::socket socket = acceptRequest();
    receiveRequest(socket);
    const std::string stream = "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "f\r\nid: 1\ndata: a\n\n\r\n";
    Asio::write(socket, Asio::buffer(stream + "0\r\n\r\n"));
    runUntil([this] { return ends_.contains(1); });
    REQUIRE(link_.idle_[address_].size() == 1);
    start(2, "request-1");
    io_.poll();
    Asio::write(socket, Asio::buffer(stream)); // head and event of the copy, without its end
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(
    UpstreamLinkReuseFixture, "Link_WhenAKeptConnectionBreaksAfterTheRequestIsWritten_SaysThatItMayHaveRun")
{
    Asio::ip::tcp::socket socket = completeFirstCall();
    start(2);
    runUntil([&socket] {
        boost::system::error_code ignored;
        return socket.available(ignored) > 0;
    });
    socket.close(); // resets the connection, as the requests are unread
    runUntil([this] { return ends_.contains(2); });
    CHECK(ends_[2] == make_error_code(TransportErrc::Lost));
    CHECK(link_.connectionsOpened_ == 1); // the link itself repeats nothing
}

TEST_CASE_FIXTURE(
    UpstreamLinkReuseFixture, "Link_WhenAKeptConnectionBreaksWhileTheRequestIsWritten_SaysThatItMayHaveRun")
{
    constexpr size_t moreThanSocketsBuffer = 64U << 20U;
    Asio::ip::tcp::socket socket = completeFirstCall();
    LinkCall call = makeCall(2, "request-2");
    call.body_ = std::make_shared<const std::string>(moreThanSocketsBuffer, 'x');
    startCall(link_, std::move(call));
    runUntil([&socket] {
        boost::system::error_code ignored;
        return socket.available(ignored) > maxFirstRequestBytes;
    });
    socket.close();
    runUntil([this] { return ends_.contains(2); });
    CHECK(ends_[2] == make_error_code(TransportErrc::Lost));
    CHECK_FALSE(uses_[2].requestWritten_);
    CHECK(link_.connectionsOpened_ == 1);
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

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Check_WhenACallWasRefusedOnItsConnection_LeavesTheRequestANewOne")
{
    std::optional<std::error_code> end;
    checkAddress(link_, address_, [&end](std::error_code error) { end = error; });
    runUntil([&end] { return end.has_value(); });
    Asio::ip::tcp::socket socket = refuseFirstCall();
    REQUIRE(link_.connectionsOpened_ == 1);
    start(2, "request-1");
    io_.poll();
    refuse(socket, "request-1");
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Call_WhenNothingListens_EndsAsRefusedConnection")
{
    acceptor_.close();
    start(1);
    runUntil([this] { return ends_.contains(1); });
    CHECK(ends_[1] == make_error_code(TransportErrc::ConnectionRefused));
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Call_WhenItsConnectionIsNotMadeInTime_NeverSendsItsRequest")
{
    // Guards against a second send beside the first: a full queue of connections holds the opening packet back, and
    // the connection could be made after the call was reported as not sent.
    acceptor_.listen(0);
    std::vector<Asio::ip::tcp::socket> queued;
    for (int count = 0; count < 2; ++count) {
        queued.emplace_back(io_).async_connect(*parseEndpoint(address_), [](const boost::system::error_code &) {});
    }
    stayBusy();
    start(1);
    runUntil([this] { return ends_.contains(1); });
    CHECK(ends_[1] == make_error_code(TransportErrc::NotSent));
    CHECK_FALSE(uses_[1].requestWritten_);
    std::vector<Asio::ip::tcp::socket> accepted;
    const TimePoint end = Clock::now() + Milliseconds(1500); // the kernel sends the opening packet again after 1 s
    acceptor_.non_blocking(true);
    while (Clock::now() < end) {
        boost::system::error_code none;
        Asio::ip::tcp::socket socket(io_);
        acceptor_.accept(socket, none);
        if (!none) {
            accepted.push_back(std::move(socket));
        }
        io_.poll();
        std::this_thread::sleep_for(Milliseconds(1));
    }
    CHECK(accepted.size() >= 1);
    for (const Asio::ip::tcp::socket &socket : accepted) {
        CHECK(socket.available() == 0);
    }
}
