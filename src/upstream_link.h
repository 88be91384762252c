/**
 * @file upstream_link.h
 * @brief Connections of a gateway to upstreams, kept open between calls.
 *
 * Every byte of an answer has to belong to the call on its connection: a connection that shows anything else is not
 * used again. All calls belong to the thread of the link's io_context.
 */
#pragma once

#include "http_type.h"
#include "time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace Burdockfield {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

/// Call on an upstream.
struct LinkCall
{
    uint64_t send_ = 0; ///< Number that the handlers are called with.
    std::string address_; ///< IP:PORT.
    HttpRequest head_; ///< Request without its body.
    std::shared_ptr<const std::string> body_; ///< Body.
    size_t idleLimit_ = 8; ///< Connections to the upstream that are kept open without a call.
    bool retryable_ = false; ///< Whether it may be lost to a connection that the upstream is about to close.
    std::function<bool(const HttpReply &)> isMismatched_; ///< Whether an answer belongs to another call.
};

/// What a link calls; all but onEnd_ any number of times, onEnd_ once for each call that is not cancelled.
struct LinkHandlers
{
    std::function<void(uint64_t, HttpReply)> onHead_; ///< The header came; the body is empty.
    std::function<void(uint64_t, std::string)> onBytes_; ///< Bytes of the body came.
    std::function<void(uint64_t, std::error_code)> onEnd_; ///< Success at the end of the answer, else a TransportErrc.
};

using LinkParser = Beast::http::response_parser<Beast::http::string_body>; ///< Parser of one answer.
using LinkMessage = Beast::http::request<Beast::http::span_body<const char>>; ///< Request with a shared body.

/// Connection to an upstream.
struct LinkConnection
{
    explicit LinkConnection(Asio::io_context &io)
        : socket_(io)
        , timer_(io)
    {
    }

    Asio::ip::tcp::socket socket_; ///< The connection.
    Asio::steady_timer timer_; ///< Bounds connecting.
    Beast::flat_buffer buffer_; ///< Bytes read and not yet parsed.
    boost::optional<LinkParser> parser_; ///< Parser of the present answer.
    boost::optional<LinkMessage> message_; ///< Present request.
    LinkCall call_; ///< Present call; number 0 when there is none.
    bool connected_ = false; ///< Whether the connection stands.
    bool written_ = false; ///< Whether the present request has been written whole.
    bool headTaken_ = false; ///< Whether the header of the present answer has been handed on.
    bool skipping_ = false; ///< Whether the present answer belongs to another call.
    bool reusable_ = true; ///< Whether another call may follow.
    bool closed_ = false; ///< Whether this side has closed it.
    Milliseconds idleBound_{ 0 }; ///< Idle time after which the upstream closes; 0 if not told.
    TimePoint idleSince_{}; ///< When the last call ended.
};

using LinkPointer = std::shared_ptr<LinkConnection>; ///< Connection, shared with its pending operations.

/// Connections to all upstreams.
struct UpstreamLink
{
    UpstreamLink(Asio::io_context &io, LinkHandlers handlers)
        : io_(io)
        , handlers_(std::move(handlers))
    {
    }

    Asio::io_context &io_; ///< Where it runs.
    LinkHandlers handlers_; ///< What it calls.
    std::unordered_map<std::string, std::vector<LinkPointer>> idle_; ///< Kept-open connections by address.
    std::unordered_map<uint64_t, LinkPointer> busy_; ///< Connections by send.
    uint64_t connectionsOpened_ = 0; ///< Connections opened so far.
};

/// Makes a call, over a kept-open connection if there is one that may be used.
void startCall(UpstreamLink &link, LinkCall call);

/// Gives a call up and closes its connection; its handlers are not called again.
void cancelCall(UpstreamLink &link, uint64_t send);

/// Closes kept-open connections that are about to be closed by the upstream, or have been unused for long.
void closeStaleConnections(UpstreamLink &link, TimePoint now);

} // namespace Burdockfield
