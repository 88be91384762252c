/**
 * @file upstream_link.cpp
 * @brief Persistent connections of a gateway to upstreams.
 */
#include "upstream_link.h"

#include "address_func.h"
#include "digest_func.h"
#include "error_type.h"
#include "http_fields_func.h"
#include "http_func.h"
#include "http_limit_type.h"
#include "memory_budget_func.h"
#include "socket_func.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;

/// Two round trips between regions and the retransmission of one lost packet.
constexpr Milliseconds connectTimeout{ 700 };
/// Time for which a connection made to check an upstream has to stay open. The kernel resets the connections that a
/// process has not accepted within a few milliseconds of its end.
constexpr Milliseconds checkSettleTime{ 25 };
constexpr int maxCheckConnections = 4; ///< Connections tried in one check, see startCheck().
constexpr size_t maxReadBytes = 16U << 10U; ///< Most bytes read at once on a connection.
constexpr size_t minReadBytes = 4U << 10U; ///< The same if very many connections have a call.
/// Bytes that all connections with a call together may read before any of them is handled.
constexpr size_t readBytesOfAll = 1536U << 10U;
constexpr size_t peekedBytes = 2U << 10U; ///< Most bytes of an extra answer looked at on an idle connection.
constexpr uint32_t responseHeaderLimit = 32U << 10U; ///< Bytes of the longest response header.
/// Most bytes buffered while the rest of a header, a chunk's header or trailers is missing.
constexpr size_t maxUnparsedBytes = responseHeaderLimit;
/// Most bytes of a call, beyond those of its answer's body, that are headers, chunk headers and discarded responses.
constexpr size_t maxOverheadBytes = 256U << 10U;
/// Longest idle time before a call that must not be lost (not retryable), if the upstream announces no timeout.
constexpr Milliseconds maxIdleTimeUnlessRetryable{ 250 };
constexpr double idleTimeoutShare = 0.6; ///< Usable share of an announced idle timeout.
constexpr std::chrono::seconds maxIdleTime{ 12 }; ///< Longest idle time if the upstream announces no timeout.

void readSome(UpstreamLink &link, const LinkPointer &connection);

void closeConnection(const LinkPointer &connection)
{
    connection->closed_ = true;
    connection->timer_.cancel();
    boost::system::error_code ignored;
    connection->socket_.close(ignored);
}

void removeIdleConnection(UpstreamLink &link, const LinkPointer &connection)
{
    const auto found = link.idle_.find(connection->call_.address_);
    if (found != link.idle_.end()) {
        std::erase(found->second, connection);
    }
}

uint32_t hashId(const std::string &requestId)
{
    return static_cast<uint32_t>(fastHash(requestId));
}

/// @return the use of a connection by its current call, if it has one.
LinkUse useOf(const LinkConnection &connection)
{
    const size_t current = connection.carriedIds_.empty() ? 0 : 1; // none if the connection could not be made
    return { connection.number_, connection.carriedIds_.size() - current, connection.requestWritten_ };
}

HttpReply makeHead(LinkParser &parser)
{
    HttpReply reply;
    const auto &message = parser.get();
    reply.status_ = static_cast<int>(message.result_int());
    reply.headers_ = copyFields(message);
    return reply;
}

/// @return the header of an answer at the start of some bytes; status 0 if they are none.
HttpReply parseHead(Asio::const_buffer bytes)
{
    LinkParser parser;
    parser.header_limit(responseHeaderLimit);
    boost::system::error_code error;
    parser.put(bytes, error);
    return parser.is_header_done() ? makeHead(parser) : HttpReply{};
}

void reportExtraAnswer(UpstreamLink &link, LinkConnection &connection, ExtraAnswerPlace place, HttpReply head)
{
    if (std::exchange(connection.extraReported_, true) || !link.handlers_.onExtraAnswer_) {
        return;
    }
    LinkUse use = useOf(connection);
    if (place == ExtraAnswerPlace::Idle) {
        use.callsBefore_ = connection.carriedIds_.size();
    }
    link.handlers_.onExtraAnswer_(
        { place, connection.call_.address_, connection.call_.requestId_, use, std::move(head) });
}

