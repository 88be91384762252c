/**
 * @file agent_tick.cpp
 * @brief Tick of an agent.
 */
#include "agent_func.h"
#include "error_type.h"
#include "json_func.h"
#include "status_wire.h"
#include "table/extra_answer_names.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr std::chrono::seconds agentStopTimeout{ 120 }; ///< Longest time that a planned stop waits for runs to end.

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

void put(AgentInbox &inbox, LeaveNoticeReceived /*event*/)
{
    inbox.leave_ = true;
}

void put(AgentInbox &inbox, ClientDisconnected event)
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

void put(AgentInbox &inbox, ExtraReply event)
{
    inbox.extraReplies_.push_back(std::move(event));
}

void put(AgentInbox &inbox, StopRequested /*event*/)
{
    inbox.stop_ = true;
}

bool isAgentReady(const AgentState &state)
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

/// @return whether every run has ended, and a reader has received the end of every run that is still kept.
bool allRunsDelivered(const AgentState &state)
{
    bool delivered = state.waiting_.empty() && state.running_.empty();
    forEachRow(state.runs_, [&delivered](RunId /*id*/, const Run &run) { delivered = delivered && run.delivered_; });
    return delivered;
}

/// Sends the final report in reply to every held report request.
void answerPendingReportRequests(AgentState &state, AgentOutbox &outbox)
{
    const AgentReport report = makeReport(state);
    for (const PendingReportRequest &request : state.pendingReportRequests_) {
        outbox.reports_.push_back({ request.exchange_, report });
    }
    state.pendingReportRequests_.clear();
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
    runReportReplies(state, now, inbox, outbox);
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
    for (const PendingReportRequest &request : state.pendingReportRequests_) {
        next = std::min(next, request.holdUntil_);
    }
    return state.stopping_ ? std::min(next, state.stopDeadline_) : next;
}

AgentState makeAgentState(NodeIdentity identity, AgentPolicy policy, UpstreamSettings upstream, uint64_t seed)
{
    AgentState state;
    state.identity_ = std::move(identity);
    state.policy_ = policy;
    state.upstream_ = std::move(upstream);
    state.random_.seed(seed);
    state.incarnation_ = state.random_();
    return state;
}

void runAgentStatus(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox)
{
    for (const ExtraReply &event : inbox.extraReplies_) {
        count(state.metrics_, "extra_replies", std::string(nameOf(event.place_, extraAnswerNames)));
    }
    for (const StatusRequested &event : inbox.statusRequests_) {
        std::error_code error;
        if (event.kind_ == StatusKind::Ready && !isAgentReady(state)) {
            error = state.stopping_ ? RefusalErrc::Stopping : RefusalErrc::NotReady;
        }
        outbox.operatorReplies_.push_back(
            { event.exchange_, error, event.kind_, agentStatusText(state, event.kind_), state.revision_ });
    }
    if (inbox.stop_ && !state.stopping_) {
        state.stopping_ = true;
        state.stopDeadline_ = now + agentStopTimeout;
    }
    outbox.exit_ = state.stopping_ && (allRunsDelivered(state) || state.stopDeadline_ <= now);
    if (outbox.exit_) {
        answerPendingReportRequests(state, outbox);
    }
}

} // namespace Burdockfield
