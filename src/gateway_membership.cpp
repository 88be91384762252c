/**
 * @file gateway_membership.cpp
 * @brief System that keeps the list of upstreams up to date.
 */
#include "digest_func.h"
#include "gateway_func.h"
#include "gateway_replacement_func.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

/// Upstreams that are kept, and removed ones that are remembered; each takes some 650 bytes, and fleets have hundreds.
constexpr size_t maxUpstreams = 8192;
/// Of these, those of services that the configuration does not name, so that rows of others leave room for upstreams.
constexpr size_t maxUnnamedUpstreams = maxUpstreams / 2;
constexpr std::chrono::seconds rejectionLogInterval{ 10 }; ///< Time between log lines about rows left out.
constexpr std::chrono::minutes removedRetention{ 10 }; ///< Longer than an upstream lives on without its row.

void logUpstreamChange(const UpstreamRow &row, const char *change, const std::string &source, GatewayOutbox &outbox)
{
    outbox.decisions_.push_back({ "upstream",
        { { "upstream", row.id_ }, { "change", change }, { "service", row.service_ }, { "address", row.address_ },
            { "source", source } } });
}

/// Restores what the same start of an upstream has said before its row was removed, or after that.
void restoreAnnouncement(const GatewayState &state, Upstream &upstream)
{
    const auto found = state.removedUpstreams_.find(upstream.id_);
    if (found != state.removedUpstreams_.end() && found->second.startedAtMs_ == upstream.startedAtMs_) {
        upstream.announcement_ = found->second.announcement_;
    }
}

/// Adds an upstream. @return false if there is no room for it
bool addUpstream(
    GatewayState &state, TimePoint now, const UpstreamRow &row, const std::string &source, GatewayOutbox &outbox)
{
    const bool named = findService(state.configuration_, row.service_) != nullptr;
    if (state.upstreams_.size_ >= (named ? maxUpstreams : maxUnnamedUpstreams)) {
        count(state.metrics_, "upstream_rows_rejected", source);
        if (now - state.upstreamRejectionLoggedAt_ >= rejectionLogInterval) {
            state.upstreamRejectionLoggedAt_ = now;
            logUpstreamChange(row, "too-many", source, outbox);
        }
        return false;
    }
    Upstream upstream;
    upstream.id_ = row.id_;
    upstream.service_ = row.service_;
    upstream.address_ = row.address_;
    upstream.zone_ = row.zone_;
    upstream.region_ = regionOf(state, row.zone_);
    upstream.slots_ = std::max(1U, row.slots_);
    upstream.startedAtMs_ = row.startedAtMs_;
    upstream.version_ = row.version_;
    upstream.rowVersion_ = row.rowVersion_;
    upstream.versionKnown_ = row.versionKnown_;
    upstream.draining_ = row.draining_;
    restoreAnnouncement(state, upstream);
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        const auto count = peer.inFlight_.find(row.id_);
        upstream.peerInFlight_ += count == peer.inFlight_.end() ? 0 : count->second;
        const auto tokens = peer.memoryTokens_.find(row.id_);
        upstream.peerTokens_ += tokens == peer.memoryTokens_.end() ? 0 : tokens->second;
        for (const PendingGrant &grant : peer.pendingGrants_) {
            if (grant.upstream_ == row.id_) {
                ++upstream.peerInFlight_;
                upstream.peerTokens_ += grant.memoryTokens_;
            }
        }
    });
    const UpstreamId id = insertRow(state.upstreams_, std::move(upstream));
    state.upstreamById_[row.id_] = id;
    logUpstreamChange(row, row.draining_ ? "listed-draining" : "listed", source, outbox);
    recordAddress(state, now, id, outbox);
    return true;
}

/// Forgets the half of the removed upstreams that was removed first.
void forgetOlderHalf(GatewayState &state)
{
    std::vector<TimePoint> times;
    for (const auto &[id, removed] : state.removedUpstreams_) {
        times.push_back(removed.removedAt_);
    }
    const auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    size_t left = times.size() / 2;
    std::erase_if(state.removedUpstreams_, [middle, &left](const auto &item) {
        const bool older = item.second.removedAt_ <= *middle && left > 0;
        left -= older ? 1 : 0;
        return older;
    });
    count(state.metrics_, "upstream_rows_rejected", "removed");
}

