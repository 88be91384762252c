/**
 * @file http_type.h
 * @brief HTTP messages as plain data, shared by the codecs and the I/O.
 */
#pragma once

#include "time_type.h"

#include <string>
#include <utility>
#include <vector>

namespace Burdockfield {

constexpr int firstInterimStatus = 100; ///< Lower numbers are no statuses of responses.
constexpr int firstFinalStatus = 200; ///< Statuses below it (1xx) are those of interim responses.

/// Header fields (name, value) in the order of the message; a name may occur more than once.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// HTTP request; the client adds Host and Content-Length.
struct HttpRequest
{
    std::string method_ = "GET";
    std::string target_ = "/"; ///< Path and query.
    HttpHeaders headers_;
    std::string body_;
    std::string channel_{}; ///< Of a sent request: it shares kept connections with those of the same channel only.
    Milliseconds age_{ 0 }; ///< Of a received request: time for which its last bytes waited to be read; 0 if unknown.
};

/// HTTP response; the server adds Content-Length or Transfer-Encoding.
struct HttpReply
{
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

} // namespace Burdockfield
