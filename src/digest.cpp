/**
 * @file digest.cpp
 * @brief Digests and hashes.
 */
#include "digest_func.h"

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace Burdockfield {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr unsigned bitsPerHexDigit = 4;
constexpr unsigned hexDigitMask = 15;

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned index = 0; index < length; ++index) {
        hex += hexDigits[bytes[index] >> bitsPerHexDigit];
        hex += hexDigits[bytes[index] & hexDigitMask];
    }
    return hex;
}

uint64_t fastHash(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string toHex(uint64_t value)
{
    std::string hex(sizeof(value) * 2, '0');
    for (auto digit = hex.rbegin(); digit != hex.rend(); ++digit) {
        *digit = hexDigits[value & hexDigitMask];
        value >>= bitsPerHexDigit;
    }
    return hex;
}

} // namespace Burdockfield
