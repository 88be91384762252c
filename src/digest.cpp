/**
 * @file digest.cpp
 * @brief Digests, hashes and their hexadecimal form.
 */
#include "digest_func.h"

#include <array>
#include <charconv>
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

std::optional<uint64_t> parseHex(std::string_view text)
{
    constexpr int base = 16;
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size() ? std::optional<uint64_t>(value) : std::nullopt;
}

} // namespace Burdockfield
