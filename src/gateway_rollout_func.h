/**
 * @file gateway_rollout_func.h
 * @brief Rollouts as a gateway carries them out: which upstreams may get calls of a service.
 */
#pragma once

#include "gateway_func.h"

namespace Burdockfield::Gateway {

/// Applies orders and status rows, and finds which versions of each service are in use.
void runRollouts(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox);

/// Writes the status rows of rollouts that have been stopped, if this gateway is the one to do so.
void runRolloutStatuses(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// @return when a status row has to be written next.
TimePoint nextRolloutDeadline(const GatewayState &state);

/**
 * @return whether an upstream has a version that its service did not have, and its order may not be known yet. Its row
 * was written after its order, so that the order is known once the operator's table was read up to the row.
 */
bool isHeldBack(const GatewayState &state, const Upstream &upstream);

/// @return whether the rollout of an upstream's service allows calls to the upstream's version at all.
bool mayUse(const GatewayState &state, const Upstream &upstream);

/// @return whether a call of a route may be assigned to an upstream now; its version may be limited to a share.
bool mayAssign(const GatewayState &state, const Upstream &upstream, const std::string &route);

/// @return how many calls may be assigned to an upstream because of its version; the largest number without a limit.
uint32_t assignableCalls(const GatewayState &state, const Upstream &upstream);

/// @return the route under which a call is counted; empty unless a version of its service is limited.
std::string countedRoute(const GatewayState &state, const Call &call);

/// Counts an assignment to an upstream. @param firstAssignment whether the request has not been counted before
void countAssignment(GatewayState &state, const Upstream &upstream, const std::string &route, bool firstAssignment);

/// Records an outcome of a call's send as evidence about its upstream's version.
void recordVersionOutcome(
    GatewayState &state, const Call &call, const Upstream &upstream, bool failed, GatewayOutbox &outbox);

/// @return the rollouts that this gateway knows, for peers.
std::vector<PeerRollout> collectRollouts(const GatewayState &state);

/// Applies the rollouts that a peer has sent in a full update.
void applyPeerRollouts(GatewayState &state, const PeerUpdate &update, GatewayOutbox &outbox);

} // namespace Burdockfield::Gateway
