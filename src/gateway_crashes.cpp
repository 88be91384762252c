/**
 * @file gateway_crashes.cpp
 * @brief System that finds out which requests crash the upstreams that answer them, and has them refused.
 *
 * A broken connection alone is no evidence, because upstreams also reset single calls. An upstream has crashed if it
 * refuses connections shortly after calls broke there, or if its row ends or another start takes its place before it
 * has answered a later call. If something else accepts connections at its address, only the latter are seen. Upstreams
 * that are silent or cut off refuse nothing, and those that leave are left out. Gateways tell each other which calls
 * were at a crash, so that a crash counts once, and of which suspects they have received answers.
 */
#include "gateway_func.h"

#include "crash_evidence_func.h"
#include "digest_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr Milliseconds crashWindow{ 2000 }; ///< Longest time from a broken call to a crash that it may have caused.
/// Longest time until the end of a start is known by its row: the row expires after three heartbeats of 1.2 s or more,
/// and its successor is listed after some seconds.
constexpr std::chrono::seconds rowEndWindow{ 10 };
constexpr size_t maxBrokenCalls = 256; ///< Broken calls of an upstream that are kept; more than its slots and queue.
/// Time from a check that found no crash to the next one; doubles with each. A process that exits may still accept
/// connections: with a single check 5 of 8 crashes were not noticed in one run.
constexpr Milliseconds firstCheckInterval{ 50 };
constexpr size_t maxReportedTraits = 48; ///< Traits of a crash; with a full update every second about 1 KB.
constexpr Milliseconds newsRetention{ 2500 }; ///< Time for which news are in full updates; some of these are lost.

std::string traitsText(const std::vector<Trait> &traits)
{
    std::string text;
    for (const Trait trait : traits) {
        text += (text.empty() ? "" : ",") + toHex(trait);
    }
    return text;
}

void removeOldBrokenCalls(Upstream &upstream, TimePoint now, Milliseconds retention)
{
    std::erase_if(
        upstream.brokenCalls_, [now, retention](const BrokenCall &call) { return now - call.at_ > retention; });
}

void endUpstreamChecks(Upstream &upstream)
{
    upstream.checksUntil_ = {};
    upstream.unresolvedUntil_ = {};
    upstream.nextCheckAt_ = noDeadline;
}

/// Logs a call that was at an upstream when it crashed, and how far its answer had come.
void logBrokenCall(const Upstream &upstream, const BrokenCall &call, GatewayOutbox &outbox)
{
    outbox.decisions_.push_back({ "crash-suspect",
        { { "request", call.request_ }, { "upstream", upstream.id_ }, { "head", call.headReceived_ ? "yes" : "no" },
            { "traits", traitsText(call.traits_) } },
        true });
}

void logVerdict(const GatewayState &state, Trait trait, const char *change, GatewayOutbox &outbox)
{
    const auto verdict = state.crashEvidence_.verdicts_.find(trait);
    const auto crashes = state.crashEvidence_.suspects_.find(trait);
    const size_t known = crashes == state.crashEvidence_.suspects_.end() ? 0 : crashes->second.crashes_.size();
    outbox.decisions_.push_back({ "crash-verdict",
        { { "trait", toHex(trait) }, { "change", change }, { "crashes", std::to_string(known) },
            { "number", std::to_string(verdict->second.number_) },
            { "trials", std::to_string(verdict->second.trials_) } },
        true });
}

void addTrait(CrashReport &report, Trait trait, TraitDepth depth)
{
    if (report.traits_.size() < maxReportedTraits) {
        report.traits_.try_emplace(trait, depth);
    }
}

/**
 * @return the report of a crash, which is limited: the hashes of all requests come first, as a request may recur only
 * as a whole, then the parts of their prompts, beginning with calls whose answer had begun.
 */
