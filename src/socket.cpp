/**
 * @file socket.cpp
 * @brief Socket options that detect a peer that disappeared without closing its connection.
 */
#include "socket_func.h"

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

} // namespace Burdockfield
