/**
 * @file http_client.cpp
 * @brief HTTP client on Boost.Beast with persistent connections.
 */
#include "http_client.h"

#include "call_number_func.h"
#include "coroutine_func.h"
#include "error_type.h"
#include "http_client_connection.h"
#include "http_fields_func.h"
#include "http_func.h"
#include "received_body_type.h"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;
using StreamPointer = std::unique_ptr<Beast::tcp_stream>;

constexpr size_t streamBodyLimit = 64U << 20U; ///< Longest body of a stream.
/// Most bytes buffered while the rest of a header, a chunk's header or trailers is missing.
constexpr size_t maxUnparsedBytes = 32U << 10U;
constexpr size_t timedBytes = 32U << 10U; ///< Bytes of a response for which its timeout starts again.
constexpr int maxInterimResponses = 8; ///< Interim responses after which a response is malformed.
constexpr int maxExtraReplies = 8; ///< Replies to other calls after which a call ends as malformed.
constexpr size_t streamBufferBytes = 16U << 10U; ///< Most bytes passed to onBytes_ at once.
constexpr double replyShare = 0.03; ///< Longest reply as a share of the memory; twice a large configuration on 88 MiB.
constexpr double repliesShare = 0.05; ///< Share of the memory for all replies being received.
constexpr size_t minReplyBytes = 1U << 20U; ///< Longest reply with little memory; a page of the store is as long.

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
    setBodyLength(message, request.body_.size());
    return message;
}

/// @return whether the peer sent what is no response, or exceeds a limit.
bool isMalformed(const boost::system::error_code &error)
{
    static const auto &category = make_error_code(Http::error::bad_version).category();
    return error.category() == category && error != Http::error::end_of_stream && error != Http::error::partial_message;
}

std::error_code classifyError(const boost::system::error_code &error)
{
    if (error == Beast::error::timeout) {
        return TransportErrc::TimedOut;
    }
    if (error == Asio::error::no_memory) {
        return TransportErrc::NoMemory;
    }
    return isMalformed(error) ? TransportErrc::Malformed : TransportErrc::Lost;
}

/// Reads a header; interim responses are skipped.
template<typename Body>
void readHeader(Beast::tcp_stream &stream, Beast::flat_buffer &buffer, size_t bodyLimit,
    std::optional<Http::response_parser<Body>> &parser, boost::system::error_code &error, Asio::yield_context yield)
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        parser.emplace();
        parser->body_limit(bodyLimit);
        Http::async_read_header(stream, buffer, *parser, yield[error]);
        if (error || parser->get().result_int() >= firstFinalStatus) {
            return;
        }
        if (parser->get().result_int() < firstInterimStatus) {
            break;
        }
    }
    error = Http::error::bad_status;
}

/// Reads the rest of a response. A large one may take longer than the timeout as long as it arrives steadily.
void readWholeBody(Beast::tcp_stream &stream, Beast::flat_buffer &buffer,
    Http::response_parser<Http::string_body> &parser, Milliseconds timeout, const HeldReply &held,
    boost::system::error_code &error, Asio::yield_context yield)
{
    size_t received = 0;
    parser.eager(true);
    while (!error && !parser.is_done()) {
        received += Http::async_read_some(stream, buffer, parser, yield[error]);
        if (!holdBytes(held, parser.get().body().capacity())) {
            error = Asio::error::no_memory;
        }
        if (received >= timedBytes) {
            received = 0;
            stream.expires_after(timeout);
        }
    }
}

/// Outcome of one exchange on one connection.
struct CallResult
{
    std::error_code error_; ///< Success or a TransportErrc.
    HttpReply reply_;
    bool keepAlive_ = false; ///< Whether the connection may carry another call.
};

/// @return the status and headers of a response.
template<typename Body>
HttpReply makeHead(const Http::response<Body> &message)
{
    HttpReply head;
    head.status_ = static_cast<int>(message.result_int());
    head.headers_ = copyFields(message);
    return head;
}

/// Reads the next reply on a connection.
CallResult readReply(Beast::tcp_stream &stream, Beast::flat_buffer &buffer, Milliseconds timeout,
    const HttpClient &client, Asio::yield_context yield)
{
    CallResult result;
    boost::system::error_code error;
    std::optional<Http::response_parser<Http::string_body>> parser;
    readHeader(stream, buffer, client.responseBodyLimit_, parser, error, yield);
    if (!error) {
        const HeldReply held(client, &stream);
        stream.expires_after(timeout);
        readWholeBody(stream, buffer, *parser, timeout, held, error, yield);
    }
    if (error) {
        result.error_ = classifyError(error);
        return result;
    }
    result.keepAlive_ = parser->get().keep_alive() && buffer.size() == 0;
    result.reply_ = makeHead(parser->get());
    result.reply_.body_ = std::move(parser->get().body());
    return result;
}