CrashReport makeCrashReport(const Upstream &upstream, TimePoint now)
{
    CrashReport report{ { upstream.id_, upstream.startedAtMs_ }, now, {} };
    for (const BrokenCall &call : upstream.brokenCalls_) {
        report.at_ = call.cancelled_ ? report.at_ : std::min(report.at_, call.at_);
        if (!call.traits_.empty()) {
            addTrait(report, call.traits_.front(), wholeRequestDepth);
        }
    }
    for (const bool begun : { true, false }) {
        for (const BrokenCall &call : upstream.brokenCalls_) {
            for (size_t part = 1; part < call.traits_.size() && call.headReceived_ == begun; ++part) {
                addTrait(report, call.traits_[part], static_cast<TraitDepth>(part - 1));
            }
        }
    }
    return report;
}

/// Reports the crash of an upstream, of which all its broken calls are suspects. @param sign how it was noticed
void reportCrash(GatewayState &state, TimePoint now, Upstream &upstream, const char *sign, GatewayOutbox &outbox)
{
    endUpstreamChecks(upstream);
    if (upstream.brokenCalls_.empty() || upstream.draining_ || upstream.announcement_.leaving_) {
        return;
    }
    const CrashReport report = makeCrashReport(upstream, now);
    outbox.decisions_.push_back({ "upstream-crashed",
        { { "upstream", upstream.id_ }, { "started_ms", std::to_string(upstream.startedAtMs_) }, { "sign", sign },
            { "suspects", std::to_string(upstream.brokenCalls_.size()) },
            { "traits", std::to_string(report.traits_.size()) } },
        true });
    for (const BrokenCall &call : upstream.brokenCalls_) {
        logBrokenCall(upstream, call, outbox);
    }
    upstream.brokenCalls_.clear();
    count(state.metrics_, "upstream_crashes", upstream.service_);
    receiveCrash(state, now, report);
    keepCrashReport(state, now, report);
    state.crashNews_.crashes_.push_back(report);
    state.lastFullUpdateAt_ = {}; // makes a full update due: peers need the suspects before further requests reach them
}

/// @return the condemned trait of a call, or nullptr.
const Trait *findCondemnedTrait(const GatewayState &state, const Call &call)
{
    const auto found = std::find_if(call.traits_.begin(), call.traits_.end(),
        [&state](Trait trait) { return isCondemned(state.crashEvidence_, trait); });
    return found == call.traits_.end() ? nullptr : &*found;
}

/**
 * @return whether this gateway is the one that sends trials of a trait. None is while a gateway can't be reached, as it
 * might hold itself to be the one.
 */
bool sendsTrials(const GatewayState &state, TimePoint now, Trait trait)
{
    const uint64_t own = fastHash(state.peerAddress_, trait);
    bool highest = true;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        highest = highest && isReachable(peer, now) && fastHash(peer.address_, trait) < own;
    });
    return highest;
}

/// Admits a call as a trial if all its condemned traits are due for one, which this gateway sends.
bool admitTrial(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    auto &verdicts = state.crashEvidence_.verdicts_;
    std::vector<Trait> condemned;
    for (const Trait trait : call.traits_) {
        if (!isCondemned(state.crashEvidence_, trait)) {
            continue;
        }
        if (!isTrialDue(verdicts.at(trait), now) || !sendsTrials(state, now, trait)) {
            return false;
        }
        condemned.push_back(trait);
    }
    for (const Trait trait : condemned) {
        recordTrial(verdicts.at(trait), now);
        logVerdict(state, trait, "trial", outbox);
    }
    call.onTrial_ = true;
    state.lastFullUpdateAt_ = {}; // makes a full update due: peers count trials
    return true;
}

/// Ends the calls in progress that have a condemned trait, except those whose answer has begun.
void endCondemnedCalls(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    std::vector<CallId> condemned;
    forEachRow(state.calls_, [&](CallId id, const Call &call) {
        const bool begun = call.streamStarted_ || call.answerBegunAt_ != noDeadline;
        if (!begun && !call.onTrial_ && findCondemnedTrait(state, call) != nullptr) {
            condemned.push_back(id);
        }
    });
    for (const CallId id : condemned) {
        Call &call = *findRow(state.calls_, id);
        call.mayHaveRun_ = call.mayHaveRun_ || call.stage_ != CallStage::Waiting;
        cancelSend(state, now, call, outbox);
        refuse(state, now, id, RefusalReason::CrashSuspect, outbox);
    }
}

} // namespace

