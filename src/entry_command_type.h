/**
 * @file entry_command_type.h
 * @brief Effects of an entry's tick.
 */
#pragma once

#include "configuration_type.h"
#include "entry_event_type.h"
#include "metrics_type.h"
#include "request_base.h"
#include "run_type.h"
#include "store_type.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Orders a run.
struct SendOrder
{
    RequestId request_; ///< Request.
    std::string address_; ///< Agent.
    RunOrder order_; ///< The order.
};

/// Reads an answer.
struct OpenAnswerStream
{
    RequestId request_; ///< Request.
    uint32_t streamNumber_ = 0; ///< Number of this read.
    std::string address_; ///< Agent.
    RunName name_; ///< Run.
    uint64_t offset_ = 0; ///< First piece wanted.
};

/// Stops reading an answer.
struct CloseAnswerStream
{
    RequestId request_; ///< Request.
    uint32_t streamNumber_ = 0; ///< Number of the read.
};

/// Cancels an attempt.
struct SendCancel
{
    RequestId request_; ///< Request; may be gone when the answer comes.
    std::string address_; ///< Agent.
    RunName name_; ///< Attempt.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that had the order.
};

/// Asks an agent for a report.
struct FetchReport
{
    UpstreamId upstream_; ///< Upstream.
    std::string address_; ///< Agent.
    uint64_t revision_ = 0; ///< Configuration revision of this entry.
    bool drained_ = false; ///< Whether that revision drains the upstream.
    uint64_t knownVersion_ = 0; ///< Report version that the entry has.
    Milliseconds maxWait_{ 0 }; ///< How long the agent may hold the answer while nothing changes.
};

/// Asks the platform for the VM list.
struct FetchVms
{
};

/// Tells an agent that the VM list says that its VM leaves.
struct SendLeaveNotice
{
    std::string address_; ///< Agent.
};

/// Reads a row of the table service.
struct StoreRead
{
    uint64_t call_ = 0; ///< Number of the call.
    StoreKey key_; ///< Row.
};

/// Runs a transaction of the table service.
struct StoreWrite
{
    uint64_t call_ = 0; ///< Number of the call.
    StoreTransaction transaction_; ///< The transaction.
};

/// Asks another entry for the changes that it knows, or for its whole configuration.
struct FetchPeerChanges
{
    std::string address_; ///< Entry.
    uint64_t afterRevision_ = 0; ///< Revision of this entry.
    bool whole_ = false; ///< Whether the whole configuration is asked for.
};

/// Answers an operator.
struct OperatorReply
{
    ExchangeId exchange_; ///< Where it goes.
    std::error_code error_; ///< Success or a PlanErrc.
    StatusKind kind_ = StatusKind::Status; ///< What was asked.
    std::string text_; ///< Body.
    uint64_t revision_ = 0; ///< Revision in force.
};

/// Why an upstream was chosen, or none.
enum class DecisionReason : uint8_t {
    EarliestFinish, ///< Its expected end of the answer was the earliest.
    NextInTurn, ///< It was next in turn.
    Refused, ///< The request was refused.
};

/// Upstream that was considered.
struct DecisionCandidate
{
    std::string upstream_; ///< Name.
    FractionalSeconds expected_{ 0 }; ///< Expected time to the end of the answer.
};

/// One routing decision, for the log.
struct RoutingDecision
{
    std::string request_; ///< Request.
    std::string workspace_; ///< Customer.
    std::string route_; ///< Model or service.
    TierRank tier_ = 0; ///< Tier.
    uint32_t attempt_ = 0; ///< Attempt.
    std::vector<DecisionCandidate> candidates_; ///< Upstreams considered.
    std::string choice_; ///< Upstream chosen, or empty.
    DecisionReason reason_ = DecisionReason::EarliestFinish; ///< Why.
    std::error_code error_; ///< For a refusal: why.
    uint64_t revision_ = 0; ///< Configuration revision.
};

/// Effects of one tick, by kind; within a kind in order.
struct EntryOutbox
{
    std::vector<CallerOutput> callerOutputs_; ///< Answers and refusals.
    std::vector<SendOrder> orders_; ///< Run orders.
    std::vector<OpenAnswerStream> answerStreamsToOpen_; ///< Answers to read.
    std::vector<CloseAnswerStream> answerStreamsToClose_; ///< Reads to stop.
    std::vector<SendCancel> cancels_; ///< Attempts to cancel.
    std::vector<FetchReport> reportFetches_; ///< Reports to ask for.
    std::vector<FetchVms> vmFetches_; ///< VM lists to ask for.
    std::vector<SendLeaveNotice> leaveNotices_; ///< Agents to tell that they leave.
    std::vector<StoreRead> storeReads_; ///< Rows to read.
    std::vector<StoreWrite> storeWrites_; ///< Transactions to run.
    std::vector<FetchPeerChanges> peerFetches_; ///< Changes to ask for.
    std::vector<OperatorReply> operatorReplies_; ///< Answers to operators.
    std::vector<RoutingDecision> decisions_; ///< Lines for the log.
    bool exit_ = false; ///< Whether the process may end.
};

} // namespace Burdockfield
