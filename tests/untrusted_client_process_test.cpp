/**
 * @file untrusted_client_process_test.cpp
 * @brief Tests of a real gateway process with crowds of clients that do not follow the rules.
 *
 * Guards against a process that runs out of memory or descriptors. The crowds and the bounds were fixed against the
 * code before it had a memory budget.
 */
#include "gateway_process_fixture.h"
#include "process_usage_func.h"

#include <boost/asio/read.hpp>
#include <deque>
#include <fstream>
#include <sys/resource.h>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr size_t memoryBytes = 64U << 20U; ///< Setting `memory`, and bound of the resident memory's peak.
constexpr size_t descriptorLimit = 256; ///< Descriptors that the process may open.
constexpr size_t descriptorBound = 224; ///< Descriptors that may be open with a crowd; the rest is for its own needs.
constexpr size_t crowdSize = 40; ///< Clients of a pattern that sends bytes.
constexpr size_t silentCrowdSize = 400; ///< Connections that send nothing; more than the descriptor limit.
constexpr size_t limitBytes = 4U << 20U; ///< maxBodyBytes.
constexpr size_t excessBytes = 16U << 20U; ///< Body far over the limit.
constexpr size_t answerBytes = 4U << 20U; ///< Of each answer that is never read.
constexpr size_t readerCount = 30; ///< Clients that never read their answer.
constexpr Milliseconds crowdTime{ 6000 }; ///< Longest time for which a crowd sends.
constexpr Milliseconds quietTime{ 1000 }; ///< Time without a rise of the memory after which a gateway has read all.

std::string makeHead(const std::string &target, const std::string &length)
{
    return "POST " + target + " HTTP/1.1\r\nHost: " + gatewayHost
        + "\r\nRequest-Id: hostile\r\nAuthorization: Bearer key-1\r\n" + length + "\r\n\r\n";
}

std::string makeChunkedHead()
{
    return makeHead("/read/x", "Transfer-Encoding: chunked");
}

std::string makeAnnouncedHead(size_t bytes, const std::string &target = "/read/x")
{
    return makeHead(target, "Content-Length: " + std::to_string(bytes));
}

/// @return a body as chunks of @p chunkBytes, without the last chunk.
std::string makeChunks(size_t bodyBytes, size_t chunkBytes)
{
    std::array<char, 16> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    const std::string chunk
        = std::string(size.data(), static_cast<size_t>(length)) + std::string(chunkBytes, 'x') + "\r\n";
    std::string chunks;
    for (size_t sent = 0; sent < bodyBytes; sent += chunkBytes) {
        chunks += chunk;
    }
    return chunks;
}

/// Client that sends a text as far as the gateway accepts it, and reads nothing.
struct HostileClient
{
    explicit HostileClient(Asio::io_context &io)
        : socket_(io)
    {
    }

    Tcp::socket socket_; ///< Open until the end of the test.
    size_t sent_ = 0; ///< Bytes of the text that have been sent.
    bool ended_ = false; ///< Whether the text was sent to its end, or the connection broke.
};

