/**
 * @file endless_upstream_process_test.cpp
 * @brief Tests of a real gateway process whose upstream sends, at many connections at once, bytes that are no answer.
 *
 * Guards against a process that runs out of memory, and loses the requests of its other callers. Bytes that the kernel
 * has received and the process has not read count as its memory. The crowd and the bound were fixed against the code
 * before its budget covered upstreams.
 */
#include "fleet_parts_func.h"
#include "gateway_process_fixture.h"
#include "process_usage_func.h"

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <deque>
#include <fstream>
#include <future>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr size_t memoryBytes = 88U << 20U; ///< Setting `memory` of the smallest machine, and the bound.
constexpr size_t crowdSize = 400; ///< Calls at the upstream at once.
constexpr size_t headBytes = 32U << 10U; ///< Longest head that a gateway accepts of an upstream.
constexpr double answerShare = 0.2; ///< Share of the memory that buffered answers may take.
constexpr Milliseconds crowdTime{ 6000 }; ///< Longest time until the calls are at the upstream, or have ended.
constexpr Milliseconds quietTime{ 500 }; ///< Time without a rise of the memory after which all has been received.
constexpr const char *hostileUpstream = "engines-1"; ///< The only upstream of the crowd's route.

/// What the upstream sends. The text ID stands for the id of the request.
struct EndlessScript
{
    std::string first_; ///< Sent once.
    std::string repeated_; ///< Sent again and again until the gateway closes the connection; may be empty.
    bool unasked_ = false; ///< Whether first_ and repeated_ are sent on connections without a request, too.
    bool answersFirst_ = false; ///< Whether a request gets a complete answer before the rest.
};

std::string repeat(const std::string &text, size_t bytes)
{
    std::string repeated;
    repeated.reserve(bytes + text.size());
    while (repeated.size() < bytes) {
        repeated += text;
    }
    return repeated;
}

/// @return start of a signed answer to the request, without the end of its head.
std::string makeSignedHead(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: a\r\n" + fields;
}

/// @return a text for ID substitution that is sent again and again, some KB at a time.
std::string makePiece(const std::string &text)
{
    return repeat(text, 16U << 10U);
}

/// @return fields of a head within the limits of a gateway: 240 fields, 31 KiB.
std::string makeLargeFields()
{
    return repeat("Name: " + std::string(122, 'a') + "\r\n", 240 * 130);
}

/// Connection that the gateway has opened to the upstream.
struct HostileConnection
{
    explicit HostileConnection(Asio::io_context &io)
        : socket_(io)
    {
    }

    Tcp::socket socket_;
    std::string received_; ///< Start of the request.
    std::string first_; ///< What is written before the repeated text.
};

/// Upstream that holds back its answers until it is released, and then sends by a script on all connections at once.
struct HostileUpstream
{
    HostileUpstream()
        : acceptor_(io_, *parseEndpoint(address_))
    {
        acceptConnection();
        thread_ = std::thread([this] { io_.run(); });
    }

    ~HostileUpstream()
    {
        io_.stop();
        thread_.join();
    }

    HostileUpstream(const HostileUpstream &) = delete;
    HostileUpstream &operator=(const HostileUpstream &) = delete;

    void setScript(EndlessScript script)
    {
        Asio::post(io_, [this, script = std::move(script)] { script_ = script; });
    }

    /// Lets the answers begin.
    void release()
    {
        Asio::post(io_, [this] {
            released_ = true;
            for (const auto &connection : std::exchange(held_, {})) {
                startScript(connection);
            }
        });
    }

    void acceptConnection()
    {
        auto connection = std::make_shared<HostileConnection>(io_);
        acceptor_.async_accept(connection->socket_, [this, connection](const boost::system::error_code &error) {
            if (!error) {
                open_.push_back(connection);
                if (script_.unasked_) {
                    startScript(connection);
                } else {
                    receiveRequest(connection);
                }
            }
            acceptConnection();
        });
    }

