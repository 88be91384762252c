/**
 * @file gateway_daemon_func.h
 * @brief Functions that the parts of a gateway's daemon share. Call them only from its thread.
 */
#pragma once

#include "gateway_daemon_type.h"

#include <system_error>

namespace Burdockfield::Gateway {

/// Posts a tick unless one is posted already, so that one tick handles all events that are ready now.
void scheduleTick(GatewayDaemon &daemon);

/// @return the handlers of a server for peers, operators or the load balancer.
ServerHandlers internalHandlers(GatewayDaemon &daemon, HttpServer &server);

/// @return the reply to a request that can't be decoded.
HttpReply answerBadRequest(std::error_code error);

/// Adds the seeds of the settings as peers.
void addSeedPeers(GatewayDaemon &daemon);

/// Opens the socket for updates of peers. @return success, a SettingsErrc or the error of the system
std::error_code openUpdateSocket(GatewayDaemon &daemon);

/// Receives updates of peers until the update socket is closed.
void receiveUpdates(GatewayDaemon &daemon);

/// Sends an update to peers; one that can't be sent is counted and dropped.
void sendPeerUpdate(GatewayDaemon &daemon, const SendUpdate &command);

/// Sends a message about slots to a peer; one that can't be sent is counted and dropped.
void sendSlotMessage(GatewayDaemon &daemon, const SendSlotMessage &command);

/// Fetches a part of a peer's snapshot.
void fetchSnapshot(GatewayDaemon &daemon, const FetchSnapshot &command);

/// @return the body of the reply to a peer that fetches a part of this gateway's snapshot, or all of it.
std::string encodeSnapshot(GatewayDaemon &daemon, std::optional<SnapshotPart> part);

} // namespace Burdockfield::Gateway
