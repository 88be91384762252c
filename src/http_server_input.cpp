/**
 * @file http_server_input.cpp
 * @brief Reading of an HTTP server's requests.
 */
#include "http_server_input.h"

#include "error_type.h"
#include "http_fields_func.h"
#include "http_limit_type.h"
#include "socket_func.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <iterator>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;
using Tcp = Asio::ip::tcp;
using ConnectionPointer = std::shared_ptr<ServerConnection>;

constexpr Milliseconds cancelInterval{ 5 }; ///< Between attempts to end a read whose timeout has passed.
constexpr size_t readBytes = 64U << 10U; ///< Most bytes that one read adds to a body.
constexpr size_t initialBodyBytes = 16U << 10U; ///< First buffer of a body whose length is not announced.

void startReadTimeout(ServerConnection &connection, Milliseconds timeout)
{
    connection.timedOut_ = false;
    connection.refusal_ = {};
    startTimeout(connection.readTimeout_, timeout, [&connection] { cancelRead(connection); });
}

std::error_code classifyReadError(const ServerConnection &connection, const boost::system::error_code &error)
{
    if (connection.refusal_) {
        return connection.refusal_;
    }
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

/// Waits for the first byte of a request. @return false if the peer closed or the idle timeout passed
bool waitForFirstByte(HttpServer &server, const ConnectionPointer &pointer, Asio::yield_context yield)
{
    ServerConnection &connection = *pointer;
    if (connection.buffer_.size() > 0) {
        return true;
    }
    boost::system::error_code error;
    startReadTimeout(connection, server.limits_.idleTimeout_);
    server.idle_.insert(pointer);
    connection.stream_.socket().async_wait(Tcp::socket::wait_read, yield[error]);
    server.idle_.erase(pointer);
    cancelTimeout(connection.readTimeout_);
    return !error || hasUnreadBytes(connection); // that arrived while the wait was being cancelled
}

/// Copies the header. Called before the body is read, so trailer fields are left out.
void copyHeader(const Http::request<Http::string_body> &message, HttpRequest &request)
{
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    request.headers_ = copyFields(message);
}

/// @return whether the header gives the length of the body in only one way.
bool hasUnambiguousLength(const Http::request<Http::string_body> &message)
{
    const auto codings = message.count(Http::field::transfer_encoding);
    const bool chunked = Beast::iequals(message[Http::field::transfer_encoding], "chunked");
    return codings == 0 || (codings == 1 && chunked && message.count(Http::field::content_length) == 0);
}

using RequestParser = Http::request_parser<Http::string_body>; ///< Parser of one request.

/// Waits until the budget grants memory for a request. @return false if it refuses
bool awaitInput(HttpServer &server, ServerConnection &connection, size_t bytes, Asio::yield_context yield)
{
    MemoryBudget &table = server.budget_->table_;
    if (reserveInput(table, Clock::now(), connection.holding_, bytes)) {
        return true;
    }
    while (!connection.timedOut_ && isPaused(table, connection.holding_)) {
        boost::system::error_code ignored;
        connection.outputSignal_.expires_at(Clock::time_point::max());
        connection.outputSignal_.async_wait(yield[ignored]);
    }
    return !connection.timedOut_ && reserveInput(table, Clock::now(), connection.holding_, bytes);
}

/// @return the size that the buffer of a body needs before the next read: as announced, or twice the size so far.
size_t nextBodyCapacity(const HttpServer &server, const RequestParser &parser)
{
    const std::string &body = parser.get().body();
    const auto announced = parser.content_length();
    if (announced) {
        return std::max<size_t>(*announced, body.capacity());
    }
    const size_t needed
        = std::max(initialBodyBytes, body.size() + readBytes > body.capacity() ? 2 * body.capacity() : 0);
    return std::max(body.capacity(), std::min(needed, server.limits_.bodyBytes_));
}

/// Reads the header.
void readHeader(HttpServer &server, ServerConnection &connection, RequestParser &parser,
    boost::system::error_code &error, Asio::yield_context yield)
{
    startPhase(server.budget_->table_, Clock::now(), connection.holding_, HoldingPhase::Header);
    while (!error && !parser.is_header_done()) {
        Http::async_read_some(connection.stream_.socket(), connection.buffer_, parser, yield[error]);
        setInput(server.budget_->table_, connection.holding_, connection.buffer_.capacity());
        enforceLimits(server.budget_);
        auto &fields = parser.get();
        if (!error && std::distance(fields.begin(), fields.end()) > maxHeaderFields) {
            fields.clear(); // the connection stays open until its peer has read the refusal
            error = Http::error::header_limit;
        }
    }
}

/// Reads the body in parts, as far as the budget grants memory for it.
void readBodyParts(HttpServer &server, ServerConnection &connection, RequestParser &parser,
    boost::system::error_code &error, Asio::yield_context yield)
{
    startPhase(server.budget_->table_, Clock::now(), connection.holding_, HoldingPhase::Body);
    scheduleCheck(server.budget_);
    parser.eager(true);
    while (!error && !parser.is_done()) {
        const size_t capacity = nextBodyCapacity(server, parser);
        if (!awaitInput(server, connection, connection.buffer_.capacity() + capacity, yield)) {
            error = Asio::error::operation_aborted;
            return;
        }
        parser.get().body().reserve(capacity);
        const size_t length
            = Http::async_read_some(connection.stream_.socket(), connection.buffer_, parser, yield[error]);
        recordReceived(server.budget_->table_, Clock::now(), connection.holding_, length);
    }
}

/// Reads the body; first sends 100 Continue if the peer expects it.
void readRequestBody(HttpServer &server, ServerConnection &connection, RequestParser &parser,
    boost::system::error_code &error, Asio::yield_context yield)
{
    if (Beast::iequals(parser.get()[Http::field::expect], "100-continue")) {
        constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        Asio::async_write(connection.stream_.socket(), Asio::buffer(continueResponse), yield[error]);
    }
    if (!error && !parser.is_done()) {
        readBodyParts(server, connection, parser, error, yield);
    }
}

} // namespace

