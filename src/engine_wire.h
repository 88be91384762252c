/**
 * @file engine_wire.h
 * @brief HTTP messages between an agent and its upstream: the streaming completions API, or a plain service.
 */
#pragma once

#include "agent_command_type.h"
#include "http_func.h"
#include "http_type.h"

#include <string_view>

namespace Burdockfield {

constexpr std::string_view loadPath = "/load"; ///< Default path of the load request.

/// @return HTTP request that dispatches a run to the upstream.
HttpRequest makeEngineRequest(const RunOrder &order);

/// State of parsing an engine's event stream.
struct EngineStream
{
    TextSplitter splitter_; ///< Splits the bytes into events.
    bool done_ = false; ///< Whether the event that marks the end was received.
    AnswerEnd end_; ///< How the answer ended, as read from the events so far.
};

/**
 * Parses the next bytes of an engine's event stream.
 * @param error set to a WireErrc when an event is malformed
 * @return deltas of the events that are now complete
 */
std::vector<Delta> parseEngineBytes(EngineStream &stream, std::string_view bytes, std::error_code &error);

/// @return end of a run whose engine replied with an HTTP error status.
AnswerEnd makeErrorStatusEnd(int status);

/// @return end of a run of a plain service.
AnswerEnd makeServiceEnd(const HttpReply &reply);

/// Parses the upstream's reply to a load request. @return a WireErrc on bad input.
std::error_code parseLoad(std::string_view text, EngineLoad &load);

} // namespace Burdockfield
