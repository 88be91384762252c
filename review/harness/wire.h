/**
 * @file wire.h
 * @brief Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Socket that closes itself.
struct Socket
{
    Socket() = default;
    explicit Socket(int descriptor);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    int descriptor_ = -1;
};

/// Loopback address and port.
struct Endpoint
{
    std::string host_;
    uint16_t port_ = 0;
};

/// HTTP request or response.
struct Message
{
    std::string startLine_;
    std::map<std::string, std::string> headers_; ///< By lower-case name.
    std::string body_;
    bool headReceived_ = false; ///< Whether the whole header was received.
    bool complete_ = false; ///< Whether the message ended as its framing says.
};

/// Connection with bytes that were received and not yet used.
struct Stream
{
    Socket socket_;
    std::string buffer_;
};

/// Whether the end of a connection is a regular end of a body without a length.
enum class BodyEnd : uint8_t {
    Framed, ///< A body without a length is empty, as in requests.
    AtClose, ///< A body without a length ends with the connection, as in responses.
};

std::string toText(const Endpoint &endpoint);

/// @return whether nothing uses a port.
bool isFree(const Endpoint &endpoint);

/// Listens at a free port if @p endpoint has port 0. Exits if that fails.
Socket listenAt(Endpoint &endpoint);

/// Connects. @return a socket without a descriptor on failure
Socket connectTo(const Endpoint &endpoint);

/// Limits how long a receive may take.
void setReceiveTimeout(const Socket &socket, Milliseconds timeout);

/// Sends all bytes. @return whether the connection took them
bool sendAll(const Socket &socket, std::string_view bytes);

/// Receives one message. @return it, possibly incomplete
Message receiveMessage(Stream &stream, BodyEnd end);

/// @return the value of a header by lower-case name, or an empty text.
std::string headerOf(const Message &message, const std::string &name);

/// @return the status of a response, or 0 if no header was received.
int statusOf(const Message &response);

/// @return a response with a length.
std::string makeResponse(int status, const std::string &headers, const std::string &body);

/// @return a chunk of a body.
std::string makeChunk(const std::string &bytes);

/// @return how often @p part occurs in @p text.
size_t countOf(std::string_view text, std::string_view part);

/// Accepts connections until the process ends, each served by @p serve on a thread of its own.
void serveConnections(Socket listener, std::function<void(Stream &)> serve);

} // namespace Review
