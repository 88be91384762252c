/**
 * @file upstream_link.h
 * @brief Persistent connections of a gateway to upstreams.
 *
 * Every byte received on a connection has to belong to the response of its current call; a connection that receives
 * anything else is not used again. An upstream may send a response once more, where a later one is due; the request's
 * id tells them apart, and therefore no connection carries two requests with one id. Call these functions only from the
 * thread of the link's io_context.
 */
#pragma once

#include "http_type.h"
#include "link_use_type.h"
#include "memory_budget_type.h"
#include "received_body_type.h"
#include "time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Burdockfield {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

/// Most calls that a connection carries. It remembers the ids of all of them, in 4 bytes each.
constexpr size_t maxCallsPerConnection = 1024;

/// Call to an upstream.
struct LinkCall
{
    uint64_t send_ = 0; ///< Number of the send, passed to the callbacks; 0 means no call.
    std::string requestId_; ///< Id of the request; it never uses a connection that has carried one with the same id.
    std::string address_; ///< IP:PORT.
    HttpRequest head_; ///< Request without its body.
    std::shared_ptr<const std::string> body_;
    size_t idleLimit_ = 8; ///< Most idle connections kept to the upstream.
    bool retryable_ = false; ///< Whether the call may use a connection that the upstream might be closing.
    /// Tells by the header whether a response belongs to another call.
    std::function<bool(const HttpReply &)> isMismatched_;
    /// Tells by the header whether a response names the call. The connection of one that does not is closed at its end,
    /// so that the upstream stops working on the request. Empty if responses need not.
    std::function<bool(const HttpReply &)> namesRequest_;
};

/// Answer, or other bytes, that no call was waiting for.
struct ExtraAnswer
{
    ExtraAnswerPlace place_ = ExtraAnswerPlace::Idle; ///< When it came.
    std::string address_; ///< IP:PORT of the upstream.
    std::string requestId_; ///< Id of the current request, or the last one if the connection was idle.
    LinkUse use_; ///< The connection; the calls before include the last one if it was idle.
    HttpReply head_; ///< Status and headers; status 0 if the bytes received so far are no header of an answer.
};

/// Callbacks of a link, with the number of the send. onEnd_ is called once for each call that is not cancelled, the
/// others any number of times.
struct LinkHandlers
{
    std::function<void(uint64_t, HttpReply)> onHead_; ///< The header was received; the body is empty.
    std::function<void(uint64_t, std::string)> onBytes_; ///< Bytes of the body were received.
    std::function<void(uint64_t, std::error_code, const LinkUse &)>
        onEnd_; ///< Success at the end of the response, else a TransportErrc.
    /// An extra answer was dropped; called at most once for each connection, which is not used again. May be empty.
    std::function<void(const ExtraAnswer &)> onExtraAnswer_;
};

using LinkParser = Beast::http::response_parser<ReceivedBody>; ///< Parser of one response.
using LinkMessage = Beast::http::request<Beast::http::span_body<const char>>; ///< Request with a shared body.

/// Connection to an upstream.
struct LinkConnection
{
    /// @param linkBytes sum of the memory of all connections of the link
    LinkConnection(Asio::io_context &io, std::shared_ptr<size_t> linkBytes)
        : socket_(io)
        , timer_(io)
        , linkBytes_(std::move(linkBytes))
    {
    }

    LinkConnection(const LinkConnection &) = delete;
    LinkConnection &operator=(const LinkConnection &) = delete;

    ~LinkConnection()
    {
        *linkBytes_ -= heldBytes_;
    }