    void receiveRequest(const std::shared_ptr<HostileConnection> &connection)
    {
        Asio::async_read_until(connection->socket_, Asio::dynamic_buffer(connection->received_), "\r\n\r\n",
            [this, connection](const boost::system::error_code &error, size_t) {
                if (error) {
                    return;
                }
                ++requests_;
                if (released_) {
                    startScript(connection);
                } else {
                    held_.push_back(connection);
                }
            });
    }

    void startScript(const std::shared_ptr<HostileConnection> &connection)
    {
        constexpr std::string_view field = "Request-Id: ";
        const size_t begin = connection->received_.find(field);
        const std::string id = begin == std::string::npos
            ? "none"
            : connection->received_.substr(
                begin + field.size(), connection->received_.find('\r', begin) - begin - field.size());
        connection->first_ = script_.answersFirst_ ? makeSignedHead("Content-Length: 2\r\n\r\nok") : std::string();
        connection->first_ += script_.first_;
        for (size_t at = connection->first_.find("ID\r"); at != std::string::npos;
             at = connection->first_.find("ID\r", at + id.size())) {
            connection->first_.replace(at, 2, id);
        }
        Asio::async_write(connection->socket_, Asio::buffer(connection->first_),
            [this, connection](const boost::system::error_code &error, size_t) { sendRepeated(connection, error); });
    }

    void sendRepeated(const std::shared_ptr<HostileConnection> &connection, const boost::system::error_code &error)
    {
        if (error || script_.repeated_.empty()) {
            return;
        }
        Asio::async_write(connection->socket_, Asio::buffer(script_.repeated_),
            [this, connection](const boost::system::error_code &next, size_t) { sendRepeated(connection, next); });
    }

    std::string address_ = takeAddresses(1)[0]; ///< Where it listens.
    std::atomic<size_t> requests_ = 0; ///< Requests received.
    Asio::io_context io_{ 1 };
    Tcp::acceptor acceptor_;
    EndlessScript script_; ///< Only used by the thread.
    bool released_ = false; ///< Only used by the thread.
    std::vector<std::shared_ptr<HostileConnection>> held_; ///< Connections whose answer is held back.
    std::vector<std::shared_ptr<HostileConnection>> open_; ///< Keeps all connections until the end of the test.
    std::thread thread_;
};

/// Gateway with little memory; the crowd's route leads to the hostile upstream, another one to a sound upstream.
struct EndlessUpstreamFixture : ProcessFixture
{
    EndlessUpstreamFixture()
    {
        GatewayFleetSpec spec;
        spec.gateways_ = 1;
        spec.engines_ = 0;
        spec.desks_ = 1;
        spec.settings_ = "memory: " + std::to_string(memoryBytes) + "\n";
        REQUIRE(startGatewayFleet(fleet_, spec));
        fleet_.processes_[hostileUpstream].address_ = upstream_.address_;
        writeUpstreamRow(fleet_, hostileUpstream, "ready", crowdSize);
        REQUIRE(waitUntil([this] {
            return readStatusField(fleet_, "gateway-1", "upstreams").find(hostileUpstream) != std::string::npos;
        }));
    }

    /// Makes all calls of the crowd; their answers are not read.
    void connectCrowd(const std::string &target = "/read/x")
    {
        const auto endpoint = *parseEndpoint(fleet_.processes_.at("gateway-1").address_);
        for (size_t index = 0; index < crowdSize; ++index) {
            Tcp::socket &socket = callers_.emplace_back(io_);
            socket.connect(endpoint);
            Asio::write(socket,
                Asio::buffer("POST " + target + " HTTP/1.1\r\nHost: " + std::string(gatewayHost)
                    + "\r\nRequest-Id: crowd-" + std::to_string(index)
                    + "\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody"));
        }
    }

    pid_t gatewayProcess() const
    {
        return fleet_.processes_.at("gateway-1").pid_;
    }