Upstream *recordUnansweredCall(GatewayState &state, TimePoint now, const Call &call, bool cancelled)
{
    Upstream *upstream = findRow(state.upstreams_, call.upstream_);
    if (upstream == nullptr) {
        return nullptr;
    }
    removeOldBrokenCalls(*upstream, now, rowEndWindow);
    if (upstream->brokenCalls_.size() < maxBrokenCalls) { // the later ones are less likely to be the cause
        upstream->brokenCalls_.push_back({ call.request_.id_, call.traits_, call.headReceived_, cancelled, now });
    }
    return upstream;
}

void recordBrokenCall(GatewayState &state, TimePoint now, const Call &call, GatewayOutbox &outbox)
{
    Upstream *upstream = recordUnansweredCall(state, now, call, false);
    if (upstream == nullptr) {
        return;
    }
    upstream->checksUntil_ = now + crashWindow;
    upstream->unresolvedUntil_ = now + rowEndWindow;
    upstream->checkInterval_ = firstCheckInterval;
    upstream->nextCheckAt_ = noDeadline; // the check that begins now or is in progress schedules the next one
    checkUpstream(now, *upstream, outbox);
}

void scheduleNextCheck(GatewayState &state, TimePoint now, Upstream &upstream)
{
    if (now >= upstream.checksUntil_) {
        return;
    }
    upstream.nextCheckAt_ = now + upstream.checkInterval_;
    upstream.checkInterval_ *= 2;
    state.upstreamChecksAt_ = std::min(state.upstreamChecksAt_, upstream.nextCheckAt_);
}

void recordAnsweringStart(
    GatewayState &state, TimePoint now, const Call &call, Upstream &upstream, GatewayOutbox &outbox)
{
    const bool later = std::all_of(upstream.brokenCalls_.begin(), upstream.brokenCalls_.end(),
        [&call](const BrokenCall &broken) { return broken.cancelled_ || broken.at_ < call.sentAt_; });
    if (call.head_.wrongInstance_) {
        recordReplacedUpstream(state, now, upstream, outbox);
    } else if (later) {
        endUpstreamChecks(upstream);
    }
}

void recordSilentCheck(Upstream &upstream)
{
    upstream.unresolvedUntil_ = std::min(upstream.unresolvedUntil_, upstream.checksUntil_);
}

void recordReplacedUpstream(GatewayState &state, TimePoint now, Upstream &upstream, GatewayOutbox &outbox)
{
    if (now < upstream.unresolvedUntil_) {
        removeOldBrokenCalls(upstream, now, rowEndWindow);
        reportCrash(state, now, upstream, "row-ended", outbox);
    }
}

void runUpstreamChecks(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    if (now < state.upstreamChecksAt_) {
        return;
    }
    state.upstreamChecksAt_ = noDeadline;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, Upstream &upstream) {
        if (now >= upstream.nextCheckAt_) {
            upstream.nextCheckAt_ = noDeadline;
            checkUpstream(now, upstream, outbox);
        }
        state.upstreamChecksAt_ = std::min(state.upstreamChecksAt_, upstream.nextCheckAt_);
    });
}

void recordUpstreamCrash(GatewayState &state, TimePoint now, Upstream &upstream, GatewayOutbox &outbox)
{
    removeOldBrokenCalls(upstream, now, crashWindow);
    reportCrash(state, now, upstream, "refused", outbox);
}

void recordAnswered(GatewayState &state, TimePoint now, const Call &call, GatewayOutbox &outbox)
{
    for (const Trait trait : call.traits_) {
        const bool condemned = isCondemned(state.crashEvidence_, trait);
        if (recordAnswer(state.crashEvidence_, trait, now, now)) {
            state.crashNews_.answered_[trait] = now;
            dropKeptSuspect(state, now, trait);
        }
        if (condemned) {
            logVerdict(state, trait, "withdrawn", outbox);
            state.lastFullUpdateAt_ = {}; // makes a full update due: peers still refuse the trait
        }
    }
}

bool isRefusedAsCrashSuspect(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    if (findCondemnedTrait(state, call) == nullptr) {
        return false;
    }
    for (const Trait trait : call.traits_) {
        if (const auto found = state.crashEvidence_.verdicts_.find(trait);
            found != state.crashEvidence_.verdicts_.end()) {
            found->second.usedAt_ = now;
        }
    }
    return !admitTrial(state, now, call, outbox);
}

