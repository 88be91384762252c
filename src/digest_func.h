/**
 * @file digest_func.h
 * @brief Digests and hashes.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Burdockfield {

/// @return SHA-256 of @p text in hexadecimal, by OpenSSL.
std::string sha256Hex(std::string_view text);

/// @return XXH3 of @p text, seeded with @p seed.
uint64_t fastHash(std::string_view text, uint64_t seed = 0);

/// @return @p value as 16 hexadecimal digits.
std::string toHex(uint64_t value);

} // namespace Burdockfield