void removeUpstream(
    GatewayState &state, TimePoint now, const std::string &id, const std::string &source, GatewayOutbox &outbox)
{
    Upstream *upstream = findUpstream(state, id);
    if (upstream == nullptr) {
        return;
    }
    logUpstreamChange(makeUpstreamRow(*upstream), "removed", source, outbox);
    recordReplacedUpstream(state, now, *upstream, outbox);
    if (state.removedUpstreams_.size() >= maxUpstreams) {
        forgetOlderHalf(state);
    }
    forgetAddress(state, *upstream);
    state.removedUpstreams_[id] = { upstream->startedAtMs_, upstream->announcement_, now };
    eraseRow(state.upstreams_, state.upstreamById_.at(id));
    state.upstreamById_.erase(id);
}

/// @return whether rows may be missing only because the store is, or was recently, unreachable.
bool isStoreRecovering(const GatewayState &state, TimePoint now)
{
    return state.storeUnreachableSince_ != noDeadline
        || now - state.storeReachableSince_ < state.bounds_.rowReturnTimeout_;
}

/// Removes an upstream whose row is missing, unless a store outage may be the cause; then it is kept for a time.
void handleMissingUpstream(
    GatewayState &state, TimePoint now, const std::string &id, const std::string &source, GatewayOutbox &outbox)
{
    Upstream *upstream = findUpstream(state, id);
    if (upstream == nullptr) {
        return;
    }
    if (!upstream->draining_ && isStoreRecovering(state, now)) {
        upstream->missingSince_ = std::min(upstream->missingSince_, now);
        logUpstreamChange(makeUpstreamRow(*upstream), "missing-after-outage", source, outbox);
        return;
    }
    removeUpstream(state, now, id, source, outbox);
}

/**
 * Adds an upstream that a peer misses since an outage of the store, as long as this gateway can't know better: it has
 * no list yet, or recovers from an outage itself. Else its own list says whether the upstream still exists.
 */
void applyMissingRow(
    GatewayState &state, TimePoint now, const UpstreamRow &row, const std::string &source, GatewayOutbox &outbox)
{
    const bool knowsBetter = state.upstreamsVersion_.version_ != 0 && !isStoreRecovering(state, now);
    if (knowsBetter || findUpstream(state, row.id_) != nullptr) {
        return;
    }
    if (addUpstream(state, now, row, source, outbox)) {
        findUpstream(state, row.id_)->missingSince_ = now;
    }
}

void applyUpstreamRow(
    GatewayState &state, TimePoint now, const UpstreamRow &row, const std::string &source, GatewayOutbox &outbox)
{
    if (row.unusable_) { // it is not missing, and won't return as it was
        removeUpstream(state, now, row.id_, source, outbox);
        return;
    }
    if (row.removed_) {
        handleMissingUpstream(state, now, row.id_, source, outbox);
        return;
    }
    if (row.missing_) {
        applyMissingRow(state, now, row, source, outbox);
        return;
    }
    Upstream *upstream = findUpstream(state, row.id_);
    const bool replaced = upstream != nullptr
        && (upstream->startedAtMs_ != row.startedAtMs_ || upstream->address_ != row.address_
            || upstream->service_ != row.service_
            || (row.versionKnown_ && upstream->versionKnown_ && upstream->version_ != row.version_));
    if (replaced) {
        removeUpstream(state, now, row.id_, source, outbox);
        upstream = nullptr;
    }
    if (upstream == nullptr) {
        addUpstream(state, now, row, source, outbox);
        return;
    }
    if (row.versionKnown_ && !upstream->versionKnown_) {
        upstream->version_ = row.version_;
        upstream->rowVersion_ = row.rowVersion_;
        upstream->versionKnown_ = true;
    }
    upstream->missingSince_ = noDeadline;
    recordRowWritten(*upstream, row, outbox);
    upstream->slots_ = std::max(1U, row.slots_);
    if (upstream->draining_ != row.draining_) {
        upstream->draining_ = row.draining_;
        logUpstreamChange(row, row.draining_ ? "draining" : "ready", source, outbox);
    }
}

