/**
 * @file socket_func.h
 * @brief Options by which a socket notices a peer that is gone without a word.
 */
#pragma once

#include "time_type.h"

#include <boost/asio/ip/tcp.hpp>

namespace Burdockfield {

/// Time for which a node that is called may leave bytes unacknowledged; callers leave a stream after two seconds.
constexpr Milliseconds calledNodePatience{ 2000 };

/// Time for which a caller may take no bytes: as long as callers wait for an answer. One that reads slowly isn't gone.
constexpr Milliseconds callerPatience{ 10000 };

/**
 * Turns off batching of small writes and bounds the time for which a silent peer is believed in.
 * Options that the system refuses are left as they are.
 * @param patience how long the peer may leave bytes unacknowledged, or take none
 */
void hardenSocket(boost::asio::ip::tcp::socket &socket, Milliseconds patience);

} // namespace Burdockfield