/// Ends the current call; keeps the connection only if it received nothing but the call's response.
void endCall(UpstreamLink &link, const LinkPointer &connection, std::error_code error)
{
    const uint64_t send = connection->call_.send_;
    link.busy_.erase(send);
    const LinkUse use = useOf(*connection);
    if (!error && connection->buffer_.size() > 0) {
        reportExtraAnswer(link, *connection, ExtraAnswerPlace::BehindAnswer, parseHead(connection->buffer_.cdata()));
    }
    connection->call_.send_ = 0;
    connection->call_.body_.reset();
    if (connection->requestWritten_) {
        connection->message_.reset();
    }
    connection->parser_.reset();
    connection->headBytes_ = 0;
    connection->headCopyBytes_ = 0;
    const bool clean = !error && connection->reusable_ && connection->requestWritten_ && connection->buffer_.size() == 0
        && connection->carriedIds_.size() < maxCallsPerConnection;
    auto &idle = link.idle_[connection->call_.address_];
    if (clean && idle.size() < connection->call_.idleLimit_) {
        connection->idleSince_ = Clock::now();
        idle.push_back(connection);
    } else {
        closeConnection(connection);
    }
    link.handlers_.onEnd_(send, error, use);
}

void resetParser(LinkConnection &connection)
{
    connection.parser_.emplace();
    connection.parser_->header_limit(responseHeaderLimit);
    connection.parser_->body_limit(boost::none);
    connection.parser_->eager(true);
    connection.parser_->skip(connection.call_.head_.method_ == "HEAD"); // its answer has no body, whatever its length
    connection.headHandled_ = false;
    connection.discarding_ = false;
    connection.headBytes_ = 0;
}

/// Counts the memory of a connection's response in the sum of the link.
void countMemory(LinkConnection &connection)
{
    // The parser takes at least as much again for the fields of a header that is not complete.
    const size_t held = connection.buffer_.capacity() + 2 * connection.headBytes_ + connection.headCopyBytes_;
    *connection.linkBytes_ += held - connection.heldBytes_;
    connection.heldBytes_ = held;
}

size_t memoryOf(const HttpReply &head)
{
    size_t bytes = head.headers_.capacity() * sizeof(HttpHeaders::value_type);
    for (const auto &[name, value] : head.headers_) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

void recordProgress(LinkConnection &connection, size_t bodyBytes)
{
    connection.progressBytes_ += bodyBytes;
    if (connection.progressBytes_ >= progressStep) {
        connection.progressBytes_ = 0;
        connection.progressAt_ = Clock::now();
    }
}

void recordKeepAlive(LinkConnection &connection, const HttpReply &head)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view value = findHeader(head.headers_, "Keep-Alive");
    const size_t at = value.find(parameter);
    if (at != std::string_view::npos) {
        const std::string_view rest = value.substr(at + parameter.size());
        const std::string_view digits = rest.substr(0, std::min(rest.find_first_not_of("0123456789"), rest.size()));
        connection.announcedIdleTimeout_ = std::chrono::seconds(parseNumberOr(digits, 0));
    }
    connection.reusable_ = connection.reusable_ && connection.parser_->get().keep_alive();
}

/// Passes on what has been parsed of the current response.
void deliverResponse(UpstreamLink &link, LinkConnection &connection)
{
    if (!connection.parser_->is_header_done()) {
        return;
    }
    if (!connection.headHandled_) {
        connection.headHandled_ = true;
        HttpReply head = makeHead(*connection.parser_);
        recordKeepAlive(connection, head);
        connection.discarding_ = head.status_ < firstFinalStatus || connection.call_.isMismatched_(head);
        if (connection.discarding_) {
            connection.reusable_ = false;
            if (head.status_ >= firstFinalStatus) {
                reportExtraAnswer(link, connection, ExtraAnswerPlace::BeforeAnswer, std::move(head));
            }
        } else {
            const auto &namesRequest = connection.call_.namesRequest_;
            connection.reusable_ = connection.reusable_ && (!namesRequest || namesRequest(head));
            connection.headCopyBytes_ = memoryOf(head);
            connection.progressAt_ = Clock::now();
            link.handlers_.onHead_(connection.call_.send_, std::move(head));
        }
        connection.headBytes_ = 0;
        connection.parser_->get().clear(); // the parser itself does not need the fields any more
    }
    std::string bytes = std::move(connection.parser_->get().body());
    connection.parser_->get().body().clear();
    if (!bytes.empty() && !connection.discarding_) {
        // Each byte of the body also makes up for one of overhead, so that a stream may be of any length.
        connection.overheadBytes_ -= std::min(connection.overheadBytes_, 2 * bytes.size());
        recordProgress(connection, bytes.size());
        link.handlers_.onBytes_(connection.call_.send_, std::move(bytes));
    }
}

