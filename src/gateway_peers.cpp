/**
 * @file gateway_peers.cpp
 * @brief System that applies what other gateways tell: call counts, quota usage and versions.
 */
#include "address_func.h"
#include "gateway_func.h"
#include "gateway_rollout_func.h"

#include <algorithm>
#include <iterator>

namespace Burdockfield::Gateway {

namespace {

constexpr Milliseconds countsTimeout{ 1000 }; ///< Counts of a peer silent for longer are dropped; it may be down.
constexpr std::chrono::seconds peerRetention{ 30 }; ///< A peer silent for longer is removed; restarts take seconds.
/// Age from which a grant is covered by the counts, or was lost; they are sent at least every heartbeat.
constexpr Milliseconds grantTimeout{ 500 };
constexpr Milliseconds snapshotDelay{ 200 }; ///< Time for the store to deliver a newer version before a peer is asked.
constexpr size_t deliveryBytesPerMs = 5000; ///< Rate at which the store delivers a large configuration.
constexpr Milliseconds snapshotInterval{ 400 }; ///< Minimum time between fetches of a part of a snapshot.
constexpr size_t maxPeers = 1024; ///< Peers that are kept; more than any fleet has.
/// Memory of the names that all peers together have told, 0.15 of the smallest machine's. 50 peers may name 1,400
/// workspaces each.
constexpr size_t maxNameBytes = 13U << 20U;
constexpr size_t nameOverhead = 144; ///< Bytes that an entry of a map takes besides its name.
constexpr size_t maxLoggedAddress = 64; ///< Bytes of an address that are logged.
constexpr std::chrono::seconds rejectionLogInterval{ 10 }; ///< Time between log lines about entries left out.
constexpr std::chrono::seconds snapshotGiveUpTime{ 10 }; ///< Longest fetch; brings 10 MB over the slowest links.

/// Counts what is left out of the tables of peers, and logs it from time to time.
void recordRejection(
    GatewayState &state, TimePoint now, const std::string &address, const char *reason, GatewayOutbox &outbox)
{
    count(state.metrics_, "peer_entries_rejected", reason);
    if (now - state.peerRejectionLoggedAt_ >= rejectionLogInterval) {
        state.peerRejectionLoggedAt_ = now;
        outbox.decisions_.push_back(
            { "peer", { { "peer", address.substr(0, maxLoggedAddress) }, { "change", reason } }, true });
    }
}

/// @return the memory of a map by name.
template<typename Map>
size_t nameBytes(const Map &map)
{
    size_t bytes = 0;
    for (const auto &[name, value] : map) {
        bytes += name.size() + nameOverhead;
    }
    return bytes;
}

/// @return the memory of the names that all peers have told.
size_t allNameBytes(const GatewayState &state)
{
    size_t bytes = 0;
    forEachRow(
        state.peers_, [&bytes](PeerId /*id*/, const Peer &peer) { bytes += peer.nameBytes_ + peer.countBytes_; });
    return bytes;
}

void addPeerTokens(Upstream &upstream, uint64_t tokens, bool add)
{
    upstream.peerTokens_
        = add ? upstream.peerTokens_ + tokens : upstream.peerTokens_ - std::min(upstream.peerTokens_, tokens);
}

/// Adds a peer's calls in flight to the counts at the upstreams, or subtracts them.
void applyPeerCounts(GatewayState &state, const Peer &peer, bool add)
{
    for (const auto &[id, count] : peer.inFlight_) {
        if (Upstream *upstream = findUpstream(state, id); upstream != nullptr) {
            upstream->peerInFlight_ = add ? upstream->peerInFlight_ + count
                                          : upstream->peerInFlight_ - std::min(upstream->peerInFlight_, count);
        }
    }
    for (const auto &[id, tokens] : peer.memoryTokens_) {
        if (Upstream *upstream = findUpstream(state, id); upstream != nullptr) {
            addPeerTokens(*upstream, tokens, add);
        }
    }
}

/// Adds a peer's pending grants to the counts at the upstreams, or subtracts them.
void applyPendingGrants(GatewayState &state, const Peer &peer, bool add)
{
    for (const PendingGrant &grant : peer.pendingGrants_) {
        if (Upstream *upstream = findUpstream(state, grant.upstream_); upstream != nullptr) {
            upstream->peerInFlight_
                = add ? upstream->peerInFlight_ + 1 : upstream->peerInFlight_ - std::min(upstream->peerInFlight_, 1U);
            addPeerTokens(*upstream, grant.memoryTokens_, add);
        }
    }
}

void clearPeerCounts(GatewayState &state, Peer &peer)
{
    applyPeerCounts(state, peer, false);
    applyPendingGrants(state, peer, false);
    peer.inFlight_.clear();
    peer.memoryTokens_.clear();
    peer.countBytes_ = 0;
    peer.pendingGrants_.clear();
}

/// Leaves out the counts at unknown upstreams if those of all peers take too much memory.
void boundCounts(GatewayState &state, TimePoint now, PeerUpdate &update, GatewayOutbox &outbox)
{
    if (allNameBytes(state) + nameBytes(update.inFlight_) + nameBytes(update.memoryTokens_) <= maxNameBytes) {
        return;
    }
    const auto isUnknown = [&state](const auto &item) {
        return findUpstream(state, item.first) == nullptr;
    };
    if (std::erase_if(update.inFlight_, isUnknown) + std::erase_if(update.memoryTokens_, isUnknown) > 0) {
        recordRejection(state, now, update.address_, "unknown-upstreams", outbox);
    }
}

/// Replaces a peer's counts by those of an update, which also cover the grants that the peer has received.
void replacePeerCounts(
    GatewayState &state, TimePoint now, Peer &peer, PeerUpdate &update, bool restarted, GatewayOutbox &outbox)
{
    std::vector<PendingGrant> pending;
    if (!restarted) {
        const auto received = update.grantsReceived_.find(state.incarnation_);
        const uint64_t newest = received == update.grantsReceived_.end() ? 0 : received->second;
        std::copy_if(peer.pendingGrants_.begin(), peer.pendingGrants_.end(), std::back_inserter(pending),
            [newest, now](
                const PendingGrant &grant) { return grant.grant_ > newest && now - grant.at_ < grantTimeout; });
    }
    clearPeerCounts(state, peer);
    boundCounts(state, now, update, outbox);
    peer.inFlight_ = std::move(update.inFlight_);
    peer.memoryTokens_ = std::move(update.memoryTokens_);
    peer.countBytes_ = nameBytes(peer.inFlight_) + nameBytes(peer.memoryTokens_);
    peer.pendingGrants_ = std::move(pending);
    peer.countsAt_ = now;
    applyPeerCounts(state, peer, true);
    applyPendingGrants(state, peer, true);
}

/// Where an address of a peer comes from.
enum class AddressSource : uint8_t {
    Own, ///< The peer's own update, the store or the settings.
    Named, ///< The update of another peer.
};

/// Removes the peer that was named first among those never heard. @return whether there was one
bool removeUnheardPeer(GatewayState &state)
{
    const Peer *oldest = nullptr;
    forEachRow(state.peers_, [&oldest](PeerId /*id*/, const Peer &peer) {
        const bool unheard = peer.lastReceivedAt_ == TimePoint{};
        oldest = unheard && (oldest == nullptr || peer.addedAt_ < oldest->addedAt_) ? &peer : oldest;
    });
    if (oldest == nullptr) {
        return false;
    }
    const auto index = state.peerByAddress_.find(oldest->address_);
    eraseRow(state.peers_, index->second);
    state.peerByAddress_.erase(index);
    return true;
}

/// @return the peer of an address, which is added if it is new, or nullptr if there is no room for it.
Peer *findOrAddPeer(
    GatewayState &state, TimePoint now, const std::string &address, AddressSource source, GatewayOutbox &outbox)
{
    if (const auto found = state.peerByAddress_.find(address); found != state.peerByAddress_.end()) {
        return findRow(state.peers_, found->second);
    }
    if (!parseEndpoint(address)) {
        recordRejection(state, now, address, "no-address", outbox);
        return nullptr;
    }
    if (state.peers_.size_ >= maxPeers && (source == AddressSource::Named || !removeUnheardPeer(state))) {
        recordRejection(state, now, address, "too-many", outbox);
        return nullptr;
    }
    Peer peer;
    peer.address_ = address;
    peer.addedAt_ = now;
    const PeerId id = insertRow(state.peers_, std::move(peer));
    state.peerByAddress_[address] = id;
    state.peerAddedAt_ = now;
    outbox.decisions_.push_back({ "peer", { { "peer", address }, { "change", "learnt" } } });
    return findRow(state.peers_, id);
}

/// @return the share of a peer's usage that precedes this process's start, if it was used evenly; the assumed levels
/// stand for it. All of it for a peer that has run for long.
double usageShareBeforeStart(const GatewayState &state, TimePoint now, const PeerUpdate &update)
{
    if (!update.uptime_) {
        return 1;
    }
    const double own = FractionalSeconds(now - state.startedAt_).count();
    const double peers = FractionalSeconds(*update.uptime_).count();
    return own >= peers ? 0 : 1 - own / peers;
}

/// Keeps the usage that a peer has reported. Without room it is kept for the configured workspaces only.
void keepReportedUsage(GatewayState &state, TimePoint now, Peer &peer, const PeerUpdate &update, GatewayOutbox &outbox)
{
    size_t bytes = allNameBytes(state);
    for (const auto &[workspace, charged] : update.chargedUnits_) { // updates that aren't full hold recent changes only
        const size_t added = workspace.size() + nameOverhead;
        const auto known = peer.chargedUnits_.find(workspace);
        if (known != peer.chargedUnits_.end()) {
            known->second = charged;
        } else if (bytes + added <= maxNameBytes || findWorkspaceByName(state.configuration_, workspace) != nullptr) {
            peer.chargedUnits_[workspace] = charged;
            peer.nameBytes_ += added;
            bytes += added;
        } else {
            recordRejection(state, now, update.address_, "unknown-workspaces", outbox);
        }
    }
}

void chargeReportedUsage(
    GatewayState &state, TimePoint now, Peer &peer, const PeerUpdate &update, GatewayOutbox &outbox)
{
    const bool complete = !update.name_.empty();
    const double oldShare = peer.usageComplete_ ? 0 : usageShareBeforeStart(state, now, update);
    for (const auto &[workspace, charged] : update.chargedUnits_) {
        const auto previous = peer.chargedUnits_.find(workspace);
        const uint64_t base = previous == peer.chargedUnits_.end()
            ? static_cast<uint64_t>(static_cast<double>(charged) * oldShare)
            : previous->second;
        if (charged != base) {
            chargePeerUsage(state, now, peer, workspace, static_cast<int64_t>(charged) - static_cast<int64_t>(base));
        }
    }
    keepReportedUsage(state, now, peer, update, outbox);
    peer.usageComplete_ = peer.usageComplete_ || complete;
}

void applyPeerUpdate(GatewayState &state, TimePoint now, PeerUpdate &update, GatewayOutbox &outbox)
{
    if (update.address_ == state.peerAddress_) {
        return;
    }
    Peer *peer = findOrAddPeer(state, now, update.address_, AddressSource::Own, outbox);
    if (peer == nullptr) {
        return;
    }
    const bool restarted = peer->incarnation_ != 0 && peer->incarnation_ != update.incarnation_;
    if (peer->incarnation_ == update.incarnation_ && update.sequence_ <= peer->sequence_) {
        return;
    }
    if (restarted) {
        peer->chargedUnits_.clear();
        peer->nameBytes_ = 0;
        peer->newestCountedRequest_ = 0;
        peer->usageComplete_ = true; // the process is new, so all that it has charged is recent
        state.lastPeerDisruptionAt_ = now;
    }
    if (now - peer->lastReceivedAt_ > countsTimeout) {
        outbox.decisions_.push_back({ "peer",
            { { "peer", update.address_ }, { "name", peer->name_ }, { "change", "heard" },
                { "configuration", std::to_string(update.configurationVersion_) } } });
    }
    chargeReportedUsage(state, now, *peer, update, outbox);
    if (restarted) {
        peer->brokerWeight_ = 0;
        clearPeerCounts(state, *peer);
    }
    if (update.hasCounts_) {
        replacePeerCounts(state, now, *peer, update, restarted, outbox);
        for (const auto &[id, report] : update.reports_) {
            if (Upstream *upstream = findUpstream(state, id); upstream != nullptr) {
                applyReport(*upstream, now, report);
            }
        }
    }
    if (!update.name_.empty()) {
        peer->name_ = update.name_;
        peer->region_ = update.region_;
        peer->brokerWeight_ = update.brokerWeight_;
        state.brokersReviewAt_ = std::min(state.brokersReviewAt_, now);
        applyLeavingUpstreams(state, update, outbox);
        applyCrashNews(state, now, update, outbox);
        applyPeerRollouts(state, update, outbox);
    }
    peer->incarnation_ = update.incarnation_;
    peer->sequence_ = update.sequence_;
    peer->configurationVersion_ = update.configurationVersion_;
    peer->configurationEra_ = update.configurationEra_;
    peer->upstreamsVersion_ = update.upstreamsVersion_;
    peer->upstreamsDigest_ = update.upstreamsDigest_;
    peer->lastReceivedAt_ = now;
    for (const std::string &address : update.peers_) {
        if (address != state.peerAddress_) {
            findOrAddPeer(state, now, address, AddressSource::Named, outbox);
        }
    }
}

void removeTimedOutPeers(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    std::vector<PeerId> timedOut;
    forEachRow(state.peers_, [&](PeerId id, Peer &peer) {
        const bool hasCounts = !peer.inFlight_.empty() || !peer.pendingGrants_.empty();
        if (hasCounts && now - peer.countsAt_ > countsTimeout) {
            clearPeerCounts(state, peer);
            const bool silent = now - peer.lastReceivedAt_ > countsTimeout;
            outbox.decisions_.push_back(
                { "peer", { { "peer", peer.address_ }, { "change", silent ? "silent" : "counts-outdated" } }, silent });
        }
        if (now - std::max(peer.lastReceivedAt_, peer.addedAt_) > peerRetention) {
            timedOut.push_back(id);
        }
    });
    for (const PeerId id : timedOut) {
        const Peer &peer = *findRow(state.peers_, id);
        outbox.decisions_.push_back({ "peer", { { "peer", peer.address_ }, { "change", "forgotten" } } });
        state.peerByAddress_.erase(peer.address_);
        eraseRow(state.peers_, id);
    }
}

/// @return whether a peer holds something newer of a part of the snapshot.
bool isAhead(const GatewayState &state, const Peer &peer, SnapshotPart part)
{
    if (part == SnapshotPart::Configuration) {
        return isNewerConfiguration(state, peer.configurationVersion_, peer.configurationEra_);
    }
    // Gateways read the store at different times, so that versions differ all the time; lists seldom do.
    const bool hasList = state.upstreamsVersion_.version_ != 0;
    const bool sameList = hasList && peer.upstreamsDigest_ == state.upstreamsDigest_;
    return peer.upstreamsVersion_ > state.upstreamsVersion_ && !sameList;
}

/// @return a random reachable peer that is ahead, if possible of this region, or nullptr.
const Peer *drawPeerAhead(GatewayState &state, TimePoint now, SnapshotPart part)
{
    const Peer *drawn = nullptr;
    bool sameRegion = false;
    uint32_t candidates = 0;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        if (!isAhead(state, peer, part) || !isReachable(peer, now)) {
            return;
        }
        if (peer.region_ == state.region_ && !sameRegion) {
            sameRegion = true;
            candidates = 0;
        }
        if ((peer.region_ == state.region_) == sameRegion && state.random_() % ++candidates == 0) {
            drawn = &peer;
        }
    });
    return drawn;
}

