/**
 * @file http_client.cpp
 * @brief HTTP client on Boost.Beast with persistent connections.
 */
#include "http_client.h"

#include "address_func.h"
#include "coroutine_func.h"
#include "error_type.h"
#include "http_fields_func.h"
#include "socket_func.h"

#include <array>
#include <boost/beast/http.hpp>
#include <optional>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;
using Tcp = Asio::ip::tcp;
using StreamPointer = std::unique_ptr<Beast::tcp_stream>;

constexpr size_t maxIdlePerAddress = 16; ///< Idle connections kept for each address.
constexpr std::chrono::seconds maxIdleTime{ 20 }; ///< Below the idle timeouts of servers.
constexpr Milliseconds connectTimeout{ 1000 };
constexpr size_t responseBodyLimit = 64U << 20U; ///< Longest response body.
constexpr size_t streamBufferBytes = 16U << 10U; ///< Most bytes passed to onBytes_ at once.

Http::request<Http::string_body> makeMessage(const std::string &address, const HttpRequest &request)
{
    Http::request<Http::string_body> message;
    message.version(11); // HTTP/1.1
    message.method_string(request.method_);
    message.target(request.target_);
    message.set(Http::field::host, address);
    for (const auto &[name, value] : request.headers_) {
        message.set(name, value);
    }
    message.body() = request.body_;
    message.prepare_payload();
    return message;
}

std::error_code classifyError(const boost::system::error_code &error)
{
    const bool timedOut = error == Beast::error::timeout;
    return timedOut ? make_error_code(TransportErrc::TimedOut) : make_error_code(TransportErrc::Lost);
}

StreamPointer takeIdleConnection(HttpClient &client, const std::string &address)
{
    auto &idle = client.idle_[address];
    while (!idle.empty()) {
        IdleConnection connection = std::move(idle.back());
        idle.pop_back();
        if (Clock::now() - connection.idleSince_ < maxIdleTime) {
            return std::move(connection.stream_);
        }
    }
    return nullptr;
}

void keepIdleConnection(HttpClient &client, const std::string &address, StreamPointer stream)
{
    auto &idle = client.idle_[address];
    std::erase_if(idle, [](const auto &item) { return Clock::now() - item.idleSince_ >= maxIdleTime; });
    if (idle.size() < maxIdlePerAddress) {
        stream->expires_never();
        idle.push_back({ std::move(stream), Clock::now() });
    }
}

/// Connects. @return false on failure; the peer has received nothing then.
bool connect(Beast::tcp_stream &stream, const std::string &address, Milliseconds timeout, Asio::yield_context yield)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return false;
    }
    boost::system::error_code error;
    stream.expires_after(std::min(timeout, connectTimeout));
    stream.async_connect(*endpoint, yield[error]);
    if (!error) {
        configureSocket(stream.socket(), outgoingUserTimeout);
    }
    return !error;
}

/// Outcome of one exchange on one connection.
struct CallResult
{
    std::error_code error_; ///< Success or a TransportErrc.
    HttpReply reply_;
    bool keepAlive_ = false; ///< Whether the connection may carry another call.
};

HttpReply makeReply(Http::response<Http::string_body> &message)
{
    HttpReply reply;
    reply.status_ = static_cast<int>(message.result_int());
    reply.headers_ = copyFields(message);
    reply.body_ = std::move(message.body());
    return reply;
}

CallResult callOnConnection(Beast::tcp_stream &stream, const std::string &address, const HttpRequest &request,
    Milliseconds timeout, Asio::yield_context yield)
{
    CallResult result;
    boost::system::error_code error;
    const auto message = makeMessage(address, request);
    stream.expires_after(timeout);
    Http::async_write(stream, message, yield[error]);
    if (error) {
        result.error_ = classifyError(error);
        return result;
    }
    Beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    parser.body_limit(responseBodyLimit);
    Http::async_read(stream, buffer, parser, yield[error]);
    if (error) {
        result.error_ = classifyError(error);
        return result;
    }
    result.keepAlive_ = parser.get().keep_alive();
    result.reply_ = makeReply(parser.get());
    return result;
}

