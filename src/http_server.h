/**
 * @file http_server.h
 * @brief HTTP server on Boost.Beast. Call its functions only from the thread that runs its io_context.
 */
#pragma once

#include "http_server_budget.h"
#include "http_type.h"
#include "request_type.h"
#include "time_type.h"
#include "timeout_type.h"

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

/// Size and time limits of a server.
struct ServerLimits
{
    size_t headerBytes_ = 16U << 10U; ///< Longest request header.
    size_t bodyBytes_ = 4U << 20U; ///< Longest request body.
    Milliseconds readTimeout_{ 10000 }; ///< Time from the first byte of a request to its last.
    Milliseconds idleTimeout_{ 60000 }; ///< Time for which a connection may wait for a request.
    Milliseconds writeTimeout_{ 30000 }; ///< Time for the peer to accept one write.
};

/// Callbacks of a server.
struct ServerHandlers
{
    std::function<void(ExchangeId, HttpRequest)> onRequest_; ///< A complete request was received.
    std::function<void(ExchangeId)> onDisconnect_; ///< The exchange ended before its response was complete.
    std::function<HttpReply(std::error_code)> onBadRequest_; ///< Makes the response to a malformed request.
    std::function<void()> onIdle_; ///< No request is in progress after stopListening(); may be called repeatedly.
};

/// Part of a response, queued for writing.
struct ServerOutput
{
    enum class Kind {
        Full, ///< Complete response with its body.
        Head, ///< Header of a streamed response.
        Chunk, ///< Bytes of a streamed response.
        End, ///< Last chunk of a streamed response.
        Abort, ///< Closes the connection without the last chunk.
    };

    Kind kind_ = Kind::Full;
    HttpReply reply_; ///< Header; of a Full response the body too.
    std::string bytes_; ///< Content of a Chunk.
};

/// Connection accepted by a server.
struct ServerConnection
{
    explicit ServerConnection(Asio::ip::tcp::socket socket)
        : stream_(std::move(socket))
        , outputSignal_(stream_.get_executor())
        , readTimeout_(stream_.get_executor())
    {
    }

    Beast::tcp_stream stream_;
    Beast::flat_buffer buffer_; ///< Bytes received and not yet parsed.
    Asio::steady_timer outputSignal_; ///< Never expires; cancelled to wake the writer.
    Timeout readTimeout_; ///< Enforces the idle and read timeouts.
    std::deque<ServerOutput> output_; ///< Parts queued for writing.
    ExchangeId exchange_; ///< Exchange in progress; 0 when there is none.
    bool peerClosed_ = false; ///< Whether the peer has disconnected.
    HoldingId holding_; ///< What the budget counts for this connection.
    bool timedOut_ = false; ///< Whether readTimeout_ or the budget has ended a read.
    std::error_code refusal_; ///< Why the budget has ended a read.
    uint64_t callNumber_ = 0; ///< Number that the response to the request in progress repeats; 0 for none.
    bool closeAfterExchange_ = false; ///< Whether the connection closes after this exchange.
};

/// State of an HTTP server.
struct HttpServer
{
    HttpServer(Asio::io_context &io, ServerLimits limits, ServerHandlers handlers)
        : io_(io)
        , acceptor_(io)
        , acceptTimeout_(io)
        , limits_(limits)
        , handlers_(std::move(handlers))
        , budget_(std::make_shared<ServerBudget>(io))
    {
    }

    Asio::io_context &io_; ///< Runs all I/O and callbacks.
    Asio::ip::tcp::acceptor acceptor_; ///< Listening socket.
    Timeout acceptTimeout_; ///< Pause after a failed accept.
    ServerLimits limits_;
    ServerHandlers handlers_;
    std::shared_ptr<ServerBudget> budget_; ///< All servers of a process share one, set before listen().
    std::map<ExchangeId, std::shared_ptr<ServerConnection>> exchanges_; ///< Connections of the exchanges in progress.
    std::set<std::shared_ptr<ServerConnection>> idle_; ///< Connections that wait for a request.
    /// Connections between the first byte of a request and the end of its exchange or rejection.
    std::set<std::shared_ptr<ServerConnection>> busy_;
    uint64_t nextExchange_ = 1;
    bool servesNodes_ = false; ///< Whether its peers are nodes of this system, whose call numbers it repeats.
    bool announceClose_ = false; ///< Whether responses carry "Connection: close".
    bool stopping_ = false; ///< Whether connections close after their current exchange.
};

/// Listens on IP:PORT. @return success or the error
std::error_code listen(HttpServer &server, const std::string &address);

/// Stops accepting connections; open connections close after their current exchange.
void stopListening(HttpServer &server);

/// Closes the connections that wait for a request, except those that have received part of one.
void closeIdleConnections(HttpServer &server);

/// @return whether no request is in progress, including those that have been received in part or not been read yet.
bool isIdle(const HttpServer &server);

/**
 * @return whether the peer of an exchange has not closed its connection, as far as this machine has been told. Detects
 * a close that the event loop has not handled yet.
 */
bool isPeerConnected(const HttpServer &server, ExchangeId exchange);

/// Queues a complete response.
void respond(HttpServer &server, ExchangeId exchange, HttpReply reply);

/// Queues the header of a streamed response.
void startStream(HttpServer &server, ExchangeId exchange, HttpReply head);

/// Queues bytes of a streamed response; bytes that wait together are sent as one chunk.
void sendChunk(HttpServer &server, ExchangeId exchange, std::string bytes);

/// Queues the end of a streamed response.
void endStream(HttpServer &server, ExchangeId exchange);

/// Closes the connection of an exchange once the output queued before is written, without ending its response.
void abortExchange(HttpServer &server, ExchangeId exchange);

} // namespace Burdockfield
