/**
 * @file socket_func.h
 * @brief Socket options that detect a peer that disappeared without closing its connection, and bound what is unread.
 */
#pragma once

#include "time_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace Burdockfield {

/// TCP user timeout towards a called node; callers abandon a stream after two seconds.
constexpr Milliseconds outgoingUserTimeout{ 2000 };

/// TCP user timeout towards a caller: as long as callers wait for an answer, since a slow reader isn't gone.
constexpr Milliseconds incomingUserTimeout{ 10000 };

/**
 * Sets TCP_NODELAY, keep-alive probes and the TCP user timeout. Options that the system rejects are skipped.
 * @param userTimeout longest time for which sent bytes may stay unacknowledged, or the peer may accept none
 */
void configureSocket(boost::asio::ip::tcp::socket &socket, Milliseconds userTimeout);

/// Bytes that the kernel may hold of an answer that has not been read yet. 100 Mbit/s at a round trip of 5 ms; without
/// a limit, the kernel grows the buffer of a fast connection to some MB.
constexpr size_t upstreamReceiveBytes = 64U << 10U;

/// Opens the socket of a connection to an upstream, with a bounded receive buffer.
void openBoundedSocket(boost::asio::ip::tcp::socket &socket, const boost::asio::ip::tcp::endpoint &endpoint);

/// @return the time since a connection last received data from its peer, or 0 if the system doesn't tell it.
Milliseconds timeSinceReceipt(boost::asio::ip::tcp::socket &socket);

/**
 * @return whether the peer's machine has acknowledged something on a configured connection so recently that no
 * keep-alive probe can have remained unanswered. False for a connection that is not established.
 */
bool isAcknowledged(boost::asio::ip::tcp::socket &socket);

} // namespace Burdockfield
