/**
 * @file gateway_peer_wire.h
 * @brief JSON of what gateways tell each other.
 */
#pragma once

#include "gateway_event_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield::Gateway {

constexpr std::string_view snapshotPath = "/v1/snapshot"; ///< Configuration and upstreams of a gateway, by GET.

/// What a gateway that cannot reach the store takes from a peer.
struct Snapshot
{
    std::string configurationText_; ///< Configuration as the operator wrote it, or empty.
    UpstreamsReceived upstreams_; ///< Whole list of upstreams.
    QuotaLevels quotas_; ///< Levels of quotas.
};

/// @return JSON of an update.
std::string serializePeerUpdate(const PeerUpdate &update);

/// Parses an update, but for the address of its sender. @return a WireErrc on bad input
std::error_code parsePeerUpdate(std::string_view text, PeerUpdate &update);

/// @return the snapshot of a gateway's tables.
Snapshot makeSnapshot(const GatewayState &state);

/// @return JSON of a snapshot.
std::string serializeSnapshot(const Snapshot &snapshot);

/// Parses a snapshot. @return a WireErrc on bad input
std::error_code parseSnapshot(std::string_view text, Snapshot &snapshot);

} // namespace Burdockfield::Gateway
