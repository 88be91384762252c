/**
 * @file http_server.cpp
 * @brief HTTP server on Boost.Beast.
 */
#include "http_server.h"

#include "address_func.h"
#include "error_type.h"
#include "http_fields_func.h"
#include "socket_func.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;
using Tcp = Asio::ip::tcp;
using ConnectionPointer = std::shared_ptr<ServerConnection>;

constexpr int backlog = 1024; ///< Connections that may wait to be accepted.

/// How the read of a request ended.
enum class ReadOutcome : uint8_t {
    Request, ///< A request came in whole.
    Bad, ///< Something else came in.
    Closed, ///< The peer closed, or stayed idle for too long.
};

void startReadTimer(ServerConnection &connection, Milliseconds timeout)
{
    connection.timedOut_ = false;
    connection.readTimer_.expires_after(timeout);
    connection.readTimer_.async_wait([&connection](const boost::system::error_code &error) {
        if (!error) {
            connection.timedOut_ = true;
            connection.stream_.socket().cancel();
        }
    });
}

std::error_code judgeReadError(const ServerConnection &connection, const boost::system::error_code &error)
{
    if (connection.timedOut_) {
        return RefusalErrc::SlowRequest;
    }
    if (error == Http::error::body_limit) {
        return RefusalErrc::BodyTooLarge;
    }
    if (error == Http::error::header_limit || error == Http::error::buffer_overflow) {
        return RefusalErrc::HeaderTooLarge;
    }
    return RefusalErrc::BadRequest;
}

/// Waits for the first byte of a request. @return false when the peer closed or stayed idle.
bool awaitFirstByte(HttpServer &server, const ConnectionPointer &pointer, Asio::yield_context yield)
{
    ServerConnection &connection = *pointer;
    if (connection.buffer_.size() > 0) {
        return true;
    }
    boost::system::error_code error;
    startReadTimer(connection, server.limits_.idleTimeout_);
    server.idle_.insert(pointer);
    connection.stream_.socket().async_wait(Tcp::socket::wait_read, yield[error]);
    server.idle_.erase(pointer);
    connection.readTimer_.cancel();
    return !error && !connection.timedOut_;
}

/// Takes the header; trailers that follow the body are not part of it.
void takeHeader(const Http::request<Http::string_body> &message, HttpRequest &request)
{
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    request.headers_ = takeFields(message);
}

/// @return whether the end of the body can be told in one way only.
bool isFramedClearly(const Http::request<Http::string_body> &message)
{
    const auto codings = message.count(Http::field::transfer_encoding);
    const bool chunked = Beast::iequals(message[Http::field::transfer_encoding], "chunked");
    return codings == 0 || (codings == 1 && chunked && message.count(Http::field::content_length) == 0);
}

/// Reads the body, after telling a peer that waits for it to go on.
void readRequestBody(ServerConnection &connection, Http::request_parser<Http::string_body> &parser,
    boost::system::error_code &error, Asio::yield_context yield)
{
    if (Beast::iequals(parser.get()[Http::field::expect], "100-continue")) {
        constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        Asio::async_write(connection.stream_.socket(), Asio::buffer(goOn), yield[error]);
    }
    if (!error) {
        Http::async_read(connection.stream_.socket(), connection.buffer_, parser, yield[error]);
    }
}

ReadOutcome readRequest(HttpServer &server, const ConnectionPointer &pointer, HttpRequest &request,
    std::error_code &failure, Asio::yield_context yield)
{
    ServerConnection &connection = *pointer;
    if (!awaitFirstByte(server, pointer, yield)) {
        return ReadOutcome::Closed;
    }
    Http::request_parser<Http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(server.limits_.headerBytes_));
    parser.body_limit(server.limits_.bodyBytes_);
    boost::system::error_code error;
    startReadTimer(connection, server.limits_.readTimeout_);
    Http::async_read_header(connection.stream_.socket(), connection.buffer_, parser, yield[error]);
    if (!error && !isFramedClearly(parser.get())) {
        error = Http::error::bad_transfer_encoding;
    }
    if (!error) {
        takeHeader(parser.get(), request);
        readRequestBody(connection, parser, error, yield);
    }
    connection.readTimer_.cancel();
    if (!error) {
        connection.closeAfter_ = !parser.get().keep_alive();
        request.body_ = std::move(parser.get().body());
        return ReadOutcome::Request;
    }
    const bool protocolError = error.category() == Http::make_error_code(Http::error::body_limit).category();
    const bool closed = error == Http::error::end_of_stream || error == Http::error::partial_message;
    if ((!protocolError && !connection.timedOut_) || closed) {
        return ReadOutcome::Closed;
    }
    failure = judgeReadError(connection, error);
    return ReadOutcome::Bad;
}

