/**
 * @file entry_configuration_sync.cpp
 * @brief System that follows the configuration in the table service.
 *
 * Table `configuration` holds `head` (the newest confirmed change), `change/N` (each confirmed change) and `snapshot`
 * (the whole configuration); confirmation.cpp writes them. Followers apply changes by the code that made the plan and
 * compare digests.
 */
#include "configuration_func.h"
#include "configuration_wire.h"
#include "digest_func.h"
#include "entry_configuration_sync_func.h"
#include "entry_func.h"
#include "entry_membership_func.h"
#include "error_type.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr Milliseconds headInterval{ 4000 }; ///< Time between two reads of the head.
constexpr Milliseconds headHurry{ 50 }; ///< The same while a higher revision is known of.
constexpr Milliseconds peerInterval{ 1000 }; ///< Time between two questions to peers.
constexpr uint64_t changeReadLimit = 32; ///< Revisions behind which the snapshot is read instead.
constexpr size_t recentChangeLimit = 64; ///< Changes kept for peers.

void syncWorkspaces(EntryState &state)
{
    state.workspaceByToken_.clear();
    for (const auto &[name, settings] : state.configuration_.workspaces_) {
        if (!state.workspaceByName_.contains(name)) {
            state.workspaceByName_[name] = insertRow(state.workspaces_, Workspace{});
        }
        const WorkspaceId id = state.workspaceByName_[name];
        Workspace &workspace = *findRow(state.workspaces_, id);
        workspace.name_ = name;
        workspace.tokenDigest_ = settings.tokenDigest_;
        workspace.weight_ = settings.weight_;
        workspace.maxInProgress_ = settings.maxInProgress_;
        workspace.defaultTier_ = settings.defaultTier_;
        workspace.highestRank_ = tierRank(state.configuration_, settings.highestTier_).value_or(0);
        state.workspaceByToken_[settings.tokenDigest_] = id;
    }
}

void syncRoutes(EntryState &state)
{
    for (const auto &[name, settings] : state.configuration_.routes_) {
        if (!state.routeByName_.contains(name)) {
            state.routeByName_[name] = insertRow(state.routes_, Route{});
        }
        Route &route = *findRow(state.routes_, state.routeByName_[name]);
        route.name_ = name;
        route.kind_ = settings.kind_;
        route.retryPolicy_ = settings.retryPolicy_;
    }
    std::erase_if(
        state.routeByName_, [&state](const auto &item) { return !state.configuration_.routes_.contains(item.first); });
}

/// Gives every entry table what the configuration says.
void putInForce(EntryState &state, TimePoint now)
{
    syncWorkspaces(state);
    syncRoutes(state);
    rebuildSubsets(state, now);
    state.sync_.highestKnownRevision_ = std::max(state.sync_.highestKnownRevision_, state.configuration_.revision_);
    setGauge(state.metrics_, "configuration_revision", static_cast<double>(state.configuration_.revision_));
}

/// Reads what follows the configuration in force.
void readNext(EntryState &state, EntryOutbox &outbox)
{
    ConfigurationSync &sync = state.sync_;
    const uint64_t own = state.configuration_.revision_;
    if (sync.changeCall_ != 0 || sync.highestKnownRevision_ <= own) {
        return;
    }
    sync.readingSnapshot_ = own == 0 || sync.highestKnownRevision_ - own > changeReadLimit;
    const std::string key = sync.readingSnapshot_ ? configurationSnapshotKey : configurationChangeKey(own + 1);
    readConfigurationRow(state, sync.changeCall_, key, outbox);
}

void handleHead(EntryState &state, const StoreResult &result, TimePoint now, EntryOutbox &outbox)
{
    state.sync_.headCall_ = 0;
    state.sync_.headDue_ = now + headInterval;
    if (result.error_ || result.rows_.empty() || result.rows_[0].version_ == 0) {
        return;
    }
    ConfirmedChange head;
    if (const std::error_code error = parseConfirmedChange(result.rows_[0].value_, head); error) {
        count(state.metrics_, "configuration_malformed_total", "head");
        return;
    }
    state.sync_.highestKnownRevision_ = std::max(state.sync_.highestKnownRevision_, head.revision_);
    readNext(state, outbox);
}

/// Puts a whole configuration in force if it is newer.
void adoptConfiguration(EntryState &state, Configuration configuration, TimePoint now)
{
    if (configuration.revision_ > state.configuration_.revision_) {
        state.configuration_ = std::move(configuration);
        state.sync_.recentChanges_.clear();
        putInForce(state, now);
    }
}

void takeSnapshot(EntryState &state, const std::string &text, TimePoint now)
{
    Configuration snapshot;
    if (const std::error_code error = parseConfiguration(text, snapshot); error) {
        count(state.metrics_, "configuration_malformed_total", "snapshot");
        return;
    }
    adoptConfiguration(state, std::move(snapshot), now);
}