void cancelRead(ServerConnection &connection)
{
    connection.timedOut_ = true;
    boost::system::error_code ignored;
    connection.stream_.socket().cancel(ignored);
    startTimeout(connection.readTimeout_, cancelInterval, [&connection] { cancelRead(connection); });
}

bool hasUnreadBytes(const ServerConnection &connection)
{
    boost::system::error_code ignored;
    return connection.stream_.socket().available(ignored) > 0;
}

ReadOutcome readRequest(HttpServer &server, const ConnectionPointer &pointer, HttpRequest &request,
    std::error_code &failure, Asio::yield_context yield)
{
    ServerConnection &connection = *pointer;
    if (!waitForFirstByte(server, pointer, yield)) {
        return ReadOutcome::Closed;
    }
    server.busy_.insert(pointer);
    RequestParser parser;
    parser.header_limit(static_cast<uint32_t>(std::min(server.limits_.headerBytes_, maxHeaderBytes)));
    parser.body_limit(server.limits_.bodyBytes_);
    boost::system::error_code error;
    startReadTimeout(connection, server.limits_.readTimeout_);
    readHeader(server, connection, parser, error, yield);
    if (!error && !hasUnambiguousLength(parser.get())) {
        error = Http::error::bad_transfer_encoding;
    }
    if (!error) {
        copyHeader(parser.get(), request);
        readRequestBody(server, connection, parser, error, yield);
    }
    cancelTimeout(connection.readTimeout_);
    if (!error && connection.refusal_) { // decided while the last bytes were being received
        failure = connection.refusal_;
        return ReadOutcome::Bad;
    }
    if (!error) {
        connection.closeAfterExchange_ = !parser.get().keep_alive();
        request.body_ = std::move(parser.get().body());
        request.age_ = timeSinceReceipt(connection.stream_.socket());
        return ReadOutcome::Request;
    }
    const bool protocolError = error.category() == Http::make_error_code(Http::error::body_limit).category();
    const bool closed = error == Http::error::end_of_stream || error == Http::error::partial_message;
    if ((!protocolError && !connection.timedOut_) || closed) {
        return ReadOutcome::Closed;
    }
    failure = classifyReadError(connection, error);
    return ReadOutcome::Bad;
}

} // namespace Burdockfield
