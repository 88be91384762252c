/**
 * @file http_fields_func.h
 * @brief Conversion of Boost.Beast header fields to plain data.
 */
#pragma once

#include "http_type.h"

namespace Burdockfield {

/// @return the header fields of a Boost.Beast request or response, in order.
template<typename Message>
HttpHeaders copyFields(const Message &message)
{
    HttpHeaders headers;
    for (const auto &field : message) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

} // namespace Burdockfield
