/**
 * @file http_server.cpp
 * @brief HTTP server on Boost.Beast.
 */
#include "http_server.h"

#include "address_func.h"
#include "call_number_func.h"
#include "coroutine_func.h"
#include "error_type.h"
#include "http_limit_type.h"
#include "http_server_input.h"
#include "http_server_output.h"
#include "socket_func.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;
using Tcp = Asio::ip::tcp;
using ConnectionPointer = std::shared_ptr<ServerConnection>;

constexpr int backlog = 1024; ///< Connections that may wait to be accepted.
constexpr std::chrono::seconds discardTime{ 1 }; ///< Time for which input after a rejected request is read.
/// Connections accepted in one turn of the event loop. With one only, new connections would wait for seconds on a busy
/// machine while those that are open are served.
constexpr int acceptsPerTurn = 64;
constexpr Milliseconds acceptRetryInterval{ 20 }; ///< After a failed accept, such as for lack of descriptors.

/// Calls onDisconnect_ if the peer closes while its exchange is in progress.
void watchForClose(HttpServer &server, const ConnectionPointer &connection)
{
    const ExchangeId exchange = connection->exchange_;
    const auto check = [&server, connection, exchange](const boost::system::error_code &error) {
        if (connection->exchange_ != exchange || connection->peerClosed_) {
            return;
        }
        boost::system::error_code ignored;
        if (!error && connection->stream_.socket().available(ignored) > 0) {
            recordUnread(server.budget_->table_, connection->holding_);
            enforceLimits(server.budget_);
            return;
        }
        connection->peerClosed_ = true;
        connection->outputSignal_.cancel();
        server.handlers_.onDisconnect_(exchange);
    };
    connection->stream_.socket().async_wait(Tcp::socket::wait_read, check);
}

/// Answers a malformed request. Reads on for a short time so that the peer can read the response before the close.
void rejectBadRequest(
    const HttpServer &server, ServerConnection &connection, std::error_code failure, Asio::yield_context yield)
{
    startPhase(server.budget_->table_, Clock::now(), connection.holding_, HoldingPhase::Closing);
    connection.closeAfterExchange_ = true;
    HttpReply reply = server.handlers_.onBadRequest_(failure);
    connection.stream_.expires_after(server.limits_.writeTimeout_);
    if (writeReply(connection, reply, yield)) {
        return;
    }
    boost::system::error_code error;
    connection.stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    const TimePoint end = Clock::now() + discardTime;
    connection.stream_.expires_at(end);
    std::array<char, 4096> discarded{};
    while (!error && Clock::now() < end) { // a read that finds bytes at once ends before its own timeout is handled
        connection.stream_.async_read_some(Asio::buffer(discarded), yield[error]);
    }
}

/// Calls onIdle_ if the server is stopping and has no request in progress.
void notifyIfIdle(const HttpServer &server)
{
    if (server.stopping_ && isIdle(server) && server.handlers_.onIdle_) {
        server.handlers_.onIdle_();
    }
}

/// Serves one request. @return whether the connection may carry another
bool serveExchange(
    HttpServer &server, const ConnectionPointer &connection, HttpRequest request, Asio::yield_context yield)
{
    const ExchangeId exchange{ server.nextExchange_++ };
    startPhase(server.budget_->table_, Clock::now(), connection->holding_, HoldingPhase::Exchange);
    connection->exchange_ = exchange;
    connection->callNumber_ = server.servesNodes_ ? findCallNumber(request.headers_).value_or(0) : 0;
    connection->output_.clear();
    server.exchanges_[exchange] = connection;
    watchForClose(server, connection);
    server.handlers_.onRequest_(exchange, std::move(request));
    const bool complete = writeResponse(server, *connection, yield);
    server.exchanges_.erase(exchange);
    connection->exchange_ = ExchangeId{};
    connection->callNumber_ = 0;
    if (!complete && !connection->peerClosed_) {
        server.handlers_.onDisconnect_(exchange);
    }
    startPhase(server.budget_->table_, Clock::now(), connection->holding_, HoldingPhase::Idle);
    return complete && !connection->closeAfterExchange_ && !server.stopping_;
}

void serveConnection(HttpServer &server, const ConnectionPointer &connection, Asio::yield_context yield)
{
    bool open = true;
    while (open) {
        HttpRequest request;
        std::error_code failure;
        const ReadOutcome outcome = readRequest(server, connection, request, failure, yield);
        if (outcome == ReadOutcome::Request) {
            open = serveExchange(server, connection, std::move(request), yield);
        } else {
            open = false;
        }
        if (outcome == ReadOutcome::Bad) {
            rejectBadRequest(server, *connection, failure, yield);
        }
        server.busy_.erase(connection);
        notifyIfIdle(server);
    }
    boost::system::error_code ignored;
    connection->stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    connection->stream_.close();
    closeHolding(*server.budget_, *connection);
}

/// Closes a connection whose coroutine has ended by an exception.
void endFailed(HttpServer &server, const ConnectionPointer &connection)
{
    server.idle_.erase(connection);
    server.busy_.erase(connection);
    connection->stream_.close();
    closeHolding(*server.budget_, *connection);
    const ExchangeId exchange = std::exchange(connection->exchange_, ExchangeId{});
    if (server.exchanges_.erase(exchange) > 0) {
        server.handlers_.onDisconnect_(exchange);
    }
    notifyIfIdle(server);
}

