/**
 * @file upstream_link_test.cpp
 * @brief Tests of the connections to upstreams that send bytes without end.
 */
#include "upstream_link.h"

#include "endless_peer_fixture.h"
#include "error_type.h"
#include "http_func.h"

#include <optional>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr size_t maxHeaderBytes = 64U << 10U; ///< Bytes without a body after which a connection has to be closed.
constexpr size_t maxFieldBytes = 16U << 10U; ///< Bytes of very short fields after which it has to be closed.
constexpr size_t maxForeignBytes = 512U << 10U; ///< Bytes of foreign responses after which it has to be closed.
const std::string okHead = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";

/// One call to an upstream that has received its request.
struct UpstreamLinkFixture : EndlessPeerFixture
{
    UpstreamLinkFixture()
    {
        start(1);
        acceptConnection();
        receiveRequest();
    }

    void start(uint64_t send)
    {
        LinkCall call;
        call.send_ = send;
        call.address_ = address_;
        call.head_.method_ = "POST";
        call.head_.target_ = "/x";
        call.body_ = std::make_shared<const std::string>(body_);
        call.isMismatched_ = [](const HttpReply &reply) {
            return findHeader(reply.headers_, "Request-Id") == "other";
        };
        startCall(link_, std::move(call));
    }

    LinkHandlers makeHandlers()
    {
        LinkHandlers handlers;
        handlers.onHead_ = [this](uint64_t /*send*/, const HttpReply & /*reply*/) {
            ++heads_;
        };
        handlers.onBytes_ = [this](uint64_t /*send*/, const std::string &bytes) {
            received_ += bytes.size();
        };
        handlers.onEnd_ = [this](uint64_t /*send*/, std::error_code error, const LinkUse & /*use*/) {
            end_ = error;
        };
        return handlers;
    }

    /// Checks that a flood ends the call as malformed after at most @p most bytes and that its connection is closed.
    void checkFloodEnds(const std::string &text, size_t most)
    {
        CHECK(flood(text) <= most + socketBytes);
        CHECK(end_ == make_error_code(TransportErrc::Malformed));
        CHECK(isClosed());
        CHECK(link_.idle_[address_].empty());
    }

    static constexpr size_t socketBytes = 64U << 10U; ///< Bytes that may be under way when the client closes.

    /// Starts another call on a connection of its own, which the upstream accepts.
    void startAgain()
    {
        peer_.close();
        end_.reset();
        heads_ = 0;
        received_ = 0;
        start(++lastSend_);
        acceptConnection();
        receiveRequest();
    }

