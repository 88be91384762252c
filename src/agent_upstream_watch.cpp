/**
 * @file agent_upstream_watch.cpp
 * @brief Systems that monitor the upstream of an agent and report on it to entries.
 */
#include "agent_func.h"
#include "error_type.h"
#include "run_func.h"
#include "suspect_func.h"
#include "vm_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr Milliseconds loadInterval{ 500 }; ///< Time between a load reply and the next load request.
constexpr Milliseconds agentVmListInterval{ 4000 }; ///< Shortest time between two requests for the VM list.
constexpr uint32_t occupancySteps = 4; ///< Steps of occupancy; a change of step is reported immediately.

/// Ends all waiting runs because the upstream is unreachable, so that entries can order them elsewhere.
void endWaitingRuns(AgentState &state, TimePoint now, AgentOutbox &outbox)
{
    const std::vector<RunId> waiting = state.waiting_;
    for (const RunId id : waiting) {
        const bool started = findRow(state.runs_, id)->started_;
        const AnswerEnd end = started ? makeFailure(RefusalErrc::UpstreamLost, RunOutcome::Unknown)
                                      : makeFailure(AdmissionErrc::UpstreamDown, RunOutcome::NotRun);
        endRun(state, id, end, now, outbox);
    }
}

void applyLoad(AgentState &state, const EngineLoad &load, TimePoint now, AgentOutbox &outbox)
{
    state.loadPending_ = false;
    state.loadDue_ = now + loadInterval;
    state.reachable_ = !load.error_;
    if (load.error_) {
        endWaitingRuns(state, now, outbox);
        return;
    }
    if (load.slots_ > 0) {
        state.upstream_.slots_ = load.slots_;
    }
    if (!load.models_.empty()) {
        state.upstream_.routes_ = load.models_;
    }
}

void applyVmList(AgentState &state, const VmsListed &event, TimePoint now)
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
        signature.tiersWithCapacity_ |= freeCapacity(report, rank) > 0 ? 1U << rank : 0U;
    }
    const uint32_t capacity = std::max(1U, report.slots_ + report.queueDepth_);
    signature.occupancyStep_ = countAtOrAbove(report.occupied_, 0) * occupancySteps / capacity;
    for (const auto &[digest, suspect] : report.suspects_) {
        signature.crashCount_ += suspect.crashes_ + suspect.crashesAlone_;
    }
    signature.revision_ = report.revision_;
    signature.routes_ = report.routes_;
    return signature;
}

void applyRevision(AgentState &state, const ReportRequested &event)
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
        applyLoad(state, load, now, outbox);
    }
    for (const VmsListed &event : inbox.vmLists_) {
        applyVmList(state, event, now);
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

void runReportReplies(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox)
{
    for (const ReportRequested &event : inbox.reportRequests_) {
        applyRevision(state, event);
        state.pendingReportRequests_.push_back({ event.exchange_, event.knownVersion_, now + event.maxWait_ });
    }
    for (const ClientDisconnected &event : inbox.disconnects_) {
        std::erase_if(state.pendingReportRequests_,
            [&event](const auto &request) { return request.exchange_ == event.exchange_; });
    }
    if (ReportSignature signature = makeSignature(state); signature != state.signature_) {
        state.signature_ = std::move(signature);
        ++state.reportVersion_;
        // The entry that receives a report of free capacity first gets that capacity. The replies are sent in random
        // order so that no entry is always the first.
        std::shuffle(state.pendingReportRequests_.begin(), state.pendingReportRequests_.end(), state.random_);
    }
    const AgentReport report = makeReport(state);
    std::erase_if(state.pendingReportRequests_, [&](const PendingReportRequest &request) {
        const bool due = request.knownVersion_ != state.reportVersion_ || request.holdUntil_ <= now;
        if (due) {
            outbox.reports_.push_back({ request.exchange_, report });
        }
        return due;
    });
}

} // namespace Burdockfield
