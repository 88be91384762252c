/**
 * @file http_limit_type.h
 * @brief Limits of the HTTP library.
 */
#pragma once

#include <cstddef>

namespace Burdockfield {

/// Longest header or trailer, in bytes; Boost.Beast can store no longer field.
constexpr size_t maxHeaderBytes = 65533;

} // namespace Burdockfield