    /// @return the bytes that the kernel has received for the gateway and that it has not read yet.
    size_t unreadBytes() const
    {
        const uint16_t upstreamPort = parseEndpoint(upstream_.address_)->port();
        const uint16_t listenPort = parseEndpoint(fleet_.processes_.at("gateway-1").address_)->port();
        std::ifstream file("/proc/net/tcp");
        size_t unread = 0;
        for (std::string line; std::getline(file, line);) {
            unsigned localPort = 0;
            unsigned remotePort = 0;
            unsigned long received = 0;
            const int fields
                = std::sscanf(line.c_str(), " %*d: %*8x:%x %*8x:%x %*2x %*8x:%8lx", &localPort, &remotePort, &received);
            unread += fields == 3 && (localPort == listenPort || remotePort == upstreamPort) ? received : 0;
        }
        return unread;
    }

    /// Records the memory of the gateway. @return whether it has grown
    bool sampleMemory()
    {
        const size_t unread = unreadBytes();
        const size_t peak = readPeakMemory(gatewayProcess());
        const bool grown = unread > mostUnread_ || peak > peak_;
        mostUnread_ = std::max(mostUnread_, unread);
        peak_ = std::max(peak_, peak);
        mostHeld_ = std::max(mostHeld_, peak + unread);
        return grown;
    }

    /// Waits until the memory has not grown for a time.
    void awaitQuiet()
    {
        TimePoint grownAt = Clock::now();
        waitUntil(
            [this, &grownAt] {
                if (sampleMemory()) {
                    grownAt = Clock::now();
                }
                return Clock::now() - grownAt >= quietTime;
            },
            crowdTime);
    }

    /// Lets the upstream send to the whole crowd while the gateway is stopped, as on a machine without processor time.
    void runCrowd(EndlessScript script, const std::string &target = "/read/x")
    {
        upstream_.setScript(std::move(script));
        connectCrowd(target);
        waitUntil([this] { return upstream_.requests_ >= crowdSize; }, crowdTime);
        CHECK(upstream_.requests_ >= crowdSize);
        signalProcess(fleet_, "gateway-1", SIGSTOP);
        upstream_.release();
        awaitQuiet();
        signalProcess(fleet_, "gateway-1", SIGCONT);
        awaitQuiet();
    }

    /// Stops the gateway once more in the middle of what it receives.
    void stopForATime()
    {
        signalProcess(fleet_, "gateway-1", SIGSTOP);
        awaitQuiet();
        signalProcess(fleet_, "gateway-1", SIGCONT);
    }

    /// @return the status of an ordinary request; its caller retries once after a refusal.
    int callOnce()
    {
        const GatewayCall ordinary{ "ordinary", "/once/x", "body", "key-1", Milliseconds(4000), {} };
        const int status = callGateway(fleet_, "gateway-1", ordinary).status_;
        return status == 503 ? callGateway(fleet_, "gateway-1", ordinary).status_ : status;
    }

    /// Checks what has to hold while the upstream keeps sending.
    void checkGateway()
    {
        const int status = callOnce();
        sampleMemory();
        const bool alive = readPeakMemory(gatewayProcess()) > 0;
        MESSAGE("held: ", mostHeld_ >> 10U, " KiB, peak of resident memory: ", peak_ >> 10U,
            " KiB, unread: ", mostUnread_ >> 10U, " KiB, requests: ", upstream_.requests_.load(), ", status: ", status);
        CHECK(alive);
        CHECK(mostHeld_ < memoryBytes);
        CHECK(status == 200);
    }

