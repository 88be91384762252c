/**
 * @file agent_command_type.h
 * @brief Commands that an agent's tick returns for the I/O thread to execute.
 */
#pragma once

#include "agent_event_type.h"
#include "entry_command_type.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Replies to a run order.
struct SendRunReply
{
    ExchangeId exchange_; ///< Exchange of the order.
    RunReply reply_;
};

/// Sends a frame of an answer to a reader.
struct SendFrame
{
    ExchangeId exchange_; ///< Exchange of the reader.
    AnswerFrame frame_; ///< Frame; the stream is closed after the last one.
};

/// Replies to a reader that the agent does not know the run.
struct SendUnknownRun
{
    ExchangeId exchange_; ///< Exchange of the reader.
};

/// Replies to a cancellation.
struct SendCancelReply
{
    ExchangeId exchange_; ///< Exchange of the cancellation.
    CancelReply reply_;
};

/// Replies to a report request.
struct SendReport
{
    ExchangeId exchange_; ///< Exchange of the request.
    AgentReport report_;
};

/// Dispatches a run to the upstream.
struct StartEngine
{
    RunId run_; ///< Run to dispatch.
    uint32_t dispatchNumber_ = 0; ///< Number of the dispatch; unique within the run.
    RunOrder order_; ///< Order of the run; resumeTokens_ counts all answer tokens so far, including earlier attempts.
};

/// Stops a run at the upstream.
struct AbortEngine
{
    RunId run_; ///< Run to stop.
    uint32_t dispatchNumber_ = 0; ///< Dispatch to stop.
};

/// Requests the load of the upstream.
struct FetchLoad
{
};

/// Action of a placement decision.
enum class PlacementAction : uint8_t {
    Start, ///< The run is dispatched to the upstream for the first time.
    Resume, ///< The run is dispatched again after a pause.
    Pause, ///< The run is stopped at the upstream in favour of a higher tier.
    Displace, ///< The run is removed from the queue in favour of a higher tier.
    Refuse, ///< The run is not admitted.
};

/// Placement decision about one run, for the decision log.
struct PlacementDecision
{
    RunName run_; ///< Attempt that the decision is about.
    std::string workspace_; ///< Workspace of the caller.
    std::string route_; ///< Name of the model or service.
    TierRank tier_ = 0; ///< Tier of the run.
    PlacementAction action_ = PlacementAction::Start; ///< Action taken.
    std::error_code error_; ///< Reason of a refusal.
    uint32_t running_ = 0; ///< Number of runs at the upstream.
    uint32_t waiting_ = 0; ///< Number of runs in the queue.
    uint64_t revision_ = 0; ///< Configuration revision known to the agent.
};

/// Commands of one tick, by kind; in order within a kind.
struct AgentOutbox
{
    std::vector<SendRunReply> runReplies_; ///< Replies to run orders.
    std::vector<SendFrame> frames_; ///< Frames to send to readers.
    std::vector<SendUnknownRun> unknownRuns_; ///< Replies to readers of unknown runs.
    std::vector<SendCancelReply> cancelReplies_; ///< Replies to cancellations.
    std::vector<SendReport> reports_; ///< Replies to report requests.
    std::vector<AbortEngine> engineAborts_; ///< Runs to stop at the upstream.
    std::vector<StartEngine> engineStarts_; ///< Runs to dispatch, executed after the aborts.
    std::vector<FetchLoad> loadFetches_; ///< Requests for the load of the upstream.
    std::vector<StoreRead> storeReads_; ///< Rows of the table service to read.
    std::vector<StoreWrite> storeWrites_; ///< Transactions of the table service to run.
    std::vector<FetchVms> vmFetches_; ///< VM lists to request.
    std::vector<OperatorReply> operatorReplies_; ///< Replies to operators' requests.
    std::vector<PlacementDecision> decisions_; ///< Lines for the decision log.
    bool exit_ = false; ///< Whether the process may exit.
};

} // namespace Burdockfield