void handleChangeRow(EntryState &state, const StoreResult &result, TimePoint now, EntryOutbox &outbox)
{
    state.sync_.changeCall_ = 0;
    if (result.error_ || result.rows_.empty() || result.rows_[0].version_ == 0) {
        return;
    }
    const std::string &text = result.rows_[0].value_;
    if (state.sync_.readingSnapshot_) {
        takeSnapshot(state, text, now);
    } else if (ConfirmedChange change; !parseConfirmedChange(text, change)) {
        applyConfirmedChange(state, change, now);
    }
    readNext(state, outbox);
}

void handleStoreReply(EntryState &state, const StoreReplied &event, TimePoint now, EntryOutbox &outbox)
{
    if (event.call_ == state.sync_.headCall_) {
        handleHead(state, event.result_, now, outbox);
    } else if (event.call_ == state.sync_.changeCall_) {
        handleChangeRow(state, event.result_, now, outbox);
    }
}

void handlePeerChanges(EntryState &state, const PeerChangesReceived &event, TimePoint now)
{
    state.sync_.peerRequestPending_ = false;
    state.sync_.requestWholeConfiguration_ = event.changes_.empty();
    for (const ConfirmedChange &change : event.changes_) {
        if (change.revision_ > state.configuration_.revision_ && !applyConfirmedChange(state, change, now)) {
            return;
        }
    }
}

void handlePeerConfiguration(EntryState &state, const PeerConfigurationReceived &event, TimePoint now)
{
    state.sync_.peerRequestPending_ = false;
    state.sync_.requestWholeConfiguration_ = false;
    if (!event.error_) {
        adoptConfiguration(state, event.configuration_, now);
    }
}

/// Asks a random peer when a higher revision is known of, or none, and the table service has not given it.
void askPeer(EntryState &state, TimePoint now, EntryOutbox &outbox)
{
    ConfigurationSync &sync = state.sync_;
    if (!shouldFetchFromPeer(state) || sync.peerDue_ > now) {
        return;
    }
    sync.peerRequestPending_ = true;
    sync.peerDue_ = now + peerInterval;
    std::uniform_int_distribution<size_t> pick(0, state.peers_.size() - 1);
    const bool whole = sync.requestWholeConfiguration_ || state.configuration_.revision_ == 0;
    outbox.peerFetches_.push_back({ state.peers_[pick(state.random_)], state.configuration_.revision_, whole });
}

} // namespace

std::string configurationChangeKey(uint64_t revision)
{
    return "change/" + std::to_string(revision);
}

bool applyConfirmedChange(EntryState &state, const ConfirmedChange &change, TimePoint now)
{
    if (const std::error_code error = replayChange(state.configuration_, change); error) {
        if (error == PlanErrc::Diverged) {
            count(state.metrics_, "configuration_diverged_total", "replay");
        }
        return false;
    }
    state.sync_.recentChanges_.push_back(change);
    if (state.sync_.recentChanges_.size() > recentChangeLimit) {
        state.sync_.recentChanges_.pop_front();
    }
    putInForce(state, now);
    return true;
}

void readConfigurationRow(EntryState &state, uint64_t &call, const std::string &key, EntryOutbox &outbox)
{
    call = state.nextCall_++;
    outbox.storeReads_.push_back({ call, { configurationTable, key } });
}

void runConfiguration(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox)
{
    for (const PeerChangesReceived &event : inbox.peerChanges_) {
        handlePeerChanges(state, event, now);
    }
    for (const PeerConfigurationReceived &event : inbox.peerConfigurations_) {
        handlePeerConfiguration(state, event, now);
    }
    for (const StoreReplied &event : inbox.storeReplies_) {
        handleStoreReply(state, event, now, outbox);
    }
    ConfigurationSync &sync = state.sync_;
    if (sync.highestKnownRevision_ > state.configuration_.revision_) {
        sync.headDue_ = std::min(sync.headDue_, now + headHurry);
    }
    askPeer(state, now, outbox);
    if (sync.headCall_ == 0 && sync.headDue_ <= now) {
        readConfigurationRow(state, sync.headCall_, configurationHeadKey, outbox);
    }
}

bool shouldFetchFromPeer(const EntryState &state)
{
    const uint64_t own = state.configuration_.revision_;
    const bool behind = own == 0 || state.sync_.highestKnownRevision_ > own;
    return behind && !state.sync_.peerRequestPending_ && !state.peers_.empty();
}

std::vector<ConfirmedChange> changesAfter(const EntryState &state, uint64_t revision)
{
    std::vector<ConfirmedChange> changes;
    for (const ConfirmedChange &change : state.sync_.recentChanges_) {
        if (change.revision_ > revision) {
            changes.push_back(change);
        }
    }
    const bool gapless = !changes.empty() && changes.front().revision_ == revision + 1;
    return gapless ? changes : std::vector<ConfirmedChange>{};
}

} // namespace Burdockfield
