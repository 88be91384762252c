/**
 * @file gateway_event_stream.cpp
 * @brief Splitting of event streams into complete events.
 */
#include "gateway_event_stream_func.h"

#include "http_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr std::string_view eventEnd = "\n\n"; ///< Blank line after an event.
constexpr std::string_view idField = "id:"; ///< Start of the line that holds an event's id.

std::string_view trimSpaces(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\r')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return text;
}

std::optional<uint64_t> parseId(std::string_view event)
{
    while (!event.empty()) {
        const size_t end = std::min(event.find('\n'), event.size());
        const std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(idField)) {
            continue;
        }
        const std::string_view digits = trimSpaces(line.substr(idField.size()));
        if (const auto id = parseNumber(digits); id) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

EventScan scanEvents(std::string_view text, std::optional<uint64_t> lastEvent, size_t scanned)
{
    EventScan scan;
    scan.lastEvent_ = lastEvent;
    size_t searchFrom = scanned - std::min(scanned, eventEnd.size() - 1);
    while (true) {
        const size_t end = text.find(eventEnd, searchFrom);
        if (end == std::string_view::npos) {
            return scan;
        }
        const size_t length = end + eventEnd.size() - scan.consumed_;
        const std::string_view event = text.substr(scan.consumed_, length);
        scan.consumed_ += length;
        searchFrom = scan.consumed_;
        const std::optional<uint64_t> id = parseId(event);
        if (id && scan.lastEvent_ && *id <= *scan.lastEvent_) {
            continue;
        }
        scan.outOfOrder_ = scan.outOfOrder_ || (id && scan.lastEvent_ && *id != *scan.lastEvent_ + 1);
        scan.lastEvent_ = id ? id : scan.lastEvent_;
        scan.bytes_.append(event);
        ++scan.events_;
    }
}

} // namespace Burdockfield::Gateway