/// Tells the owner when the peer closes while its exchange is in progress.
void watchForClose(HttpServer &server, const ConnectionPointer &connection)
{
    const ExchangeId exchange = connection->exchange_;
    const auto check = [&server, connection, exchange](const boost::system::error_code &error) {
        if (connection->exchange_ != exchange || connection->gone_) {
            return;
        }
        boost::system::error_code ignored;
        if (!error && connection->stream_.socket().available(ignored) > 0) {
            return;
        }
        connection->gone_ = true;
        connection->wake_.cancel();
        server.handlers_.onDisconnect_(exchange);
    };
    connection->stream_.socket().async_wait(Tcp::socket::wait_read, check);
}

template<typename Body>
void fillHeader(Http::response<Body> &message, const HttpReply &reply)
{
    message.version(11); // HTTP/1.1
    message.result(static_cast<unsigned>(reply.status_));
    for (const auto &[name, value] : reply.headers_) {
        message.insert(name, value);
    }
}

boost::system::error_code writeWhole(ServerConnection &connection, HttpReply &reply, Asio::yield_context yield)
{
    Http::response<Http::string_body> message;
    fillHeader(message, reply);
    message.keep_alive(!connection.closeAfter_);
    message.body() = std::move(reply.body_);
    message.prepare_payload();
    boost::system::error_code error;
    Http::async_write(connection.stream_, message, yield[error]);
    return error;
}

boost::system::error_code writeHead(ServerConnection &connection, const HttpReply &reply, Asio::yield_context yield)
{
    Http::response<Http::empty_body> message;
    fillHeader(message, reply);
    message.keep_alive(!connection.closeAfter_);
    message.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(message);
    boost::system::error_code error;
    Http::async_write_header(connection.stream_, serializer, yield[error]);
    return error;
}

boost::system::error_code writePiece(ServerConnection &connection, const std::string &bytes, Asio::yield_context yield)
{
    boost::system::error_code error;
    if (!bytes.empty()) {
        Asio::async_write(connection.stream_, Http::make_chunk(Asio::buffer(bytes)), yield[error]);
    }
    return error;
}

boost::system::error_code writeEnd(ServerConnection &connection, Asio::yield_context yield)
{
    boost::system::error_code error;
    Asio::async_write(connection.stream_, Http::make_chunk_last(), yield[error]);
    return error;
}

boost::system::error_code writeOutput(ServerConnection &connection, ServerOutput &output, Asio::yield_context yield)
{
    switch (output.kind_) {
    case ServerOutput::Kind::Whole:
        return writeWhole(connection, output.reply_, yield);
    case ServerOutput::Kind::Head:
        return writeHead(connection, output.reply_, yield);
    case ServerOutput::Kind::Piece:
        return writePiece(connection, output.bytes_, yield);
    case ServerOutput::Kind::End:
        return writeEnd(connection, yield);
    case ServerOutput::Kind::Break:
        return Asio::error::make_error_code(Asio::error::operation_aborted);
    }
    return {};
}

/// Joins the pieces that wait into one.
ServerOutput takeOutput(ServerConnection &connection)
{
    ServerOutput output = std::move(connection.output_.front());
    connection.output_.pop_front();
    const auto isPiece = [](const ServerOutput &item) {
        return item.kind_ == ServerOutput::Kind::Piece;
    };
    while (isPiece(output) && !connection.output_.empty() && isPiece(connection.output_.front())) {
        output.bytes_ += connection.output_.front().bytes_;
        connection.output_.pop_front();
    }
    return output;
}

/// Writes an answer as it comes. @return whether it was written to its end.
bool writeAnswer(const HttpServer &server, ServerConnection &connection, Asio::yield_context yield)
{
    while (!connection.gone_) {
        if (connection.output_.empty()) {
            boost::system::error_code ignored;
            connection.wake_.expires_at(Clock::time_point::max());
            connection.wake_.async_wait(yield[ignored]);
            continue;
        }
        ServerOutput output = takeOutput(connection);
        connection.closeAfter_ = connection.closeAfter_ || server.announceClose_ || server.stopping_;
        connection.stream_.expires_after(server.limits_.writeTimeout_);
        const boost::system::error_code error = writeOutput(connection, output, yield);
        connection.stream_.expires_never();
        if (error) {
            return false;
        }
        if (output.kind_ == ServerOutput::Kind::Whole || output.kind_ == ServerOutput::Kind::End) {
            return true;
        }
    }
    return false;
}