bool isLikelyToCrash(const GatewayState &state, const Call &call)
{
    return call.onTrial_ || findCondemnedTrait(state, call) != nullptr
        || std::any_of(call.traits_.begin(), call.traits_.end(),
            [&state](Trait trait) { return isStrongSuspect(state.crashEvidence_, trait); });
}

Milliseconds retryTimeOfCrashSuspect(const GatewayState &state, TimePoint now, const Call &call)
{
    const Trait *trait = findCondemnedTrait(state, call);
    return trait == nullptr
        ? Milliseconds(0)
        : std::chrono::duration_cast<Milliseconds>(timeUntilTrial(state.crashEvidence_.verdicts_.at(*trait), now));
}

void runCrashReview(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    if (now >= state.crashEvidence_.reviewAt_) {
        for (const Trait trait : reviewSuspects(state.crashEvidence_, now)) {
            logVerdict(state, trait, "condemned", outbox);
            state.verdictsChanged_ = true;
            state.lastFullUpdateAt_ = {};
        }
    }
    if (std::exchange(state.verdictsChanged_, false)) {
        endCondemnedCalls(state, now, outbox);
    }
    expireCrashEvidence(state.crashEvidence_, now);
}

void receiveCrash(GatewayState &state, TimePoint now, const CrashReport &report)
{
    for (const Trait trait : recordCrash(state.crashEvidence_, report)) {
        state.crashNews_.answered_[trait] = now; // peers have to know that it is sound
    }
}

void receiveVerdict(GatewayState &state, TimePoint now, Trait trait, const CrashVerdict &verdict,
    const std::string &source, GatewayOutbox &outbox)
{
    if (mergeVerdict(state.crashEvidence_, trait, verdict, now)) {
        state.crashEvidence_.verdicts_.at(trait).usedAt_ = verdict.usedAt_;
        logVerdict(state, trait, ("received from " + source).c_str(), outbox);
        state.verdictsChanged_ = true;
    }
}

void addCrashNews(GatewayState &state, TimePoint now, PeerUpdate &update)
{
    CrashNews &news = state.crashNews_;
    std::erase_if(news.crashes_, [now](const CrashReport &crash) { return now - crash.at_ > newsRetention; });
    std::erase_if(news.answered_, [now](const auto &item) { return now - item.second > newsRetention; });
    for (const CrashReport &crash : news.crashes_) {
        update.crashes_.push_back(
            { crash.upstream_, std::chrono::duration_cast<Milliseconds>(now - crash.at_), crash.traits_ });
    }
    for (const auto &[trait, foundAt] :
        news.answered_) { // the age is that of the answer itself, which peers may pass on
        const auto answered = state.crashEvidence_.answeredAt_.find(trait);
        if (answered != state.crashEvidence_.answeredAt_.end()) {
            update.answered_[trait] = std::chrono::duration_cast<Milliseconds>(now - answered->second);
        }
    }
    for (const auto &[trait, verdict] : state.crashEvidence_.verdicts_) {
        if (isVerdictInUse(verdict, now)) {
            update.verdicts_[trait] = { verdict.number_, verdict.withdrawn_, verdict.trials_ };
        }
    }
}

void applyCrashNews(GatewayState &state, TimePoint now, const PeerUpdate &update, GatewayOutbox &outbox)
{
    for (const PeerCrash &crash : update.crashes_) {
        receiveCrash(state, now, { crash.upstream_, now - crash.age_, crash.traits_ });
    }
    for (const auto &[trait, age] : update.answered_) {
        if (recordAnswer(state.crashEvidence_, trait, now - age, now)) {
            dropKeptSuspect(state, now, trait);
        }
    }
    for (const auto &[trait, received] : update.verdicts_) {
        const CrashVerdict verdict{ received.number_, received.withdrawn_, received.trials_, {}, now };
        receiveVerdict(state, now, trait, verdict, update.name_, outbox);
    }
}

} // namespace Burdockfield::Gateway
