/**
 * @file http_limit_type.h
 * @brief Limits of the HTTP library.
 */
#pragma once

#include <cstddef>

namespace Burdockfield {

/// Longest header or trailer, in bytes; Boost.Beast can store no longer field.
constexpr size_t maxHeaderBytes = 65533;

/// Most fields of a header or of trailers. A short field takes many times its length once it is parsed, and the limit
/// of Boost.Beast's parsers holds only for bytes that they have not parsed yet.
constexpr ptrdiff_t maxHeaderFields = 256;

} // namespace Burdockfield