CallResult call(HttpClient &client, const std::string &address, const HttpRequest &request, Milliseconds timeout,
    ConnectionUse use, Asio::yield_context yield)
{
    CallResult result;
    if (StreamPointer reused = use == ConnectionUse::Reuse ? takeIdleConnection(client, address) : nullptr;
        reused != nullptr) {
        result = callOnConnection(*reused, address, request, timeout, yield);
        if (!result.error_ && result.keepAlive_) {
            keepIdleConnection(client, address, std::move(reused));
        }
        if (result.error_ == TransportErrc::TimedOut) {
            client.idle_.erase(address); // the peer's other idle connections may be dead too
        }
        if (result.error_ != TransportErrc::Lost) {
            return result;
        }
    }
    auto fresh = std::make_unique<Beast::tcp_stream>(client.io_);
    if (!connect(*fresh, address, timeout, yield)) {
        const bool maybeSent = result.error_ == TransportErrc::Lost;
        result.error_ = maybeSent ? TransportErrc::Lost : TransportErrc::NotSent;
        return result;
    }
    result = callOnConnection(*fresh, address, request, timeout, yield);
    if (!result.error_ && result.keepAlive_ && use == ConnectionUse::Reuse) {
        keepIdleConnection(client, address, std::move(fresh));
    }
    return result;
}

std::error_code classifyStreamError(const ClientStream &stream, const boost::system::error_code &error)
{
    if (stream.cancelled_) {
        return TransportErrc::Cancelled;
    }
    return error == Beast::error::timeout ? TransportErrc::Silent : TransportErrc::Lost;
}

/// Reads the body and passes it on. @return success at its end, else a TransportErrc
std::error_code readBody(ClientStream &stream, Http::response_parser<Http::buffer_body> &parser,
    Milliseconds silenceTimeout, const StreamHandlers &handlers, Asio::yield_context yield)
{
    std::array<char, streamBufferBytes> bytes{};
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        boost::system::error_code error;
        stream.stream_.expires_after(silenceTimeout);
        Http::async_read_some(stream.stream_, stream.buffer_, parser, yield[error]);
        if (error && error != Http::error::need_buffer) {
            return classifyStreamError(stream, error);
        }
        const size_t received = bytes.size() - parser.get().body().size;
        if (received > 0 && !stream.cancelled_) {
            handlers.onBytes_({ bytes.data(), received });
        }
    }
    return {};
}

std::error_code runStream(ClientStream &stream, const std::string &address, const HttpRequest &request,
    Milliseconds silenceTimeout, const StreamHandlers &handlers, Asio::yield_context yield)
{
    if (!connect(stream.stream_, address, silenceTimeout, yield)) {
        return stream.cancelled_ ? TransportErrc::Cancelled : TransportErrc::NotSent;
    }
    const auto message = makeMessage(address, request);
    boost::system::error_code error;
    stream.stream_.expires_after(silenceTimeout);
    Http::async_write(stream.stream_, message, yield[error]);
    if (error) {
        return classifyStreamError(stream, error);
    }
    Http::response_parser<Http::buffer_body> parser;
    parser.body_limit(responseBodyLimit);
    Http::async_read_header(stream.stream_, stream.buffer_, parser, yield[error]);
    if (error) {
        return classifyStreamError(stream, error);
    }
    HttpReply head;
    head.status_ = static_cast<int>(parser.get().result_int());
    head.headers_ = copyFields(parser.get());
    if (!stream.cancelled_) {
        handlers.onHead_(head);
    }
    return readBody(stream, parser, silenceTimeout, handlers, yield);
}

} // namespace

void fetch(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout, ConnectionUse use,
    FetchHandler done)
{
    const auto body = [&client, address = std::move(address), request = std::move(request), timeout, use,
                          done = std::move(done)](Asio::yield_context yield) {
        CallResult result = call(client, address, request, timeout, use, yield);
        done(result.error_, std::move(result.reply_));
    };
    startCoroutine(client.io_, "fetch", body, [] {});
}

uint64_t openStream(
    HttpClient &client, std::string address, HttpRequest request, Milliseconds silenceTimeout, StreamHandlers handlers)
{
    const uint64_t number = client.nextStream_++;
    auto stream = std::make_shared<ClientStream>(client.io_);
    client.streams_[number] = stream;
    const auto body = [&client, number, stream, address = std::move(address), request = std::move(request),
                          silenceTimeout, handlers = std::move(handlers)](Asio::yield_context yield) {
        const std::error_code error = runStream(*stream, address, request, silenceTimeout, handlers, yield);
        stream->stream_.close();
        client.streams_.erase(number);
        if (!stream->cancelled_) {
            handlers.onEnd_(error);
        }
    };
    startCoroutine(client.io_, "stream", body, [&client, number] { client.streams_.erase(number); });
    return number;
}

void closeStream(HttpClient &client, uint64_t stream)
{
    const auto found = client.streams_.find(stream);
    if (found == client.streams_.end()) {
        return;
    }
    found->second->cancelled_ = true;
    found->second->stream_.close();
}

} // namespace Burdockfield
