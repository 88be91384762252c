/**
 * @file engine_wire.h
 * @brief HTTP between an agent and its upstream: the completions API with streaming, or a plain service.
 */
#pragma once

#include "agent_command_type.h"
#include "http_func.h"
#include "http_type.h"

#include <string_view>

namespace Burdockfield {

constexpr std::string_view loadPath = "/load"; ///< What an upstream says of itself.

/// @return the call that hands a run to the upstream.
HttpRequest makeEngineCall(const RunOrder &order);

/// Answer of an engine, as far as it has come.
struct EngineStream
{
    TextSplitter splitter_; ///< Splits events.
    bool done_ = false; ///< Whether the stream said that it is complete.
    AnswerEnd end_; ///< What the stream said of its end.
};

/**
 * Takes in a piece of an engine's event stream.
 * @param error set to a WireErrc when an event is malformed
 * @return the pieces of the answer in it
 */
std::vector<Delta> parseEngineBytes(EngineStream &stream, std::string_view bytes, std::error_code &error);

/// @return the end of a run whose engine answered with an error status.
AnswerEnd makeEngineRefusal(int status);

/// @return the end of a run of a plain service.
AnswerEnd makeServiceEnd(const HttpReply &reply);

/// Parses what an upstream says of itself. @return a WireErrc on bad input.
std::error_code parseLoad(std::string_view text, EngineLoad &load);

} // namespace Burdockfield
