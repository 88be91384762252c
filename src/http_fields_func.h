/**
 * @file http_fields_func.h
 * @brief Conversion between Boost.Beast header fields and plain data.
 */
#pragma once

#include "http_type.h"

#include <boost/beast/http/verb.hpp>
#include <cstddef>

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

/// Sets the Content-Length of a Boost.Beast request. Unlike prepare_payload(), accepts a TRACE request with a body.
template<typename Message>
void setBodyLength(Message &message, size_t bytes)
{
    using Verb = boost::beast::http::verb;
    const Verb method = message.method();
    if (bytes > 0 || method == Verb::options || method == Verb::post || method == Verb::put) {
        message.content_length(bytes);
    } else {
        message.chunked(false);
    }
}

} // namespace Burdockfield
