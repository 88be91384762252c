/**
 * @file caller_wire.h
 * @brief Callers' HTTP: the completions API, plain services and problem documents.
 */
#pragma once

#include "http_type.h"
#include "request_type.h"

#include <string>
#include <system_error>

namespace Burdockfield {

constexpr std::string_view chatPath = "/v1/chat/completions"; ///< Chat completions.
constexpr std::string_view completionPath = "/v1/completions"; ///< Text completions.
constexpr std::string_view servicePrefix = "/v1/services/"; ///< Plain services; the name follows.

/// @return whether a target belongs to the callers' API.
bool isCallerPath(std::string_view path);

/**
 * Parses a caller's request.
 * @param request set on success, but for its exchange
 * @return a WireErrc on bad input
 */
std::error_code parseCallerRequest(const HttpRequest &http, CallerRequest &request);

/// @return the problem document of a refusal.
HttpReply serializeRefusal(const Refusal &refusal, const std::string &request);

/// @return the whole answer for a caller that does not stream.
HttpReply serializeAnswer(const CallerOutput &output, const CallerEnd &end);

/// @return header of a streamed answer.
HttpReply serializeStreamHead(const std::string &request);

/// @return events for pieces of a streamed answer.
std::string serializeDeltas(const CallerOutput &output, const CallerDeltas &deltas);

/// @return events that end a streamed answer.
std::string serializeStreamEnd(const CallerOutput &output, const CallerEnd &end);

/// @return event for a streamed answer that breaks off.
std::string serializeStreamRefusal(const Refusal &refusal, const std::string &request);

} // namespace Burdockfield
