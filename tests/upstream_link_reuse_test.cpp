/**
 * @file upstream_link_reuse_test.cpp
 * @brief Tests of calls on connections that a gateway uses again, with full control over what its thread handles at
 * once.
 */
#include "address_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "http_func.h"
#include "upstream_link.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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
        handlers.onEnd_ = [this](uint64_t send, std::error_code error, const LinkUse &use) {
            ends_[send] = error;
            uses_[send] = use;
            if (onEnd_) {
                std::exchange(onEnd_, nullptr)();
            }
        };
        handlers.onExtraAnswer_ = [this](const ExtraAnswer &answer) {
            extraAnswers_.push_back(answer);
        };
        return handlers;
    }

    void start(uint64_t send)
    {
        start(send, "request-" + std::to_string(send));
    }

    LinkCall makeCall(uint64_t send, const std::string &id) const
    {
        LinkCall call;
        call.send_ = send;
        call.requestId_ = id;
        call.address_ = address_;
        call.head_.method_ = "POST";
        call.head_.target_ = "/x";
        call.body_ = std::make_shared<const std::string>("body");
        call.isMismatched_ = [id](const HttpReply &head) {
            const std::string_view echoed = findHeader(head.headers_, "Request-Id");
            return !echoed.empty() && echoed != id;
        };
        return call;
    }

    void start(uint64_t send, const std::string &id)
    {
        startCall(link_, makeCall(send, id));
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

    static std::string refusalOf(const std::string &id)
    {
        return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id
            + "\r\nNot-Executed: 1\r\nContent-Length: 7\r\n\r\nrefused";
    }

    static void refuse(Asio::ip::tcp::socket &socket, const std::string &id)
    {
        Asio::write(socket, Asio::buffer(refusalOf(id)));
    }

    /// Runs the link until an upstream has received the next request on a connection.
    void receiveRequest(Asio::ip::tcp::socket &socket)
    {
        std::string text;
        socket.non_blocking(true);
        runUntil([&socket, &text] {
            std::array<char, 512> bytes{};
            boost::system::error_code error;
            text.append(bytes.data(), socket.read_some(Asio::buffer(bytes), error));
            return text.ends_with("\r\n\r\nbody");
        });
    }

    /// Lets a first call be refused and leaves its connection idle.
    Asio::ip::tcp::socket refuseFirstCall()
    {
        start(1);
        Asio::ip::tcp::socket socket = acceptRequest();
        receiveRequest(socket);
        refuse(socket, "request-1");
        runUntil([this] { return ends_.contains(1); });
        CHECK(link_.idle_[address_].size() == 1);
        return socket;
    }

    /// Checks that one extra answer was reported, and that it is a refusal of the first call.
    void checkRefusalReported(ExtraAnswerPlace place, size_t callsBefore)
    {
        REQUIRE(extraAnswers_.size() == 1);
        const ExtraAnswer &answer = extraAnswers_[0];
        CHECK(answer.place_ == place);
        CHECK(answer.address_ == address_);
        CHECK(answer.use_.number_ == 1);
        CHECK(answer.use_.callsBefore_ == callsBefore);
        CHECK(answer.head_.status_ == 503);
        CHECK(findHeader(answer.head_.headers_, "Request-Id") == "request-1");
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
    Asio::executor_work_guard<Asio::io_context::executor_type> work_{ io_.get_executor() };
    std::string address_;
    Asio::ip::tcp::acceptor acceptor_;
    UpstreamLink link_;
    std::map<uint64_t, std::error_code> ends_; ///< How calls ended, by number of the send.
    std::map<uint64_t, LinkUse> uses_; ///< Connections of ended calls, by number of the send.
    std::vector<ExtraAnswer> extraAnswers_; ///< Extra answers reported.
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

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAConnectionIsUsedAgain_TellsItsNumberAndTheCallsBefore")
{
    Asio::ip::tcp::socket socket = completeFirstCall();
    start(2);
    io_.poll();
    answer(socket, "second");
    runUntil([this] { return ends_.contains(2); });
    CHECK(uses_[1].number_ == 1);
    CHECK(uses_[1].callsBefore_ == 0);
    CHECK(uses_[2].number_ == 1);
    CHECK(uses_[2].callsBefore_ == 1);
    CHECK(uses_[2].requestWritten_);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenACopyOfARefusalComesOnAnIdleConnection_ReportsIt")
{
    Asio::ip::tcp::socket socket = refuseFirstCall();
    refuse(socket, "request-1");
    runUntil([this] { return !extraAnswers_.empty(); });
    checkRefusalReported(ExtraAnswerPlace::Idle, 1);
    CHECK(extraAnswers_[0].requestId_ == "request-1");
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenACopyOfARefusalCameUnnoticed_ReportsItAtTheNextCall")
{
    Asio::ip::tcp::socket socket = refuseFirstCall();
    refuse(socket, "request-1");
    stayBusy();
    start(2);
    checkSecondCallSucceedsOnNewConnection();
    checkRefusalReported(ExtraAnswerPlace::Idle, 1);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenACopyOfARefusalFollowsIt_ReportsItAndClosesTheConnection")
{
    start(1);
    Asio::ip::tcp::socket socket = acceptRequest();
    Asio::write(socket, Asio::buffer(refusalOf("request-1") + refusalOf("request-1")));
    runUntil([this] { return ends_.contains(1); });
    checkRefusalReported(ExtraAnswerPlace::BehindAnswer, 0);
    CHECK(link_.idle_[address_].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenCopiesForAnotherRequestComeBeforeTheAnswer_ReportsTheFirst")
{
    Asio::ip::tcp::socket socket = refuseFirstCall();
    start(2);
    receiveRequest(socket);
    refuse(socket, "request-1");
    refuse(socket, "request-1");
    answer(socket, "second");
    runUntil([this] { return ends_.contains(2); });
    CHECK(bodies_[2] == "second");
    checkRefusalReported(ExtraAnswerPlace::BeforeAnswer, 1);
    CHECK(extraAnswers_[0].requestId_ == "request-2");
    CHECK(link_.idle_[address_].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenARefusalIsCopied_DoesNotTakeTheCopyForTheNextAnswerToItsRequest")
{
    Asio::ip::tcp::socket socket = refuseFirstCall();
    start(2, "request-1");
    io_.poll();
    refuse(socket, "request-1");
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenARequestReturnsAfterOthers_DoesNotUseItsConnectionAgain")
{
    Asio::ip::tcp::socket socket = refuseFirstCall();
    for (uint64_t send = 3; send < 6; ++send) {
        start(send);
        receiveRequest(socket);
        answer(socket, "other");
        runUntil([this, send] { return ends_.contains(send); });
    }
    CHECK(link_.connectionsOpened_ == 1);
    start(2, "request-1");
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenARequestReturns_UsesAnIdleConnectionThatHasNotCarriedIt")
{
    start(1);
    Asio::ip::tcp::socket first = acceptRequest();
    start(2);
    Asio::ip::tcp::socket second = acceptRequest();
    receiveRequest(first);
    receiveRequest(second);
    answer(second, "second");
    runUntil([this] { return ends_.contains(2); });
    refuse(first, "request-1"); // its connection is the newest idle one
    runUntil([this] { return ends_.contains(1); });
    start(3, "request-1");
    io_.poll();
    refuse(first, "request-1");
    receiveRequest(second);
    answer(second, "third");
    runUntil([this] { return ends_.contains(3); });
    CHECK(bodies_[3] == "third");
    CHECK(uses_[3].number_ == 2);
    CHECK(link_.connectionsOpened_ == 2);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenTwoCallsWithOneIdEnd_UsesNeitherConnectionForAThird")
{
    start(1, "request-1");
    Asio::ip::tcp::socket first = acceptRequest();
    start(2, "request-1");
    Asio::ip::tcp::socket second = acceptRequest();
    refuse(first, "request-1");
    answer(second, "second");
    runUntil([this] { return ends_.contains(1) && ends_.contains(2); });
    start(3, "request-1");
    Asio::ip::tcp::socket third = acceptRequest();
    answer(third, "third");
    runUntil([this] { return ends_.contains(3); });
    CHECK(bodies_[3] == "third");
    CHECK(uses_[3].callsBefore_ == 0);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAConnectionHasCarriedTheMostCalls_UsesANewOne")
{
    start(1);
    Asio::ip::tcp::socket socket = acceptRequest();
    receiveRequest(socket);
    answer(socket, "done");
    runUntil([this] { return ends_.contains(1); });
    for (uint64_t send = 2; send <= maxCallsPerConnection; ++send) {
        start(send);
        receiveRequest(socket);
        answer(socket, "done");
        runUntil([this, send] { return ends_.contains(send); });
    }
    CHECK(link_.connectionsOpened_ == 1);
    CHECK(uses_[maxCallsPerConnection].callsBefore_ == maxCallsPerConnection - 1);
    CHECK(link_.idle_[address_].empty());
    start(maxCallsPerConnection + 1);
    Asio::ip::tcp::socket next = acceptRequest();
    answer(next, "next");
    runUntil([this] { return ends_.contains(maxCallsPerConnection + 1); });
    CHECK(link_.connectionsOpened_ == 2);
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenARefusalComesBeforeTheRequestIsWritten_ClosesTheConnection")
{
    constexpr size_t moreThanSocketsBuffer = 64U << 20U;
    LinkCall call = makeCall(1, "request-1");
    call.body_ = std::make_shared<const std::string>(moreThanSocketsBuffer, 'x');
    startCall(link_, std::move(call));
    Asio::ip::tcp::socket socket = acceptRequest();
    refuse(socket, "request-1");
    runUntil([this] { return ends_.contains(1); });
    CHECK_FALSE(ends_[1]);
    CHECK_FALSE(uses_[1].requestWritten_);
    CHECK(link_.idle_[address_].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenACopyIsCutOff_DoesNotTakeItForTheAnswer")
{
    Asio::ip::tcp::socket socket = refuseFirstCall();
    start(2);
    receiveRequest(socket);
    std::string copy = refusalOf("request-1");
    copy.resize(copy.size() - 3);
    Asio::write(socket, Asio::buffer(copy));
    socket.close();
    runUntil([this] { return ends_.contains(2); });
    CHECK(ends_[2] == TransportErrc::Lost);
    CHECK(bodies_[2].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenACopySwallowsTheAnswer_DoesNotTakeItForTheAnswer")
{
    Asio::ip::tcp::socket socket = refuseFirstCall();
    start(2);
    receiveRequest(socket);
    Asio::write(socket, Asio::buffer(std::string("HTTP/1.1 503 Unavailable\r\nRequest-Id: request-1\r\n\r\n")));
    answer(socket, "second");
    socket.close();
    runUntil([this] { return ends_.contains(2); });
    CHECK(ends_[2] == TransportErrc::Lost);
    CHECK(bodies_[2].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAnAnswerIsOfHttp10_UsesANewConnection")
{
    start(1);
    Asio::ip::tcp::socket socket = acceptRequest();
    receiveRequest(socket);
    Asio::write(socket,
        Asio::buffer(std::string("HTTP/1.0 503 Unavailable\r\nRequest-Id: request-1\r\nContent-Length: 0\r\n\r\n")));
    runUntil([this] { return ends_.contains(1); });
    start(2);
    checkSecondCallSucceedsOnNewConnection();
}

TEST_CASE_FIXTURE(UpstreamLinkReuseFixture, "Link_WhenAHeadCallIsAnswered_EndsWithoutABody")
{
    LinkCall call = makeCall(1, "request-1");
    call.head_.method_ = "HEAD";
    call.body_ = std::make_shared<const std::string>();
    startCall(link_, std::move(call));
    Asio::ip::tcp::socket socket = acceptRequest();
    Asio::write(socket, Asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")));
    runUntil([this] { return ends_.contains(1); });
    CHECK_FALSE(ends_[1]);
    CHECK(bodies_[1].empty());
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