/// @return how long the store may take to deliver a newer version before a peer is asked for it.
Milliseconds deliveryTime(const GatewayState &state, SnapshotPart part)
{
    if (state.configuration_.version_ == 0) {
        return Milliseconds(0);
    }
    const size_t bytes = part == SnapshotPart::Configuration ? state.configurationText_.size() : 0;
    return snapshotDelay + Milliseconds(bytes / deliveryBytesPerMs);
}

/// Fetches a part of a snapshot from a peer that has a newer version, unless the store delivers it in time.
void requestNewerSnapshot(GatewayState &state, TimePoint now, SnapshotPart part, GatewayOutbox &outbox)
{
    SnapshotSchedule &schedule = state.snapshots_[part];
    const Peer *ahead = drawPeerAhead(state, now, part);
    if (ahead == nullptr) {
        schedule.nextAt_ = noDeadline;
        return;
    }
    if (schedule.nextAt_ == noDeadline) {
        schedule.nextAt_ = now + deliveryTime(state, part);
    }
    if (now >= schedule.nextAt_ && now >= schedule.busyUntil_) {
        schedule.nextAt_ = now + snapshotInterval;
        schedule.busyUntil_ = now + snapshotGiveUpTime;
        outbox.snapshotFetches_.push_back({ ahead->address_, part });
    }
}

} // namespace

