/**
 * @file base64_func.h
 * @brief Base64, by OpenSSL.
 */
#pragma once

#include <string>
#include <string_view>

namespace Burdockfield {

/// @return base64 of @p bytes.
std::string encodeBase64(std::string_view bytes);

/// Decodes base64 into @p bytes. @return whether @p text was base64
bool decodeBase64(std::string_view text, std::string &bytes);

} // namespace Burdockfield
