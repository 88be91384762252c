/**
 * @file gateway_peer_wire.h
 * @brief JSON encoding of the messages between gateways.
 */
#pragma once

#include "gateway_event_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield::Gateway {

constexpr std::string_view snapshotPath = "/v1/snapshot"; ///< GET returns configuration, upstreams and quotas.

/// State that a gateway fetches from a peer when the store does not deliver it.
struct Snapshot
{
    std::string configurationText_; ///< Configuration as the operator wrote it; empty if there is none.
    UpstreamsReceived upstreams_; ///< Full list of upstreams.
    QuotaLevels quotas_; ///< Units left of each workspace's quota.
};

/// Encodes an update, except its sender's address, which the receiver takes from the datagram.
std::string serializePeerUpdate(const PeerUpdate &update);

/// Parses an update; address_ is left unchanged. @return a WireErrc on bad input
std::error_code parsePeerUpdate(std::string_view text, PeerUpdate &update);

/// @return a snapshot of a gateway's configuration, upstreams and quotas.
Snapshot makeSnapshot(const GatewayState &state);

/// Encodes a snapshot.
std::string serializeSnapshot(const Snapshot &snapshot);

/// Parses a snapshot; its upstreams are marked as a full list. @return a WireErrc on bad input
std::error_code parseSnapshot(std::string_view text, Snapshot &snapshot);

} // namespace Burdockfield::Gateway
