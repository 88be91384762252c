/**
 * @file request_type.h
 * @brief A caller's request and what is sent back, free of any encoding.
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

/// Names an HTTP exchange of the front end; opaque to decisions.
struct ExchangeId
{
    uint64_t value_ = 0; ///< Unique in the process.

    auto operator<=>(const ExchangeId &) const = default;
};

/// Request as parsed by a front end.
struct CallerRequest
{
    ExchangeId exchange_; ///< Where the answer goes.
    std::string tokenDigest_; ///< Digest of the bearer token.
    RouteKind kind_ = RouteKind::Model; ///< Kind of route asked for.
    std::string route_; ///< Model or service.
    std::string tier_; ///< Tier asked for, or empty.
    Milliseconds wait_{ 0 }; ///< Wait asked for, or zero.
    std::string key_; ///< Idempotency key, or empty.
    std::string method_; ///< HTTP method.
    std::string path_; ///< Path below the API or the service.
    std::string payload_; ///< Body.
    std::string prompt_; ///< Text that the engine reads, for estimates and prefix hashes.
    uint32_t maxTokens_ = 0; ///< Bound on the answer's length, or zero.
    bool streamed_ = false; ///< Whether the answer is wanted piece by piece.
    bool retryable_ = false; ///< Whether a service call may be repeated, by its HTTP method.
};

/// Truthful refusal.
struct Refusal
{
    std::error_code error_; ///< Why.
    RunOutcome runOutcome_ = RunOutcome::NotRun; ///< Whether the request ran.
    Milliseconds retryAfter_{ 0 }; ///< When to try again; zero when that would not help.
    uint32_t timesRun_ = 0; ///< How often it ran, for a crash suspect.
};

/// Pieces for a caller that streams.
struct CallerDeltas
{
    std::vector<Delta> deltas_; ///< Pieces, in order.
};

/// End of an answer.
struct CallerEnd
{
    AnswerEnd end_; ///< How it ended.
    std::vector<Delta> deltas_; ///< The whole answer for a caller that does not stream.
    uint32_t answerTokens_ = 0; ///< Tokens of the whole answer.
};

/// One output to a caller.
struct CallerOutput
{
    ExchangeId exchange_; ///< Where it goes.
    std::string request_; ///< Name of the request.
    std::string route_; ///< Model or service.
    std::string path_; ///< Path that was asked for.
    RouteKind kind_ = RouteKind::Model; ///< Kind of the route.
    bool streamed_ = false; ///< Whether the caller streams.
    bool responseStarted_ = false; ///< Whether an earlier output began the answer.
    std::variant<CallerDeltas, CallerEnd, Refusal> body_; ///< What is sent.
};

} // namespace Burdockfield
