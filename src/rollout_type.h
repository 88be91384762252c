/**
 * @file rollout_type.h
 * @brief Rollouts of new versions of a service's upstreams: the order, what was sent to the version, what came of it.
 */
#pragma once

#include "store_type.h"
#include "time_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Burdockfield::Gateway {

/// Operator's order to move the calls of a service to upstreams of another version.
struct RolloutOrder
{
    std::string service_; ///< Name of the service.
    std::string version_; ///< Version that is to get the calls.
    Milliseconds duration_{ 0 }; ///< Time from the order to its deadline.
    StoreVersion rowVersion_; ///< Version of the order's row in the store; a later order has a higher one.
};

/// Progress of a rollout. The value never falls for one order, whatever the order of the messages about it.
enum class RolloutState : uint8_t {
    Watching, ///< The new version gets a small share of the calls.
    Stopped, ///< A gateway has found the new version bad; it gets no calls.
    RolledBack, ///< The status row says that the rollout has failed; the new version gets no calls.
    Completed, ///< The status row says that the rollout has succeeded; only the new version gets calls.
};

/// Status row of a rollout.
struct RolloutStatus
{
    std::string service_; ///< Name of the service.
    std::string version_; ///< Version that the rollout was to.
    RolloutState state_ = RolloutState::Watching; ///< Never Stopped, which is no state of the row.
    StoreVersion rowVersion_; ///< Version of the row in the store; lower than that of an order that it precedes.
};

/// Requests that one gateway has assigned to upstreams of a service, for one order and route.
struct ExposureCount
{
    uint64_t total_ = 0; ///< Requests assigned, each counted once whatever its number of sends.
    uint64_t exposed_ = 0; ///< Assignments to the new version, every send counted.
};

/// Outcomes of sends to one version or to all others.
struct VersionOutcomes
{
    uint64_t answers_ = 0; ///< Sends whose outcome is known.
    uint64_t failures_ = 0; ///< Those of them that failed.

    bool operator==(const VersionOutcomes &) const = default;
};

/// Outcomes of sends of one route.
struct RouteEvidence
{
    VersionOutcomes newVersion_; ///< At upstreams of the version that is rolled out.
    VersionOutcomes others_; ///< At all other upstreams of the service.

    bool operator==(const RouteEvidence &) const = default;
};

/// Outcomes by route. Each process only adds to its own.
using RolloutEvidence = std::map<std::string, RouteEvidence>;

/// Outcomes that a peer has reported.
struct PeerEvidence
{
    uint64_t incarnation_ = 0; ///< Start of the peer's process that they belong to.
    RolloutEvidence evidence_; ///< The newest report.
};

/// Rollout of a service, for its newest order.
struct Rollout
{
    RolloutOrder order_;
    RolloutState state_ = RolloutState::Watching;
    /// Whether the service had only this version already when the order was learnt; true at this gateway only.
    bool nothingToMove_ = false;
    std::set<std::string> barred_; ///< Versions that get no calls: failed or unfinished ones, and those replaced.
    std::map<std::string, ExposureCount> exposure_; ///< Assignments of this gateway by route.
    RolloutEvidence ownEvidence_; ///< Outcomes of this gateway's sends.
    std::map<std::string, PeerEvidence> peerEvidence_; ///< Newest reports of peers by address.
    RolloutEvidence evidence_; ///< Outcomes of all gateways.
    TimePoint statusWriteAt_{}; ///< When this gateway may write the status row next, if that is due.
    std::map<std::string, double> failureScores_; ///< Sequential test of the new version by route, see addOutcomes().
};

/// Rollout as a peer knows it.
struct PeerRollout
{
    RolloutOrder order_;
    RolloutState state_ = RolloutState::Watching;
    RolloutEvidence evidence_; ///< Outcomes of the peer's own sends; empty unless the state is Watching.
};

/// Orders and status rows received from the store or a peer.
struct RolloutsReceived
{
    std::vector<RolloutOrder> orders_; ///< New and changed orders.
    std::vector<RolloutStatus> statuses_; ///< New and changed status rows.
    std::vector<PeerRollout> peerRollouts_; ///< Rollouts in a peer's snapshot.
    StoreVersion operatorVersion_; ///< Version of the store up to which the operator's table was read, if it was.
    std::string source_; ///< Where they were received from, for log lines.
};

} // namespace Burdockfield::Gateway
