/**
 * @file base64.cpp
 * @brief Base64 encoding and decoding with OpenSSL.
 */
#include "base64_func.h"

#include <openssl/evp.h>

namespace Burdockfield {

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    return text;
}

bool decodeBase64(std::string_view text, std::string &bytes)
{
    bytes.resize(3 * (text.size() / 4) + 3);
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
        reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        bytes.clear();
        return false;
    }
    const size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<size_t>(length) - padding);
    return true;
}

} // namespace Burdockfield
