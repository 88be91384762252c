/**
 * @file agent_upstream_watch.cpp
 * @brief Systems by which an agent watches its upstream and reports on it.
 */
#include "agent_func.h"
#include "error_type.h"
#include "run_func.h"
#include "suspect_func.h"
#include "vm_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr Milliseconds loadInterval{ 500 }; ///< Time between two questions to the upstream.
constexpr Milliseconds agentVmListInterval{ 4000 }; ///< Shortest time between two reads of the VM list.
constexpr uint32_t loadSteps = 4; ///< Steps of occupancy that are reported at once.

/// The upstream does not answer: gives the waiting runs back, so that entries can order them elsewhere.
void returnWaiting(AgentState &state, TimePoint now, AgentOutbox &outbox)
{
    const std::vector<RunId> waiting = state.waiting_;
    for (const RunId id : waiting) {
        const bool started = findRow(state.runs_, id)->started_;
        const AnswerEnd end = started ? makeFailure(RefusalErrc::UpstreamLost, RunOutcome::Unknown)
                                      : makeFailure(AdmissionErrc::UpstreamDown, RunOutcome::NotRun);
        endRun(state, id, end, now, outbox);
    }
}

void takeLoad(AgentState &state, const EngineLoad &load, TimePoint now, AgentOutbox &outbox)
{
    state.loadPending_ = false;
    state.loadDue_ = now + loadInterval;
    state.reachable_ = !load.error_;
    if (load.error_) {
        returnWaiting(state, now, outbox);
        return;
    }
    if (load.slots_ > 0) {
        state.upstream_.slots_ = load.slots_;
    }
    if (!load.models_.empty()) {
        state.upstream_.routes_ = load.models_;
    }
}

void takeVmList(AgentState &state, const VmsListed &event, TimePoint now)
{
    state.vmListPending_ = false;
    state.vmListDue_ = now + vmListReadInterval(state.random_, agentVmListInterval, event.bytes_);
    if (event.error_) {
        return;
    }
    for (const Vm &vm : event.vms_) {
        if (vm.name_ == state.identity_.name_) {
            state.leaving_ = state.leaving_ || vm.leaving_;
        }
    }
}

ReportSignature makeSignature(const AgentState &state)
{
    const AgentReport report = makeReport(state);
    ReportSignature signature;
    signature.reachable_ = report.reachable_;
    signature.leaving_ = report.leaving_;
    signature.slots_ = report.slots_;
    for (TierRank rank = 0; rank < tierRankCount; ++rank) {
        signature.roomyTiers_ |= freeCapacity(report, rank) > 0 ? 1U << rank : 0U;
    }
    const uint32_t capacity = std::max(1U, report.slots_ + report.queueDepth_);
    signature.loadStep_ = countAtOrAbove(report.occupied_, 0) * loadSteps / capacity;
    for (const auto &[digest, suspect] : report.suspects_) {
        signature.suspectSum_ += suspect.crashes_ + suspect.crashesAlone_;
    }
    signature.revision_ = report.revision_;
    signature.routes_ = report.routes_;
    return signature;
}

void hearRevision(AgentState &state, const ReportRequested &event)
{
    if (event.revision_ > state.revision_) {
        state.revision_ = event.revision_;
        state.drained_ = event.drained_;
    }
}

} // namespace

AgentReport makeReport(const AgentState &state)
{
    AgentReport report;
    report.upstream_ = state.identity_.name_;
    report.incarnation_ = state.incarnation_;
    report.version_ = state.reportVersion_;
    report.revision_ = state.revision_;
    report.reachable_ = state.reachable_;
    report.leaving_ = state.leaving_ || state.drained_ || state.stopping_;
    report.slots_ = state.upstream_.slots_;
    report.queueDepth_ = state.upstream_.queueDepth_;
    report.occupied_ = countOccupied(state);
    report.prefillRate_ = state.prefillRate_;
    report.decodeRate_ = state.decodeRate_;
    report.routes_ = state.upstream_.routes_;
    report.suspects_ = state.suspects_;
    return report;
}

void runUpstreamWatch(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox)
{
    for (const EngineLoad &load : inbox.loads_) {
        takeLoad(state, load, now, outbox);
    }
    for (const VmsListed &event : inbox.vmLists_) {
        takeVmList(state, event, now);
    }
    state.leaving_ = state.leaving_ || inbox.leave_;
    expireSuspects(state.suspects_, now);
    if (!state.loadPending_ && state.loadDue_ <= now) {
        state.loadPending_ = true;
        outbox.loadFetches_.push_back({});
    }
    if (!state.vmListPending_ && state.vmListDue_ <= now) {
        state.vmListPending_ = true;
        outbox.vmFetches_.push_back({});
    }
}

void runReportGiving(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox)
{
    for (const ReportRequested &event : inbox.reportRequests_) {
        hearRevision(state, event);
        state.watchers_.push_back({ event.exchange_, event.knownVersion_, now + event.maxWait_ });
    }
    for (const PeerGone &event : inbox.disconnects_) {
        std::erase_if(state.watchers_, [&event](const auto &watcher) { return watcher.exchange_ == event.exchange_; });
    }
    if (ReportSignature signature = makeSignature(state); signature != state.signature_) {
        state.signature_ = std::move(signature);
        ++state.reportVersion_;
        // Whoever is told first of a free place gets it: no entry is the first one each time.
        std::shuffle(state.watchers_.begin(), state.watchers_.end(), state.random_);
    }
    const AgentReport report = makeReport(state);
    std::erase_if(state.watchers_, [&](const ReportWatcher &watcher) {
        const bool due = watcher.knownVersion_ != state.reportVersion_ || watcher.until_ <= now;
        if (due) {
            outbox.reports_.push_back({ watcher.exchange_, report });
        }
        return due;
    });
}

} // namespace Burdockfield