/// @return whether the header or the trailers of the current response are too long. The limit of the parser holds only
/// for what it has not parsed yet, and it parses a header in parts.
bool exceedsFieldLimits(LinkConnection &connection, size_t parsed)
{
    if (!connection.parser_->is_header_done()) {
        connection.headBytes_ += parsed;
    }
    const auto &fields = connection.parser_->get();
    return connection.headBytes_ > responseHeaderLimit || std::distance(fields.begin(), fields.end()) > maxHeaderFields;
}

/// @return whether the parsed header is that of neither an interim response nor an answer.
bool hasInvalidStatus(LinkConnection &connection)
{
    return connection.parser_->is_header_done() && !connection.headHandled_
        && connection.parser_->get().result_int() < firstInterimStatus;
}

/// Parses the received bytes; ends the call when its response is complete or exceeds a limit.
void parse(UpstreamLink &link, const LinkPointer &connection)
{
    while (connection->buffer_.size() > 0) {
        boost::system::error_code error;
        const size_t parsed = connection->parser_->put(connection->buffer_.data(), error);
        connection->buffer_.consume(parsed);
        connection->overheadBytes_ += parsed;
        if ((error && error != Http::error::need_more) || hasInvalidStatus(*connection)
            || exceedsFieldLimits(*connection, parsed)) {
            endCall(link, connection, TransportErrc::Malformed);
            return;
        }
        deliverResponse(link, *connection);
        if (connection->overheadBytes_ > maxOverheadBytes || connection->buffer_.size() > maxUnparsedBytes) {
            endCall(link, connection, TransportErrc::Malformed);
            return;
        }
        if (connection->parser_->is_done()) {
            if (!connection->discarding_) {
                endCall(link, connection, {});
                return;
            }
            resetParser(*connection);
        } else if (error == Http::error::need_more || parsed == 0) {
            return;
        }
    }
}

/// Handles a close by the peer, which may be the regular end of a response, or a failed connection.
void handleReadError(UpstreamLink &link, const LinkPointer &connection, const boost::system::error_code &error)
{
    if (connection->call_.send_ == 0) {
        removeIdleConnection(link, connection);
        closeConnection(connection);
        return;
    }
    connection->reusable_ = false;
    const bool untilClose = connection->parser_->is_header_done() && connection->parser_->need_eof();
    if (error == Asio::error::eof && untilClose && !connection->writeFailed_ && !connection->discarding_) {
        boost::system::error_code end;
        connection->parser_->put_eof(end);
        deliverResponse(link, *connection);
        endCall(link, connection, end ? make_error_code(TransportErrc::Lost) : std::error_code());
        return;
    }
    endCall(link, connection, TransportErrc::Lost);
}

void handleRead(
    UpstreamLink &link, const LinkPointer &connection, const boost::system::error_code &error, size_t length)
{
    if (connection->closed_) {
        return;
    }
    if (error) {
        handleReadError(link, connection, error);
        return;
    }
    connection->buffer_.commit(length);
    if (connection->call_.send_ == 0) { // bytes that belong to no call
        reportExtraAnswer(link, *connection, ExtraAnswerPlace::Idle, parseHead(connection->buffer_.cdata()));
        removeIdleConnection(link, connection);
        closeConnection(connection);
        return;
    }
    parse(link, connection);
    if (!connection->closed_) {
        readSome(link, connection);
    }
}

size_t readSize(const UpstreamLink &link)
{
    return std::clamp(readBytesOfAll / std::max<size_t>(link.busy_.size(), 1), minReadBytes, maxReadBytes);
}

void readSome(UpstreamLink &link, const LinkPointer &connection)
{
    const auto space = connection->buffer_.prepare(readSize(link));
    countMemory(*connection);
    connection->socket_.async_read_some(
        space, [&link, connection](const boost::system::error_code &error, size_t length) {
            handleRead(link, connection, error, length);
        });
}

void writeRequest(UpstreamLink &link, const LinkPointer &connection)
{
    const LinkCall &call = connection->call_;
    connection->message_.emplace();
    LinkMessage &message = *connection->message_;
    message.version(11); // HTTP/1.1
    message.method_string(call.head_.method_);
    message.target(call.head_.target_);
    for (const auto &[name, value] : call.head_.headers_) {
        message.insert(name, value);
    }
    message.body() = Beast::span<const char>(call.body_->data(), call.body_->size());
    setBodyLength(message, call.body_->size());
    connection->requestWritten_ = false;
    const uint64_t send = call.send_;
    const auto done = [&link, connection, send, body = call.body_](const boost::system::error_code &error, size_t) {
        if (connection->closed_ || connection->call_.send_ != send) {
            return;
        }
        connection->requestWritten_ = !error;
        if (error) { // a response sent before the error is still read
            connection->reusable_ = false;
            connection->writeFailed_ = true;
        }
    };
    Http::async_write(connection->socket_, message, done);
}

