/**
 * @file link_use_type.h
 * @brief What a connection to an upstream has been used for.
 */
#pragma once

#include <cstddef>
#include <cstdint>

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

} // namespace Burdockfield
