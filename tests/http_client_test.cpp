/**
 * @file http_client_test.cpp
 * @brief Tests of the HTTP client with servers that send bytes without end.
 */
#include "http_client.h"

#include "endless_peer_fixture.h"
#include "error_type.h"
#include "heap_func.h"

#include <optional>
#include <thread>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr size_t maxHeaderBytes = 64U << 10U; ///< Bytes without a body after which a connection has to be closed.
const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";

/// Client of a server that has received the client's first request.
struct HttpClientFixture : EndlessPeerFixture
{
    static constexpr Milliseconds callTimeout{ 2000 }; ///< Longer than any check waits for the end of a flood.
    static constexpr size_t socketBytes = 64U << 10U; ///< Bytes that may be under way when the client closes.

    void start(ConnectionUse use = ConnectionUse::Reuse)
    {
        end_.reset();
        const auto done = [this](std::error_code error, HttpReply reply) {
            end_ = error;
            reply_ = std::move(reply);
        };
        fetch(client_, address_, HttpRequest(), callTimeout, use, done);
    }

    void startAndAccept()
    {
        start();
        acceptConnection();
        receiveRequest();
    }

    void startStream()
    {
        StreamHandlers handlers;
        handlers.onHead_ = [](const HttpReply & /*reply*/) {
        };
        handlers.onBytes_ = [this](std::string_view bytes) {
            streamed_ += bytes.size();
        };
        handlers.onEnd_ = [this](std::error_code error) {
            end_ = error;
        };
        openStream(client_, address_, HttpRequest(), callTimeout, std::move(handlers));
        acceptConnection();
        receiveRequest();
    }

