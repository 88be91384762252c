/**
 * @file gateway_peers.cpp
 * @brief Systems that share counts, quota use and versions between gateways.
 */
#include "gateway_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr Milliseconds countsExpiry{ 1000 }; ///< Counts of a peer silent for longer no longer hold; it may have died.
constexpr std::chrono::seconds peerRetention{ 30 }; ///< A peer silent for longer is forgotten; restarts take seconds.
constexpr Milliseconds nearInterval{ 15 }; ///< Least time between updates in a region, for calls of some ten ms.
constexpr size_t peersAtFullRate = 5; ///< With more peers updates are as much rarer, so that their cost stays.
constexpr Milliseconds farInterval{ 40 }; ///< Least time between updates to another region, whose bytes are dear.
constexpr Milliseconds heartbeat{ 200 }; ///< Longest time between updates; bounds the lag of quotas.
constexpr Milliseconds introductionInterval{ 1000 }; ///< Time between lists of peers.
constexpr Milliseconds snapshotDelay{ 200 }; ///< Time that the store's own feed gets to bring what a peer has.
constexpr Milliseconds snapshotInterval{ 400 }; ///< Least time between fetches of snapshots.

void addPeerCounts(GatewayState &state, const Peer &peer, bool add)
{
    for (const auto &[id, count] : peer.inFlight_) {
        if (Upstream *upstream = findUpstream(state, id); upstream != nullptr) {
            upstream->peerInFlight_ = add ? upstream->peerInFlight_ + count
                                          : upstream->peerInFlight_ - std::min(upstream->peerInFlight_, count);
        }
    }
}

void clearCounts(GatewayState &state, Peer &peer)
{
    addPeerCounts(state, peer, false);
    peer.inFlight_.clear();
}

PeerId learnPeer(GatewayState &state, TimePoint now, const std::string &address, GatewayOutbox &outbox)
{
    if (const auto found = state.peerByAddress_.find(address); found != state.peerByAddress_.end()) {
        return found->second;
    }
    Peer peer;
    peer.address_ = address;
    peer.addedAt_ = now;
    const PeerId id = insertRow(state.peers_, std::move(peer));
    state.peerByAddress_[address] = id;
    outbox.decisions_.push_back({ "peer", { { "peer", address }, { "change", "learnt" } } });
    return id;
}

void takeUse(GatewayState &state, TimePoint now, Peer &peer, const PeerUpdate &update, bool firstHeard)
{
    for (const auto &[workspace, used] : update.chargedUnits_) {
        const auto before = peer.chargedUnits_.find(workspace);
        // What a peer had used before it was first heard may be long ago, so that only differences are charged.
        const uint64_t base = before == peer.chargedUnits_.end() ? (firstHeard ? used : 0) : before->second;
        if (used != base) {
            chargePeerUsage(state, now, workspace, static_cast<int64_t>(used) - static_cast<int64_t>(base));
        }
    }
    peer.chargedUnits_ = update.chargedUnits_;
}

void applyUpdate(GatewayState &state, TimePoint now, PeerUpdate &update, GatewayOutbox &outbox)
{
    if (update.address_ == state.peerAddress_) {
        return;
    }
    Peer *peer = findRow(state.peers_, learnPeer(state, now, update.address_, outbox));
    const bool restarted = peer->incarnation_ != 0 && peer->incarnation_ != update.incarnation_;
    if (peer->incarnation_ == update.incarnation_ && update.sequence_ <= peer->sequence_) {
        return;
    }
    if (restarted) {
        peer->chargedUnits_.clear();
        state.lastPeerDisruptionAt_ = now;
    }
    if (now - peer->lastReceivedAt_ > countsExpiry) {
        outbox.decisions_.push_back({ "peer",
            { { "peer", update.address_ }, { "name", peer->name_ }, { "change", "heard" },
                { "configuration", std::to_string(update.configurationVersion_) } } });
    }
    takeUse(state, now, *peer, update, peer->incarnation_ == 0);
    clearCounts(state, *peer);
    peer->inFlight_ = std::move(update.inFlight_);
    addPeerCounts(state, *peer, true);
    if (!update.name_.empty()) {
        peer->name_ = update.name_;
        peer->region_ = update.region_;
        peer->suspects_ = std::move(update.suspects_);
    }
    peer->incarnation_ = update.incarnation_;
    peer->sequence_ = update.sequence_;
    peer->configurationVersion_ = update.configurationVersion_;
    peer->upstreamsVersion_ = update.upstreamsVersion_;
    peer->lastReceivedAt_ = now;
    for (const std::string &address : update.peers_) {
        if (address != state.peerAddress_) {
            learnPeer(state, now, address, outbox);
        }
    }
}