    uint64_t lastSend_ = 1; ///< Number of the last call.
    std::string body_ = "body"; ///< Of the requests.
    UpstreamLink link_{ io_, makeHandlers() };
    int heads_ = 0; ///< Headers received.
    size_t received_ = 0; ///< Bytes of the body received.
    std::optional<std::error_code> end_; ///< How the last call ended.
};

} // namespace

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAStatusLineNeverEnds_EndsTheCall")
{
    send("HTTP/1.1 200 ");
    checkFloodEnds(std::string(1000, 'a'), maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAHeaderLineNeverEnds_EndsTheCall")
{
    send("HTTP/1.1 200 OK\r\nA: ");
    checkFloodEnds(std::string(1000, 'a'), maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenHeaderLinesNeverEnd_EndsTheCall")
{
    send("HTTP/1.1 200 OK\r\n");
    checkFloodEnds("Name: value\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAHeadOfShortFieldsNeverEnds_EndsTheCall")
{
    send("HTTP/1.1 200 OK\r\n");
    checkFloodEnds("a:\r\n", maxFieldBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAHeadHasVeryManyFields_EndsTheCall")
{
    std::string head = okHead;
    for (int field = 0; field < 2000; ++field) {
        head += "a:\r\n";
    }
    send(head + "\r\n");
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == make_error_code(TransportErrc::Malformed));
    CHECK(heads_ == 0);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAHeadHasManyFieldsAndArrivesInParts_ReceivesTheAnswer")
{
    std::string head = okHead + "Content-Length: 2\r\n";
    for (int field = 0; field < 200; ++field) {
        head += "Name-" + std::to_string(field) + ": " + std::string(100, 'a') + "\r\n";
    }
    for (size_t at = 0; at < head.size(); at += 1000) {
        send(head.substr(at, 1000));
        runFor(Milliseconds(1));
    }
    send("\r\nok");
    runUntil([this] { return end_.has_value(); });
    CHECK_FALSE(*end_);
    CHECK(heads_ == 1);
    CHECK(received_ == 2);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenTrailersHaveVeryManyFields_EndsTheCall")
{
    send(chunkedHead + "1\r\na\r\n0\r\n");
    checkFloodEnds("a:\r\n", maxFieldBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenBlankLinesNeverEnd_EndsTheCall")
{
    checkFloodEnds("\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenBytesAreNoHttp_EndsTheCall")
{
    checkFloodEnds(std::string(1000, '\0'), maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenInterimResponsesNeverEnd_EndsTheCall")
{
    checkFloodEnds("HTTP/1.1 100 Continue\r\n\r\n", maxForeignBytes);
    CHECK(heads_ == 0);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAnInterimResponseComesFirst_ReceivesTheAnswer")
{
    send("HTTP/1.1 100 Continue\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return end_.has_value(); });
    CHECK_FALSE(*end_);
    CHECK(received_ == 2);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenResponsesToAnotherRequestNeverEnd_EndsTheCall")
{
    checkFloodEnds("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 4\r\n\r\nbody", maxForeignBytes);
    CHECK(heads_ == 0);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenTheBodyOfAResponseToAnotherRequestNeverEnds_EndsTheCall")
{
    send("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n");
    checkFloodEnds(std::string(1000, 'a'), maxForeignBytes);
    CHECK(received_ == 0);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAChunkSizeNeverEnds_EndsTheCall")
{
    send(chunkedHead);
    checkFloodEnds(std::string(1000, '0'), maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAChunkExtensionNeverEnds_EndsTheCall")
{
    send(chunkedHead + "1;a=");
    checkFloodEnds(std::string(1000, 'a'), maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenChunksAreMostlyExtensions_EndsTheCall")
{
    send(chunkedHead);
    checkFloodEnds("1;a=" + std::string(1000, 'a') + "\r\nb\r\n", maxForeignBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenTrailersNeverEnd_EndsTheCall")
{
    send(chunkedHead + "2\r\nok\r\n0\r\n");
    checkFloodEnds("Name: value\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenALongStreamIsSentInSmallChunks_ReceivesAllOfIt")
{
    constexpr size_t rounds = 1000;
    std::string chunks;
    for (int chunk = 0; chunk < 100; ++chunk) {
        chunks += "f\r\nid: 1\ndata: a\n\n\r\n";
    }
    send(chunkedHead);
    for (size_t round = 0; round < rounds; ++round) {
        send(chunks);
    }
    send("0\r\n\r\n");
    runUntil([this] { return end_.has_value(); });
    CHECK_FALSE(*end_);
    CHECK(received_ == rounds * 100 * 15);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenABodyNeverEnds_PassesItOnWithoutKeepingIt")
{
    send(okHead + "\r\n");
    CHECK(flood(std::string(1000, 'a')) == received_);
    CHECK_FALSE(end_.has_value());
    CHECK(link_.busy_.at(1)->buffer_.capacity() <= maxHeaderBytes);
    cancelCall(link_, 1);
    CHECK(isClosed());
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAContentLengthExceedsAnyMemory_KeepsRunning")
{
    CHECK_NOTHROW(send(okHead + "Content-Length: 4611686018427387904\r\n\r\nbody"));
    CHECK_NOTHROW(runUntil([this] { return received_ == 4; }));
    peer_.close();
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == make_error_code(TransportErrc::Lost));
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenBytesFollowAnAnswer_ClosesTheConnection")
{
    send(okHead + "Content-Length: 2\r\n\r\nokHTTP/1.1 ");
    runUntil([this] { return end_.has_value(); });
    CHECK_FALSE(*end_);
    CHECK(isClosed());
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAnIdleConnectionReceivesBytes_ClosesIt")
{
    send(okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return end_.has_value(); });
    CHECK(link_.idle_[address_].size() == 1);
    CHECK(flood("a") <= 100);
    CHECK(link_.idle_[address_].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAnUpstreamFloodsACall_AnswersOthers")
{
    send("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n");
    auto flooding = std::move(peer_);
    start(2);
    acceptConnection();
    receiveRequest();
    boost::system::error_code error;
    flooding.write_some(boost::asio::buffer(std::string(1U << 20U, 'a')), error);
    send(okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return received_ == 2; });
    CHECK(heads_ == 1);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAHeadIsHeld_CountsItUntilTheCallEnds")
{
    const size_t before = *link_.heldBytes_;
    send(okHead + "Content-Length: 2\r\nLong: " + std::string(30000, 'a') + "\r\n\r\no");
    runUntil([this] { return received_ == 1; });
    CHECK(*link_.heldBytes_ >= before + 30000);
    REQUIRE(listHoldings(link_).size() == 1);
    CHECK(listHoldings(link_)[0].bytes_ >= 30000);
    send("k");
    runUntil([this] { return end_.has_value(); });
    CHECK(listHoldings(link_).empty());
    closeStaleConnections(link_, Clock::now() + std::chrono::seconds(60));
    runFor(Milliseconds(10));
    CHECK(*link_.heldBytes_ == 0);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAHeadIsIncomplete_CountsIt")
{
    send(okHead);
    for (int field = 0; field < 200; ++field) {
        send("Name: " + std::string(90, 'a') + "\r\n");
    }
    runUntil([this] { return !listHoldings(link_).empty() && listHoldings(link_)[0].bytes_ >= 20000; });
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenACallIsGivenUp_EndsItAndClosesItsConnection")
{
    send(okHead);
    giveUpCall(link_, 1);
    CHECK(end_ == make_error_code(TransportErrc::NoMemory));
    runUntil([this] { return isClosed(); });
    CHECK(listHoldings(link_).empty());
    giveUpCall(link_, 1);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenItDoesNotRead_LeavesTheRestWithTheUpstream")
{
    boost::asio::socket_base::receive_buffer_size size;
    link_.busy_.at(1)->socket_.get_option(size);
    CHECK(static_cast<size_t>(size.value()) <= (64U << 10U));
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenTheUpstreamClosesWithinTheHeader_HasNoAnswer")
{
    for (const std::string &head : { okHead + "Content-Length: 2\r\n\r\n", okHead + "\r\n", chunkedHead }) {
        for (size_t length = 0; length < head.size(); ++length) {
            CAPTURE(head.substr(0, length));
            start(2);
            acceptConnection();
            receiveRequest();
            send(head.substr(0, length));
            end_.reset();
            peer_.close();
            runUntil([this] { return end_.has_value(); });
            CHECK(end_ == make_error_code(TransportErrc::Lost));
            CHECK(heads_ == 0);
        }
    }
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAnAnswerWithoutLengthEndsWithItsConnection_IsComplete")
{
    send(okHead + "\r\nanswer");
    runUntil([this] { return received_ == 6; });
    CHECK_FALSE(end_.has_value());
    peer_.close();
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == std::error_code());
    CHECK(link_.idle_[address_].empty());
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAnAnswerWithoutLengthIsReset_IsLost")
{
    send(okHead + "\r\nanswer");
    runUntil([this] { return received_ == 6; });
    reset();
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == make_error_code(TransportErrc::Lost));
}

// The write that waited took the reset's error, and the read that followed saw a regular end of the connection.
TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAnAnswerWithoutLengthIsResetDuringTheUpload_IsLost")
{
    constexpr size_t uploadBytes = 4U << 20U; // more than the buffers of both sides hold
    body_.assign(uploadBytes, 'a');
    for (const bool readBefore : { false, true }) {
        CAPTURE(readBefore);
        startAgain();
        runFor(Milliseconds(50)); // the buffers are full by then
        send(okHead + "\r\nanswer");
        if (readBefore) {
            runUntil([this] { return received_ == 6; });
        }
        reset();
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == make_error_code(TransportErrc::Lost));
    }
}

// An upstream may answer before it has read a long body, keep the connection and read on.
TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAnAnswerComesBeforeTheUploadIsRead_IsComplete")
{
    body_.assign(size_t{ 4 } << 20U, 'a');
    startAgain();
    send(okHead + "Content-Length: 6\r\n\r\nanswer");
    runUntil([this] { return end_.has_value(); });
    CHECK_FALSE(*end_);
    CHECK(received_ == 6);
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenAStatusIsBelow100_IsMalformed")
{
    for (const std::string_view status : badStatuses) {
        for (const std::string_view rest : { "\r\n", "Content-Length: 2\r\n\r\nok" }) {
            CAPTURE(status);
            startAgain();
            send("HTTP/1.1 " + std::string(status) + " Odd\r\nRequest-Id: 1\r\n" + std::string(rest) + okHead
                + "Content-Length: 2\r\n\r\nok");
            runUntil([this] { return end_.has_value(); });
            CHECK(end_ == make_error_code(TransportErrc::Malformed));
            CHECK(heads_ == 0);
        }
    }
}

TEST_CASE_FIXTURE(UpstreamLinkFixture, "Link_WhenTheNameOfAFieldIsNoToken_IsMalformed")
{
    for (const std::string_view line : badFieldLines) {
        CAPTURE(line);
        startAgain();
        send(okHead + std::string(line) + "\r\nContent-Length: 2\r\n\r\nok");
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == make_error_code(TransportErrc::Malformed));
        CHECK(heads_ == 0);
        startAgain();
        send(chunkedHead + "2\r\nok\r\n0\r\n" + std::string(line) + "\r\n\r\n"); // as a trailer
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == make_error_code(TransportErrc::Malformed));
    }
}
