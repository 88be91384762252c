/**
 * @file upstream_link.cpp
 * @brief Connections of a gateway to upstreams.
 */
#include "upstream_link.h"

#include "address_func.h"
#include "error_type.h"
#include "http_fields_func.h"
#include "http_func.h"
#include "socket_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

namespace Http = Beast::http;

constexpr Milliseconds connectTimeout{ 700 }; ///< Two round trips between regions and one lost packet sent again.
constexpr size_t readBytes = 16U << 10U; ///< Bytes read at once.
constexpr uint32_t answerHeaderLimit = 32U << 10U; ///< Longest header of an answer.
/// Idle time up to which a call that must not be lost may use a connection.
constexpr Milliseconds cautiousIdle{ 250 };
constexpr double boundShare = 0.6; ///< Part of the told idle bound up to which a connection is used.
constexpr std::chrono::seconds idleRetention{ 12 }; ///< Longest idle time if the upstream tells none.
constexpr int firstFinalStatus = 200; ///< Lower statuses announce a later answer.

void readSome(UpstreamLink &link, const LinkPointer &connection);

void closeConnection(const LinkPointer &connection)
{
    connection->closed_ = true;
    connection->timer_.cancel();
    boost::system::error_code ignored;
    connection->socket_.close(ignored);
}

void forgetIdle(UpstreamLink &link, const LinkPointer &connection)
{
    const auto found = link.idle_.find(connection->call_.address_);
    if (found != link.idle_.end()) {
        std::erase(found->second, connection);
    }
}

/// Ends the present call; the connection is kept only if nothing but its answer has been seen on it.
void endCall(UpstreamLink &link, const LinkPointer &connection, std::error_code error)
{
    const uint64_t send = connection->call_.send_;
    link.busy_.erase(send);
    connection->call_.send_ = 0;
    connection->call_.body_.reset();
    if (connection->written_) {
        connection->message_.reset();
    }
    connection->parser_.reset();
    const bool clean = !error && connection->reusable_ && connection->written_ && connection->buffer_.size() == 0;
    auto &idle = link.idle_[connection->call_.address_];
    if (clean && idle.size() < connection->call_.idleLimit_) {
        connection->idleSince_ = Clock::now();
        idle.push_back(connection);
    } else {
        closeConnection(connection);
    }
    link.handlers_.onEnd_(send, error);
}

void resetParser(LinkConnection &connection)
{
    connection.parser_.emplace();
    connection.parser_->header_limit(answerHeaderLimit);
    connection.parser_->body_limit(boost::none);
    connection.parser_->eager(true);
    connection.headTaken_ = false;
    connection.skipping_ = false;
}

HttpReply takeHead(LinkConnection &connection)
{
    HttpReply reply;
    const auto &message = connection.parser_->get();
    reply.status_ = static_cast<int>(message.result_int());
    reply.headers_ = takeFields(message);
    return reply;
}

void noteKeepAlive(LinkConnection &connection, const HttpReply &head)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view value = findHeader(head.headers_, "Keep-Alive");
    const size_t at = value.find(parameter);
    if (at != std::string_view::npos) {
        const std::string_view rest = value.substr(at + parameter.size());
        const std::string_view digits = rest.substr(0, std::min(rest.find_first_not_of("0123456789"), rest.size()));
        connection.idleBound_ = std::chrono::seconds(parseNumberOr(digits, 0));
    }
    connection.reusable_ = connection.reusable_ && connection.parser_->get().keep_alive();
}

/// Hands on what the parser has of the present answer.
void handOn(UpstreamLink &link, LinkConnection &connection)
{
    if (!connection.parser_->is_header_done()) {
        return;
    }
    if (!connection.headTaken_) {
        connection.headTaken_ = true;
        HttpReply head = takeHead(connection);
        noteKeepAlive(connection, head);
        connection.skipping_ = head.status_ < firstFinalStatus || connection.call_.isMismatched_(head);
        if (connection.skipping_) {
            connection.reusable_ = false;
        } else {
            link.handlers_.onHead_(connection.call_.send_, std::move(head));
        }
    }
    std::string bytes = std::move(connection.parser_->get().body());
    connection.parser_->get().body().clear();
    if (!bytes.empty() && !connection.skipping_) {
        link.handlers_.onBytes_(connection.call_.send_, std::move(bytes));
    }
}

/// Parses what has been read, and ends the call with its answer.
void parse(UpstreamLink &link, const LinkPointer &connection)
{
    while (connection->buffer_.size() > 0) {
        boost::system::error_code error;
        const size_t used = connection->parser_->put(connection->buffer_.data(), error);
        connection->buffer_.consume(used);
        if (error && error != Http::error::need_more) {
            endCall(link, connection, TransportErrc::Malformed);
            return;
        }
        handOn(link, *connection);
        if (connection->parser_->is_done()) {
            if (!connection->skipping_) {
                endCall(link, connection, {});
                return;
            }
            resetParser(*connection);
        } else if (error == Http::error::need_more || used == 0) {
            return;
        }
    }
}

