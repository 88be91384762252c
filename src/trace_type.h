/**
 * @file trace_type.h
 * @brief Traces: timed requests of callers, each with its expected outcome.
 */
#pragma once

#include "route_type.h"
#include "time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// Outcome that a trace expects for a request.
enum class ExpectedOutcome : uint8_t {
    Answered, ///< A complete answer within the agreed wait.
    AnsweredOrRefused, ///< A complete answer, or a refusal that gives the run outcome.
    Refused, ///< A refusal that gives the run outcome.
};

/// Request of a trace.
struct TraceRecord
{
    uint64_t id_ = 0; ///< Number of the request within the trace.
    Milliseconds arrival_{ 0 }; ///< Time from the start of the trace.
    std::string workspace_; ///< Workspace that sends the request.
    std::string token_; ///< Bearer token.
    std::string tier_; ///< Requested tier; empty for the workspace's default tier.
    std::string region_; ///< Region that the request comes from.
    RouteKind kind_ = RouteKind::Model; ///< Whether route_ names a model or a service.
    std::string route_; ///< Name of the model or service.
    uint32_t promptTokens_ = 0; ///< Prompt length, including the shared prefix.
    uint32_t answerTokens_ = 0; ///< Expected length of the answer, also sent as its limit.
    uint32_t sharedPrefixId_ = 0; ///< Id of a prompt prefix that several requests share; 0 for none.
    uint32_t prefixTokens_ = 0; ///< Length of the shared prefix.
    std::string key_; ///< Idempotency key, or empty.
    Milliseconds wait_{ 0 }; ///< Agreed wait, sent in the Prefer header in whole seconds, rounded up.
    bool streamed_ = true; ///< Whether the answer is streamed.
    std::string group_; ///< Label by which a replay groups its results, such as "flood" or "small".
    ExpectedOutcome expectedOutcome_ = ExpectedOutcome::AnsweredOrRefused; ///< Checked by a replay.
};

/// Requests to replay.
struct Trace
{
    std::vector<TraceRecord> records_; ///< Sorted by arrival.
};

} // namespace Burdockfield
