/**
 * @file answer_type.h
 * @brief Deltas of an answer, and how it ended.
 */
#pragma once

#include "route_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <system_error>

namespace Burdockfield {

/// Identifies one attempt to run a request; unique across entries and restarts.
struct RunName
{
    std::string request_; ///< Entry name, entry incarnation and sequence number.
    uint32_t attempt_ = 0; ///< Number of the attempt within the request.

    auto operator<=>(const RunName &) const = default;
};

/// Increment of an answer; deltas are kept in the order generated.
struct Delta
{
    std::string text_; ///< Text, or bytes of a service's response body.
    uint32_t tokens_ = 0; ///< Number of tokens in the text; 0 for a service.
};

/// End of an answer, or of an attempt without one.
struct AnswerEnd
{
    std::error_code error_; ///< Success, or why the answer is missing.
    RunOutcome runOutcome_ = RunOutcome::Ran; ///< Whether the request ran, as far as is known.
    uint64_t deltaCount_ = 0; ///< Number of deltas in the complete answer.
    uint64_t checksum_ = 0; ///< XXH3 hash of the complete text.
    std::string finishReason_; ///< Reason reported by the engine, such as "stop".
    int status_ = 200; ///< HTTP status of a service's response.
    std::string contentType_; ///< Media type of a service's response.
    uint32_t promptTokens_ = 0; ///< Prompt length reported by the engine.
    std::string ownerAddress_; ///< If another run holds the claim of the key: address of its agent.
    RunName ownerRun_; ///< If another run holds the claim of the key: that run.
};

} // namespace Burdockfield
