/**
 * @file agent_event_type.h
 * @brief Events that an agent's tick handles.
 */
#pragma once

#include "entry_event_type.h"
#include "run_base.h"

#include <variant>
#include <vector>

namespace Burdockfield {

/// An entry ordered a run.
struct RunOrdered
{
    ExchangeId exchange_; ///< Exchange to reply on.
    RunOrder order_;
};

/// An entry opened an answer stream.
struct AnswerRequested
{
    ExchangeId exchange_; ///< Exchange to send frames on.
    RunName name_; ///< Run to read.
    uint64_t offset_ = 0; ///< Position of the first delta to send.
};

/// An entry cancelled an attempt.
struct CancelRequested
{
    ExchangeId exchange_; ///< Exchange to reply on.
    RunName name_; ///< Attempt to cancel.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that the order was sent to.
};

/// An entry notified the agent that the VM list marks its VM as leaving.
struct LeaveNoticeReceived
{
};

/// An entry requested a report.
struct ReportRequested
{
    ExchangeId exchange_; ///< Exchange to reply on.
    uint64_t revision_ = 0; ///< Configuration revision of the entry.
    bool drained_ = false; ///< Whether that revision drains the agent's upstream.
    uint64_t knownVersion_ = 0; ///< Version of the last report that the entry received, or 0.
    Milliseconds maxWait_{ 0 }; ///< Longest time to hold the reply while nothing changes.
};

/// A client closed its connection before the reply was complete.
struct ClientDisconnected
{
    ExchangeId exchange_; ///< Exchange that it closed.
};

/// Deltas of an answer were received from the upstream.
struct EngineDeltas
{
    RunId run_; ///< Run that they belong to.
    uint32_t dispatchNumber_ = 0; ///< Dispatch that they belong to.
    std::vector<Delta> deltas_;
};

/// The upstream ended a run, or the connection to it failed.
struct EngineEnded
{
    RunId run_; ///< Run that ended.
    uint32_t dispatchNumber_ = 0; ///< Dispatch that ended.
    std::error_code error_; ///< Success or a TransportErrc.
    AnswerEnd end_; ///< How the answer ended, on success.
};

/// The upstream replied to a load request, or the request failed. The values may be out of date.
struct EngineLoad
{
    std::error_code error_; ///< Success or a TransportErrc.
    uint32_t slots_ = 0; ///< Runs that it executes concurrently; 0 if not reported.
    std::vector<std::string> models_; ///< Models that it has loaded; empty if not reported.
};

/// Any event of an agent.
using AgentEvent = std::variant<RunOrdered, AnswerRequested, CancelRequested, ReportRequested, LeaveNoticeReceived,
    ClientDisconnected, EngineDeltas, EngineEnded, EngineLoad, StoreReplied, VmsListed, StatusRequested, ExtraReply,
    StopRequested>;

/// Events of one tick, by kind; in order of arrival within a kind.
struct AgentInbox
{
    std::vector<RunOrdered> orders_; ///< Ordered runs.
    std::vector<AnswerRequested> answerRequests_; ///< Opened answer streams.
    std::vector<CancelRequested> cancels_; ///< Cancelled attempts.
    std::vector<ReportRequested> reportRequests_; ///< Requests for reports.
    std::vector<ClientDisconnected> disconnects_; ///< Clients that have disconnected.
    std::vector<EngineDeltas> deltas_; ///< Received deltas.
    std::vector<EngineEnded> ends_; ///< Ended runs.
    std::vector<EngineLoad> loads_; ///< Replies to load requests.
    std::vector<StoreReplied> storeReplies_; ///< Replies of the table service.
    std::vector<VmsListed> vmLists_; ///< Received VM lists.
    std::vector<StatusRequested> statusRequests_;
    std::vector<ExtraReply> extraReplies_; ///< Replies that were dropped.
    bool leave_ = false; ///< Whether a leave notice was received.
    bool stop_ = false; ///< Whether a planned stop was requested.
};

/// Appends an event to the list of its kind.
void addEvent(AgentInbox &inbox, AgentEvent event);

} // namespace Burdockfield
