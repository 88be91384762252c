/**
 * @file gateway_event_stream_func.h
 * @brief Splitting of event streams (text/event-stream) into whole events.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockfield::Gateway {

/// Whole events at the start of a text.
struct EventScan
{
    std::string bytes_; ///< The events, without those that the caller already has.
    size_t consumed_ = 0; ///< Bytes of the text that the whole events take.
    uint32_t events_ = 0; ///< Count of events in bytes_.
    std::optional<uint64_t> lastEvent_; ///< Id of the last event, or the id that was passed in.
    bool outOfOrder_ = false; ///< Whether an id does not follow its predecessor.
};

/**
 * Finds the whole events of @p text.
 * @param lastEvent id of the last event that the caller has; ids rise by one from there
 */
EventScan scanEvents(std::string_view text, std::optional<uint64_t> lastEvent);

} // namespace Burdockfield::Gateway
