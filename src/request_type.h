/**
 * @file request_type.h
 * @brief A caller's request and the messages sent back, independent of their encoding.
 */
#pragma once

#include "answer_type.h"
#include "route_type.h"
#include "time_type.h"

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace Burdockfield {

/// Identifies an HTTP exchange of the front end; scheduling decisions do not interpret it.
struct ExchangeId
{
    uint64_t value_ = 0; ///< Unique within the process.

    auto operator<=>(const ExchangeId &) const = default;
};

/// Request of a caller, as parsed by a front end.
struct CallerRequest
{
    ExchangeId exchange_; ///< Exchange to answer on.
    std::string tokenDigest_; ///< Digest of the bearer token.
    RouteKind kind_ = RouteKind::Model; ///< Kind of the requested route.
    std::string route_; ///< Name of the model or service.
    std::string tier_; ///< Requested tier, or empty.
    Milliseconds wait_{ 0 }; ///< Requested wait limit, or zero.
    std::string key_; ///< Idempotency key, or empty.
    std::string method_; ///< HTTP method.
    std::string path_; ///< Path below the API or the service.
    std::string payload_; ///< Request body.
    std::string prompt_; ///< Input text of the engine, for length estimates and prefix hashes.
    uint32_t maxTokens_ = 0; ///< Maximum answer length, or zero if the caller sets none.
    bool streamed_ = false; ///< Whether the caller wants the answer streamed.
    bool retryable_ = false; ///< Whether a service call may be retried according to its HTTP method.
};

/// Refusal that also says whether the request ran.
struct Refusal
{
    std::error_code error_; ///< Reason of the refusal.
    RunOutcome runOutcome_ = RunOutcome::NotRun; ///< Whether the request ran.
    Milliseconds retryAfter_{ 0 }; ///< Delay before the caller should retry; zero if a retry would not help.
    uint32_t timesRun_ = 0; ///< How often the request ran; set for crash suspects only.
};

/// New part of an answer, for a streaming caller.
struct CallerDeltas
{
    std::vector<Delta> deltas_; ///< Deltas in the order generated.
};

/// End of an answer.
struct CallerEnd
{
    AnswerEnd end_; ///< How the answer ended.
    std::vector<Delta> deltas_; ///< Complete answer, for a caller that does not stream.
    uint32_t answerTokens_ = 0; ///< Tokens of the complete answer.
};

/// Message to a caller.
struct CallerOutput
{
    ExchangeId exchange_; ///< Exchange to send it on.
    std::string request_; ///< Name of the request.
    std::string route_; ///< Name of the model or service.
    std::string path_; ///< Requested path.
    RouteKind kind_ = RouteKind::Model; ///< Kind of the route.
    bool streamed_ = false; ///< Whether the caller wants the answer streamed.
    bool responseStarted_ = false; ///< Whether an earlier message started the response.
    std::variant<CallerDeltas, CallerEnd, Refusal> body_; ///< Content of the message.
};

} // namespace Burdockfield
