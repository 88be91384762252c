/**
 * @file http_server_output.h
 * @brief Writing of an HTTP server's responses.
 */
#pragma once

#include "http_server.h"

#include <boost/asio/spawn.hpp>

namespace Burdockfield {

/// @return the memory that a queued part of a response takes.
size_t memoryOf(const ServerOutput &output);

/// Writes a complete response and clears its body. @return success, the error of the connection, or invalid_argument if
/// the response can't be written
boost::system::error_code writeReply(ServerConnection &connection, HttpReply &reply, Asio::yield_context yield);

/// Writes a response as its parts are queued. @return whether it was written to its end
bool writeResponse(const HttpServer &server, ServerConnection &connection, Asio::yield_context yield);

} // namespace Burdockfield
