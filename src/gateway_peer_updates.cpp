/**
 * @file gateway_peer_updates.cpp
 * @brief System that sends other gateways the counts of calls, quota usage, versions and news.
 *
 * Every peer gets an update at least each heartbeat, which bounds the delay of quota usage. Only brokers and their
 * standbys get the counts of calls, and at once.
 */
#include "gateway_func.h"
#include "gateway_rollout_func.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

constexpr Milliseconds sameRegionInterval{
    15
}; ///< Minimum time between updates within a region; calls take about ten ms.
constexpr size_t maxPeersAtFullRate = 5; ///< With more peers the intervals grow in proportion; the cost stays the same.
constexpr Milliseconds countsInterval{ 3 }; ///< Minimum time between updates with counts to a broker.
constexpr Milliseconds otherRegionInterval{ 40 }; ///< Minimum time to other regions; that traffic is expensive.
constexpr Milliseconds heartbeatInterval{ 200 }; ///< Maximum time between updates; limits the delay of quota usage.
constexpr Milliseconds usageRepetition{ 650 }; ///< Time for which a change of usage is sent: in three heartbeats.
constexpr Milliseconds fullUpdateInterval{ 1000 }; ///< Full updates add name, region, peers and suspects.
/// Time between lists of peers in full updates. Their length grows with the fleet; new peers are listed at once.
constexpr std::chrono::seconds peerListInterval{ 10 };
constexpr std::chrono::seconds newPeerTime{ 3 }; ///< Time for which full updates list all peers after one was added.
constexpr Milliseconds newPeerInterval{ 100 }; ///< Minimum time between full updates that announce new peers.
/// Time for which the brokers of a region get counts after the last call there, so that they learn of its end.
constexpr Milliseconds countedRegionTime{ 1000 };

/// Adds the counts of calls, which are only sent to those that need them.
void addCounts(GatewayState &state, TimePoint now, PeerUpdate &update)
{
    update.hasCounts_ = true;
    update.grantsReceived_ = state.grantsReceived_;
    update.reports_ = std::exchange(state.upstreamReports_, {});
    std::erase_if(state.countedRegions_, [now](const auto &item) { return now - item.second > countedRegionTime; });
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.ownInFlight_ > 0) {
            update.inFlight_[upstream.id_] = upstream.ownInFlight_;
            if (upstream.ownTokens_ > 0 && memoryCapacityOf(state, upstream.service_) > 0) {
                update.memoryTokens_[upstream.id_] = upstream.ownTokens_;
            }
            state.countedRegions_[upstream.region_] = now;
        }
    });
}

/// @param complete whether the update has to hold the usage of all workspaces, not only recent changes
PeerUpdate makePeerUpdate(GatewayState &state, TimePoint now, bool complete)
{
    PeerUpdate update;
    update.incarnation_ = state.incarnation_;
    update.sequence_ = state.nextSequence_++;
    if (now - state.startedAt_ < state.bounds_.quotaWindow_) {
        update.uptime_ = std::chrono::duration_cast<Milliseconds>(now - state.startedAt_);
    }
    update.configurationVersion_ = state.configuration_.version_;
    update.configurationEra_ = state.configurationEra_;
    update.upstreamsVersion_ = state.upstreamsVersion_;
    update.upstreamsDigest_ = state.upstreamsDigest_;
    update.hasCounts_ = false;
    for (const auto &[workspace, quota] : state.quotaByWorkspace_) {
        const bool recent = now - quota.ownChargedAt_ <= usageRepetition;
        if (quota.ownChargedUnits_ > 0 && (complete || recent)) {
            update.chargedUnits_[workspace] = quota.ownChargedUnits_;
        }
    }
    return update;
}

/// @return the minimum time between updates to a peer.
Duration minUpdateInterval(const GatewayState &state, const Peer &peer)
{
    const size_t peers = std::max(state.peers_.size_, maxPeersAtFullRate);
    const Duration interval
        = peer.region_.empty() || peer.region_ == state.region_ ? sameRegionInterval : otherRegionInterval;
    return interval * static_cast<int64_t>(peers) / static_cast<int64_t>(maxPeersAtFullRate);
}