/// Refuses what is not a request and lets the peer read the refusal before the connection closes.
void refuseBad(
    const HttpServer &server, ServerConnection &connection, std::error_code failure, Asio::yield_context yield)
{
    connection.closeAfter_ = true;
    HttpReply reply = server.handlers_.onBadRequest_(failure);
    connection.stream_.expires_after(server.limits_.writeTimeout_);
    if (writeWhole(connection, reply, yield)) {
        return;
    }
    boost::system::error_code error;
    connection.stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    connection.stream_.expires_after(std::chrono::seconds(1));
    std::array<char, 4096> rest{};
    while (!error) {
        connection.stream_.async_read_some(Asio::buffer(rest), yield[error]);
    }
}

/// Tells the owner when a stopping server has no exchange left.
void reportIdle(const HttpServer &server)
{
    if (server.stopping_ && server.exchanges_.empty() && server.handlers_.onIdle_) {
        server.handlers_.onIdle_();
    }
}

/// Serves one request. @return whether the connection may take another.
bool serveExchange(
    HttpServer &server, const ConnectionPointer &connection, HttpRequest request, Asio::yield_context yield)
{
    const ExchangeId exchange{ server.nextExchange_++ };
    connection->exchange_ = exchange;
    connection->output_.clear();
    server.exchanges_[exchange] = connection;
    watchForClose(server, connection);
    server.handlers_.onRequest_(exchange, std::move(request));
    const bool whole = writeAnswer(server, *connection, yield);
    server.exchanges_.erase(exchange);
    connection->exchange_ = ExchangeId{};
    reportIdle(server);
    if (!whole && !connection->gone_) {
        server.handlers_.onDisconnect_(exchange);
    }
    return whole && !connection->closeAfter_ && !server.stopping_;
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
            refuseBad(server, *connection, failure, yield);
        }
    }
    boost::system::error_code ignored;
    connection->stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    connection->stream_.close();
}

void acceptNext(HttpServer &server)
{
    server.acceptor_.async_accept([&server](const boost::system::error_code &error, Tcp::socket socket) {
        if (!server.acceptor_.is_open()) {
            return;
        }
        if (!error) {
            hardenSocket(socket, callerPatience);
            auto connection = std::make_shared<ServerConnection>(std::move(socket));
            Asio::spawn(
                server.io_,
                [&server, connection](Asio::yield_context yield) { serveConnection(server, connection, yield); },
                Asio::detached);
        }
        acceptNext(server);
    });
}

void push(HttpServer &server, ExchangeId exchange, ServerOutput output)
{
    const auto found = server.exchanges_.find(exchange);
    if (found == server.exchanges_.end()) {
        return;
    }
    found->second->output_.push_back(std::move(output));
    found->second->wake_.cancel();
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
    if (!error) {
        server.acceptor_.listen(backlog, error);
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
    reportIdle(server);
}

void closeIdleConnections(HttpServer &server)
{
    for (const ConnectionPointer &connection : server.idle_) {
        boost::system::error_code error;
        if (connection->stream_.socket().available(error) == 0) {
            connection->stream_.socket().cancel(error);
        }
    }
}

void respond(HttpServer &server, ExchangeId exchange, HttpReply reply)
{
    push(server, exchange, { ServerOutput::Kind::Whole, std::move(reply), {} });
}

void startStream(HttpServer &server, ExchangeId exchange, HttpReply head)
{
    push(server, exchange, { ServerOutput::Kind::Head, std::move(head), {} });
}

void sendChunk(HttpServer &server, ExchangeId exchange, std::string bytes)
{
    push(server, exchange, { ServerOutput::Kind::Piece, {}, std::move(bytes) });
}

void endStream(HttpServer &server, ExchangeId exchange)
{
    push(server, exchange, { ServerOutput::Kind::End, {}, {} });
}

void abortExchange(HttpServer &server, ExchangeId exchange)
{
    push(server, exchange, { ServerOutput::Kind::Break, {}, {} });
}

} // namespace Burdockfield
