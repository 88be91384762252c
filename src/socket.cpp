/**
 * @file socket.cpp
 * @brief Socket options that detect a peer that disappeared without closing its connection, and bound what is unread.
 */
#include "socket_func.h"

#include <cstddef>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Burdockfield {

namespace {

using Tcp = boost::asio::ip::tcp;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

constexpr std::chrono::seconds keepAliveIdle{ 1 }; ///< Idle time before the first probe.
constexpr std::chrono::seconds keepAliveInterval{ 1 }; ///< Time between probes.
constexpr Milliseconds probeReplyTime{ 100 }; ///< Longest time until a probe is answered; round trips take up to 16 ms.
constexpr std::chrono::seconds maxReceiptAge{ 60 }; ///< Longer than callers wait; a greater value isn't plausible.
constexpr int keepAliveCount = 2; ///< Unanswered probes after which the connection fails.

} // namespace

void configureSocket(Tcp::socket &socket, Milliseconds userTimeout)
{
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(static_cast<int>(keepAliveIdle.count())), ignored);
    socket.set_option(KeepAliveInterval(static_cast<int>(keepAliveInterval.count())), ignored);
    socket.set_option(KeepAliveCount(keepAliveCount), ignored);
    socket.set_option(UserTimeout(static_cast<int>(userTimeout.count())), ignored);
}

void openBoundedSocket(Tcp::socket &socket, const Tcp::endpoint &endpoint)
{
    boost::system::error_code ignored;
    socket.open(endpoint.protocol(), ignored);
    // The kernel doubles the value, and takes its own data from it.
    socket.set_option(boost::asio::socket_base::receive_buffer_size(upstreamReceiveBytes / 2), ignored);
}

Milliseconds timeSinceReceipt(Tcp::socket &socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const int status = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
    const bool known = status == 0 && length >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof(uint32_t);
    const Milliseconds age(known ? info.tcpi_last_data_recv : 0);
    return age < maxReceiptAge ? age : Milliseconds(0);
}

bool isAcknowledged(Tcp::socket &socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const int status = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
    const bool known = status == 0 && length >= offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(uint32_t);
    return known && info.tcpi_state == TCP_ESTABLISHED
        && Milliseconds(info.tcpi_last_ack_recv) < keepAliveIdle + probeReplyTime;
}

} // namespace Burdockfield
