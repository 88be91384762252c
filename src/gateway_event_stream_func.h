/**
 * @file gateway_event_stream_func.h
 * @brief Splitting of event streams (text/event-stream) into complete events.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockfield::Gateway {

/// Complete events found at the start of a text.
struct EventScan
{
    std::string bytes_; ///< The events, without those that the caller already has.
    size_t consumed_ = 0; ///< Length of all complete events in the text, in bytes.
    uint32_t events_ = 0; ///< Count of events in bytes_.
    std::optional<uint64_t> lastEvent_; ///< Id of the last event, or the id that was passed in.
    bool outOfOrder_ = false; ///< Whether an id is not its predecessor plus one.
};

/**
 * Finds the complete events at the start of @p text and drops those up to @p lastEvent.
 * @param lastEvent id of the last event that the caller has; ids rise by one from there
 * @param scanned length of the start of @p text that is known to contain no complete event, in bytes
 */
EventScan scanEvents(std::string_view text, std::optional<uint64_t> lastEvent, size_t scanned = 0);

} // namespace Burdockfield::Gateway
