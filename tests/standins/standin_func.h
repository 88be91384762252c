/**
 * @file standin_func.h
 * @brief Daemons of the stand-ins, and what their I/O shares.
 */
#pragma once

#include "http_server.h"
#include "node_loop_type.h"

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace Burdockfield::Standin {

/// A request as it came in.
struct Arrival
{
    ExchangeId exchange_; ///< Where the answer goes.
    HttpRequest request_; ///< The request.
};

/// The peer closed before its answer was complete.
struct Departure
{
    ExchangeId exchange_; ///< Its exchange.
};

/// Any input of a stand-in.
using StandinEvent = std::variant<Arrival, Departure>;

/// Inputs of one tick.
struct StandinInbox
{
    std::vector<Arrival> arrivals_; ///< Requests.
    std::vector<Departure> disconnects_; ///< Peers that left.
};

/// Sorts an event into the inbox.
void addEvent(StandinInbox &inbox, StandinEvent event);

/// One output of a stand-in.
struct StandinOutput
{
    ExchangeId exchange_; ///< Where it goes.
    ServerOutput::Kind kind_ = ServerOutput::Kind::Full; ///< What it is.
    HttpReply reply_; ///< Whole answer or header.
    std::string bytes_; ///< Piece.
};

/// Effects of one tick.
struct StandinOutbox
{
    std::vector<StandinOutput> outputs_; ///< Answers, in order.
    std::vector<std::string> ledger_; ///< Lines of the ledger.
};

/// Where a stand-in listens and what it keeps.
struct StandinPlace
{
    std::string listen_; ///< IP:PORT.
    std::string ledger_; ///< File of the ledger, or empty.
};

/// @return a JSON answer.
HttpReply makeJsonReply(int status, std::string body);

/// Carries out the effects of a tick.
void executeOutbox(HttpServer &server, std::ofstream &ledger, StandinOutbox &outbox);

/// Runs a stand-in until it is told to stop. @return exit status of the process
template<typename State>
int runStandin(const StandinPlace &place, State state, StandinOutbox (*tick)(State &, TimePoint, StandinInbox),
    TimePoint (*nextDeadlineOf)(const State &))
{
    boost::asio::io_context io{ 1 };
    NodeLoop<State, StandinEvent, StandinInbox, StandinOutbox> loop;
    ServerHandlers handlers;
    handlers.onRequest_ = [&loop](ExchangeId exchange, HttpRequest request) {
        postEvent(loop, StandinEvent(Arrival{ exchange, std::move(request) }));
    };
    handlers.onDisconnect_ = [&loop](ExchangeId exchange) {
        postEvent(loop, StandinEvent(Departure{ exchange }));
    };
    handlers.onBadRequest_ = [](std::error_code /*error*/) {
        return makeJsonReply(400, "{}");
    };
    ServerLimits limits;
    limits.bodyBytes_ = size_t{ 64 } << 20U;
    HttpServer server(io, limits, std::move(handlers));
    std::ofstream ledger;
    if (!place.ledger_.empty()) {
        ledger.open(place.ledger_, std::ios::app);
    }
    if (listen(server, place.listen_)) {
        return 2;
    }
    loop.state_ = std::move(state);
    loop.tick_ = tick;
    loop.nextDeadline_ = nextDeadlineOf;
    loop.execute_ = [&](StandinOutbox outbox) {
        boost::asio::post(
            io, [&server, &ledger, outbox = std::move(outbox)]() mutable { executeOutbox(server, ledger, outbox); });
    };
    std::thread ticks([&loop] { runLoop(loop); });
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code & /*error*/, int /*signal*/) { io.stop(); });
    io.run();
    loop.io_.stop();
    ticks.join();
    return 0;
}

} // namespace Burdockfield::Standin
