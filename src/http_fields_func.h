/**
 * @file http_fields_func.h
 * @brief Header fields of Boost.Beast's messages as plain data.
 */
#pragma once

#include "http_type.h"

namespace Burdockfield {

/// @return the fields of a request or response of Boost.Beast, in order.
template<typename Message>
HttpHeaders takeFields(const Message &message)
{
    HttpHeaders headers;
    for (const auto &field : message) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

} // namespace Burdockfield
