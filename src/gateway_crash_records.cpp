/**
 * @file gateway_crash_records.cpp
 * @brief System that keeps evidence of crashes in the store, from which gateways that start learn it.
 *
 * Each gateway writes the crashes that it has seen, without the suspects that were answered since. A verdict is written
 * by one gateway. After the store has come back from a copy, each writes its rows again. Rows are read at the start,
 * and after each crash that this gateway has seen, as reports between gateways may be lost. Rows are removed once what
 * they say is outdated.
 */
#include "gateway_func.h"

#include "crash_evidence_func.h"
#include "digest_func.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

constexpr size_t maxRowsOfWrite = 100; ///< Rows that a transaction of the store may have.
/// Least time between writes: 60 gateways together make 120 a second at most, a tenth of what their store allows.
constexpr Milliseconds writeInterval{ 500 };
constexpr Milliseconds writeRetryDelay{ 1000 }; ///< After a failed write.
constexpr Milliseconds readDelay{ 250 }; ///< After a crash; the others that see it have written their rows by then.
constexpr std::chrono::seconds readRetryDelay{ 1 }; ///< After a failed read.
constexpr std::chrono::minutes useInterval{ 1 }; ///< Time after which a verdict that is in use is written again.
constexpr size_t maxReports = 128; ///< Crashes kept, as in the evidence.
constexpr size_t maxAppliedRows = 8192; ///< Rows that are remembered; those of 60 gateways with all their crashes.

void scheduleWrite(CrashStorage &storage, TimePoint now)
{
    storage.writeAt_ = std::min(storage.writeAt_, now);
}

void dropOutdatedReports(CrashStorage &storage, TimePoint now)
{
    for (auto &[start, report] : storage.reports_) {
        if (now - report.at_ > crashRetention && !report.traits_.empty()) {
            report.traits_.clear();
            storage.changedReports_.insert(start);
            scheduleWrite(storage, now);
        }
    }
}

/// @return whether this gateway writes a trait's verdict: the same one for all gateways that hear each other.
bool writesVerdict(const GatewayState &state, TimePoint now, Trait trait)
{
    const uint64_t own = fastHash(state.peerAddress_, trait);
    bool highest = true;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        highest = highest && (!isReachable(peer, now) || fastHash(peer.address_, trait) < own);
    });
    return highest;
}

bool isWritten(const CrashVerdict &written, const CrashVerdict &verdict)
{
    return written.number_ == verdict.number_ && written.withdrawn_ == verdict.withdrawn_
        && (verdict.withdrawn_
            || (written.trials_ == verdict.trials_ && verdict.usedAt_ - written.usedAt_ < useInterval));
}

/// Adds the verdicts that the store does not have as they are, and those that have expired.
void addChangedVerdicts(GatewayState &state, TimePoint now, CrashRecords &records)
{
    CrashStorage &storage = state.crashStorage_;
    for (const auto &[trait, verdict] : state.crashEvidence_.verdicts_) {
        const auto written = storage.verdicts_.find(trait);
        const bool known = written != storage.verdicts_.end() && isWritten(written->second, verdict);
        const bool room = records.verdicts_.size() < maxRowsOfWrite / 2;
        if (!known && room && verdict.number_ > 0 && writesVerdict(state, now, trait)) {
            records.verdicts_.push_back({ trait, verdict });
        }
    }
    std::erase_if(storage.verdicts_, [&state](const auto &item) {
        return item.second.withdrawn_ && !state.crashEvidence_.verdicts_.contains(item.first);
    });
    for (const auto &[trait, written] : storage.verdicts_) {
        const bool room = records.verdicts_.size() < maxRowsOfWrite / 2;
        if (room && !written.withdrawn_ && !state.crashEvidence_.verdicts_.contains(trait)) {
            CrashVerdict expired = written;
            expired.withdrawn_ = true;
            records.verdicts_.push_back({ trait, expired });
        }
    }
}

void addChangedReports(GatewayState &state, CrashRecords &records)
{
    CrashStorage &storage = state.crashStorage_;
    while (!storage.outdated_.empty() && records.crashes_.size() + records.verdicts_.size() < maxRowsOfWrite) {
        records.crashes_.push_back(std::move(storage.outdated_.back()));
        storage.outdated_.pop_back();
    }
    while (!storage.changedReports_.empty() && records.crashes_.size() + records.verdicts_.size() < maxRowsOfWrite) {
        const UpstreamStart start = *storage.changedReports_.begin();
        storage.changedReports_.erase(storage.changedReports_.begin());
        records.crashes_.push_back({ state.name_, storage.reports_.at(start) });
        if (storage.reports_.at(start).traits_.empty()) {
            storage.reports_.erase(start);
        }
    }
}

/// Notes what a finished write has made known to the store, or that it has to be written again.
void applyWriteOutcome(CrashStorage &storage, TimePoint now, const std::string &gateway, bool written)
{
    const CrashRecords records = std::exchange(storage.inFlight_, {});
    storage.writing_ = false;
    storage.writeAt_ = now + (written ? writeInterval : writeRetryDelay);
    for (const VerdictRecord &record : records.verdicts_) {
        if (written) {
            storage.verdicts_[record.trait_] = record.verdict_;
        }
    }
    for (const CrashRecord &record : records.crashes_) {
        if (!written && record.gateway_ == gateway) {
            storage.reports_.try_emplace(record.report_.upstream_, record.report_);
            storage.changedReports_.insert(record.report_.upstream_);
        }
    }
}