    /// Checks that a flood ends the call with an error after at most @p most bytes and that its connection is closed.
    void checkFloodEnds(const std::string &text, size_t most)
    {
        CHECK(flood(text) <= most + socketBytes);
        CHECK(isClosed());
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == make_error_code(TransportErrc::Malformed));
    }

    /// Checks that a reply ends a call and a stream as malformed.
    void checkIsMalformed(const std::string &reply)
    {
        startAndAccept();
        send(reply);
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == make_error_code(TransportErrc::Malformed));
        end_.reset();
        startStream();
        send(reply);
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == make_error_code(TransportErrc::Malformed));
    }

    HttpClient client_{ io_ };
    std::optional<std::error_code> end_; ///< How the last call ended.
    HttpReply reply_; ///< Its response.
    size_t streamed_ = 0; ///< Bytes of a stream's body received.
};

} // namespace

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenHeaderLinesNeverEnd_EndsTheCall")
{
    startAndAccept();
    send(okHead);
    checkFloodEnds("Name: value\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenAChunkExtensionNeverEnds_EndsTheCall")
{
    startAndAccept();
    send(chunkedHead + "1;a=");
    checkFloodEnds(std::string(1000, 'a'), maxHeaderBytes);
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenTrailersNeverEnd_EndsTheCall")
{
    startAndAccept();
    send(chunkedHead + "2\r\nok\r\n0\r\n");
    checkFloodEnds("Name: value\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenInterimResponsesNeverEnd_EndsTheCall")
{
    startAndAccept();
    checkFloodEnds("HTTP/1.1 100 Continue\r\n\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenAnInterimResponseComesFirst_ReceivesTheAnswer")
{
    startAndAccept();
    send("HTTP/1.1 100 Continue\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return end_.has_value(); });
    CHECK_FALSE(*end_);
    CHECK(reply_.status_ == 200);
    CHECK(reply_.body_ == "ok");
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenBytesFollowAnAnswer_DoesNotReuseTheConnection")
{
    startAndAccept();
    send(okHead + "Content-Length: 2\r\n\r\nok" + okHead + "Content-Length: 5\r\n\r\n");
    runUntil([this] { return end_.has_value(); });
    CHECK(reply_.body_ == "ok");
    runUntil([this] { return isClosed(); });
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenAnIdleConnectionHasReceivedAnAnswer_DoesNotTakeItForTheNext")
{
    startAndAccept();
    send(okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return end_.has_value(); });
    send(okHead + "Content-Length: 7\r\n\r\nforeign");
    start();
    acceptConnection();
    receiveRequest();
    send(okHead + "Content-Length: 3\r\n\r\nown");
    runUntil([this] { return end_.has_value(); });
    CHECK(reply_.body_ == "own");
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenTheKeptConnectionOfACallThatIsNotRepeatedBreaks_EndsTheCallAsLost")
{
    startAndAccept();
    send(okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return end_.has_value(); });
    start(ConnectionUse::ReuseOnce);
    receiveRequest();
    peer_.close();
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == make_error_code(TransportErrc::Lost));
    boost::system::error_code error;
    acceptor_.accept(peer_, error);
    CHECK(error == boost::asio::error::would_block);
}

TEST_CASE_FIXTURE(
    HttpClientFixture, "Client_WhenAnIdleConnectionWasClosedUnnoticed_StartsACallThatIsNotRepeatedOnANewOne")
{
    startAndAccept();
    send(okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return end_.has_value(); });
    peer_.close();
    start(ConnectionUse::ReuseOnce);
    acceptConnection();
    receiveRequest();
    send(okHead + "Content-Length: 3\r\n\r\nown");
    runUntil([this] { return end_.has_value(); });
    CHECK(reply_.body_ == "own");
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenABodyNeverEnds_EndsTheCall")
{
    constexpr size_t maxBodyBytes = 16U << 20U;
    startAndAccept();
    send(okHead + "\r\n");
    size_t sent = 0;
    while (sent < 2 * maxBodyBytes && !isClosed()) {
        sent += flood(std::string(60000, 'a'));
    }
    CHECK(sent <= maxBodyBytes + floodBytes);
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == make_error_code(TransportErrc::Malformed));
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenAContentLengthExceedsAnyMemory_EndsTheCall")
{
    startAndAccept();
    CHECK_NOTHROW(send(okHead + "Content-Length: 4611686018427387904\r\n\r\nbody"));
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == make_error_code(TransportErrc::Malformed));
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenAnAnswerTricklesInForEver_EndsTheCallInTime")
{
    startAndAccept();
    send(okHead + "Content-Length: 1000000\r\n\r\n");
    const TimePoint start = Clock::now();
    while (!end_ && Clock::now() - start < callTimeout + Milliseconds(500)) {
        send("a");
        std::this_thread::sleep_for(Milliseconds(10));
    }
    REQUIRE(end_.has_value());
    CHECK(end_ == make_error_code(TransportErrc::TimedOut));
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenALargeAnswerTakesLongerThanTheTimeout_ReceivesAllOfIt")
{
    constexpr int parts = 50;
    const std::string part(64U << 10U, 'a');
    startAndAccept();
    send(okHead + "Content-Length: " + std::to_string(parts * part.size()) + "\r\n\r\n");
    for (int sent = 0; sent < parts; ++sent) {
        send(part);
        runFor(2 * callTimeout / parts);
    }
    runUntil([this] { return end_.has_value(); });
    CHECK_FALSE(*end_);
    CHECK(reply_.body_.size() == parts * part.size());
}

TEST_CASE_FIXTURE(HttpClientFixture, "Stream_WhenHeaderLinesNeverEnd_EndsTheStream")
{
    startStream();
    send(okHead);
    checkFloodEnds("Name: value\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(HttpClientFixture, "Stream_WhenAChunkExtensionNeverEnds_EndsTheStream")
{
    startStream();
    send(chunkedHead + "1;a=");
    checkFloodEnds(std::string(1000, 'a'), maxHeaderBytes);
}

TEST_CASE_FIXTURE(HttpClientFixture, "Stream_WhenTrailersNeverEnd_EndsTheStream")
{
    startStream();
    send(chunkedHead + "2\r\nok\r\n0\r\n");
    checkFloodEnds("Name: value\r\n", maxHeaderBytes);
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenTheServerClosesWithinTheHeader_HasNoAnswer")
{
    for (const std::string &head : { okHead + "Content-Length: 2\r\n\r\n", okHead + "\r\n", chunkedHead }) {
        for (size_t length = 1; length < head.size(); ++length) {
            CAPTURE(head.substr(0, length));
            startAndAccept();
            send(head.substr(0, length));
            peer_.close();
            runUntil([this] { return end_.has_value(); });
            CHECK(end_ == make_error_code(TransportErrc::Lost));
        }
    }
}

// Entries, agents, checks, peers and the store's clients read with it.
TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenAStatusIsBelow100_EndsTheCall")
{
    for (const std::string_view status : badStatuses) {
        CAPTURE(status);
        checkIsMalformed("HTTP/1.1 " + std::string(status) + " Odd\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok");
    }
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenTheNameOfAFieldIsNoToken_EndsTheCall")
{
    for (const std::string_view line : badFieldLines) {
        CAPTURE(line);
        checkIsMalformed(okHead + std::string(line) + "\r\nContent-Length: 2\r\n\r\nok");
    }
}

TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenManyRepliesTrickle_HoldsThemWithinTheMemory")
{
    constexpr int calls = 60;
    constexpr size_t bytesPerCall = 1200U << 10U;
    setReplyMemory(client_, smallestMemory);
    const std::string part(64U << 10U, 'a');
    const size_t before = heapBytes();
    std::vector<boost::asio::ip::tcp::socket> peers;
    for (int call = 0; call < calls; ++call) {
        startAndAccept();
        send(chunkedHead);
        for (size_t sent = 0; sent < bytesPerCall && !isClosed(); sent += part.size()) {
            send("10000\r\n" + part + "\r\n");
        }
        peers.push_back(std::move(peer_));
    }
    CHECK(heapGrowth(before) <= heldBound);
    startAndAccept();
    send(okHead + "Content-Length: 2\r\n\r\nok");
    runUntil([this] { return reply_.body_ == "ok"; });
}

// The kernel raises the buffer of a connection that has been read fast to some MiB.
TEST_CASE_FIXTURE(HttpClientFixture, "Client_WhenAFastReplyIsNoLongerRead_LetsTheKernelHoldLittleOfIt")
{
    constexpr size_t unreadBound = 1U << 20U; ///< Of 50 connections, the share of the memory for everything held.
    constexpr size_t readBytes = 12U << 20U;
    startAndAccept();
    send(okHead + "Content-Length: 16000000\r\n\r\n");
    const std::string text(256U << 10U, 'a');
    boost::system::error_code error;
    size_t read = 0;
    for (int attempt = 0; attempt < 100000 && read < readBytes; ++attempt) {
        read += peer_.write_some(boost::asio::buffer(text), error);
        io_.poll();
    }
    CHECK(read >= readBytes);
    peer_.set_option(boost::asio::socket_base::send_buffer_size(32 << 10));
    size_t unread = 0;
    for (int attempt = 0; attempt < 1000; ++attempt) { // the client's loop does not run
        unread += peer_.write_some(boost::asio::buffer(text), error);
        std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    MESSAGE("unread: ", unread >> 10U, " KiB");
    CHECK(unread <= unreadBound);
}