void forgetSilentPeers(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    std::vector<PeerId> forgotten;
    forEachRow(state.peers_, [&](PeerId id, Peer &peer) {
        if (!peer.inFlight_.empty() && now - peer.lastReceivedAt_ > countsExpiry) {
            clearCounts(state, peer);
            outbox.decisions_.push_back({ "peer", { { "peer", peer.address_ }, { "change", "silent" } }, true });
        }
        if (now - std::max(peer.lastReceivedAt_, peer.addedAt_) > peerRetention) {
            forgotten.push_back(id);
        }
    });
    for (const PeerId id : forgotten) {
        const Peer &peer = *findRow(state.peers_, id);
        outbox.decisions_.push_back({ "peer", { { "peer", peer.address_ }, { "change", "forgotten" } } });
        state.peerByAddress_.erase(peer.address_);
        eraseRow(state.peers_, id);
    }
}

/// Asks a peer that holds something newer, once the store has had the time to bring it.
void catchUp(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    const Peer *ahead = nullptr;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        const bool newer = peer.configurationVersion_ > state.configuration_.version_
            || peer.upstreamsVersion_ > state.upstreamsVersion_;
        if (newer && now - peer.lastReceivedAt_ < countsExpiry) {
            ahead = &peer;
        }
    });
    if (ahead == nullptr) {
        state.nextSnapshotAt_ = noDeadline;
        return;
    }
    if (state.nextSnapshotAt_ == noDeadline) {
        state.nextSnapshotAt_ = now + (state.configuration_.version_ == 0 ? Milliseconds(0) : snapshotDelay);
    }
    if (now >= state.nextSnapshotAt_) {
        state.nextSnapshotAt_ = now + snapshotInterval;
        outbox.snapshotFetches_.push_back({ ahead->address_ });
    }
}

PeerUpdate describeState(GatewayState &state)
{
    PeerUpdate update;
    update.incarnation_ = state.incarnation_;
    update.sequence_ = state.nextSequence_++;
    update.configurationVersion_ = state.configuration_.version_;
    update.upstreamsVersion_ = state.upstreamsVersion_;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.ownInFlight_ > 0) {
            update.inFlight_[upstream.id_] = upstream.ownInFlight_;
        }
    });
    for (const auto &[workspace, use] : state.workspaces_) {
        if (use.ownChargedUnits_ > 0) {
            update.chargedUnits_[workspace] = use.ownChargedUnits_;
        }
    }
    return update;
}

/// @return the least time between updates to a peer.
Duration spacingFor(const GatewayState &state, const Peer &peer)
{
    const size_t peers = std::max(state.peers_.size_, peersAtFullRate);
    const Duration spacing = peer.region_.empty() || peer.region_ == state.region_ ? nearInterval : farInterval;
    return spacing * static_cast<int64_t>(peers) / static_cast<int64_t>(peersAtFullRate);
}

TimePoint nextUpdateFor(const GatewayState &state, const Peer &peer)
{
    const Duration silence = peer.updatePending_ ? spacingFor(state, peer) : Duration(heartbeat);
    return peer.lastSentAt_ + std::min(silence, Duration(heartbeat));
}

} // namespace

void runPeers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (const std::string &address : inbox.peerAddresses_) {
        if (address != state.peerAddress_) {
            learnPeer(state, now, address, outbox);
        }
    }
    for (PeerUpdate &update : inbox.peerUpdates_) {
        applyUpdate(state, now, update, outbox);
    }
    for (const QuotaLevels &levels : inbox.quotaLevels_) {
        applyQuotaLevels(state, now, levels);
    }
    if (reachableGatewayShare(state, now) < 1) {
        state.lastPeerDisruptionAt_ = now;
    }
    forgetSilentPeers(state, now, outbox);
    catchUp(state, now, outbox);
}

void runPeerUpdates(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    const bool introduces = now - state.lastFullUpdateAt_ >= introductionInterval;
    SendUpdate command;
    std::vector<std::string> all;
    forEachRow(state.peers_, [&](PeerId /*id*/, Peer &peer) {
        all.push_back(peer.address_);
        if (introduces || now >= nextUpdateFor(state, peer)) {
            command.addresses_.push_back(peer.address_);
            peer.lastSentAt_ = now;
            peer.updatePending_ = false;
        }
    });
    if (command.addresses_.empty()) {
        return;
    }
    command.update_ = describeState(state);
    if (introduces) {
        state.lastFullUpdateAt_ = now;
        command.update_.name_ = state.name_;
        command.update_.region_ = state.region_;
        command.update_.peers_ = std::move(all);
        command.update_.suspects_ = recentCrashSuspects(state, now);
    }
    outbox.updates_.push_back(std::move(command));
}

void markPeerUpdatesPending(GatewayState &state, const std::string &region)
{
    forEachRow(state.peers_, [&region](PeerId /*id*/, Peer &peer) {
        peer.updatePending_ = peer.updatePending_ || region.empty() || peer.region_.empty() || peer.region_ == region;
    });
}

TimePoint nextPeerDeadline(const GatewayState &state)
{
    TimePoint next = state.nextSnapshotAt_;
    forEachRow(
        state.peers_, [&](PeerId /*id*/, const Peer &peer) { next = std::min(next, nextUpdateFor(state, peer)); });
    return next;
}

} // namespace Burdockfield::Gateway
