/**
 * @file http_type.h
 * @brief HTTP messages as plain data, between the codecs and the I/O.
 */
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace Burdockfield {

/// Header fields, in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// HTTP request.
struct HttpRequest
{
    std::string method_ = "GET"; ///< Method.
    std::string target_; ///< Path with query.
    HttpHeaders headers_; ///< Header fields besides length and host.
    std::string body_; ///< Body.
};

/// HTTP response.
struct HttpReply
{
    int status_ = 200; ///< Status.
    HttpHeaders headers_; ///< Header fields besides length.
    std::string body_; ///< Body.
};

} // namespace Burdockfield
