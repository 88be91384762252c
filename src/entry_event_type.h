/**
 * @file entry_event_type.h
 * @brief Inputs of an entry's tick.
 */
#pragma once

#include "configuration_type.h"
#include "request_base.h"
#include "run_type.h"
#include "store_type.h"
#include "vm_type.h"

#include <variant>
#include <vector>

namespace Burdockfield {

/// A caller closed its connection before the answer was complete.
struct CallerDisconnected
{
    ExchangeId exchange_; ///< The caller's exchange.
};

/// An agent answered a run order, or could not be asked.
struct RunReplied
{
    RequestId request_; ///< Request that the order was for.
    uint32_t attempt_ = 0; ///< Attempt that the order was for.
    std::error_code error_; ///< Success or a TransportErrc.
    RunReply reply_; ///< The answer, on success.
};

/// A frame of an answer came in.
struct AnswerFrameReceived
{
    RequestId request_; ///< Request that is read for.
    uint32_t streamNumber_ = 0; ///< Read that it came by.
    AnswerFrame frame_; ///< The frame.
};

/// A read of an answer ended.
struct AnswerStreamClosed
{
    RequestId request_; ///< Request that was read for.
    uint32_t streamNumber_ = 0; ///< The read.
    std::error_code error_; ///< Why; a TransportErrc, or success at the end of the stream.
    bool unknownRun_ = false; ///< Whether the agent has never heard of the run.
};

/// An agent answered a cancellation, or could not be asked.
struct CancelReplied
{
    RequestId request_; ///< Request that was cancelled.
    uint32_t attempt_ = 0; ///< Attempt that was cancelled.
    std::error_code error_; ///< Success or a TransportErrc.
    CancelReply reply_; ///< The answer, on success.
};

/// An agent reported, or did not.
struct ReportReceived
{
    UpstreamId upstream_; ///< Upstream asked about.
    std::error_code error_; ///< Success or a TransportErrc.
    AgentReport report_; ///< The report, on success.
};

/// The platform listed the VMs, or did not.
struct VmsListed
{
    std::error_code error_; ///< Success or a TransportErrc.
    std::vector<Vm> vms_; ///< The list, on success.
    size_t bytes_ = 0; ///< Size of the list as it came.
};

/// The table service answered.
struct StoreReplied
{
    uint64_t call_ = 0; ///< Number of the call.
    StoreResult result_; ///< The outcome.
};

/// Another entry told the changes that it knows.
struct PeerChangesReceived
{
    std::error_code error_; ///< Success or a TransportErrc.
    std::vector<ConfirmedChange> changes_; ///< Changes after this node's revision, in order.
};

/// Another entry told its whole configuration.
struct PeerConfigurationReceived
{
    std::error_code error_; ///< Success or a TransportErrc.
    Configuration configuration_; ///< The configuration, on success.
};

/// An operator asks to test changes.
struct PlanRequested
{
    ExchangeId exchange_; ///< Where the plan goes.
    std::vector<Change> changes_; ///< Changes.
};

/// An operator confirms a plan.
struct ConfirmRequested
{
    ExchangeId exchange_; ///< Where the outcome goes.
    Plan plan_; ///< The plan.
};

/// What a status request asks for.
enum class StatusKind : uint8_t {
    Ready, ///< Whether the node takes requests.
    Status, ///< Tables at a glance.
    Metrics, ///< Counters and distributions.
    Configuration, ///< The configuration in force.
    Changes, ///< Confirmed changes after a revision.
};

/// A status request came in.
struct StatusRequested
{
    ExchangeId exchange_; ///< Where the answer goes.
    StatusKind kind_ = StatusKind::Ready; ///< What is asked.
    uint64_t afterRevision_ = 0; ///< For Changes: revision that the asker knows.
};

/// The process was told to stop.
struct StopRequested
{
};

/// Any input of an entry.
using EntryEvent = std::variant<CallerRequest, CallerDisconnected, RunReplied, AnswerFrameReceived, AnswerStreamClosed,
    CancelReplied, ReportReceived, VmsListed, StoreReplied, PeerChangesReceived, PeerConfigurationReceived,
    PlanRequested, ConfirmRequested, StatusRequested, StopRequested>;

/// Inputs of one tick, by kind; within a kind in order of arrival.
struct EntryInbox
{
    std::vector<CallerRequest> arrivals_; ///< New requests.
    std::vector<CallerDisconnected> disconnects_; ///< Callers that left.
    std::vector<RunReplied> runReplies_; ///< Answers to orders.
    std::vector<AnswerFrameReceived> frames_; ///< Frames of answers.
    std::vector<AnswerStreamClosed> closedAnswerStreams_; ///< Reads that ended.
    std::vector<CancelReplied> cancelReplies_; ///< Answers to cancellations.
    std::vector<ReportReceived> reports_; ///< Reports of agents.
    std::vector<VmsListed> vmLists_; ///< Lists of VMs.
    std::vector<StoreReplied> storeReplies_; ///< Answers of the table service.
    std::vector<PeerChangesReceived> peerChanges_; ///< Changes heard from other entries.
    std::vector<PeerConfigurationReceived> peerConfigurations_; ///< Configurations heard from other entries.
    std::vector<PlanRequested> plans_; ///< Plans to test.
    std::vector<ConfirmRequested> confirmations_; ///< Plans to execute.
    std::vector<StatusRequested> statusRequests_; ///< Status requests.
    bool stop_ = false; ///< Whether to stop.
};

/// Sorts an event into the inbox.
void addEvent(EntryInbox &inbox, EntryEvent event);

} // namespace Burdockfield
