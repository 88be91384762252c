/**
 * @file gateway_status_wire.cpp
 * @brief JSON of a gateway's view of upstreams, peers, quotas and versions.
 */
#include "gateway_status_wire.h"

#include "gateway_func.h"
#include "gateway_rollout_func.h"
#include "json_func.h"
#include "rollout_func.h"

namespace Burdockfield::Gateway {

namespace {

int64_t ageMs(TimePoint since, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - since).count();
}

Json::object describe(const GatewayState &state, const Upstream &upstream, TimePoint now)
{
    return { { "id", upstream.id_ }, { "service", upstream.service_ }, { "address", upstream.address_ },
        { "zone", upstream.zone_ }, { "slots", upstream.slots_ }, { "version", upstream.version_ },
        { "usable_version", mayUse(state, upstream) }, { "draining", upstream.draining_ },
        { "own_in_flight", upstream.ownInFlight_ }, { "peer_in_flight", upstream.peerInFlight_ },
        { "failure_rate", failureRateAt(upstream, now) }, { "avoided", upstream.avoidUntil_ > now },
        { "missing", upstream.missingSince_ != noDeadline }, { "leaving", upstream.announcement_.leaving_ },
        { "paused", upstream.announcement_.pausedUntil_ > now } };
}

Json::object describe(const Peer &peer, TimePoint now)
{
    return { { "address", peer.address_ }, { "name", peer.name_ }, { "configuration", peer.configurationVersion_ },
        { "upstreams", peer.upstreamsVersion_.version_ }, { "store_era", peer.upstreamsVersion_.era_ },
        { "heard_ms_ago", peer.name_.empty() ? Json::value(nullptr) : Json::value(ageMs(peer.lastReceivedAt_, now)) } };
}

Json::object describe(const Rollout &rollout)
{
    Json::array routes;
    for (const auto &[route, count] : rollout.exposure_) {
        routes.push_back(
            Json::object{ { "route", route }, { "assigned_here", count.total_ }, { "exposed_here", count.exposed_ } });
    }
    for (const auto &[route, evidence] : rollout.evidence_) {
        routes.push_back(Json::object{ { "route", route }, { "new_answers", evidence.newVersion_.answers_ },
            { "new_failures", evidence.newVersion_.failures_ }, { "other_answers", evidence.others_.answers_ },
            { "other_failures", evidence.others_.failures_ } });
    }
    return { { "service", rollout.order_.service_ }, { "version", rollout.order_.version_ },
        { "order", rollout.order_.rowVersion_.version_ }, { "state", std::string(nameOfState(rollout.state_)) },
        { "routes", std::move(routes) } };
}

} // namespace

std::string serializeGatewayStatus(const GatewayState &state, TimePoint now)
{
    Json::array upstreams;
    forEachRow(state.upstreams_,
        [&](UpstreamId /*id*/, const Upstream &upstream) { upstreams.push_back(describe(state, upstream, now)); });
    Json::array peers;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) { peers.push_back(describe(peer, now)); });
    Json::array workspaces;
    for (const auto &[name, quota] : state.quotaByWorkspace_) {
        workspaces.push_back(Json::object{ { "name", name }, { "units_left", quota.level_ },
            { "age_ms", ageMs(quota.levelAt_, now) }, { "units_here", quota.ownChargedUnits_ } });
    }
    Json::array rollouts;
    for (const auto &[service, rollout] : state.rollouts_) {
        rollouts.push_back(describe(rollout));
    }
    const Json::object configuration{ { "version", state.configuration_.version_ },
        { "age_ms", ageMs(state.configurationAppliedAt_, now) } };
    const Json::object status{ { "name", state.name_ }, { "ready", isReady(state) }, { "stopping", state.stopping_ },
        { "calls", state.calls_.size_ }, { "waiting", state.waiting_.size() }, { "configuration", configuration },
        { "upstreams_version", state.upstreamsVersion_.version_ }, { "store_era", state.upstreamsVersion_.era_ },
        { "store_reachable", state.storeUnreachableSince_ == noDeadline },
        { "heard_share", reachableGatewayShare(state, now) }, { "upstreams", std::move(upstreams) },
        { "peers", std::move(peers) }, { "workspaces", std::move(workspaces) }, { "rollouts", std::move(rollouts) },
        { "orders_version", state.operatorVersion_.version_ } };
    return Json::serialize(status);
}

} // namespace Burdockfield::Gateway
