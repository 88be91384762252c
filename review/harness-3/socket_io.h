/**
 * @file socket_io.h
 * @brief Blocking TCP sockets on loopback addresses, and buffered reading from them.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Address of a listener; only loopback addresses are used.
struct Address
{
    std::string ip_ = "127.0.0.1";
    uint16_t port_ = 0;
};

/// Owner of a descriptor, which is closed at the end.
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

/// Connection with the bytes that were received and not yet taken.
struct Connection
{
    Socket socket_;
    std::string buffer_;
    bool ended_ = false; ///< Whether the peer has closed or reset it.
};

/// @return IP:PORT.
std::string textOf(const Address &address);

/// @return a listening socket; the port is chosen by the kernel if it is 0, and is then filled in.
Socket listenAt(Address &address);

/// @return an address whose port is free now.
Address findFreeAddress(const std::string &ip);

/// @return the next connection of a listener; its descriptor is -1 if the listener has ended.
Connection acceptNext(const Socket &listener);

/// @return a connection; its descriptor is -1 if it could not be made.
Connection connectTo(const Address &address);

void sendAll(const Connection &connection, std::string_view bytes);

/// Receives once, for at most @p wait. @return whether bytes were received
bool receiveSome(Connection &connection, Milliseconds wait);

/// @return the bytes up to and with @p end, which are taken from the buffer; nothing if they don't come in time.
std::optional<std::string> takeUntil(Connection &connection, std::string_view end, Milliseconds wait);

/// @return @p length bytes, which are taken from the buffer; nothing if they don't come in time.
std::optional<std::string> takeBytes(Connection &connection, size_t length, Milliseconds wait);

} // namespace Review
