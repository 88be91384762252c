/**
 * @file http_client_connection.h
 * @brief Connections of an HTTP client: opened, kept while idle, and given to the next call.
 */
#pragma once

#include "http_client.h"

#include <boost/asio/spawn.hpp>

namespace Burdockfield {

/// Connects. @return false on failure; the peer has received nothing then.
bool connect(Beast::tcp_stream &stream, const std::string &address, Milliseconds timeout, Asio::yield_context yield);

/// @return an idle connection that has received nothing since its last call, or nullptr.
std::unique_ptr<Beast::tcp_stream> takeIdleConnection(HttpClient &client, const ConnectionPool &pool);

/// Keeps a connection for further calls. @param lastCall number of its last call, or 0
void keepIdleConnection(
    HttpClient &client, const ConnectionPool &pool, std::unique_ptr<Beast::tcp_stream> stream, uint64_t lastCall);

/// Logs a reply that no call was waiting for, and passes it on to the client's owner.
void reportExtraReply(const HttpClient &client, const ExtraReply &reply);

} // namespace Burdockfield
