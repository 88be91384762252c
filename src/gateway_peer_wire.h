/**
 * @file gateway_peer_wire.h
 * @brief JSON encoding of the messages between gateways.
 */
#pragma once

#include "gateway_event_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield::Gateway {

/// GET returns configuration, upstreams and quotas, or the part that the query `part` names.
constexpr std::string_view snapshotPath = "/v1/snapshot";

/// State that a gateway fetches from a peer when the store does not deliver it.
struct Snapshot
{
    std::string configurationText_; ///< Configuration as the operator wrote it; empty if there is none.
    std::optional<uint64_t> configurationVersion_; ///< Its version; the release before doesn't tell it.
    uint64_t configurationEra_ = 0; ///< Era of the store in which it was received.
    std::optional<UpstreamsReceived> upstreams_; ///< Full list of upstreams, if the snapshot has it.
    std::optional<RolloutsReceived> rollouts_; ///< Rollouts, with the list of upstreams.
    QuotaLevels quotas_; ///< Units left of each workspace's quota.
};

/// Encodes an update, except its sender's address, which the receiver takes from the datagram.
std::string serializePeerUpdate(const PeerUpdate &update);

/// Parses an update; address_ is left unchanged. @return a WireErrc on bad input
std::error_code parsePeerUpdate(std::string_view text, PeerUpdate &update);

/// @return a snapshot of a gateway's configuration, upstreams and quotas; only of @p part if one is given.
Snapshot makeSnapshot(const GatewayState &state, std::optional<SnapshotPart> part = std::nullopt);

/// @return the path and query that fetch a part of a snapshot.
std::string makeSnapshotTarget(SnapshotPart part);

/// Parses the query `part`. @return the part, or nothing for a whole snapshot
std::optional<SnapshotPart> parseSnapshotPart(const std::string &name);

/// Encodes a snapshot.
std::string serializeSnapshot(const Snapshot &snapshot);

/// Parses a snapshot; its upstreams are marked as a full list. @return a WireErrc on bad input
std::error_code parseSnapshot(std::string_view text, Snapshot &snapshot);

} // namespace Burdockfield::Gateway
