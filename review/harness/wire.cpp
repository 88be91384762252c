/**
 * @file wire.cpp
 * @brief Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
 */
#include "wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Review {

namespace {

constexpr size_t readBytes = 65536;
constexpr int backlog = 512;

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port_);
    inet_pton(AF_INET, endpoint.host_.c_str(), &address.sin_addr);
    return address;
}

/// Receives some bytes. @return whether there were any before the end of the connection
bool receiveSome(Stream &stream, bool &reset)
{
    std::array<char, readBytes> bytes{};
    const ssize_t length = recv(stream.socket_.descriptor_, bytes.data(), bytes.size(), 0);
    reset = length < 0;
    if (length > 0) {
        stream.buffer_.append(bytes.data(), static_cast<size_t>(length));
    }
    return length > 0;
}

/// Waits until the buffer contains @p end. @return the position after it, or npos
size_t receiveUntil(Stream &stream, std::string_view end)
{
    bool reset = false;
    size_t at = stream.buffer_.find(end);
    while (at == std::string::npos) {
        if (!receiveSome(stream, reset)) {
            return std::string::npos;
        }
        at = stream.buffer_.find(end);
    }
    return at + end.size();
}

std::string takeBytes(Stream &stream, size_t length)
{
    std::string bytes = stream.buffer_.substr(0, length);
    stream.buffer_.erase(0, length);
    return bytes;
}

/// Receives @p length bytes of the body. @return whether all were received
bool receiveBody(Stream &stream, size_t length, std::string &body)
{
    bool reset = false;
    while (stream.buffer_.size() < length) {
        if (!receiveSome(stream, reset)) {
            body += takeBytes(stream, stream.buffer_.size());
            return false;
        }
    }
    body += takeBytes(stream, length);
    return true;
}

/// Receives a body in chunks. @return whether the last chunk was received
bool receiveChunks(Stream &stream, std::string &body)
{
    constexpr int hexBase = 16;
    constexpr size_t lineEndBytes = 2;
    while (true) {
        const size_t end = receiveUntil(stream, "\r\n");
        if (end == std::string::npos) {
            return false;
        }
        const size_t length = std::strtoul(takeBytes(stream, end).c_str(), nullptr, hexBase);
        std::string lineEnd;
        if (!receiveBody(stream, length, body) || !receiveBody(stream, lineEndBytes, lineEnd)) {
            return false;
        }
        if (length == 0) {
            return true;
        }
    }
}

/// Receives a body that ends with its connection. @return whether the connection was closed and not reset
bool receiveToEnd(Stream &stream, std::string &body)
{
    bool reset = false;
    while (receiveSome(stream, reset)) {
    }
    body += takeBytes(stream, stream.buffer_.size());
    return !reset;
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

void parseHead(const std::string &head, Message &message)
{
    constexpr std::string_view lineEnd = "\r\n";
    size_t from = head.find(lineEnd);
    message.startLine_ = head.substr(0, from);
    for (from += lineEnd.size(); from < head.size();) {
        const size_t end = head.find(lineEnd, from);
        const std::string line = head.substr(from, end - from);
        const size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers_[toLower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        from = end + lineEnd.size();
    }
}

} // namespace

Socket::Socket(int descriptor)
    : descriptor_(descriptor)
{
}

Socket::Socket(Socket &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

Socket::~Socket()
{
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

std::string toText(const Endpoint &endpoint)
{
    return endpoint.host_ + ":" + std::to_string(endpoint.port_);
}

bool isFree(const Endpoint &endpoint)
{
    const Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = toSocketAddress(endpoint);
    return bind(socket.descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
}

Socket listenAt(Endpoint &endpoint)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = toSocketAddress(endpoint);
    socklen_t length = sizeof(address);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    if (bind(socket.descriptor_, generic, length) != 0 || listen(socket.descriptor_, backlog) != 0) {
        std::perror("cannot listen");
        std::_Exit(2);
    }
    getsockname(socket.descriptor_, reinterpret_cast<sockaddr *>(&address), &length);
    endpoint.port_ = ntohs(address.sin_port);
    return socket;
}

Socket connectTo(const Endpoint &endpoint)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = toSocketAddress(endpoint);
    if (connect(socket.descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return {};
    }
    const int on = 1;
    setsockopt(socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

void setReceiveTimeout(const Socket &socket, Milliseconds timeout)
{
    constexpr int64_t millisecondsPerSecond = 1000;
    timeval value{};
    value.tv_sec = timeout.count() / millisecondsPerSecond;
    value.tv_usec = timeout.count() % millisecondsPerSecond * millisecondsPerSecond;
    setsockopt(socket.descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

bool sendAll(const Socket &socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(socket.descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

Message receiveMessage(Stream &stream, BodyEnd end)
{
    Message message;
    const size_t headEnd = receiveUntil(stream, "\r\n\r\n");
    if (headEnd == std::string::npos) {
        return message;
    }
    message.headReceived_ = true;
    constexpr size_t emptyLineBytes = 2;
    parseHead(takeBytes(stream, headEnd).substr(0, headEnd - emptyLineBytes), message);
    const std::string length = headerOf(message, "content-length");
    if (toLower(headerOf(message, "transfer-encoding")) == "chunked") {
        message.complete_ = receiveChunks(stream, message.body_);
    } else if (!length.empty() || end == BodyEnd::Framed) {
        message.complete_ = receiveBody(stream, std::strtoul(length.c_str(), nullptr, 10), message.body_);
    } else {
        message.complete_ = receiveToEnd(stream, message.body_);
    }
    return message;
}

std::string headerOf(const Message &message, const std::string &name)
{
    const auto found = message.headers_.find(name);
    return found == message.headers_.end() ? std::string() : found->second;
}

int statusOf(const Message &response)
{
    const size_t space = response.startLine_.find(' ');
    return space == std::string::npos ? 0 : std::atoi(response.startLine_.c_str() + space);
}

std::string makeResponse(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string makeChunk(const std::string &bytes)
{
    std::array<char, 16> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", bytes.size());
    return length.data() + bytes + "\r\n";
}

size_t countOf(std::string_view text, std::string_view part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

void serveConnections(Socket listener, std::function<void(Stream &)> serve)
{
    std::thread([listener = std::move(listener), serve = std::move(serve)] {
        while (true) {
            Socket socket(accept4(listener.descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
            if (socket.descriptor_ < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([serve, socket = std::move(socket)]() mutable {
                Stream stream{ std::move(socket), {} };
                serve(stream);
            }).detach();
        }
    }).detach();
}

} // namespace Review
