/**
 * @file agent_event_type.h
 * @brief Inputs of an agent's tick.
 */
#pragma once

#include "entry_event_type.h"
#include "run_base.h"

#include <variant>
#include <vector>

namespace Burdockfield {

/// An entry orders a run.
struct RunOrdered
{
    ExchangeId exchange_; ///< Where the reply goes.
    RunOrder order_; ///< The order.
};

/// An entry reads an answer.
struct AnswerRequested
{
    ExchangeId exchange_; ///< Where frames go.
    RunName name_; ///< Run.
    uint64_t offset_ = 0; ///< First piece wanted.
};

/// An entry cancels an attempt.
struct CancelRequested
{
    ExchangeId exchange_; ///< Where the reply goes.
    RunName name_; ///< Attempt.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that had the order.
};

/// An entry has read that this agent's VM leaves.
struct LeaveNoticed
{
};

/// An entry asks for a report.
struct ReportRequested
{
    ExchangeId exchange_; ///< Where the report goes.
    uint64_t revision_ = 0; ///< Configuration revision of the entry.
    bool drained_ = false; ///< Whether that revision drains this upstream.
    uint64_t knownVersion_ = 0; ///< Report version that the entry has.
    Milliseconds maxWait_{ 0 }; ///< How long the report may be held while nothing changes.
};

/// A reader or asker closed its connection.
struct PeerGone
{
    ExchangeId exchange_; ///< Its exchange.
};

/// Pieces came from the upstream.
struct EngineDeltas
{
    RunId run_; ///< Run.
    uint32_t dispatchNumber_ = 0; ///< Hand-over that they belong to.
    std::vector<Delta> deltas_; ///< Pieces.
};

/// The upstream ended a run, or was lost.
struct EngineEnded
{
    RunId run_; ///< Run.
    uint32_t dispatchNumber_ = 0; ///< Hand-over that ended.
    std::error_code error_; ///< Success or a TransportErrc.
    AnswerEnd end_; ///< How the upstream ended it, on success.
};

/// What an upstream says of itself; it lags.
struct EngineLoad
{
    std::error_code error_; ///< Success or a TransportErrc.
    uint32_t slots_ = 0; ///< Runs that it works on at once; 0 when it does not say.
    std::vector<std::string> models_; ///< Models that it has loaded; empty when it does not say.
};

/// Any input of an agent.
using AgentEvent = std::variant<RunOrdered, AnswerRequested, CancelRequested, ReportRequested, LeaveNoticed, PeerGone,
    EngineDeltas, EngineEnded, EngineLoad, StoreReplied, VmsListed, StatusRequested, StopRequested>;

/// Inputs of one tick, by kind; within a kind in order of arrival.
struct AgentInbox
{
    std::vector<RunOrdered> orders_; ///< Run orders.
    std::vector<AnswerRequested> answerRequests_; ///< New readers.
    std::vector<CancelRequested> cancels_; ///< Attempts to cancel.
    std::vector<ReportRequested> reportRequests_; ///< Reports to give.
    std::vector<PeerGone> disconnects_; ///< Peers that left.
    std::vector<EngineDeltas> deltas_; ///< Pieces of answers.
    std::vector<EngineEnded> ends_; ///< Ends of runs.
    std::vector<EngineLoad> loads_; ///< What the upstream says of itself.
    std::vector<StoreReplied> storeReplies_; ///< Answers of the table service.
    std::vector<VmsListed> vmLists_; ///< Lists of VMs.
    std::vector<StatusRequested> statusRequests_; ///< Status requests.
    bool leave_ = false; ///< Whether an entry has read that the VM leaves.
    bool stop_ = false; ///< Whether to stop.
};

/// Sorts an event into the inbox.
void addEvent(AgentInbox &inbox, AgentEvent event);

} // namespace Burdockfield