/// @return when the next full update is due: early if it announces a peer that others may not know.
TimePoint nextFullUpdateTime(const GatewayState &state)
{
    const bool hasNewPeer = state.peerAddedAt_ > state.lastFullUpdateAt_;
    return state.lastFullUpdateAt_ + (hasNewPeer ? newPeerInterval : fullUpdateInterval);
}

TimePoint nextUpdateTime(const GatewayState &state, const Peer &peer)
{
    if (peer.countsPending_) {
        return peer.lastSentAt_ + countsInterval;
    }
    const Duration interval = peer.updatePending_ ? minUpdateInterval(state, peer) : Duration(heartbeatInterval);
    return peer.lastSentAt_ + std::min(interval, Duration(heartbeatInterval));
}

void listPeers(const GatewayState &state, PeerUpdate &update)
{
    forEachRow(state.peers_, [&update](PeerId /*id*/, const Peer &peer) { update.peers_.push_back(peer.address_); });
}

/// Peers for which an update is due.
struct UpdateReceivers
{
    std::vector<std::string> withCounts_; ///< Addresses of those that need the counts of calls.
    std::vector<std::string> others_; ///< Addresses of the others.
};

} // namespace

void runPeerUpdates(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    const bool isFullUpdate = now >= nextFullUpdateTime(state);
    std::vector<Peer *> due;
    forEachRow(state.peers_, [&](PeerId /*id*/, Peer &peer) {
        if (isFullUpdate || now >= nextUpdateTime(state, peer)) {
            due.push_back(&peer);
        }
    });
    if (due.empty()) {
        return;
    }
    const std::set<std::string> countReceivers = findCountReceivers(state);
    UpdateReceivers receivers;
    for (Peer *peer : due) {
        const bool needsCounts = countReceivers.empty() || countReceivers.contains(peer->address_);
        (needsCounts ? receivers.withCounts_ : receivers.others_).push_back(peer->address_);
        peer->lastSentAt_ = now;
        peer->updatePending_ = false;
        peer->countsPending_ = false;
    }
    SendUpdate command;
    command.update_ = makePeerUpdate(state, now, isFullUpdate);
    if (isFullUpdate) {
        state.lastFullUpdateAt_ = now;
        command.update_.name_ = state.name_;
        command.update_.region_ = state.region_;
        command.update_.brokerWeight_ = state.announcedBrokerWeight_;
        if (now >= state.peerListDueAt_ || now - state.peerAddedAt_ < newPeerTime) {
            state.peerListDueAt_ = now + peerListInterval;
            listPeers(state, command.update_);
        }
        addLeavingUpstreams(state, command.update_);
        addCrashNews(state, now, command.update_);
        if (!state.rollouts_.empty()) {
            command.update_.rollouts_ = collectRollouts(state);
            command.update_.operatorVersion_ = state.operatorVersion_;
        }
    }
    if (!receivers.others_.empty()) {
        command.addresses_ = std::move(receivers.others_);
        outbox.updates_.push_back(command);
    }
    if (!receivers.withCounts_.empty()) {
        command.addresses_ = std::move(receivers.withCounts_);
        addCounts(state, now, command.update_);
        outbox.updates_.push_back(std::move(command));
    }
}

void markPeerUpdatesPending(GatewayState &state, const std::string &region)
{
    forEachRow(state.peers_, [&region](PeerId /*id*/, Peer &peer) {
        peer.updatePending_ = peer.updatePending_ || region.empty() || peer.region_.empty() || peer.region_ == region;
    });
}

void markCountsPending(GatewayState &state)
{
    for (const std::string &address : findCountReceivers(state)) {
        if (const auto found = state.peerByAddress_.find(address); found != state.peerByAddress_.end()) {
            findRow(state.peers_, found->second)->countsPending_ = true;
        }
    }
}

TimePoint nextPeerDeadline(const GatewayState &state)
{
    TimePoint next = noDeadline;
    for (const auto &[part, schedule] : state.snapshots_) {
        next = std::min(next, std::max(schedule.nextAt_, schedule.busyUntil_));
    }
    if (state.peers_.size_ > 0) {
        next = std::min(next, nextFullUpdateTime(state));
    }
    forEachRow(
        state.peers_, [&](PeerId /*id*/, const Peer &peer) { next = std::min(next, nextUpdateTime(state, peer)); });
    return next;
}

} // namespace Burdockfield::Gateway