/// A gateway with little memory and few descriptors, two engines and two desks.
struct UntrustedClientFixture : ProcessFixture
{
    UntrustedClientFixture()
    {
        rlimit limit{};
        REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
        const rlimit lowered{ descriptorLimit, limit.rlim_max };
        REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0); // inherited by the processes
        GatewayFleetSpec spec;
        spec.gateways_ = 1;
        spec.desks_ = 2;
        spec.settings_ = "memory: " + std::to_string(memoryBytes) + "\n";
        const bool started = startGatewayFleet(fleet_, spec);
        REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
        REQUIRE(started);
    }

    /// Connects clients that hardly receive anything, so that answers wait in the gateway.
    void connectClients(size_t count)
    {
        const auto endpoint = *parseEndpoint(fleet_.processes_.at("gateway-1").address_);
        for (size_t index = 0; index < count; ++index) {
            HostileClient &client = clients_.emplace_back(io_);
            client.socket_.open(endpoint.protocol());
            client.socket_.set_option(Asio::socket_base::receive_buffer_size(4096));
            boost::system::error_code ignored;
            client.socket_.connect(endpoint, ignored);
            client.socket_.non_blocking(true, ignored);
        }
    }

    /// Sends the text to the gateway from all clients at once, in parts, until all have ended or crowdTime is over.
    void sendFromAll(const std::string &text)
    {
        waitUntil(
            [this, &text] {
                bool ended = true;
                for (HostileClient &client : clients_) {
                    ended = sendSome(client, text) && ended;
                }
                return ended;
            },
            crowdTime);
    }

    static bool sendSome(HostileClient &client, const std::string &text)
    {
        boost::system::error_code error;
        while (!client.ended_ && !error) {
            client.sent_ += client.socket_.write_some(Asio::buffer(text) + client.sent_, error);
            client.ended_ = client.sent_ == text.size() || (error && error != Asio::error::would_block);
        }
        return client.ended_;
    }

    pid_t gatewayProcess() const
    {
        return fleet_.processes_.at("gateway-1").pid_;
    }

    /// Waits until the peak of the memory no longer rises: sent bytes may still wait in the kernel's buffers.
    void awaitQuiet() const
    {
        size_t peak = readPeakMemory(gatewayProcess());
        TimePoint risenAt = Clock::now();
        waitUntil(
            [this, &peak, &risenAt] {
                if (const size_t now = readPeakMemory(gatewayProcess()); now > peak) {
                    peak = now;
                    risenAt = Clock::now();
                }
                return Clock::now() - risenAt >= quietTime;
            },
            crowdTime);
    }

    /// @return the bytes that the kernel has received for the gateway's callers and that it has not read yet.
    size_t unreadBytes() const
    {
        const uint16_t listenPort = parseEndpoint(fleet_.processes_.at("gateway-1").address_)->port();
        std::ifstream file("/proc/net/tcp");
        size_t unread = 0;
        for (std::string line; std::getline(file, line);) {
            unsigned port = 0;
            unsigned long received = 0;
            const int fields
                = std::sscanf(line.c_str(), " %*d: %*8x:%x %*8x:%*x 01 %*8x:%8lx", &port, &received); // 01: established
            unread += fields == 2 && port == listenPort ? received : 0;
        }
        return unread;
    }

    /// @return the status of an ordinary request; its caller retries once after a refusal.
    int callOnce()
    {
        const GatewayCall ordinary{ "ordinary", "/once/x", "body", "key-1", Milliseconds(4000), {} };
        const int status = callGateway(fleet_, "gateway-1", ordinary).status_;
        return status == 503 ? callGateway(fleet_, "gateway-1", ordinary).status_ : status;
    }

    /// Checks what has to hold while the crowd keeps its connections open.
    void checkGateway()
    {
        awaitQuiet();
        const size_t unread = unreadBytes();
        const size_t descriptors = countDescriptors(gatewayProcess());
        const int status = callOnce();
        const size_t peak = readPeakMemory(gatewayProcess());
        MESSAGE("peak of resident memory: ", peak >> 10U, " KiB, unread: ", unread >> 10U,
            " KiB, descriptors: ", descriptors, ", status: ", status);
        CHECK(peak > 0);
        CHECK(peak + unread < memoryBytes);
        CHECK(descriptors <= descriptorBound);
        CHECK(status == 200);
    }

    Asio::io_context io_; ///< Only for the sockets, which do not block.
    std::deque<HostileClient> clients_; ///< The crowd.
};

} // namespace

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenLargeChunksStopShortOfTheirEnd_StaysWithinItsMemory")
{
    connectClients(crowdSize);
    std::string text = makeChunkedHead() + makeChunks(limitBytes, 64U << 10U);
    text.pop_back();
    sendFromAll(text);
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenVerySmallChunksStopShortOfTheirEnd_StaysWithinItsMemory")
{
    connectClients(crowdSize);
    sendFromAll(makeChunkedHead() + makeChunks(limitBytes / 2, 16));
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenBodiesFarOverTheLimitAreAnnounced_StaysWithinItsMemory")
{
    connectClients(crowdSize);
    sendFromAll(makeAnnouncedHead(excessBytes) + std::string(excessBytes, 'x'));
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenBodiesFarOverTheLimitAreNotAnnounced_StaysWithinItsMemory")
{
    connectClients(crowdSize);
    sendFromAll(makeChunkedHead() + makeChunks(excessBytes, 64U << 10U));
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenAnnouncedBodiesStopShortOfTheirEnd_StaysWithinItsMemory")
{
    connectClients(crowdSize);
    sendFromAll(makeAnnouncedHead(limitBytes) + std::string(limitBytes - 1, 'x'));
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenHeadersNeverEnd_StaysWithinItsMemory")
{
    connectClients(crowdSize);
    sendFromAll("POST /read/x HTTP/1.1\r\nHost: " + std::string(gatewayHost) + "\r\nLong: " + std::string(15000, 'x'));
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenHeadersHaveVeryManyFields_StaysWithinItsMemory")
{
    constexpr size_t manyFieldsCrowd = 180; // as many as the descriptors allow
    connectClients(manyFieldsCrowd);
    std::string fields;
    while (fields.size() < 15000) {
        fields += "a:\r\n";
    }
    sendFromAll(
        makeAnnouncedHead(limitBytes, "/read/x").substr(0, makeAnnouncedHead(limitBytes).size() - 2) + fields + "\r\n");
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenClientsNeverReadTheirAnswers_StaysWithinItsMemory")
{
    for (const char *engine : { "engines-1", "engines-2" }) {
        controlStandin(fleet_, engine, R"({"padding":)" + std::to_string(answerBytes) + "}");
    }
    for (size_t reader = 0; reader < readerCount; ++reader) {
        connectClients(1);
        sendFromAll(makeAnnouncedHead(4) + "body");
        waitUntil([this] { return readStatusField(fleet_, "gateway-1", "calls") == "0"; }, crowdTime);
    }
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenManyConnectionsSendNothing_KeepsDescriptorsForItsOwnNeeds")
{
    connectClients(silentCrowdSize);
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenManyRequestsArePipelined_StaysWithinItsMemory")
{
    constexpr size_t requestBytes = 64U << 10U;
    constexpr size_t requestsPerClient = 60;
    connectClients(crowdSize);
    const std::string request = makeAnnouncedHead(requestBytes) + std::string(requestBytes, 'x');
    std::string text;
    for (size_t index = 0; index < requestsPerClient; ++index) {
        text += request;
    }
    sendFromAll(text);
    checkGateway();
}

TEST_CASE_FIXTURE(UntrustedClientFixture, "Gateway_WhenASingleBodyIsAsLongAsTheLimit_ServesItInEitherEncoding")
{
    const std::string body(limitBytes, 'x');
    const GatewayCall whole{ "whole", "/once/x", body, "key-1", Milliseconds(4000), {} };
    CHECK(callGateway(fleet_, "gateway-1", whole).status_ == 200);
    Tcp::socket socket(io_);
    socket.connect(*parseEndpoint(fleet_.processes_.at("gateway-1").address_));
    Asio::write(socket, Asio::buffer(makeChunkedHead() + makeChunks(limitBytes, 1024) + "0\r\n\r\n"));
    std::array<char, 12> status{};
    Asio::read(socket, Asio::buffer(status));
    CHECK(std::string_view(status.data(), status.size()) == "HTTP/1.1 200");
}
