/**
 * @file http_call.h
 * @brief Blocking HTTP call for command-line programs.
 */
#pragma once

#include "http_type.h"
#include "time_type.h"

#include <string>
#include <system_error>

namespace Burdockfield {

/// Result of callAndWait().
struct CallOutcome
{
    std::error_code error_; ///< Success or a TransportErrc.
    HttpReply reply_; ///< Response; valid on success only.
};

/// Sends a request on a new connection and blocks until the response is complete or the call fails.
CallOutcome callAndWait(const std::string &address, HttpRequest request, Milliseconds timeout);

} // namespace Burdockfield
