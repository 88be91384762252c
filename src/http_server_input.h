/**
 * @file http_server_input.h
 * @brief Reading of an HTTP server's requests.
 */
#pragma once

#include "http_server.h"

#include <boost/asio/spawn.hpp>

namespace Burdockfield {

/// How the read of a request ended.
enum class ReadOutcome : uint8_t {
    Request, ///< A complete request was received.
    Bad, ///< The request is malformed, too large or too slow.
    Closed, ///< The peer closed, or the idle timeout passed.
};

/// Ends the read in progress. A read that has just received bytes continues with another one, so this is repeated.
void cancelRead(ServerConnection &connection);

/// @return whether bytes have been received that are not read yet.
bool hasUnreadBytes(const ServerConnection &connection);

/// Reads a request. @param failure set if it is malformed, too large, too slow, or refused by the budget
ReadOutcome readRequest(HttpServer &server, const std::shared_ptr<ServerConnection> &pointer, HttpRequest &request,
    std::error_code &failure, Asio::yield_context yield);

} // namespace Burdockfield