/// Reads the next reply on a connection and passes its body on.
CallResult passReply(Beast::tcp_stream &stream, Beast::flat_buffer &buffer, Milliseconds timeout,
    const BodyReader &reader, Asio::yield_context yield)
{
    constexpr size_t anyLength = std::numeric_limits<size_t>::max();
    CallResult result;
    boost::system::error_code error;
    std::optional<Http::response_parser<ReceivedBody>> parser;
    readHeader(stream, buffer, anyLength, parser, error, yield);
    if (error) {
        result.error_ = classifyError(error);
        return result;
    }
    result.reply_ = makeHead(parser->get());
    reader.onHead_(result.reply_);
    parser->eager(true);
    stream.expires_after(timeout);
    size_t received = 0;
    while (!result.error_ && !parser->is_done()) {
        received += Http::async_read_some(stream, buffer, *parser, yield[error]);
        result.error_ = error ? classifyError(error) : reader.onBytes_(parser->get().body());
        parser->get().body().clear();
        if (received >= timedBytes) {
            received = 0;
            stream.expires_after(timeout);
        }
    }
    result.keepAlive_ = parser->get().keep_alive() && buffer.size() == 0;
    return result;
}

/// Reads the next reply on a connection. @param reader takes its body, if not nullptr
CallResult readReply(Beast::tcp_stream &stream, Beast::flat_buffer &buffer, Milliseconds timeout,
    const HttpClient &client, const BodyReader *reader, Asio::yield_context yield)
{
    return reader == nullptr ? readReply(stream, buffer, timeout, client, yield)
                             : passReply(stream, buffer, timeout, *reader, yield);
}

CallResult callOnConnection(Beast::tcp_stream &stream, const std::string &address, const HttpRequest &request,
    Milliseconds timeout, const HttpClient &client, const BodyReader *reader, Asio::yield_context yield)
{
    CallResult result;
    boost::system::error_code error;
    const auto message = makeMessage(address, request);
    const uint64_t number = findCallNumber(request.headers_).value_or(0);
    const TimePoint deadline = Clock::now() + timeout; // until the header of the reply
    stream.expires_at(deadline);
    Http::async_write(stream, message, yield[error]);
    if (error) {
        result.error_ = classifyError(error);
        return result;
    }
    Beast::flat_buffer buffer(maxUnparsedBytes);
    result = readReply(stream, buffer, timeout, client, reader, yield);
    int extra = 0;
    for (; !result.error_ && isExtraReply(number, result.reply_.headers_); ++extra) {
        if (extra == 0) {
            const uint64_t received = findCallNumber(result.reply_.headers_).value_or(0);
            reportExtraReply(client, { address, ExtraAnswerPlace::BeforeAnswer, number, received });
        }
        if (extra == maxExtraReplies) {
            result = {};
            result.error_ = TransportErrc::Malformed;
            break;
        }
        stream.expires_at(deadline);
        result = readReply(stream, buffer, timeout, client, reader, yield);
    }
    if (extra == 0 && buffer.size() > 0 && !result.error_) {
        reportExtraReply(client, { address, ExtraAnswerPlace::BehindAnswer, number, 0 });
    }
    result.keepAlive_ = result.keepAlive_ && extra == 0;
    return result;
}

CallResult call(HttpClient &client, const std::string &address, const HttpRequest &request, Milliseconds timeout,
    ConnectionUse use, const BodyReader *reader, Asio::yield_context yield)
{
    CallResult result;
    if (!isSendable(request) || !isFieldValue(address)) { // the address is sent, too
        result.error_ = TransportErrc::Unsendable;
        return result;
    }
    const ConnectionPool pool{ address, request.channel_ };
    const uint64_t number = findCallNumber(request.headers_).value_or(0);
    const bool keepsConnection = use != ConnectionUse::Fresh;
    if (StreamPointer reused = keepsConnection ? takeIdleConnection(client, pool) : nullptr; reused != nullptr) {
        result = callOnConnection(*reused, address, request, timeout, client, reader, yield);
        if (!result.error_ && result.keepAlive_) {
            keepIdleConnection(client, pool, std::move(reused), number);
        }
        if (result.error_ == TransportErrc::TimedOut) {
            // The peer's other idle connections may be dead too.
            std::erase_if(client.idle_, [&address](const auto &item) { return item.first.first == address; });
        }
        if (result.error_ != TransportErrc::Lost || use == ConnectionUse::ReuseOnce) {
            return result;
        }
    }
    auto fresh = std::make_unique<Beast::tcp_stream>(client.io_);
    if (!connect(*fresh, address, timeout, yield)) {
        const bool maybeSent = result.error_ == TransportErrc::Lost;
        result.error_ = maybeSent ? TransportErrc::Lost : TransportErrc::NotSent;
        return result;
    }
    result = callOnConnection(*fresh, address, request, timeout, client, reader, yield);
    if (!result.error_ && result.keepAlive_ && keepsConnection) {
        keepIdleConnection(client, pool, std::move(fresh), number);
    }
    return result;
}

