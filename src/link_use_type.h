/**
 * @file link_use_type.h
 * @brief What a connection to an upstream or another peer has been used for, and what came on it unasked.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Burdockfield {

/// Use of a connection by a call, as it was at the end of the call.
struct LinkUse
{
    uint64_t number_ = 0; ///< Number of the connection, counted from 1 since the start; 0 if there was none.
    size_t callsBefore_ = 0; ///< Calls that it carried before this one.
    bool requestWritten_ = false; ///< Whether the request was written completely.
};

/// When an answer came that no call was waiting for.
enum class ExtraAnswerPlace : uint8_t {
    Idle, ///< On an idle connection.
    BeforeAnswer, ///< It belongs to another request than the current one.
    BehindAnswer, ///< Together with the end of the answer that was due.
};

/// Reply that no call was waiting for. It is dropped, and its connection carries no further call.
struct ExtraReply
{
    std::string address_; ///< IP:PORT of the peer.
    ExtraAnswerPlace place_ = ExtraAnswerPlace::Idle; ///< When it came.
    uint64_t expected_ = 0; ///< Number of the call under way, else of the last one; 0 if it has none.
    uint64_t received_ = 0; ///< Number that the reply names; 0 if it names none or was not read.
};

} // namespace Burdockfield
