/**
 * @file agent_command_type.h
 * @brief Effects of an agent's tick.
 */
#pragma once

#include "agent_event_type.h"
#include "entry_command_type.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Answers a run order.
struct SendRunReply
{
    ExchangeId exchange_; ///< Where it goes.
    RunReply reply_; ///< The reply.
};

/// Sends a frame to a reader.
struct SendFrame
{
    ExchangeId exchange_; ///< Where it goes.
    AnswerFrame frame_; ///< The frame; the stream closes after one that ends.
};

/// Tells a reader that the run has never been heard of.
struct SendUnknownRun
{
    ExchangeId exchange_; ///< Where it goes.
};

/// Answers a cancellation.
struct SendCancelReply
{
    ExchangeId exchange_; ///< Where it goes.
    CancelReply reply_; ///< The reply.
};

/// Gives a report.
struct SendReport
{
    ExchangeId exchange_; ///< Where it goes.
    AgentReport report_; ///< The report.
};

/// Hands a run to the upstream.
struct StartEngine
{
    RunId run_; ///< Run.
    uint32_t dispatchNumber_ = 0; ///< Number of the hand-over.
    RunOrder order_; ///< What to run; its resumeTokens_ counts all pieces delivered so far.
};

/// Takes a run from the upstream.
struct AbortEngine
{
    RunId run_; ///< Run.
    uint32_t dispatchNumber_ = 0; ///< Number of the hand-over.
};

/// Asks the upstream about itself.
struct FetchLoad
{
};

/// What was done with a run.
enum class PlacementAction : uint8_t {
    Start, ///< Handed to the upstream.
    Resume, ///< Handed to the upstream again after a pause.
    Pause, ///< Taken from the upstream for a higher tier.
    Displace, ///< Taken from the queue for a higher tier.
    Refuse, ///< Not taken.
};

/// One placement decision, for the log.
struct PlacementDecision
{
    RunName run_; ///< Run.
    std::string workspace_; ///< Customer.
    std::string route_; ///< Model or service.
    TierRank tier_ = 0; ///< Tier.
    PlacementAction action_ = PlacementAction::Start; ///< What was done.
    std::error_code error_; ///< For a refusal: why.
    uint32_t running_ = 0; ///< Runs at the upstream.
    uint32_t waiting_ = 0; ///< Runs in the queue.
    uint64_t revision_ = 0; ///< Configuration revision.
};

/// Effects of one tick, by kind; within a kind in order.
struct AgentOutbox
{
    std::vector<SendRunReply> runReplies_; ///< Answers to orders.
    std::vector<SendFrame> frames_; ///< Frames for readers.
    std::vector<SendUnknownRun> unknownRuns_; ///< Readers of runs never heard of.
    std::vector<SendCancelReply> cancelReplies_; ///< Answers to cancellations.
    std::vector<SendReport> reports_; ///< Reports.
    std::vector<AbortEngine> engineAborts_; ///< Runs to take from the upstream.
    std::vector<StartEngine> engineStarts_; ///< Runs to hand to the upstream, after the aborts.
    std::vector<FetchLoad> loadFetches_; ///< Questions to the upstream.
    std::vector<StoreRead> storeReads_; ///< Rows to read.
    std::vector<StoreWrite> storeWrites_; ///< Transactions to run.
    std::vector<FetchVms> vmFetches_; ///< VM lists to ask for.
    std::vector<OperatorReply> operatorReplies_; ///< Answers to status requests.
    std::vector<PlacementDecision> decisions_; ///< Lines for the log.
    bool exit_ = false; ///< Whether the process may end.
};

} // namespace Burdockfield
