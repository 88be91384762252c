/**
 * @file http_server_output.cpp
 * @brief Writing of an HTTP server's responses.
 */
#include "http_server_output.h"

#include "call_number_func.h"
#include "http_func.h"
#include "log_func.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;

constexpr size_t maxJoinedBytes = 64U << 10U; ///< Chunks are joined up to this size, so that writes show progress.

/// @return whether a response can be written. One that can't is logged, and its connection is closed.
bool checkSendable(const HttpReply &reply)
{
    const bool sendable = isSendable(reply);
    if (!sendable) {
        logLine(LogLevel::Error, "reply-unsendable", { { "status", std::to_string(reply.status_) } });
    }
    return sendable;
}

template<typename Body>
void fillHeader(Http::response<Body> &message, const ServerConnection &connection, const HttpReply &reply)
{
    message.version(11); // HTTP/1.1
    message.result(static_cast<unsigned>(reply.status_));
    for (const auto &[name, value] : reply.headers_) {
        message.insert(name, value);
    }
    if (connection.callNumber_ != 0) {
        message.set(callNumberHeader, std::to_string(connection.callNumber_));
    }
}

boost::system::error_code writeHead(ServerConnection &connection, const HttpReply &reply, Asio::yield_context yield)
{
    if (!checkSendable(reply)) {
        return Asio::error::make_error_code(Asio::error::invalid_argument);
    }
    Http::response<Http::empty_body> message;
    fillHeader(message, connection, reply);
    message.keep_alive(!connection.closeAfterExchange_);
    message.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(message);
    boost::system::error_code error;
    Http::async_write_header(connection.stream_, serializer, yield[error]);
    return error;
}

boost::system::error_code writeChunk(ServerConnection &connection, const std::string &bytes, Asio::yield_context yield)
{
    boost::system::error_code error;
    if (!bytes.empty()) {
        Asio::async_write(connection.stream_, Http::make_chunk(Asio::buffer(bytes)), yield[error]);
    }
    return error;
}

boost::system::error_code writeLastChunk(ServerConnection &connection, Asio::yield_context yield)
{
    boost::system::error_code error;
    Asio::async_write(connection.stream_, Http::make_chunk_last(), yield[error]);
    return error;
}

boost::system::error_code writeOutput(ServerConnection &connection, ServerOutput &output, Asio::yield_context yield)
{
    switch (output.kind_) {
    case ServerOutput::Kind::Full:
        return writeReply(connection, output.reply_, yield);
    case ServerOutput::Kind::Head:
        return writeHead(connection, output.reply_, yield);
    case ServerOutput::Kind::Chunk:
        return writeChunk(connection, output.bytes_, yield);
    case ServerOutput::Kind::End:
        return writeLastChunk(connection, yield);
    case ServerOutput::Kind::Abort:
        return Asio::error::make_error_code(Asio::error::operation_aborted);
    }
    return {};
}

/// Removes the next part from the queue; consecutive chunks are joined into one.
/// @param memory memory of the parts as they were queued
ServerOutput popOutput(ServerConnection &connection, size_t &memory)
{
    ServerOutput output = std::move(connection.output_.front());
    connection.output_.pop_front();
    memory = memoryOf(output);
    const auto isChunk = [](const ServerOutput &item) {
        return item.kind_ == ServerOutput::Kind::Chunk;
    };
    size_t parts = 0;
    size_t length = output.bytes_.size();
    while (isChunk(output) && parts < connection.output_.size() && isChunk(connection.output_[parts])
        && length < maxJoinedBytes) {
        length += connection.output_[parts].bytes_.size();
        ++parts;
    }
    if (parts == 0) {
        return output;
    }
    std::string joined;
    joined.reserve(length); // growing by parts would take up to twice the memory that is counted
    joined += output.bytes_;
    for (; parts > 0; --parts) {
        memory += memoryOf(connection.output_.front());
        joined += connection.output_.front().bytes_;
        connection.output_.pop_front();
    }
    output.bytes_ = std::move(joined);
    return output;
}

} // namespace

size_t memoryOf(const ServerOutput &output)
{
    return sizeof(ServerOutput) + output.bytes_.capacity() + output.reply_.body_.capacity();
}

boost::system::error_code writeReply(ServerConnection &connection, HttpReply &reply, Asio::yield_context yield)
{
    if (!checkSendable(reply)) {
        return Asio::error::make_error_code(Asio::error::invalid_argument);
    }
    Http::response<Http::string_body> message;
    fillHeader(message, connection, reply);
    message.keep_alive(!connection.closeAfterExchange_);
    message.body() = std::move(reply.body_);
    message.prepare_payload();
    boost::system::error_code error;
    Http::async_write(connection.stream_, message, yield[error]);
    return error;
}

bool writeResponse(const HttpServer &server, ServerConnection &connection, Asio::yield_context yield)
{
    while (!connection.peerClosed_) {
        if (connection.output_.empty()) {
            boost::system::error_code ignored;
            connection.outputSignal_.expires_at(Clock::time_point::max());
            connection.outputSignal_.async_wait(yield[ignored]);
            continue;
        }
        size_t memory = 0;
        ServerOutput output = popOutput(connection, memory);
        connection.closeAfterExchange_ = connection.closeAfterExchange_ || server.announceClose_ || server.stopping_;
        connection.stream_.expires_after(server.limits_.writeTimeout_);
        const boost::system::error_code error = writeOutput(connection, output, yield);
        connection.stream_.expires_never();
        removeOutput(server.budget_->table_, Clock::now(), connection.holding_, memory);
        if (error) {
            return false;
        }
        if (output.kind_ == ServerOutput::Kind::Full || output.kind_ == ServerOutput::Kind::End) {
            return true;
        }
    }
    return false;
}

} // namespace Burdockfield
