/**
 * @file caller_wire.h
 * @brief HTTP API for callers: completions, plain services and problem documents.
 */
#pragma once

#include "http_type.h"
#include "request_type.h"

#include <string>
#include <system_error>

namespace Burdockfield {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view completionPath = "/v1/completions";
constexpr std::string_view servicePrefix = "/v1/services/"; ///< Path of a plain service, before its name.

/// @return whether a path belongs to the API for callers.
bool isCallerPath(std::string_view path);

/**
 * Parses a caller's request.
 * @param request set on success, except its exchange
 * @return success, or a WireErrc on bad input
 */
std::error_code parseCallerRequest(const HttpRequest &http, CallerRequest &request);

/// @return the response to a refused request: a problem document, with Retry-After if set.
HttpReply serializeRefusal(const Refusal &refusal, const std::string &request);

/// @return the complete response for a caller that does not stream.
HttpReply serializeAnswer(const CallerOutput &output, const CallerEnd &end);

/// @return the header of a streamed response.
HttpReply serializeStreamHead(const std::string &request);

/// @return server-sent events, one for each delta.
std::string serializeDeltas(const CallerOutput &output, const CallerDeltas &deltas);

/// @return the server-sent events that end a streamed response: finish reason, usage and [DONE].
std::string serializeStreamEnd(const CallerOutput &output, const CallerEnd &end);

/// @return the server-sent event that reports a refusal after the header of a streamed response was sent.
std::string serializeStreamRefusal(const Refusal &refusal, const std::string &request);

} // namespace Burdockfield
