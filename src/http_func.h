/**
 * @file http_func.h
 * @brief Reading of HTTP headers and targets.
 */
#pragma once

#include "http_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace Burdockfield {

/// @return the first field of that name, compared without regard to case, or an empty view.
std::string_view findHeader(const HttpHeaders &headers, std::string_view name);

/// Target split into path and query.
struct HttpTarget
{
    std::string path_; ///< Path.
    std::map<std::string, std::string> query_; ///< Parameters, not percent-decoded.
};

/// @return the parts of a target.
HttpTarget splitTarget(std::string_view target);

/// @return the number that the whole text spells in decimal digits, or nothing.
std::optional<uint64_t> parseNumber(std::string_view text);

/// @return the number that a text spells, or @p fallback when it spells none.
uint64_t parseNumberOr(std::string_view text, uint64_t fallback);

/// Splits a growing text at a separator, keeping the rest for the next piece.
struct TextSplitter
{
    std::string rest_; ///< Text after the last separator.
};

/// @return the whole parts that end with @p separator after @p piece has come.
std::vector<std::string> extractParts(TextSplitter &splitter, std::string_view piece, std::string_view separator);

} // namespace Burdockfield
