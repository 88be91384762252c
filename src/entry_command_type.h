/**
 * @file entry_command_type.h
 * @brief Commands that an entry's tick returns for the I/O thread to execute.
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

/// Sends a run order to an agent.
struct SendOrder
{
    RequestId request_;
    std::string address_; ///< IP:PORT of the agent.
    RunOrder order_;
};

/// Opens a stream that reads the answer of a run from its agent.
struct OpenAnswerStream
{
    RequestId request_;
    uint32_t streamNumber_ = 0; ///< Number of the stream; unique within the request.
    std::string address_; ///< IP:PORT of the agent.
    RunName name_; ///< Run to read.
    uint64_t offset_ = 0; ///< Index of the first delta to send.
};

/// Closes an answer stream.
struct CloseAnswerStream
{
    RequestId request_;
    uint32_t streamNumber_ = 0; ///< Stream to close.
};

/// Sends an agent the cancellation of an attempt.
struct SendCancel
{
    RequestId request_; ///< Request; may have been removed when the reply is received.
    std::string address_; ///< IP:PORT of the agent.
    RunName name_; ///< Attempt to cancel.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that the order was sent to.
};

/// Requests a report from an agent.
struct FetchReport
{
    UpstreamId upstream_;
    std::string address_; ///< IP:PORT of the agent.
    uint64_t revision_ = 0; ///< Configuration revision of this entry.
    bool drained_ = false; ///< Whether that revision drains the upstream.
    uint64_t knownVersion_ = 0; ///< Version of the last report received, or 0.
    Milliseconds maxWait_{ 0 }; ///< Longest time that the agent may hold its reply while nothing changes.
};

/// Requests the VM list from the platform.
struct FetchVms
{
};

/// Notifies an agent that the VM list marks its VM as leaving.
struct SendLeaveNotice
{
    std::string address_; ///< IP:PORT of the agent.
};

/// Reads a row of the table service.
struct StoreRead
{
    uint64_t call_ = 0; ///< Number that the reply repeats.
    StoreKey key_; ///< Row to read.
};

/// Runs a transaction of the table service.
struct StoreWrite
{
    uint64_t call_ = 0; ///< Number that the reply repeats.
    StoreTransaction transaction_;
};

/// Requests recent configuration changes, or the whole configuration, from another entry.
struct FetchPeerChanges
{
    std::string address_; ///< IP:PORT of the other entry.
    uint64_t afterRevision_ = 0; ///< Configuration revision of this entry.
    bool whole_ = false; ///< Whether to request the whole configuration.
};

/// Reply to a status request, a plan or a confirmation.
struct OperatorReply
{
    ExchangeId exchange_; ///< Exchange on which it is sent.
    std::error_code error_; ///< Success, a PlanErrc, or for StatusKind::Ready a RefusalErrc.
    StatusKind kind_ = StatusKind::Status; ///< Kind of the request; decides the content type.
    std::string text_; ///< Body, on success.
    uint64_t revision_ = 0; ///< Configuration revision in force.
};

/// Reason for choosing an upstream, or for choosing none.
enum class DecisionReason : uint8_t {
    EarliestFinish, ///< It had the earliest expected finish.
    NextInTurn, ///< It was next in round-robin order.
    Refused, ///< The request was refused.
};

/// Upstream considered in a routing decision.
struct DecisionCandidate
{
    std::string upstream_; ///< Name of the VM.
    FractionalSeconds expected_{ 0 }; ///< Expected time until the answer is complete.
};

/// Log record of one routing decision.
struct RoutingDecision
{
    std::string request_; ///< Name of the request.
    std::string workspace_; ///< Name of the workspace.
    std::string route_; ///< Name of the model or service.
    TierRank tier_ = 0;
    uint32_t attempt_ = 0; ///< Number of the attempt.
    std::vector<DecisionCandidate> candidates_; ///< Upstreams considered.
    std::string choice_; ///< Name of the chosen upstream, or empty.
    DecisionReason reason_ = DecisionReason::EarliestFinish;
    std::error_code error_; ///< Reason for a refusal; success otherwise.
    uint64_t revision_ = 0; ///< Configuration revision in force.
};

/// Commands of one tick, grouped by kind; in order within each kind.
struct EntryOutbox
{
    std::vector<CallerOutput> callerOutputs_; ///< Answers and refusals for callers.
    std::vector<SendOrder> orders_; ///< Run orders to send.
    std::vector<OpenAnswerStream> answerStreamsToOpen_; ///< Answer streams to open.
    std::vector<CloseAnswerStream> answerStreamsToClose_; ///< Answer streams to close.
    std::vector<SendCancel> cancels_; ///< Attempts to cancel.
    std::vector<FetchReport> reportFetches_; ///< Reports to request.
    std::vector<FetchVms> vmFetches_; ///< VM lists to request.
    std::vector<SendLeaveNotice> leaveNotices_; ///< Agents to notify that their VMs are leaving.
    std::vector<StoreRead> storeReads_; ///< Rows to read from the table service.
    std::vector<StoreWrite> storeWrites_; ///< Transactions to run in the table service.
    std::vector<FetchPeerChanges> peerFetches_; ///< Changes or configurations to request from peers.
    std::vector<OperatorReply> operatorReplies_; ///< Replies to operators and peers.
    std::vector<RoutingDecision> decisions_; ///< Decisions to log.
    bool exit_ = false; ///< Whether the process may end.
};

} // namespace Burdockfield
