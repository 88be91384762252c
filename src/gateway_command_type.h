/**
 * @file gateway_command_type.h
 * @brief Commands that a gateway's tick returns, one table for each kind.
 */
#pragma once

#include "gateway_event_type.h"

#include <string>
#include <variant>
#include <vector>

namespace Burdockfield::Gateway {

/// Sends a request to an upstream.
struct SendCall
{
    uint64_t send_ = 0; ///< Number of the send, which its events refer to.
    ExchangeId exchange_; ///< Exchange with the caller; nothing is sent once the caller has disconnected.
    std::string address_; ///< IP:PORT of the upstream.
    CallRequest request_; ///< The caller's request.
    SendParameters parameters_; ///< What the gateway adds to it.
    bool retryable_ = false; ///< Whether it may run again at another upstream.
    uint32_t connectionShare_ = 0; ///< Connections to the upstream that this gateway may hold; 0 for no limit.
};

/// Connects to an upstream to find out whether it is down. The end has to be reported, see GatewayInbox::checks_.
struct CheckUpstream
{
    std::string upstream_; ///< Id of the upstream.
    std::string address_; ///< Its IP:PORT.
};

/// Forwards the complete answer of an upstream to a caller.
struct ForwardAnswer
{
    ExchangeId exchange_; ///< Exchange with the caller.
    HttpReply reply_; ///< The upstream's answer.
};

/// Answers a caller with a refusal by the gateway itself.
struct RefuseCall
{
    ExchangeId exchange_; ///< Exchange with the caller.
    RefusalReason reason_ = RefusalReason::Malformed; ///< Why it is refused.
    bool notRun_ = true; ///< Whether the request has certainly not run and will not.
    Milliseconds retryAfter_{ 0 }; ///< Time after which the caller should retry; zero when a retry would not help.
    std::string requestId_; ///< Id of the request.
};

/// Starts a streamed answer to a caller.
struct StartStream
{
    ExchangeId exchange_; ///< Exchange with the caller.
    HttpReply head_; ///< Status and headers.
};

/// Sends events of a stream to a caller.
struct SendEvents
{
    ExchangeId exchange_; ///< Exchange with the caller.
    std::string bytes_; ///< Complete events.
};

/// Log record of a decision about a request, or of a change of what the gateway knows.
struct Decision
{
    std::string event_; ///< Kind of decision, a fixed word.
    std::vector<std::pair<std::string, std::string>> fields_; ///< Request id, inputs, their age or version, outcome.
    bool failure_ = false; ///< Whether it reports a failure; failures have priority when log lines are limited.
};

/// Fetches a part of a peer's snapshot. Its end has to be reported, see GatewayInbox::endedSnapshots_.
struct FetchSnapshot
{
    std::string address_; ///< IP:PORT of the peer.
    SnapshotPart part_ = SnapshotPart::Configuration; ///< What to fetch.
};

/// Sends an update to peers.
struct SendUpdate
{
    std::vector<std::string> addresses_; ///< IP:PORT of each peer.
    PeerUpdate update_; ///< The same for all of them.
};

/// Sends a message about slots to a peer.
struct SendSlotMessage
{
    std::string address_; ///< IP:PORT of the peer.
    SlotMessage message_; ///< The message.
};

/**
 * Writes the status row of a rollout, if the row still has the given version. The row as it is then, or the one that
 * was written, has to be reported as received; a lost reply is not.
 */
struct WriteRolloutStatus
{
    RolloutStatus status_; ///< What to write.
    uint64_t expectedVersion_ = 0; ///< Version that the row has to have; 0 if it must not exist.
};

/// Commands of one tick.
struct GatewayOutbox
{
    std::vector<SendCall> sends_; ///< Requests to send to upstreams.
    std::vector<CheckUpstream> checks_; ///< Upstreams to check.
    std::vector<uint64_t> cancels_; ///< Numbers of the sends to cancel.
    std::vector<std::string>
        replacedAddresses_; ///< IP:PORT of upstreams whose idle connections lead to ended processes.
    std::vector<StartStream> streamStarts_; ///< Streams to start.
    std::vector<SendEvents> events_; ///< Events to send to callers.
    std::vector<ExchangeId> streamEnds_; ///< Streams to end, as they are complete.
    std::vector<ExchangeId> abortedExchanges_; ///< Exchanges to abort, because a stream on them cannot be completed.
    std::vector<ForwardAnswer> answers_; ///< Complete answers to forward.
    std::vector<RefuseCall> refusals_; ///< Refusals to send to callers.
    std::vector<SendUpdate> updates_; ///< Updates to send to peers.
    std::vector<SendSlotMessage> slotMessages_; ///< Messages about slots, one for each receiver.
    std::vector<FetchSnapshot> snapshotFetches_; ///< Snapshots to fetch from peers.
    std::vector<WriteRolloutStatus> rolloutStatuses_; ///< Status rows of rollouts to write.
    std::vector<CrashRecords> crashRecords_; ///< Evidence of crashes to write to the store; its outcome is an event.
    bool readCrashRecords_ = false; ///< Whether to read that evidence.
    std::vector<Decision> decisions_; ///< Records to log.
    bool limitsChanged_ = false; ///< Whether the limits on callers' requests have changed.
    bool stopListening_ = false; ///< Whether to stop accepting connections.
    bool exit_ = false; ///< Whether the process may exit once its answers are written.
    bool exitImmediately_ = false; ///< Whether the process has to exit even if answers are not written yet.
};

} // namespace Burdockfield::Gateway
