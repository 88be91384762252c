/**
 * @file http_client_connection.cpp
 * @brief Connections of an HTTP client: opened, kept while idle, and given to the next call.
 */
#include "http_client_connection.h"

#include "address_func.h"
#include "json_func.h"
#include "log_func.h"
#include "socket_func.h"
#include "table/extra_answer_names.h"

#include <algorithm>
#include <array>

namespace Burdockfield {

namespace {

using Tcp = Asio::ip::tcp;
using StreamPointer = std::unique_ptr<Beast::tcp_stream>;

constexpr size_t maxIdlePerAddress = 16; ///< Idle connections kept for each address.
constexpr std::chrono::seconds maxIdleTime{ 20 }; ///< Below the idle timeouts of servers.
constexpr Milliseconds connectTimeout{ 1000 };
constexpr int receiveBufferBytes = 128 << 10; ///< Most bytes that the kernel keeps unread; 0.1 s at 10 Mbit/s.

/// What has arrived on a connection since its last call.
enum class IdleInput : uint8_t {
    None,
    Bytes,
    Close, ///< The peer closed it, or it broke.
};

IdleInput peekInput(Beast::tcp_stream &stream)
{
    std::array<char, 1> byte{};
    boost::system::error_code error;
    stream.socket().receive(Asio::buffer(byte), Asio::socket_base::message_peek, error);
    if (error == Asio::error::would_block) {
        return IdleInput::None;
    }
    return error ? IdleInput::Close : IdleInput::Bytes;
}

/// Opens a socket whose unread bytes are bounded; without this the kernel may keep megabytes of each connection.
void boundUnreadBytes(Tcp::socket &socket, const Tcp::endpoint &endpoint)
{
    boost::system::error_code ignored;
    socket.open(endpoint.protocol(), ignored);
    socket.set_option(Asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
}

} // namespace

bool connect(Beast::tcp_stream &stream, const std::string &address, Milliseconds timeout, Asio::yield_context yield)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return false;
    }
    boost::system::error_code error;
    boundUnreadBytes(stream.socket(), *endpoint);
    stream.expires_after(std::min(timeout, connectTimeout));
    stream.async_connect(*endpoint, yield[error]);
    if (!error) {
        configureSocket(stream.socket(), outgoingUserTimeout);
        boost::system::error_code ignored;
        stream.socket().non_blocking(true, ignored); // for peekInput()
    }
    return !error;
}

StreamPointer takeIdleConnection(HttpClient &client, const ConnectionPool &pool)
{
    auto &idle = client.idle_[pool];
    while (!idle.empty()) {
        IdleConnection connection = std::move(idle.back());
        idle.pop_back();
        const IdleInput input = peekInput(*connection.stream_);
        if (input == IdleInput::None && Clock::now() - connection.idleSince_ < maxIdleTime) {
            return std::move(connection.stream_);
        }
        if (input == IdleInput::Bytes) {
            reportExtraReply(client, { pool.first, ExtraAnswerPlace::Idle, connection.lastCall_, 0 });
        }
    }
    return nullptr;
}

void keepIdleConnection(HttpClient &client, const ConnectionPool &pool, StreamPointer stream, uint64_t lastCall)
{
    auto &idle = client.idle_[pool];
    std::erase_if(idle, [](const auto &item) { return Clock::now() - item.idleSince_ >= maxIdleTime; });
    if (idle.size() < maxIdlePerAddress) {
        stream->expires_never();
        idle.push_back({ std::move(stream), Clock::now(), lastCall });
    }
}

void reportExtraReply(const HttpClient &client, const ExtraReply &reply)
{
    logLine(LogLevel::Warning, "extra-reply",
        { { "address", reply.address_ }, { "place", std::string(nameOf(reply.place_, extraAnswerNames)) },
            { "expected", std::to_string(reply.expected_) }, { "received", std::to_string(reply.received_) } });
    if (client.onExtraReply_) {
        client.onExtraReply_(reply);
    }
}

} // namespace Burdockfield
