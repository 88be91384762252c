/**
 * @file agent_tick.cpp
 * @brief The tick of an agent.
 */
#include "agent_func.h"
#include "error_type.h"
#include "status_wire.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr std::chrono::seconds agentStopTimeout{ 120 }; ///< Longest time that a planned stop waits for runs.

void put(AgentInbox &inbox, RunOrdered event)
{
    inbox.orders_.push_back(std::move(event));
}

void put(AgentInbox &inbox, AnswerRequested event)
{
    inbox.answerRequests_.push_back(std::move(event));
}

void put(AgentInbox &inbox, CancelRequested event)
{
    inbox.cancels_.push_back(std::move(event));
}

void put(AgentInbox &inbox, ReportRequested event)
{
    inbox.reportRequests_.push_back(event);
}

void put(AgentInbox &inbox, LeaveNoticed /*event*/)
{
    inbox.leave_ = true;
}

void put(AgentInbox &inbox, PeerGone event)
{
    inbox.disconnects_.push_back(event);
}

void put(AgentInbox &inbox, EngineDeltas event)
{
    inbox.deltas_.push_back(std::move(event));
}

void put(AgentInbox &inbox, EngineEnded event)
{
    inbox.ends_.push_back(std::move(event));
}

void put(AgentInbox &inbox, EngineLoad event)
{
    inbox.loads_.push_back(std::move(event));
}

void put(AgentInbox &inbox, StoreReplied event)
{
    inbox.storeReplies_.push_back(std::move(event));
}

void put(AgentInbox &inbox, VmsListed event)
{
    inbox.vmLists_.push_back(std::move(event));
}

void put(AgentInbox &inbox, StatusRequested event)
{
    inbox.statusRequests_.push_back(event);
}

void put(AgentInbox &inbox, StopRequested /*event*/)
{
    inbox.stop_ = true;
}

bool agentReady(const AgentState &state)
{
    return state.reachable_ && !state.stopping_;
}

std::string agentStatusText(AgentState &state, StatusKind kind)
{
    if (kind == StatusKind::Metrics) {
        setGauge(state.metrics_, "runs_running", static_cast<double>(state.running_.size()));
        setGauge(state.metrics_, "runs_waiting", static_cast<double>(state.waiting_.size()));
        return serializeMetrics(state.metrics_);
    }
    return kind == StatusKind::Status ? serializeAgentStatus(state) : "{}";
}

/// @return whether every run has ended and its answer has been read, as long as it is kept.
bool allSettled(const AgentState &state)
{
    bool settled = state.waiting_.empty() && state.running_.empty();
    forEachRow(state.runs_, [&settled](RunId /*id*/, const Run &run) { settled = settled && run.delivered_; });
    return settled;
}

/// Gives every entry that waits for a report its last one.
void dismissWatchers(AgentState &state, AgentOutbox &outbox)
{
    const AgentReport report = makeReport(state);
    for (const ReportWatcher &watcher : state.watchers_) {
        outbox.reports_.push_back({ watcher.exchange_, report });
    }
    state.watchers_.clear();
}

} // namespace

void addEvent(AgentInbox &inbox, AgentEvent event)
{
    std::visit([&inbox](auto &&kind) { put(inbox, std::forward<decltype(kind)>(kind)); }, std::move(event));
}

AgentOutbox tickAgent(AgentState &state, TimePoint now, AgentInbox inbox)
{
    AgentOutbox outbox;
    runUpstreamWatch(state, now, inbox, outbox);
    runEngineOutput(state, now, inbox, outbox);
    runClaims(state, now, inbox, outbox);
    runAdmission(state, now, inbox, outbox);
    runRunDeadlines(state, now, outbox);
    runAgentDispatch(state, now, outbox);
    runAnswerStreams(state, now, inbox, outbox);
    runReportGiving(state, now, inbox, outbox);
    runAgentStatus(state, now, inbox, outbox);
    return outbox;
}

TimePoint nextAgentDeadline(const AgentState &state)
{
    TimePoint next = nextDeadline(state.runDeadlines_);
    if (!state.loadPending_) {
        next = std::min(next, state.loadDue_);
    }
    if (!state.vmListPending_) {
        next = std::min(next, state.vmListDue_);
    }
    for (const ReportWatcher &watcher : state.watchers_) {
        next = std::min(next, watcher.until_);
    }
    return state.stopping_ ? std::min(next, state.stopDeadline_) : next;
}

AgentState makeAgentState(NodeIdentity place, AgentPolicy policy, UpstreamSettings upstream, uint64_t seed)
{
    AgentState state;
    state.identity_ = std::move(place);
    state.policy_ = policy;
    state.upstream_ = std::move(upstream);
    state.random_.seed(seed);
    state.incarnation_ = state.random_();
    return state;
}

void runAgentStatus(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox)
{
    for (const StatusRequested &event : inbox.statusRequests_) {
        std::error_code error;
        if (event.kind_ == StatusKind::Ready && !agentReady(state)) {
            error = state.stopping_ ? RefusalErrc::Stopping : RefusalErrc::NotReady;
        }
        outbox.operatorReplies_.push_back(
            { event.exchange_, error, event.kind_, agentStatusText(state, event.kind_), state.revision_ });
    }
    if (inbox.stop_ && !state.stopping_) {
        state.stopping_ = true;
        state.stopDeadline_ = now + agentStopTimeout;
    }
    outbox.exit_ = state.stopping_ && (allSettled(state) || state.stopDeadline_ <= now);
    if (outbox.exit_) {
        dismissWatchers(state, outbox);
    }
}

} // namespace Burdockfield