/// Writes everything again in a new era of the store, which may have lost it.
void applyEra(GatewayState &state, TimePoint now)
{
    CrashStorage &storage = state.crashStorage_;
    if (state.upstreamsVersion_.era_ <= storage.era_) {
        return;
    }
    storage.era_ = state.upstreamsVersion_.era_;
    storage.verdicts_.clear();
    for (const auto &[start, report] : storage.reports_) {
        storage.changedReports_.insert(start);
    }
    scheduleWrite(storage, now);
}

void applyRecords(GatewayState &state, TimePoint now, const CrashRecords &records, GatewayOutbox &outbox)
{
    CrashStorage &storage = state.crashStorage_;
    for (const VerdictRecord &record : records.verdicts_) {
        storage.verdicts_.try_emplace(record.trait_, record.verdict_); // so that it is removed when it expires
        if (now - record.verdict_.usedAt_ <= verdictRetention) {
            receiveVerdict(state, now, record.trait_, record.verdict_, "store", outbox);
        }
    }
    size_t applied = 0;
    for (const CrashRecord &record : records.crashes_) {
        // Once only: rows lose suspects that were answered, but never get new ones.
        if (!storage.applied_.emplace(record.gateway_, record.report_.upstream_).second) {
            continue;
        }
        if (now - record.report_.at_ > crashRetention) {
            storage.outdated_.push_back({ record.gateway_, { record.report_.upstream_, record.report_.at_, {} } });
            scheduleWrite(storage, now);
            continue;
        }
        if (record.gateway_ == state.name_) {
            storage.reports_.try_emplace(record.report_.upstream_, record.report_); // of an earlier process
        }
        ++applied;
        receiveCrash(state, now, record.report_);
    }
    if (storage.applied_.size() > maxAppliedRows) {
        storage.applied_.clear();
    }
    outbox.decisions_.push_back({ "crash-records-read",
        { { "crashes", std::to_string(records.crashes_.size()) }, { "applied", std::to_string(applied) },
            { "verdicts", std::to_string(records.verdicts_.size()) } } });
}

} // namespace

void keepCrashReport(GatewayState &state, TimePoint now, const CrashReport &report)
{
    CrashStorage &storage = state.crashStorage_;
    CrashReport kept{ report.upstream_, report.at_, {} };
    for (const auto &[trait, depth] : report.traits_) {
        const auto suspect = state.crashEvidence_.suspects_.find(trait);
        if (depth == wholeRequestDepth && suspect != state.crashEvidence_.suspects_.end()) {
            kept.traits_[trait] = depth;
        }
    }
    storage.readAt_ = std::min(storage.readAt_, now + readDelay);
    if (kept.traits_.empty() || storage.reports_.size() >= maxReports) {
        return;
    }
    storage.reports_[kept.upstream_] = kept;
    storage.changedReports_.insert(kept.upstream_);
    scheduleWrite(storage, now);
}

void dropKeptSuspect(GatewayState &state, TimePoint now, Trait trait)
{
    CrashStorage &storage = state.crashStorage_;
    for (auto &[start, report] : storage.reports_) {
        if (report.traits_.erase(trait) > 0) {
            storage.changedReports_.insert(start);
            scheduleWrite(storage, now);
        }
    }
}

void runCrashRecords(GatewayState &state, TimePoint now, const GatewayInbox &inbox, GatewayOutbox &outbox)
{
    CrashStorage &storage = state.crashStorage_;
    for (const CrashRecords &records : inbox.crashRecords_) {
        applyRecords(state, now, records, outbox);
    }
    if (inbox.crashRecordsUnread_) {
        storage.readAt_ = std::min(storage.readAt_, now + readRetryDelay);
    }
    if (inbox.crashRecordsWritten_) {
        applyWriteOutcome(storage, now, state.name_, *inbox.crashRecordsWritten_);
    }
    applyEra(state, now);
    if (now >= storage.readAt_) {
        storage.readAt_ = noDeadline;
        outbox.readCrashRecords_ = true;
    }
    dropOutdatedReports(storage, now);
    if (storage.writing_ || (storage.writeAt_ != noDeadline && now < storage.writeAt_)) {
        return;
    }
    storage.writeAt_ = noDeadline;
    addChangedVerdicts(state, now, storage.inFlight_);
    addChangedReports(state, storage.inFlight_);
    if (!storage.inFlight_.crashes_.empty() || !storage.inFlight_.verdicts_.empty()) {
        storage.writing_ = true;
        outbox.crashRecords_.push_back(storage.inFlight_);
    }
}

TimePoint nextCrashRecordDeadline(const GatewayState &state)
{
    const CrashStorage &storage = state.crashStorage_;
    return std::min(storage.readAt_, storage.writing_ ? noDeadline : storage.writeAt_);
}

} // namespace Burdockfield::Gateway
