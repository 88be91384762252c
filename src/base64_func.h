/**
 * @file base64_func.h
 * @brief Base64 encoding and decoding with OpenSSL.
 */
#pragma once

#include <string>
#include <string_view>

namespace Burdockfield {

/// @return @p bytes in base64, with padding.
std::string encodeBase64(std::string_view bytes);

/// Decodes base64 into @p bytes, which are empty on failure. @return whether @p text was valid base64
bool decodeBase64(std::string_view text, std::string &bytes);

} // namespace Burdockfield
