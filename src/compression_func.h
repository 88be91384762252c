/**
 * @file compression_func.h
 * @brief Compression of text between nodes, in the deflate format (RFC 1951).
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

/// @return the compressed text, or an empty one if it can't be compressed.
std::string compress(std::string_view text);

/**
 * Restores a compressed text.
 * @param limit longest text in bytes
 * @return WireErrc::OutOfRange if the text is longer, WireErrc::WrongType if the input is not a compressed text
 */
std::error_code decompress(std::string_view packed, size_t limit, std::string &text);

} // namespace Burdockfield
