/**
 * @file link.cpp
 * @brief Stand-in for the network between two processes.
 */
#include "link_func.h"

#include "address_func.h"
#include "standin_func.h"

#include <algorithm>
#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>

namespace Burdockfield::Standin {

namespace {

using Tcp = Asio::ip::tcp;

constexpr size_t relayBytes = 16384; ///< Bytes relayed at once.
constexpr Milliseconds slowDelay{ 80 }; ///< Delay of each piece over a slow link.
constexpr size_t thinBytesPerMs = 1250; ///< What a thin link carries towards the callers; 10 Mbit/s.

/// Pair of connections that are relayed to each other.
struct LinkPair
{
    Tcp::socket near_; ///< From the caller.
    Tcp::socket far_; ///< To the target.
    bool silent_ = false; ///< Whether nothing more is relayed.
    bool deaf_ = false; ///< Whether nothing more is relayed back to the caller.
};

using LinkPairPointer = std::shared_ptr<LinkPair>;

/// All state of a link.
struct Link
{
    Asio::io_context io_{ 1 }; ///< Where it runs.
    Tcp::acceptor acceptor_{ io_ }; ///< Takes connections.
    Tcp::endpoint target_; ///< Where they lead.
    std::list<std::weak_ptr<LinkPair>> pairs_; ///< Open connections.
    bool cut_ = false; ///< Whether everything is closed.
    bool slow_ = false; ///< Whether everything takes slowDelay longer.
    bool swallows_ = false; ///< Whether new connections pass nothing on, for good.
    bool thin_ = false; ///< Whether all connections together carry thinBytesPerMs.
    std::chrono::steady_clock::time_point freeAt_{}; ///< When a thin link has carried what it has taken.
};

/// @return when a thin link will have carried some bytes.
std::chrono::steady_clock::time_point carry(Link &link, size_t bytes)
{
    const std::chrono::microseconds time(1000 * bytes / thinBytesPerMs);
    link.freeAt_ = std::max(link.freeAt_, std::chrono::steady_clock::now()) + time;
    return link.freeAt_;
}

void closePair(LinkPair &pair)
{
    boost::system::error_code ignored;
    pair.near_.close(ignored);
    pair.far_.close(ignored);
}

/// Closes both connections by a reset.
void resetPair(LinkPair &pair)
{
    boost::system::error_code ignored;
    pair.near_.set_option(Asio::socket_base::linger(true, 0), ignored);
    pair.far_.set_option(Asio::socket_base::linger(true, 0), ignored);
    closePair(pair);
}

void relay(Link &link, const LinkPairPointer &pair, bool back, Asio::yield_context yield)
{
    Tcp::socket &from = back ? pair->far_ : pair->near_;
    Tcp::socket &to = back ? pair->near_ : pair->far_;
    Asio::steady_timer timer(from.get_executor());
    std::array<char, relayBytes> bytes{};
    boost::system::error_code error;
    while (!error) {
        const size_t count = from.async_read_some(Asio::buffer(bytes), yield[error]);
        if (!error && link.slow_) {
            timer.expires_after(slowDelay);
            timer.async_wait(yield[error]);
        } else if (!error && link.thin_ && back) {
            timer.expires_at(carry(link, count));
            timer.async_wait(yield[error]);
        }
        if (!error && !pair->silent_ && !(back && pair->deaf_)) {
            Asio::async_write(to, Asio::buffer(bytes, count), yield[error]);
        }
    }
    if (!pair->silent_ && !pair->deaf_) {
        closePair(*pair);
    }
}

void openPair(Link &link, Tcp::socket socket)
{
    auto pair = std::make_shared<LinkPair>(LinkPair{ std::move(socket), Tcp::socket(link.io_) });
    pair->silent_ = link.swallows_;
    link.pairs_.push_back(pair);
    const auto body = [&link, pair](Asio::yield_context yield) {
        boost::system::error_code error;
        pair->far_.async_connect(link.target_, yield[error]);
        if (error) {
            closePair(*pair);
            return;
        }
        pair->near_.set_option(Tcp::no_delay(true), error);
        pair->far_.set_option(Tcp::no_delay(true), error);
        const auto back = [&link, pair](Asio::yield_context inner) {
            relay(link, pair, true, inner);
        };
        Asio::spawn(link.io_, back, Asio::detached);
        relay(link, pair, false, yield);
    };
    Asio::spawn(link.io_, body, Asio::detached);
}

void acceptNext(Link &link)
{
    link.acceptor_.async_accept([&link](const boost::system::error_code &error, Tcp::socket socket) {
        if (!link.acceptor_.is_open()) {
            return;
        }
        if (!error && !link.cut_) {
            openPair(link, std::move(socket));
        }
        acceptNext(link);
    });
}

void takeControl(Link &link, const std::string &target)
{
    link.cut_ = target == "/cut";
    link.slow_ = target == "/slow";
    link.thin_ = target == "/thin";
    link.swallows_ = target == "/swallow";
    for (const auto &weak : link.pairs_) {
        const LinkPairPointer pair = weak.lock();
        if (pair == nullptr) {
            continue;
        }
        if (target == "/silence") {
            pair->silent_ = true;
        } else if (target == "/deafen") {
            pair->deaf_ = true;
        } else if (target == "/reset") {
            resetPair(*pair);
        } else if (target == "/cut") {
            closePair(*pair);
        }
    }
    link.pairs_.remove_if([](const auto &weak) { return weak.expired(); });
}

} // namespace

int runLink(const LinkPlace &place)
{
    Link link;
    const auto listenAt = parseEndpoint(place.listen_);
    const auto target = parseEndpoint(place.target_);
    if (!listenAt || !target) {
        return 2;
    }
    link.target_ = *target;
    link.acceptor_ = Tcp::acceptor(link.io_, *listenAt);
    acceptNext(link);
    HttpServer *control = nullptr;
    ServerHandlers handlers;
    handlers.onRequest_ = [&link, &control](ExchangeId exchange, const HttpRequest &request) {
        takeControl(link, request.target_);
        respond(*control, exchange, makeJsonReply(200, "{}"));
    };
    handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
    };
    handlers.onBadRequest_ = [](std::error_code /*error*/) {
        return makeJsonReply(400, "{}");
    };
    HttpServer server(link.io_, ServerLimits{}, std::move(handlers));
    control = &server;
    if (listen(server, place.control_)) {
        return 2;
    }
    Asio::signal_set signals(link.io_, SIGTERM, SIGINT);
    signals.async_wait([&link](const boost::system::error_code & /*error*/, int /*signal*/) { link.io_.stop(); });
    link.io_.run();
    return 0;
}

} // namespace Burdockfield::Standin
