/**
 * @file gateway_daemon_type.h
 * @brief Daemon of a gateway: its tables, its servers and its clients.
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

constexpr size_t datagramBytes = 60U << 10U; ///< Size of the buffer that a peer's update is received into.

/// Encoded configuration, kept for the peers that fetch it.
struct EncodedConfiguration
{
    uint64_t version_ = 0; ///< Version of the configuration.
    uint64_t era_ = 0; ///< Era of the store in which it was received.
    std::string body_; ///< Body of the reply.
};

/// State and I/O objects of a gateway process.
struct GatewayDaemon
{
    GatewayDaemon(Settings settings, std::string file);

    Settings settings_; ///< Settings read at the start; a reload replaces part of them.
    std::string file_; ///< Path of the settings file.
    std::filesystem::file_time_type fileTime_; ///< Modification time of the settings file when it was last read.
    Asio::io_context io_{ 1 }; ///< Runs all handlers on the only thread.
    GatewayState state_; ///< Tables.
    GatewayInbox inbox_; ///< Events collected for the next tick.
    EncodedConfiguration encodedConfiguration_; ///< The configuration that a peer fetched last.
    TimePoint tickDueAt_{ noDeadline }; ///< When the next tick is due by its timer.
    size_t badRowLines_ = 0; ///< Log lines about malformed rows since the last run of the housekeeping.
    bool tickPosted_ = false; ///< Whether a tick has been posted to io_ and has not run yet.
    bool exiting_ = false; ///< Whether exitTimer_ is running.
    bool exitsImmediately_ = false; ///< Whether the process exits even if requests are in progress.
    Asio::steady_timer tickTimer_{ io_ }; ///< Expires at the next deadline of the tables.
    Asio::steady_timer housekeepingTimer_{ io_ }; ///< Expires when housekeeping is due.
    Asio::steady_timer exitTimer_{ io_ }; ///< Ends the process when it expires.
    Asio::signal_set signals_{ io_, SIGTERM, SIGINT, SIGHUP }; ///< Signals to stop and to reload the settings.
    std::shared_ptr<ServerBudget> budget_ = std::make_shared<ServerBudget>(io_); ///< Memory held for others.
    HttpServer callerServer_; ///< Serves callers.
    HttpServer readyServer_; ///< Serves the load balancer's readiness checks.
    HttpServer peerServer_; ///< Serves snapshots to peers.
    HttpServer metricsServer_; ///< Serves metrics and status to operators.
    UpstreamLink link_; ///< Connections to upstreams.
    HttpClient client_{ io_ }; ///< Makes calls to the store and to peers.
    Platform::StoreFollower follower_; ///< Receives configurations, upstreams and peers from the store.
    Asio::ip::udp::socket updateSocket_{ io_ }; ///< Sends updates to peers and receives theirs.
    Asio::ip::udp::endpoint datagramSender_; ///< Sender of the datagram that is being received.
    std::array<char, datagramBytes> datagram_{}; ///< Datagram that is being received.
};

} // namespace Burdockfield::Gateway