    HostileUpstream upstream_;
    Asio::io_context io_; ///< Only for the callers' sockets.
    std::deque<Tcp::socket> callers_; ///< The crowd, open until the end of the test.
    size_t peak_ = 0; ///< Peak of the gateway's resident memory.
    size_t mostUnread_ = 0; ///< Most unread bytes seen.
    size_t mostHeld_ = 0; ///< Largest sum of the resident memory's peak and unread bytes that was seen.
};

} // namespace

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenHeadFieldsNeverEnd_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead(""), makePiece("a:\r\n") });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenAHeadLineNeverEnds_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Long: "), makePiece("a") });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenInterimResponsesNeverEnd_StaysWithinItsMemory")
{
    runCrowd({ "", makePiece("HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n") });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenInterimResponsesHaveTheLargestHeads_StaysWithinItsMemory")
{
    runCrowd({ "", "HTTP/1.1 103 Early Hints\r\n" + repeat("a:\r\n", headBytes - 1024) + "\r\n" });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenBodiesOfHugeLengthAreAnnounced_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Content-Length: 99999999999\r\n\r\n"), makePiece("a") });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenBodiesWithoutLengthNeverEnd_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("\r\n"), makePiece("a") });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenChunksAreMostlyExtensions_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Transfer-Encoding: chunked\r\n\r\n"),
        repeat("1;" + std::string(1000, 'e') + "\r\na\r\n", 16U << 10U) });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenAChunkHeaderNeverEnds_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Transfer-Encoding: chunked\r\n\r\n1;"), makePiece("e") });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenTrailersNeverEnd_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"), makePiece("a:\r\n") });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenAnswersToAnotherRequestNeverEnd_StaysWithinItsMemory")
{
    runCrowd({ "",
        makePiece("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: a\r\nContent-Length: 200\r\n\r\n"
            + std::string(200, 'a')) });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenTheLargestHeadsOfManyFieldsStall_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Content-Length: 1000\r\n") + repeat("a:\r\n", headBytes - 1024) + "\r\n", "" });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenTheLargestHeadsOfOneFieldStall_StaysWithinItsMemory")
{
    runCrowd(
        { makeSignedHead("Content-Length: 1000\r\nLong: ") + std::string(headBytes - 1024, 'a') + "\r\n\r\n", "" });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenHeadsStopShortOfTheirEnd_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Content-Length: 1000\r\n") + repeat("a:\r\n", headBytes - 1024), "" });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenBodiesStopShortOfTheirLimit_StaysWithinItsMemory")
{
    const auto bodyBytes = static_cast<size_t>(answerShare * memoryBytes / crowdSize) - 1024;
    runCrowd({ makeSignedHead("Content-Length: 99999\r\n\r\n") + std::string(bodyBytes, 'a'), "" });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenLargeHeadsWithinTheLimitsStopShort_StaysWithinItsMemory")
{
    runCrowd({ makeSignedHead("Content-Length: 1000\r\n") + makeLargeFields(), "" });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenLargeHeadsAndBodiesStall_StaysWithinItsMemory")
{
    const auto bodyBytes = static_cast<size_t>(answerShare * memoryBytes / crowdSize) - 1024;
    runCrowd(
        { makeSignedHead("Content-Length: 99999\r\n") + makeLargeFields() + "\r\n" + std::string(bodyBytes, 'a'), "" });
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenItIsStoppedWhileStreamsArriveFast_StaysWithinItsMemory")
{
    runCrowd(
        { makeSignedHead("Content-Type: text/event-stream\r\n\r\n"), makePiece(":" + std::string(1000, 'a') + "\n\n") },
        "/stream/x");
    stopForATime();
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenAnswersAreFollowedByBytesWithoutEnd_StaysWithinItsMemory")
{
    EndlessScript script{ "", makePiece("a") };
    script.answersFirst_ = true;
    runCrowd(std::move(script));
    checkGateway();
}

TEST_CASE_FIXTURE(EndlessUpstreamFixture, "Gateway_WhenNewConnectionsReceiveBytesWithoutEnd_StaysWithinItsMemory")
{
    EndlessScript script{ "", makePiece("a") };
    script.unasked_ = true;
    upstream_.setScript(std::move(script));
    upstream_.release();
    connectCrowd();
    awaitQuiet();
    checkGateway();
}
