/**
 * @file answer_type.h
 * @brief Pieces of an answer, and how it ended.
 */
#pragma once

#include "route_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <system_error>

namespace Burdockfield {

/// Names one attempt to run a request; unique across entries and restarts.
struct RunName
{
    std::string request_; ///< Entry name, entry incarnation and sequence number.
    uint32_t attempt_ = 0; ///< Counts the attempts of the request.

    auto operator<=>(const RunName &) const = default;
};

/// Piece of an answer, in the order generated.
struct Delta
{
    std::string text_; ///< Text, or bytes of a service's body.
    uint32_t tokens_ = 0; ///< Count of tokens in the text; 0 for a service.
};

/// End of an answer or of an attempt to get one.
struct AnswerEnd
{
    std::error_code error_; ///< Success, or why the answer is missing.
    RunOutcome runOutcome_ = RunOutcome::Ran; ///< What is known of the run.
    uint64_t deltaCount_ = 0; ///< Count of pieces of the whole answer.
    uint64_t checksum_ = 0; ///< XXH3 of the whole text.
    std::string finishReason_; ///< Reason given by the engine, such as "stop".
    int status_ = 200; ///< HTTP status of a service's answer.
    std::string contentType_; ///< Media type of a service's answer.
    uint32_t promptTokens_ = 0; ///< Prompt tokens counted by the engine.
    std::string ownerAddress_; ///< For a claim held elsewhere: the agent that holds it.
    RunName ownerRun_; ///< For a claim held elsewhere: the run that holds it.
};

} // namespace Burdockfield
