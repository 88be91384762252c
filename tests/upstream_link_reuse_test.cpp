/**
 * @file upstream_link_reuse_test.cpp
 * @brief Tests of calls on connections that a gateway uses again.
 */
#include "upstream_link_reuse_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

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