void sendRequest(UpstreamLink &link, const LinkPointer &connection)
{
    resetParser(*connection);
    connection->overheadBytes_ = 0;
    connection->carriedIds_.push_back(hashId(connection->call_.requestId_));
    connection->progressBytes_ = 0;
    connection->progressAt_ = Clock::now();
    writeRequest(link, connection);
}

using ConnectHandler = std::function<void(const boost::system::error_code &)>; ///< Called once, see connect().

/// @return the error of a call or check whose connection could not be made.
std::error_code classifyConnectError(const boost::system::error_code &error)
{
    return error == Asio::error::connection_refused ? TransportErrc::ConnectionRefused : TransportErrc::NotSent;
}

void finishConnect(
    const LinkPointer &connection, const boost::system::error_code &error, const ConnectHandler &onConnect)
{
    if (connection->closed_ || connection->connected_) {
        return;
    }
    connection->timer_.cancel();
    if (error) {
        onConnect(error);
        return;
    }
    connection->connected_ = true;
    configureSocket(connection->socket_, outgoingUserTimeout);
    boost::system::error_code ignored;
    connection->socket_.non_blocking(true, ignored);
    onConnect({});
}

/// Connects to the address of the connection's call, unless the connection is closed meanwhile.
void connect(UpstreamLink &link, const LinkPointer &connection, const ConnectHandler &onConnect)
{
    const auto endpoint = parseEndpoint(connection->call_.address_);
    connection->number_ = ++link.connectionsOpened_;
    if (!endpoint) {
        Asio::post(
            link.io_, [connection, onConnect] { finishConnect(connection, Asio::error::invalid_argument, onConnect); });
        return;
    }
    connection->timer_.expires_after(connectTimeout);
    connection->timer_.async_wait([connection, onConnect](const boost::system::error_code &error) {
        if (!error) {
            finishConnect(connection, Asio::error::timed_out, onConnect);
        }
    });
    openBoundedSocket(connection->socket_, *endpoint);
    connection->socket_.async_connect(*endpoint, [connection, onConnect](const boost::system::error_code &error) {
        finishConnect(connection, error, onConnect);
    });
}

void openConnection(UpstreamLink &link, LinkCall call)
{
    auto connection = std::make_shared<LinkConnection>(link.io_, link.heldBytes_);
    connection->call_ = std::move(call);
    link.busy_[connection->call_.send_] = connection;
    connect(link, connection, [&link, connection](const boost::system::error_code &error) {
        if (error) {
            endCall(link, connection, classifyConnectError(error));
            return;
        }
        sendRequest(link, connection);
        readSome(link, connection);
    });
}

bool isUsable(const LinkConnection &connection, bool retryable, TimePoint now)
{
    const Duration idle = now - connection.idleSince_;
    const bool hasIdleTimeout = connection.announcedIdleTimeout_ > Milliseconds(0);
    if (hasIdleTimeout) {
        return idle < connection.announcedIdleTimeout_ * idleTimeoutShare;
    }
    return retryable ? idle < maxIdleTime : idle < maxIdleTimeUnlessRetryable;
}

/// @return whether the upstream has neither closed the connection nor sent anything on it since its last call.
bool isQuiet(UpstreamLink &link, LinkConnection &connection)
{
    std::array<char, peekedBytes> bytes{};
    boost::system::error_code error;
    const size_t length = connection.socket_.receive(Asio::buffer(bytes), Asio::socket_base::message_peek, error);
    if (!error && length > 0) {
        reportExtraAnswer(link, connection, ExtraAnswerPlace::Idle, parseHead(Asio::buffer(bytes.data(), length)));
    }
    return error == Asio::error::would_block;
}

bool hasCarried(const LinkConnection &connection, uint32_t id)
{
    const auto &carried = connection.carriedIds_;
    return std::find(carried.begin(), carried.end(), id) != carried.end();
}

