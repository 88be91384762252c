/**
 * @file http_client.h
 * @brief HTTP client on Boost.Beast with persistent connections. Call its functions only from the thread of its
 * io_context.
 */
#pragma once

#include "http_type.h"
#include "link_use_type.h"
#include "reply_budget_func.h"
#include "time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace Burdockfield {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

/// Whether a call may use a persistent connection.
enum class ConnectionUse : uint8_t {
    Reuse, ///< Yes; a call whose connection breaks is repeated once on a new one, so that the peer may receive it
           ///< twice.
    ReuseOnce, ///< Yes, but the call is not repeated: it ends as Lost, and the peer receives it at most once.
    Fresh, ///< No; NotSent then guarantees that the peer has not received the call.
};

/// Persistent connection without a call in progress.
struct IdleConnection
{
    std::unique_ptr<Beast::tcp_stream> stream_;
    TimePoint idleSince_{}; ///< When its last call ended.
    uint64_t lastCall_ = 0; ///< Number of that call; 0 if it has none.
};

/// Kept connections that calls share: those to one address (IP:PORT) of one HttpRequest::channel_.
using ConnectionPool = std::pair<std::string, std::string>;

/// Call whose response body is read in pieces.
struct ClientStream
{
    explicit ClientStream(Asio::io_context &io)
        : stream_(io)
    {
    }

    Beast::tcp_stream stream_;
    Beast::flat_buffer buffer_; ///< Bytes received and not yet parsed.
    bool cancelled_ = false; ///< Whether closeStream() has been called.
};

/// Replies that a client is receiving. Shared with its coroutines, which may outlive the client at the process's end.
struct ClientReplies
{
    ReplyBudget budget_; ///< Their memory.
    std::map<uint64_t, Beast::tcp_stream *> streams_; ///< Their connections, by number in the budget.
};

/// State of an HTTP client: its persistent connections and open streams.
struct HttpClient
{
    explicit HttpClient(Asio::io_context &io)
        : io_(io)
    {
    }

    Asio::io_context &io_; ///< Runs all I/O and handlers.
    size_t responseBodyLimit_ = 16U << 20U; ///< 16 MiB: longest response body of fetch().
    std::shared_ptr<ClientReplies> replies_ = std::make_shared<ClientReplies>(); ///< Replies of fetch() under way.
    std::map<ConnectionPool, std::vector<IdleConnection>> idle_; ///< Idle connections.
    std::function<void(const ExtraReply &)> onExtraReply_; ///< Counts a reply that was dropped, if set.
    uint64_t nextCall_ = 1; ///< Number of the next call to another node of this system.
    uint64_t nextChannel_ = 1; ///< Number of the next channel that only one user has, see closeChannel().
    std::map<uint64_t, std::shared_ptr<ClientStream>> streams_; ///< Open streams by number.
    uint64_t nextStream_ = 1;
};

/// Reply whose memory counts in a client's budget as long as this exists.
struct HeldReply
{
    /// @param stream its connection, which is closed when it is given up; nullptr for data that is kept without one
    HeldReply(const HttpClient &client, Beast::tcp_stream *stream);
    ~HeldReply();
    HeldReply(const HeldReply &) = delete;
    HeldReply &operator=(const HeldReply &) = delete;

    std::shared_ptr<ClientReplies> replies_;
    uint64_t number_; ///< In the budget.
};

/// Sets the memory of a reply. @return whether it may be received further
bool holdBytes(const HeldReply &reply, size_t bytes);

/**
 * Sets the limits of replies for control calls: each within 0.03 of the memory, all together within 0.05.
 * @param longest most bytes of a reply whatever the memory
 */
void setReplyMemory(HttpClient &client, size_t memoryBytes, size_t longest = size_t{ 8 } << 20U);

/// Called with the response; the error is a TransportErrc, or success.
using FetchHandler = std::function<void(std::error_code, HttpReply)>;

/// Takes the body of a response in parts, so that the client holds none of it.
struct BodyReader
{
    /// The header was received. What came before it belongs to a call that broke and is repeated.
    std::function<void(const HttpReply &)> onHead_;
    std::function<std::error_code(std::string_view)> onBytes_; ///< Bytes of the body came. An error ends the call.
};

/// Callbacks of a stream.
struct StreamHandlers
{
    std::function<void(const HttpReply &)> onHead_; ///< The header was received; the body is empty.
    std::function<void(std::string_view)> onBytes_; ///< Bytes of the body were received.
    std::function<void(std::error_code)> onEnd_; ///< Success at the end of the body, else a TransportErrc.
};

/**
 * Sends a request and reads the whole response.
 * @param timeout longest time until the header of the response, and for each further 32 KiB of it; the repetition by
 * ConnectionUse::Reuse has as long again
 * @param done called exactly once
 */
void fetch(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout, ConnectionUse use,
    FetchHandler done);

/**
 * Sends a request as fetch() does, and passes the body of the response on as it arrives, whatever its length.
 * @param done called exactly once, with a reply without its body; the error may be one of the reader
 */
void fetchParts(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout, ConnectionUse use,
    BodyReader reader, FetchHandler done);

/// Closes the kept connections that share a channel.
void closeChannel(HttpClient &client, const std::string &address, const std::string &channel);

/**
 * Sends a request to another node of this system, as fetch() does. The request carries a number. A reply that names
 * another one, such as the copy of the reply to an earlier call, is dropped, and the call waits on for its own.
 */
void fetchFromNode(HttpClient &client, std::string address, HttpRequest request, Milliseconds timeout,
    ConnectionUse use, FetchHandler done);

/**
 * Sends a request on a new connection and passes the response on as it arrives.
 * @param silence longest time without a received byte, after which the stream ends with TransportErrc::Silent
 * @return number for closeStream()
 */
uint64_t openStream(
    HttpClient &client, std::string address, HttpRequest request, Milliseconds silenceTimeout, StreamHandlers handlers);

/// Closes a stream; its callbacks are not called again.
void closeStream(HttpClient &client, uint64_t stream);

} // namespace Burdockfield