std::error_code classifyStreamError(const ClientStream &stream, const boost::system::error_code &error)
{
    if (stream.cancelled_) {
        return TransportErrc::Cancelled;
    }
    const std::error_code kind = classifyError(error);
    return kind == TransportErrc::TimedOut ? TransportErrc::Silent : kind;
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
    if (!isSendable(request) || !isFieldValue(address)) {
        return TransportErrc::Unsendable;
    }
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
    std::optional<Http::response_parser<Http::buffer_body>> parser;
    stream.buffer_.max_size(maxUnparsedBytes);
    readHeader(stream.stream_, stream.buffer_, streamBodyLimit, parser, error, yield);
    if (error) {
        return classifyStreamError(stream, error);
    }
    if (!stream.cancelled_) {
        handlers.onHead_(makeHead(parser->get()));
    }
    return readBody(stream, *parser, silenceTimeout, handlers, yield);
}

/// Starts a call. @param reader takes the body of its reply, if there is one
void startFetch(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout, ConnectionUse use,
    std::optional<BodyReader> reader, FetchHandler done)
{
    const auto body = [&client, address = std::move(address), request = std::move(request), timeout, use,
                          reader = std::move(reader), done = std::move(done)](Asio::yield_context yield) {
        CallResult result = call(client, address, request, timeout, use, reader ? &*reader : nullptr, yield);
        done(result.error_, std::move(result.reply_));
    };
    startCoroutine(client.io_, "fetch", body, [] {});
}

} // namespace

HeldReply::HeldReply(const HttpClient &client, Beast::tcp_stream *stream)
    : replies_(client.replies_)
    , number_(addReply(replies_->budget_, Clock::now()))
{
    if (stream != nullptr) {
        replies_->streams_[number_] = stream;
    }
}

HeldReply::~HeldReply()
{
    removeReply(replies_->budget_, number_);
    replies_->streams_.erase(number_);
}

bool holdBytes(const HeldReply &reply, size_t bytes)
{
    for (const uint64_t number : setReplyBytes(reply.replies_->budget_, Clock::now(), reply.number_, bytes)) {
        const auto found = reply.replies_->streams_.find(number);
        if (found != reply.replies_->streams_.end() && number != reply.number_) {
            found->second->cancel(); // ends its read, after which its buffer is released
        }
    }
    return !isGivenUp(reply.replies_->budget_, reply.number_);
}

void setReplyMemory(HttpClient &client, size_t memoryBytes, size_t longest)
{
    const auto memory = static_cast<double>(memoryBytes);
    client.responseBodyLimit_
        = std::clamp(static_cast<size_t>(memory * replyShare), std::min(minReplyBytes, longest), longest);
    client.replies_->budget_.limitBytes_ = std::max(static_cast<size_t>(memory * repliesShare), 2 * minReplyBytes);
}

void fetch(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout, ConnectionUse use,
    FetchHandler done)
{
    startFetch(client, std::move(address), std::move(request), timeout, use, std::nullopt, std::move(done));
}

void fetchParts(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout, ConnectionUse use,
    BodyReader reader, FetchHandler done)
{
    startFetch(client, std::move(address), std::move(request), timeout, use, std::move(reader), std::move(done));
}

void closeChannel(HttpClient &client, const std::string &address, const std::string &channel)
{
    client.idle_.erase({ address, channel });
}

void fetchFromNode(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout,
    ConnectionUse use, FetchHandler done)
{
    request.headers_.emplace_back(callNumberHeader, std::to_string(client.nextCall_++));
    fetch(client, std::move(address), std::move(request), timeout, use, std::move(done));
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