LinkPointer takeIdleConnection(UpstreamLink &link, const LinkCall &call)
{
    const auto found = link.idle_.find(call.address_);
    if (found == link.idle_.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    const TimePoint now = Clock::now();
    const uint32_t id = hashId(call.requestId_);
    const auto usable = [&call, id, now](const LinkPointer &connection) {
        return isUsable(*connection, call.retryable_, now) && !hasCarried(*connection, id);
    };
    for (auto newest = std::find_if(idle.rbegin(), idle.rend(), usable); newest != idle.rend();
         newest = std::find_if(idle.rbegin(), idle.rend(), usable)) {
        LinkPointer connection = *newest;
        idle.erase(std::next(newest).base());
        if (isQuiet(link, *connection)) {
            return connection;
        }
        closeConnection(connection);
    }
    return nullptr;
}

/**
 * Connects to an address. A connection that breaks at once doesn't count: a process that is ending may still accept it.
 * @param connectionsLeft connections that may be tried; if the last one breaks, too, something listens there and resets
 * connections that exceed its limit
 */
void startCheck(UpstreamLink &link, const std::string &address, int connectionsLeft,
    const std::function<void(std::error_code)> &onEnd)
{
    auto connection = std::make_shared<LinkConnection>(link.io_, link.heldBytes_);
    connection->call_.address_ = address;
    connect(link, connection, [&link, connection, connectionsLeft, onEnd](const boost::system::error_code &error) {
        if (error && error != Asio::error::connection_reset) {
            closeConnection(connection);
            onEnd(classifyConnectError(error));
            return;
        }
        if (error) { // it broke before it was found to be made
            closeConnection(connection);
        } else {
            readSome(link, connection);
        }
        connection->timer_.expires_after(checkSettleTime);
        connection->timer_.async_wait([&link, connection, connectionsLeft, onEnd](const boost::system::error_code &) {
            if (!connection->closed_) {
                connection->idleSince_ = Clock::now();
                link.idle_[connection->call_.address_].push_back(connection);
                onEnd({});
            } else if (connectionsLeft > 1) {
                startCheck(link, connection->call_.address_, connectionsLeft - 1, onEnd);
            } else {
                onEnd({});
            }
        });
    });
}

void startPostedCall(UpstreamLink &link, LinkCall call)
{
    if (!isSendable(call.head_)) {
        link.handlers_.onEnd_(call.send_, TransportErrc::Unsendable, {});
        return;
    }
    const LinkPointer connection = takeIdleConnection(link, call);
    if (connection == nullptr) {
        openConnection(link, std::move(call));
        return;
    }
    link.busy_[call.send_] = connection;
    connection->call_ = std::move(call);
    sendRequest(link, connection);
}

} // namespace

void startCall(UpstreamLink &link, LinkCall call)
{
    link.starting_.insert(call.send_);
    // Reads that have completed already are handled before the call takes a connection.
    Asio::post(link.io_, [&link, call = std::move(call)]() mutable {
        if (link.starting_.erase(call.send_) > 0) {
            startPostedCall(link, std::move(call));
        }
    });
}

void checkAddress(UpstreamLink &link, const std::string &address, std::function<void(std::error_code)> onEnd)
{
    startCheck(link, address, maxCheckConnections, onEnd);
}

void cancelCall(UpstreamLink &link, uint64_t send)
{
    if (link.starting_.erase(send) > 0) {
        return;
    }
    const auto found = link.busy_.find(send);
    if (found == link.busy_.end()) {
        return;
    }
    const LinkPointer connection = found->second;
    link.busy_.erase(found);
    connection->call_.send_ = 0;
    closeConnection(connection);
}

std::vector<SendHolding> listHoldings(const UpstreamLink &link)
{
    std::vector<SendHolding> holdings;
    for (const auto &[send, connection] : link.busy_) {
        holdings.push_back({ send, connection->heldBytes_, connection->progressAt_ });
    }
    return holdings;
}

void giveUpCall(UpstreamLink &link, uint64_t send)
{
    if (const auto found = link.busy_.find(send); found != link.busy_.end()) {
        const LinkPointer connection = found->second;
        endCall(link, connection, TransportErrc::NoMemory);
    }
}

void closeIdleConnections(UpstreamLink &link, const std::string &address)
{
    if (const auto found = link.idle_.find(address); found != link.idle_.end()) {
        std::for_each(found->second.begin(), found->second.end(), closeConnection);
        link.idle_.erase(found);
    }
}

void closeStaleConnections(UpstreamLink &link, TimePoint now)
{
    for (auto &[address, idle] : link.idle_) {
        std::erase_if(idle, [now](const LinkPointer &connection) {
            const bool stale = !isUsable(*connection, true, now);
            if (stale) {
                closeConnection(connection);
            }
            return stale;
        });
    }
    std::erase_if(link.idle_, [](const auto &item) { return item.second.empty(); });
}

} // namespace Burdockfield
