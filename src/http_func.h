/**
 * @file http_func.h
 * @brief Parsing of HTTP header fields and request targets.
 */
#pragma once

#include "http_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace Burdockfield {

/// @return the value of the first field with this name (case-insensitive), or an empty view.
std::string_view findHeader(const HttpHeaders &headers, std::string_view name);

/// @return whether a text can stand in a message as the name of a field or as a method (a token of RFC 9110, 5.6.2).
bool isToken(std::string_view text);

/// @return whether a receiver reads the value of a field as it is written: it has no control characters but tabs within
/// it, and no blanks at its ends (RFC 9110, 5.5).
bool isFieldValue(std::string_view value);

/// @return whether a text can stand in a request line as its target.
bool isRequestTarget(std::string_view target);

/// @return whether a message can be written as it is. Bytes that end a line would start another field or message.
bool isSendable(const HttpRequest &request);
bool isSendable(const HttpReply &reply);

/// Request target split into path and query.
struct HttpTarget
{
    std::string path_;
    std::map<std::string, std::string> query_; ///< Parameters by name, not percent-decoded.
};

/// Splits a request target; of a repeated parameter the last value counts.
HttpTarget splitTarget(std::string_view target);

/// @return the number if the whole text is decimal digits and fits 64 bits, else nothing.
std::optional<uint64_t> parseNumber(std::string_view text);

/// @return the result of parseNumber(), or @p fallback if it has none.
uint64_t parseNumberOr(std::string_view text, uint64_t fallback);

/// Splits a text that arrives in pieces; keeps the incomplete last part until the next piece.
struct TextSplitter
{
    std::string rest_; ///< Text after the last separator.
    size_t searched_ = 0; ///< Bytes of it that begin no separator.
};

/// Appends @p piece. @return the parts that are complete now, without the @p separator that ends them.
std::vector<std::string> extractParts(TextSplitter &splitter, std::string_view piece, std::string_view separator);

} // namespace Burdockfield
