/**
 * @file socket_io.cpp
 * @brief Blocking TCP sockets on loopback addresses, and buffered reading from them.
 */
#include "socket_io.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Review {

namespace {

constexpr int backlog = 256;

sockaddr_in endpointOf(const Address &address)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.ip_.c_str(), &endpoint.sin_addr);
    return endpoint;
}

void sendWithoutDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Milliseconds timeLeft(Clock::time_point end)
{
    return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(end - Clock::now()));
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

std::string textOf(const Address &address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

Socket listenAt(Address &address)
{
    Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(listener.descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in endpoint = endpointOf(address);
    socklen_t length = sizeof(endpoint);
    if (bind(listener.descriptor_, reinterpret_cast<sockaddr *>(&endpoint), length) != 0
        || listen(listener.descriptor_, backlog) != 0) {
        return {};
    }
    getsockname(listener.descriptor_, reinterpret_cast<sockaddr *>(&endpoint), &length);
    address.port_ = ntohs(endpoint.sin_port);
    return listener;
}

Address findFreeAddress(const std::string &ip)
{
    Address address{ ip, 0 };
    listenAt(address);
    return address;
}

Connection acceptNext(const Socket &listener)
{
    Connection connection;
    connection.socket_ = Socket(accept4(listener.descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
    sendWithoutDelay(connection.socket_.descriptor_);
    return connection;
}

Connection connectTo(const Address &address)
{
    Connection connection;
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in endpoint = endpointOf(address);
    if (connect(socket.descriptor_, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) == 0) {
        sendWithoutDelay(socket.descriptor_);
        connection.socket_ = std::move(socket);
    }
    return connection;
}

void sendAll(const Connection &connection, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(connection.socket_.descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
}

bool receiveSome(Connection &connection, Milliseconds wait)
{
    pollfd input{ connection.socket_.descriptor_, POLLIN, 0 };
    if (connection.ended_ || poll(&input, 1, static_cast<int>(wait.count())) != 1) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const ssize_t length = recv(connection.socket_.descriptor_, bytes.data(), bytes.size(), 0);
    connection.ended_ = length <= 0;
    connection.buffer_.append(bytes.data(), static_cast<size_t>(std::max<ssize_t>(length, 0)));
    return !connection.ended_;
}

std::optional<std::string> takeUntil(Connection &connection, std::string_view end, Milliseconds wait)
{
    const Clock::time_point latest = Clock::now() + wait;
    while (true) {
        if (const size_t at = connection.buffer_.find(end); at != std::string::npos) {
            return takeBytes(connection, at + end.size(), Milliseconds(0));
        }
        if (!receiveSome(connection, timeLeft(latest))) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> takeBytes(Connection &connection, size_t length, Milliseconds wait)
{
    const Clock::time_point latest = Clock::now() + wait;
    while (connection.buffer_.size() < length) {
        if (!receiveSome(connection, timeLeft(latest))) {
            return std::nullopt;
        }
    }
    std::string taken = connection.buffer_.substr(0, length);
    connection.buffer_.erase(0, length);
    return taken;
}

} // namespace Review
