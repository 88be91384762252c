/**
 * @file entry_event_type.h
 * @brief Events that an entry's tick handles.
 */
#pragma once

#include "configuration_type.h"
#include "link_use_type.h"
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
    ExchangeId exchange_; ///< Exchange that it closed.
};

/// An agent replied to a run order, or the call failed.
struct RunReplied
{
    RequestId request_; ///< Request that the order was for.
    uint32_t attempt_ = 0; ///< Attempt that the order was for.
    std::error_code error_; ///< Success or a TransportErrc.
    RunReply reply_; ///< Reply, on success.
};

/// A frame of an answer was received.
struct AnswerFrameReceived
{
    RequestId request_; ///< Request that the stream was opened for.
    uint32_t streamNumber_ = 0; ///< Stream on which it was received.
    AnswerFrame frame_;
};

/// An answer stream ended.
struct AnswerStreamClosed
{
    RequestId request_; ///< Request that the stream was opened for.
    uint32_t streamNumber_ = 0; ///< Stream that ended.
    std::error_code error_; ///< Success when the agent ended the stream, else a TransportErrc.
    bool unknownRun_ = false; ///< Whether the agent does not know the run.
};

/// An agent replied to a cancellation, or the call failed.
struct CancelReplied
{
    RequestId request_; ///< Request that was cancelled.
    uint32_t attempt_ = 0; ///< Attempt that was cancelled.
    std::error_code error_; ///< Success or a TransportErrc.
    CancelReply reply_; ///< Reply, on success.
};

/// An agent's report was received, or the request for it failed.
struct ReportReceived
{
    UpstreamId upstream_; ///< Upstream that the report was requested for.
    std::error_code error_; ///< Success or a TransportErrc.
    AgentReport report_; ///< Report, on success.
};

/// The platform's VM list was received, or the request for it failed.
struct VmsListed
{
    std::error_code error_; ///< Success or a TransportErrc.
    std::vector<Vm> vms_; ///< List, on success.
    size_t bytes_ = 0; ///< Encoded size of the list in bytes.
};

/// A call of the table service ended.
struct StoreReplied
{
    uint64_t call_ = 0; ///< Number given in the StoreRead or StoreWrite.
    StoreResult result_;
};

/// Another entry sent its recent configuration changes, or the request failed.
struct PeerChangesReceived
{
    std::error_code error_; ///< Success or a TransportErrc.
    std::vector<ConfirmedChange> changes_; ///< Changes after the requested revision, in order.
};

/// Another entry sent its whole configuration, or the request failed.
struct PeerConfigurationReceived
{
    std::error_code error_; ///< Success or a TransportErrc.
    Configuration configuration_; ///< Configuration, on success.
};

/// An operator requests a plan: a test of changes that does not apply them.
struct PlanRequested
{
    ExchangeId exchange_; ///< Exchange on which the plan is sent.
    std::vector<Change> changes_; ///< Changes to test.
};

/// An operator confirms a plan.
struct ConfirmRequested
{
    ExchangeId exchange_; ///< Exchange on which the outcome is sent.
    Plan plan_; ///< Plan to apply.
};

/// Kind of a status request.
enum class StatusKind : uint8_t {
    Ready, ///< Whether the node accepts requests.
    Status, ///< Summary of the tables.
    Metrics, ///< Counters, gauges and distributions.
    Configuration, ///< Configuration in force.
    Changes, ///< Confirmed changes after a revision.
};

/// A status request was received.
struct StatusRequested
{
    ExchangeId exchange_; ///< Exchange on which the reply is sent.
    StatusKind kind_ = StatusKind::Ready;
    uint64_t afterRevision_ = 0; ///< For Changes: revision that the sender already has.
};

/// The process received a signal to stop.
struct StopRequested
{
};

/// Any event of an entry.
using EntryEvent = std::variant<CallerRequest, CallerDisconnected, RunReplied, AnswerFrameReceived, AnswerStreamClosed,
    CancelReplied, ReportReceived, VmsListed, StoreReplied, PeerChangesReceived, PeerConfigurationReceived,
    PlanRequested, ConfirmRequested, StatusRequested, ExtraReply, StopRequested>;

/// Events of one tick, grouped by kind; in order of arrival within each kind.
struct EntryInbox
{
    std::vector<CallerRequest> arrivals_; ///< New requests of callers.
    std::vector<CallerDisconnected> disconnects_; ///< Callers that disconnected.
    std::vector<RunReplied> runReplies_; ///< Replies to run orders.
    std::vector<AnswerFrameReceived> frames_; ///< Frames of answers.
    std::vector<AnswerStreamClosed> closedAnswerStreams_; ///< Answer streams that ended.
    std::vector<CancelReplied> cancelReplies_; ///< Replies to cancellations.
    std::vector<ReportReceived> reports_; ///< Reports from agents.
    std::vector<VmsListed> vmLists_; ///< VM lists from the platform.
    std::vector<StoreReplied> storeReplies_; ///< Results of the table service.
    std::vector<PeerChangesReceived> peerChanges_; ///< Changes received from other entries.
    std::vector<PeerConfigurationReceived> peerConfigurations_; ///< Configurations received from other entries.
    std::vector<PlanRequested> plans_; ///< Plans to test.
    std::vector<ConfirmRequested> confirmations_; ///< Plans to confirm.
    std::vector<StatusRequested> statusRequests_;
    std::vector<ExtraReply> extraReplies_; ///< Replies that were dropped.
    bool stop_ = false; ///< Whether a stop was requested.
};

/// Adds an event to the inbox list of its kind.
void addEvent(EntryInbox &inbox, EntryEvent event);

} // namespace Burdockfield