/// Handles upstreams that a full list lacks in the same way as those whose row was removed.
void handleUnlistedUpstreams(GatewayState &state, TimePoint now, const UpstreamsReceived &event, GatewayOutbox &outbox)
{
    std::set<std::string> listed;
    for (const UpstreamRow &row : event.rows_) {
        listed.insert(row.id_);
    }
    std::vector<std::string> unlisted;
    for (const auto &[id, index] : state.upstreamById_) {
        if (!listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const std::string &id : unlisted) {
        handleMissingUpstream(state, now, id, event.source_, outbox);
    }
}

/// @return a digest of the listed upstreams, the same for the same rows in any order.
uint32_t digestUpstreams(const GatewayState &state)
{
    uint64_t sum = 0;
    forEachRow(state.upstreams_, [&sum](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.missingSince_ != noDeadline) {
            return; // not a row of the store
        }
        const char separator = '\n';
        sum += fastHash(upstream.id_ + separator + upstream.service_ + separator + upstream.address_ + separator
                + std::to_string(upstream.slots_),
            upstream.startedAtMs_ * 2 + (upstream.draining_ ? 1 : 0));
    });
    return static_cast<uint32_t>(sum ^ (sum >> 32U));
}

/**
 * @return whether a list or change shows an older state of the store than the list in use. A reply of the store may be
 * overtaken by the list of a peer that has read it later.
 */
bool isOutdated(const GatewayState &state, const UpstreamsReceived &event)
{
    if (event.fromPeer_) {
        return event.version_ <= state.upstreamsVersion_;
    }
    return event.version_.version_ != 0 && event.version_ < state.upstreamsVersion_;
}

/// Counts the return of the store from a copy as the end of an outage, so that rows have time to be written again.
void recordEra(GatewayState &state, TimePoint now, const UpstreamsReceived &event, GatewayOutbox &outbox)
{
    const StoreVersion &before = state.upstreamsVersion_;
    if (before.version_ == 0 || event.version_.era_ <= before.era_) {
        return;
    }
    state.storeReachableSince_ = now;
    count(state.metrics_, "store_eras", event.fromPeer_ ? "peer" : "store");
    outbox.decisions_.push_back({ "store-era",
        { { "era", std::to_string(event.version_.era_) }, { "before", std::to_string(before.era_) },
            { "version", std::to_string(event.version_.version_) },
            { "version_before", std::to_string(before.version_) }, { "source", event.source_ },
            { "rows", std::to_string(event.rows_.size()) } },
        true });
}

void logList(const GatewayState &state, const UpstreamsReceived &event, const char *change, GatewayOutbox &outbox)
{
    outbox.decisions_.push_back({ "upstream-list",
        { { "change", change }, { "source", event.source_ }, { "era", std::to_string(event.version_.era_) },
            { "version", std::to_string(event.version_.version_) },
            { "own_era", std::to_string(state.upstreamsVersion_.era_) },
            { "own_version", std::to_string(state.upstreamsVersion_.version_) },
            { "rows", std::to_string(event.rows_.size()) } } });
}

void applyUpstreams(GatewayState &state, TimePoint now, const UpstreamsReceived &event, GatewayOutbox &outbox)
{
    const bool news = !event.rows_.empty() || event.fullList_;
    if (isOutdated(state, event)) {
        if (news) {
            logList(state, event, "outdated", outbox);
        }
        return;
    }
    if (event.fullList_) {
        logList(state, event, "read", outbox);
    }
    recordEra(state, now, event, outbox);
    for (const UpstreamRow &row : event.rows_) {
        applyUpstreamRow(state, now, row, event.source_, outbox);
    }
    if (event.fullList_) {
        handleUnlistedUpstreams(state, now, event, outbox);
    }
    state.upstreamsVersion_ = std::max(state.upstreamsVersion_, event.version_);
    const uint32_t digest = news ? digestUpstreams(state) : state.upstreamsDigest_;
    if (std::exchange(state.upstreamsDigest_, digest) != digest) {
        markPeerUpdatesPending(state, {});
    }
}