    Asio::ip::tcp::socket socket_;
    Asio::steady_timer timer_; ///< Connect timeout.
    Beast::flat_buffer buffer_; ///< Bytes received and not yet parsed.
    boost::optional<LinkParser> parser_; ///< Parser of the current response.
    boost::optional<LinkMessage> message_; ///< Current request.
    LinkCall call_; ///< Current call, or the last one if send_ is 0.
    uint64_t number_ = 0; ///< Number of the connection, see LinkUse.
    /// Hashes of the ids of the requests that it has carried, in order, the current one included. If two ids have the
    /// same hash, a call opens a new connection needlessly.
    std::vector<uint32_t> carriedIds_;
    bool extraReported_ = false; ///< Whether an extra answer has been reported.
    bool connected_ = false;
    bool requestWritten_ = false; ///< Whether the current request has been written completely.
    /// Whether writing has failed. The kernel reports a reset once only: reads then see the end of the connection.
    bool writeFailed_ = false;
    bool headHandled_ = false; ///< Whether the header of the current response has been handled.
    bool discarding_ = false; ///< Whether the current response is interim (1xx) or belongs to another call.
    size_t headBytes_ = 0; ///< Bytes parsed of the current response while its header was incomplete.
    size_t overheadBytes_ = 0; ///< Bytes parsed for the current call beyond twice those of its answer's body.
    std::shared_ptr<size_t> linkBytes_; ///< See UpstreamLink::heldBytes_.
    size_t heldBytes_ = 0; ///< Memory of the buffer and of the current response's header, as counted in linkBytes_.
    size_t headCopyBytes_ = 0; ///< Memory of the header that was passed on.
    size_t progressBytes_ = 0; ///< Bytes of the body received since progressAt_.
    TimePoint progressAt_{}; ///< When the current response last made progress; at first when its request was sent.
    bool reusable_ = true; ///< Whether the connection may carry another call.
    bool closed_ = false; ///< Whether closed by this side; pending operations do nothing then.
    Milliseconds announcedIdleTimeout_{ 0 }; ///< Keep-Alive timeout of the upstream; 0 if it announced none.
    TimePoint idleSince_{}; ///< When the last call ended.
};

using LinkPointer = std::shared_ptr<LinkConnection>; ///< Connection, shared with its pending operations.

/// State of the connections to all upstreams.
struct UpstreamLink
{
    UpstreamLink(Asio::io_context &io, LinkHandlers handlers)
        : io_(io)
        , handlers_(std::move(handlers))
    {
    }

    Asio::io_context &io_; ///< Runs all I/O and callbacks.
    LinkHandlers handlers_;
    std::unordered_map<std::string, std::vector<LinkPointer>> idle_; ///< Idle connections by address.
    std::unordered_map<uint64_t, LinkPointer> busy_; ///< Connections with a call, by number of the send.
    std::unordered_set<uint64_t> starting_; ///< Sends that have no connection yet.
    std::shared_ptr<size_t> heldBytes_ = std::make_shared<size_t>(0); ///< Memory of all connections' responses.
    uint64_t connectionsOpened_ = 0; ///< Connections opened since the start, failed attempts included.
};

/// Starts a call after the handlers that are ready now, on an idle connection if one is usable, else on a new one.
void startCall(UpstreamLink &link, LinkCall call);

/**
 * Checks whether a process listens at an address, and keeps the connection for later calls. A connection that breaks
 * within 25 ms is made again, since a process that is ending may still accept it.
 * @param onEnd called once, with success when something listens there, else NotSent or ConnectionRefused
 */
void checkAddress(UpstreamLink &link, const std::string &address, std::function<void(std::error_code)> onEnd);

/// Cancels a call and closes its connection; no callback is called for it any more.
void cancelCall(UpstreamLink &link, uint64_t send);

/// @return what the responses of all calls hold, with their last progress.
std::vector<SendHolding> listHoldings(const UpstreamLink &link);

/// Ends a call with NoMemory, and closes its connection.
void giveUpCall(UpstreamLink &link, uint64_t send);

/// Closes all idle connections to an address, whose process has been replaced by another one.
void closeIdleConnections(UpstreamLink &link, const std::string &address);

/// Closes idle connections that the upstream may close soon, or that have been idle for too long.
void closeStaleConnections(UpstreamLink &link, TimePoint now);

} // namespace Burdockfield