/// The peer has closed, or the connection has failed.
void takeReadError(UpstreamLink &link, const LinkPointer &connection, const boost::system::error_code &error)
{
    if (connection->call_.send_ == 0) {
        forgetIdle(link, connection);
        closeConnection(connection);
        return;
    }
    connection->reusable_ = false;
    if (error == Asio::error::eof && connection->parser_->is_header_done() && connection->parser_->need_eof()
        && !connection->skipping_) {
        boost::system::error_code end;
        connection->parser_->put_eof(end);
        handOn(link, *connection);
        endCall(link, connection, end ? make_error_code(TransportErrc::Lost) : std::error_code());
        return;
    }
    endCall(link, connection, TransportErrc::Lost);
}

void takeRead(UpstreamLink &link, const LinkPointer &connection, const boost::system::error_code &error, size_t length)
{
    if (connection->closed_) {
        return;
    }
    if (error) {
        takeReadError(link, connection, error);
        return;
    }
    connection->buffer_.commit(length);
    if (connection->call_.send_ == 0) { // bytes that no call asked for
        forgetIdle(link, connection);
        closeConnection(connection);
        return;
    }
    parse(link, connection);
    if (!connection->closed_) {
        readSome(link, connection);
    }
}

void readSome(UpstreamLink &link, const LinkPointer &connection)
{
    connection->socket_.async_read_some(connection->buffer_.prepare(readBytes),
        [&link, connection](
            const boost::system::error_code &error, size_t length) { takeRead(link, connection, error, length); });
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
    message.prepare_payload();
    connection->written_ = false;
    const uint64_t send = call.send_;
    const auto done = [&link, connection, send, body = call.body_](const boost::system::error_code &error, size_t) {
        if (connection->closed_ || connection->call_.send_ != send) {
            return;
        }
        connection->written_ = !error;
        if (error) { // an answer that came before the error is still read
            connection->reusable_ = false;
        }
    };
    Http::async_write(connection->socket_, message, done);
}

void startOn(UpstreamLink &link, const LinkPointer &connection)
{
    resetParser(*connection);
    writeRequest(link, connection);
}

void takeConnected(UpstreamLink &link, const LinkPointer &connection, const boost::system::error_code &error)
{
    if (connection->closed_) {
        return;
    }
    connection->timer_.cancel();
    if (error) {
        connection->parser_.reset();
        endCall(link, connection, TransportErrc::NotSent);
        return;
    }
    connection->connected_ = true;
    hardenSocket(connection->socket_, calledNodePatience);
    startOn(link, connection);
    readSome(link, connection);
}

void openConnection(UpstreamLink &link, LinkCall call)
{
    auto connection = std::make_shared<LinkConnection>(link.io_);
    const auto endpoint = parseEndpoint(call.address_);
    const uint64_t send = call.send_;
    connection->call_ = std::move(call);
    link.busy_[send] = connection;
    ++link.connectionsOpened_;
    if (!endpoint) {
        Asio::post(link.io_, [&link, connection] { takeConnected(link, connection, Asio::error::invalid_argument); });
        return;
    }
    connection->timer_.expires_after(connectTimeout);
    connection->timer_.async_wait([&link, connection](const boost::system::error_code &error) {
        if (!error && !connection->closed_ && !connection->connected_) {
            takeConnected(link, connection, Asio::error::timed_out);
        }
    });
    connection->socket_.async_connect(*endpoint,
        [&link, connection](const boost::system::error_code &error) { takeConnected(link, connection, error); });
}

bool mayUse(const LinkConnection &connection, bool repeatable, TimePoint now)
{
    const Duration idle = now - connection.idleSince_;
    const bool bounded = connection.idleBound_ > Milliseconds(0);
    if (bounded) {
        return idle < connection.idleBound_ * boundShare;
    }
    return repeatable ? idle < idleRetention : idle < cautiousIdle;
}

LinkPointer takeIdle(UpstreamLink &link, const LinkCall &call)
{
    const auto found = link.idle_.find(call.address_);
    if (found == link.idle_.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    const TimePoint now = Clock::now();
    for (auto place = idle.rbegin(); place != idle.rend(); ++place) {
        if (mayUse(**place, call.retryable_, now)) {
            LinkPointer connection = *place;
            idle.erase(std::next(place).base());
            return connection;
        }
    }
    return nullptr;
}

} // namespace

void startCall(UpstreamLink &link, LinkCall call)
{
    const LinkPointer connection = takeIdle(link, call);
    if (connection == nullptr) {
        openConnection(link, std::move(call));
        return;
    }
    link.busy_[call.send_] = connection;
    connection->call_ = std::move(call);
    startOn(link, connection);
}

void cancelCall(UpstreamLink &link, uint64_t send)
{
    const auto found = link.busy_.find(send);
    if (found == link.busy_.end()) {
        return;
    }
    const LinkPointer connection = found->second;
    link.busy_.erase(found);
    connection->call_.send_ = 0;
    closeConnection(connection);
}

void closeStaleConnections(UpstreamLink &link, TimePoint now)
{
    for (auto &[address, idle] : link.idle_) {
        std::erase_if(idle, [now](const LinkPointer &connection) {
            const bool stale = !mayUse(*connection, true, now);
            if (stale) {
                closeConnection(connection);
            }
            return stale;
        });
    }
    std::erase_if(link.idle_, [](const auto &item) { return item.second.empty(); });
}

} // namespace Burdockfield
