/**
 * @file digest_func.h
 * @brief Digests, hashes and their hexadecimal form.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockfield {

/// @return SHA-256 of @p text in hexadecimal, computed by OpenSSL.
std::string sha256Hex(std::string_view text);

/// @return 64-bit XXH3 hash of @p text with @p seed. It is fast but not cryptographic.
uint64_t fastHash(std::string_view text, uint64_t seed = 0);

/// @return @p value as 16 lowercase hexadecimal digits.
std::string toHex(uint64_t value);

/// @return the number if the whole text is hexadecimal digits and fits 64 bits, else nothing.
std::optional<uint64_t> parseHex(std::string_view text);

} // namespace Burdockfield
