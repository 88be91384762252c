/**
 * @file socket_func.h
 * @brief Options by which a socket notices a peer that is gone without a word.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Burdockfield {

/**
 * Turns off batching of small writes and bounds the time for which a silent peer is believed in.
 * Options that the system refuses are left as they are.
 */
void hardenSocket(boost::asio::ip::tcp::socket &socket);

} // namespace Burdockfield
