/**
 * @file socket.cpp
 * @brief Options by which a socket notices a peer that is gone without a word.
 */
#include "socket_func.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Burdockfield {

namespace {

using Tcp = boost::asio::ip::tcp;
using SocketOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeStart = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeCount = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

constexpr std::chrono::seconds probeStart{ 1 }; ///< Idle time before the first probe.
constexpr std::chrono::seconds probeInterval{ 1 }; ///< Time between probes.
constexpr int probeCount = 2; ///< Probes without an answer after which the peer is gone.

} // namespace

void hardenSocket(Tcp::socket &socket, Milliseconds patience)
{
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(ProbeStart(static_cast<int>(probeStart.count())), ignored);
    socket.set_option(ProbeInterval(static_cast<int>(probeInterval.count())), ignored);
    socket.set_option(ProbeCount(probeCount), ignored);
    socket.set_option(SocketOption(static_cast<int>(patience.count())), ignored);
}

} // namespace Burdockfield
