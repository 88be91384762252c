/**
 * @file http_server.h
 * @brief HTTP server on Boost.Beast. All calls belong to the thread that runs its io_context.
 */
#pragma once

#include "http_type.h"
#include "request_type.h"
#include "time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <variant>

namespace Burdockfield {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

/// Bounds of a server.
struct ServerLimits
{
    size_t headerBytes_ = 16U << 10U; ///< Longest header.
    size_t bodyBytes_ = 4U << 20U; ///< Longest body.
    Milliseconds readTimeout_{ 10000 }; ///< Time for a request to come in whole.
    Milliseconds idleTimeout_{ 60000 }; ///< Time that a connection may stay unused.
    Milliseconds writeTimeout_{ 30000 }; ///< Time for a piece of an answer to be taken.
};

/// What a server calls.
struct ServerHandlers
{
    std::function<void(ExchangeId, HttpRequest)> onRequest_; ///< A request came in whole.
    std::function<void(ExchangeId)> onDisconnect_; ///< The peer closed before its answer was complete.
    std::function<HttpReply(std::error_code)> onBadRequest_; ///< Makes the answer to what is not a request.
    std::function<void()> onIdle_; ///< After stopListening(): the last exchange has ended.
};

/// Part of an answer that waits to be written.
struct ServerOutput
{
    enum class Kind {
        Whole, ///< A whole answer.
        Head, ///< Header of a streamed answer.
        Piece, ///< Piece of a streamed answer.
        End, ///< End of a streamed answer.
        Break, ///< The connection is closed without an end.
    };

    Kind kind_ = Kind::Whole; ///< What it is.
    HttpReply reply_; ///< Header, and the body of a whole answer.
    std::string bytes_; ///< Piece.
};

/// Connection of a server.
struct ServerConnection
{
    explicit ServerConnection(Asio::ip::tcp::socket socket)
        : stream_(std::move(socket))
        , wake_(stream_.get_executor())
        , readTimer_(stream_.get_executor())
    {
    }

    Beast::tcp_stream stream_; ///< The connection.
    Beast::flat_buffer buffer_; ///< Bytes read ahead.
    Asio::steady_timer wake_; ///< Cancelled when there is output.
    Asio::steady_timer readTimer_; ///< Bounds reads.
    std::deque<ServerOutput> output_; ///< What waits to be written.
    ExchangeId exchange_; ///< Exchange in progress; 0 when there is none.
    bool gone_ = false; ///< Whether the peer has closed.
    bool timedOut_ = false; ///< Whether readTimer_ has ended a read.
    bool closeAfter_ = false; ///< Whether the connection ends with this exchange.
};

/// HTTP server.
struct HttpServer
{
    HttpServer(Asio::io_context &io, ServerLimits limits, ServerHandlers handlers)
        : io_(io)
        , acceptor_(io)
        , limits_(limits)
        , handlers_(std::move(handlers))
    {
    }

    Asio::io_context &io_; ///< Where it runs.
    Asio::ip::tcp::acceptor acceptor_; ///< Listening socket.
    ServerLimits limits_; ///< Bounds.
    ServerHandlers handlers_; ///< What it calls.
    std::map<ExchangeId, std::shared_ptr<ServerConnection>> exchanges_; ///< Exchanges in progress.
    std::set<std::shared_ptr<ServerConnection>> idle_; ///< Connections that wait for a request.
    uint64_t nextExchange_ = 1; ///< Number of the next exchange.
    bool announceClose_ = false; ///< Whether answers tell that their connection closes after them.
    bool stopping_ = false; ///< Whether connections close after their exchange.
};

/// Starts to listen on IP:PORT. @return why that failed
std::error_code listen(HttpServer &server, const std::string &address);

/// Stops taking new connections; the open ones close after their exchange.
void stopListening(HttpServer &server);

/// Closes the connections that wait for a request, but for those whose next request has begun to come in.
void closeIdleConnections(HttpServer &server);

/// Sends a whole answer.
void respond(HttpServer &server, ExchangeId exchange, HttpReply reply);

/// Sends the header of a streamed answer.
void startStream(HttpServer &server, ExchangeId exchange, HttpReply head);

/// Sends a piece of a streamed answer.
void sendChunk(HttpServer &server, ExchangeId exchange, std::string bytes);

/// Ends a streamed answer.
void endStream(HttpServer &server, ExchangeId exchange);

/// Closes the connection of an exchange without ending its answer.
void abortExchange(HttpServer &server, ExchangeId exchange);

} // namespace Burdockfield