void runPeers(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (const std::string &address : inbox.peerAddresses_) {
        if (address != state.peerAddress_) {
            findOrAddPeer(state, now, address, AddressSource::Own, outbox);
        }
    }
    for (PeerUpdate &update : inbox.peerUpdates_) {
        applyPeerUpdate(state, now, update, outbox);
    }
    for (const QuotaLevels &levels : inbox.quotaLevels_) {
        applyQuotaLevels(state, now, levels);
    }
    if (reachableGatewayShare(state, now) < 1) {
        state.lastPeerDisruptionAt_ = now;
    }
    removeTimedOutPeers(state, now, outbox);
    for (const SnapshotPart part : inbox.endedSnapshots_) {
        state.snapshots_[part].busyUntil_ = now;
    }
    requestNewerSnapshot(state, now, SnapshotPart::Configuration, outbox);
    requestNewerSnapshot(state, now, SnapshotPart::Upstreams, outbox);
}

bool isReachable(const Peer &peer, TimePoint now)
{
    return now - peer.lastReceivedAt_ < countsTimeout;
}

size_t countReachablePeers(const GatewayState &state, TimePoint now)
{
    size_t reachable = 0;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) { reachable += isReachable(peer, now) ? 1 : 0; });
    return reachable;
}

} // namespace Burdockfield::Gateway
