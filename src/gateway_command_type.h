/**
 * @file gateway_command_type.h
 * @brief Effects of a gateway's tick, one table for each kind.
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
    uint64_t send_ = 0; ///< Number of the send.
    std::string address_; ///< IP:PORT of the upstream.
    CallRequest request_; ///< The caller's request.
    SendParameters parameters_; ///< What is added to it.
    bool retryable_ = false; ///< Whether it may run again elsewhere.
    uint32_t connectionShare_ = 0; ///< Connections of the upstream that this gateway may hold; 0 if not bounded.
};

/// Answers a caller with the whole answer of an upstream.
struct ForwardAnswer
{
    ExchangeId exchange_; ///< Where it goes.
    HttpReply reply_; ///< The answer.
};

/// Answers a caller by the gateway itself.
struct RefuseCall
{
    ExchangeId exchange_; ///< Where it goes.
    RefusalReason reason_ = RefusalReason::Malformed; ///< Why.
    bool notRun_ = true; ///< Whether the request has certainly not run and will not.
    Milliseconds retryAfter_{ 0 }; ///< When to come back; zero when that would not help.
    std::string requestId_; ///< Name of the request.
};

/// Begins a streamed answer.
struct StartStream
{
    ExchangeId exchange_; ///< Where it goes.
    HttpReply head_; ///< Status and headers.
};

/// Sends events of a stream.
struct SendEvents
{
    ExchangeId exchange_; ///< Where they go.
    std::string bytes_; ///< Whole events.
};

/// Gateway's decision about a request or change of what it believes, for the log.
struct Decision
{
    std::string event_; ///< What happened, a fixed word.
    std::vector<std::pair<std::string, std::string>> fields_; ///< Request id, inputs, their age or version, outcome.
    bool failure_ = false; ///< Whether it tells of a failure; these go first when lines are limited.
};

/// Asks a peer for its configuration and upstreams.
struct FetchSnapshot
{
    std::string address_; ///< IP:PORT of the peer.
};

/// Tells peers what this gateway knows.
struct SendUpdate
{
    std::vector<std::string> addresses_; ///< Peers.
    PeerUpdate update_; ///< What they are told.
};

/// Effects of one tick.
struct GatewayOutbox
{
    std::vector<SendCall> sends_; ///< Sends.
    std::vector<uint64_t> cancels_; ///< Sends to give up.
    std::vector<StartStream> streamStarts_; ///< Streams that begin.
    std::vector<SendEvents> events_; ///< Events for callers.
    std::vector<ExchangeId> streamEnds_; ///< Streams that are complete.
    std::vector<ExchangeId> abortedExchanges_; ///< Exchanges to break off.
    std::vector<ForwardAnswer> answers_; ///< Whole answers.
    std::vector<RefuseCall> refusals_; ///< Refusals.
    std::vector<SendUpdate> updates_; ///< Updates for peers.
    std::vector<FetchSnapshot> snapshotFetches_; ///< Snapshots to fetch.
    std::vector<Decision> decisions_; ///< Log lines.
    bool limitsChanged_ = false; ///< Bounds on callers have changed.
    bool stopListening_ = false; ///< No new connections are to be taken.
    bool exit_ = false; ///< The process may end once its answers are written.
    bool exitImmediately_ = false; ///< The process ends, whatever is not written yet.
};

} // namespace Burdockfield::Gateway
