/**
 * @file gateway_daemon_type.h
 * @brief Daemon of a gateway: its tables and its I/O.
 */
#pragma once

#include "daemon_func.h"
#include "gateway_event_type.h"
#include "gateway_func.h"
#include "http_client.h"
#include "http_server.h"
#include "settings_type.h"
#include "upstream_link.h"

#include "store_follower.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <string>

namespace Burdockfield::Gateway {

constexpr size_t datagramBytes = 60U << 10U; ///< Longest update of a peer.

/// Daemon of a gateway.
struct GatewayDaemon
{
    GatewayDaemon(Settings settings, std::string file);

    Settings settings_; ///< Settings.
    std::string file_; ///< Settings file.
    std::filesystem::file_time_type fileTime_; ///< When the settings file was changed.
    Asio::io_context io_{ 1 }; ///< The only thread.
    GatewayState state_; ///< Tables.
    GatewayInbox inbox_; ///< Inputs of the next tick.
    bool tickPosted_ = false; ///< Whether a tick is on its way.
    bool exiting_ = false; ///< Whether only the last bytes are awaited.
    Asio::steady_timer tickTimer_{ io_ }; ///< Next deadline of the tables.
    Asio::steady_timer houseTimer_{ io_ }; ///< Next look at the settings file.
    Asio::steady_timer exitTimer_{ io_ }; ///< End of the process.
    Asio::signal_set signals_{ io_, SIGTERM, SIGINT, SIGHUP }; ///< Signals that are handled.
    HttpServer callers_; ///< Callers' server.
    HttpServer ready_; ///< Balancer's server.
    HttpServer inner_; ///< Peers' server.
    HttpServer metrics_; ///< Operators' server.
    UpstreamLink link_; ///< Connections to upstreams.
    HttpClient client_{ io_ }; ///< Calls to the store and to peers.
    Platform::StoreFollower follower_; ///< Follows the store.
    Asio::ip::udp::socket updates_{ io_ }; ///< Updates to and from peers.
    Asio::ip::udp::endpoint datagramSender_; ///< Sender of the present datagram.
    std::array<char, datagramBytes> datagram_{}; ///< Present datagram.
};

} // namespace Burdockfield::Gateway