void applyStoreOutcome(GatewayState &state, TimePoint now, const StoreCallOutcome &event, GatewayOutbox &outbox)
{
    if (!event.reachable_) {
        outbox.decisions_.push_back({ "store-call-failed",
            { { "table", event.table_ }, { "error", event.error_.message() },
                { "took_ms", millisecondsText(event.took_) } },
            true });
    }
    const bool wasReachable = state.storeUnreachableSince_ == noDeadline;
    if (event.reachable_ == wasReachable) {
        return;
    }
    if (event.reachable_) {
        const std::string outage = millisecondsText(now - state.storeUnreachableSince_);
        outbox.decisions_.push_back({ "store-regained", { { "outage_ms", outage } } });
        state.storeUnreachableSince_ = noDeadline;
        state.storeReachableSince_ = now;
        return;
    }
    outbox.decisions_.push_back({ "store-lost", { { "error", event.error_.message() } }, true });
    state.storeUnreachableSince_ = now;
}

/// Removes upstreams whose row is still missing when the time for its return after an outage is over.
void removeMissingUpstreams(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    if (state.storeUnreachableSince_ != noDeadline) {
        return;
    }
    std::vector<std::string> expired;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        const TimePoint since = std::max(upstream.missingSince_, state.storeReachableSince_);
        if (upstream.missingSince_ != noDeadline && now - since >= state.bounds_.rowReturnTimeout_) {
            expired.push_back(upstream.id_);
        }
    });
    for (const std::string &id : expired) {
        removeUpstream(state, now, id, "outage-over", outbox);
    }
}

/// @return what the upstream of a call's latest send has said, whether or not it is still listed; or nullptr.
UpstreamAnnouncement *findAnnouncement(GatewayState &state, const Call &call)
{
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        return &upstream->announcement_;
    }
    const auto removed = state.removedUpstreams_.find(call.triedInstances_.back());
    return removed == state.removedUpstreams_.end() ? nullptr : &removed->second.announcement_;
}

} // namespace

void recordAnnouncement(GatewayState &state, TimePoint now, const Call &call, GatewayOutbox &outbox)
{
    const AnswerHead &head = call.head_;
    const bool pauses = head.upstreamPause_ > Milliseconds(0);
    UpstreamAnnouncement *announcement = head.upstreamLeaving_ || pauses ? findAnnouncement(state, call) : nullptr;
    if (announcement == nullptr) {
        return;
    }
    if (pauses || !announcement->leaving_) {
        outbox.decisions_.push_back({ "upstream-announcement",
            { { "request", call.request_.id_ }, { "upstream", call.triedInstances_.back() },
                { "leaving", head.upstreamLeaving_ ? "yes" : "no" },
                { "pause_ms", millisecondsText(head.upstreamPause_) } } });
    }
    announcement->leaving_ = announcement->leaving_ || head.upstreamLeaving_;
    announcement->pausedUntil_ = std::max(announcement->pausedUntil_, now + head.upstreamPause_);
}

void addLeavingUpstreams(const GatewayState &state, PeerUpdate &update)
{
    forEachRow(state.upstreams_, [&update](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.announcement_.leaving_) {
            update.leaving_.push_back({ upstream.id_, upstream.startedAtMs_ });
        }
    });
}

void applyLeavingUpstreams(GatewayState &state, const PeerUpdate &update, GatewayOutbox &outbox)
{
    for (const UpstreamStart &start : update.leaving_) {
        Upstream *upstream = findUpstream(state, start.id_);
        const bool listed = upstream != nullptr && upstream->startedAtMs_ == start.startedAtMs_;
        if (!listed || upstream->announcement_.leaving_) {
            continue;
        }
        upstream->announcement_.leaving_ = true;
        logUpstreamChange(makeUpstreamRow(*upstream), "leaving", update.name_, outbox);
    }
}

UpstreamRow makeUpstreamRow(const Upstream &upstream)
{
    return { upstream.id_, upstream.service_, upstream.address_, upstream.zone_, upstream.slots_, upstream.startedAtMs_,
        upstream.draining_, false, upstream.missingSince_ != noDeadline, upstream.version_, upstream.rowVersion_,
        upstream.versionKnown_, false };
}

void runMembership(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (const StoreCallOutcome &event : inbox.storeOutcomes_) {
        applyStoreOutcome(state, now, event, outbox);
    }
    for (const UpstreamsReceived &event : inbox.upstreams_) {
        applyUpstreams(state, now, event, outbox);
    }
    removeMissingUpstreams(state, now, outbox);
    if (!inbox.upstreams_.empty()) {
        std::erase_if(state.removedUpstreams_,
            [now](const auto &item) { return now - item.second.removedAt_ > removedRetention; });
    }
}

} // namespace Burdockfield::Gateway