void startConnection(HttpServer &server, Tcp::socket socket)
{
    configureSocket(socket, incomingUserTimeout);
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored); // for isPeerConnected()
    const auto connection = std::make_shared<ServerConnection>(std::move(socket));
    connection->buffer_.max_size(maxHeaderBytes);
    openHolding(server.budget_, connection);
    const auto serve = [&server, connection](Asio::yield_context yield) {
        serveConnection(server, connection, yield);
    };
    startCoroutine(server.io_, "connection", serve, [&server, connection] { endFailed(server, connection); });
}

/// Accepts the connections that are waiting. @return the error that ended it, if any; not that none is waiting
boost::system::error_code acceptWaiting(HttpServer &server)
{
    boost::system::error_code error;
    for (int accepted = 0; accepted < acceptsPerTurn && !error; ++accepted) {
        Tcp::socket socket(server.io_);
        server.acceptor_.accept(socket, error);
        if (!error) {
            startConnection(server, std::move(socket));
        }
    }
    return error == Asio::error::would_block ? boost::system::error_code() : error;
}

void acceptNext(HttpServer &server)
{
    server.acceptor_.async_accept([&server](boost::system::error_code error, Tcp::socket socket) {
        if (!error) {
            startConnection(server, std::move(socket));
        }
        if (!server.acceptor_.is_open()) {
            return;
        }
        if (!error) {
            error = acceptWaiting(server);
        }
        if (!error) {
            acceptNext(server);
            return;
        }
        logLine(LogLevel::Warning, "accept-failed", { { "error", error.message() } });
        startTimeout(server.acceptTimeout_, acceptRetryInterval, [&server] { acceptNext(server); });
    });
}

void queueOutput(HttpServer &server, ExchangeId exchange, ServerOutput output)
{
    const auto found = server.exchanges_.find(exchange);
    if (found == server.exchanges_.end()) {
        return;
    }
    addOutput(server.budget_->table_, Clock::now(), found->second->holding_, memoryOf(output));
    found->second->output_.push_back(std::move(output));
    found->second->outputSignal_.cancel();
    enforceLimits(server.budget_);
}

} // namespace

std::error_code listen(HttpServer &server, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return SettingsErrc::BadAddress;
    }
    boost::system::error_code error;
    server.acceptor_.open(endpoint->protocol(), error);
    if (!error) {
        server.acceptor_.set_option(Asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        server.acceptor_.bind(*endpoint, error);
    }
    if (!error) { // accepted connections inherit it
        server.acceptor_.set_option(Asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    }
    if (!error) {
        server.acceptor_.listen(backlog, error);
    }
    if (!error) {
        server.acceptor_.non_blocking(true, error);
    }
    if (!error) {
        acceptNext(server);
    }
    return error;
}

void stopListening(HttpServer &server)
{
    server.stopping_ = true;
    boost::system::error_code ignored;
    server.acceptor_.close(ignored);
    cancelTimeout(server.acceptTimeout_);
    notifyIfIdle(server);
}

void closeIdleConnections(HttpServer &server)
{
    for (const ConnectionPointer &connection : server.idle_) {
        if (!hasUnreadBytes(*connection)) {
            boost::system::error_code ignored;
            connection->stream_.socket().cancel(ignored);
        }
    }
}

bool isIdle(const HttpServer &server)
{
    return server.busy_.empty() && std::none_of(server.idle_.begin(), server.idle_.end(), [](const auto &connection) {
        return hasUnreadBytes(*connection);
    });
}

bool isPeerConnected(const HttpServer &server, ExchangeId exchange)
{
    const auto found = server.exchanges_.find(exchange);
    if (found == server.exchanges_.end() || found->second->peerClosed_) {
        return false;
    }
    std::array<char, 1> byte{};
    boost::system::error_code error;
    found->second->stream_.socket().receive(Asio::buffer(byte), Asio::socket_base::message_peek, error);
    return !error || error == Asio::error::would_block || error == Asio::error::interrupted;
}

void respond(HttpServer &server, ExchangeId exchange, HttpReply reply)
{
    queueOutput(server, exchange, { ServerOutput::Kind::Full, std::move(reply), {} });
}

void startStream(HttpServer &server, ExchangeId exchange, HttpReply head)
{
    queueOutput(server, exchange, { ServerOutput::Kind::Head, std::move(head), {} });
}

void sendChunk(HttpServer &server, ExchangeId exchange, std::string bytes)
{
    queueOutput(server, exchange, { ServerOutput::Kind::Chunk, {}, std::move(bytes) });
}

void endStream(HttpServer &server, ExchangeId exchange)
{
    queueOutput(server, exchange, { ServerOutput::Kind::End, {}, {} });
}

void abortExchange(HttpServer &server, ExchangeId exchange)
{
    queueOutput(server, exchange, { ServerOutput::Kind::Abort, {}, {} });
}

} // namespace Burdockfield
