/**
 * @file soak_callers.cpp
 * @brief Callers of a soak.
 */
#include "soak_parts_func.h"

#include "address_func.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <sstream>

namespace Burdockfield::Testing {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = Beast::http;

constexpr Milliseconds callerPause{ 15 }; ///< Pause of a caller between two calls.
constexpr Milliseconds reconnectPause{ 100 }; ///< Pause of a quiet caller before it connects again.
constexpr Milliseconds endStep{ 50 }; ///< Pause between two looks at whether the soak has ended.
constexpr Milliseconds slowestStart{ 6000 }; ///< Time over which slow senders begin.
constexpr Milliseconds promptness{ 50 }; ///< Slow senders within the header timeout send the end this much before it.
constexpr uint32_t mostRepeats = 3; ///< Times that a caller comes back after a refusal.
constexpr Milliseconds longestRepeatPause{ 30 }; ///< Longest pause before it does.
constexpr double reusableShare = 0.8; ///< Share of the idle timeout for which a connection may be reused.

/// Caller that keeps its connection for as long as the gateway does.
struct SoakCaller
{
    uint32_t gateway_ = 0; ///< Index of its gateway.
    std::mt19937_64 random_; ///< Source of its calls.
    std::string name_; ///< First part of its requests' names.
    uint64_t number_ = 0; ///< Requests made.
    std::optional<Beast::tcp_stream> stream_; ///< Its connection.
    uint64_t stops_ = 0; ///< Value of Soak::stops_ when it connected.
    Beast::flat_buffer buffer_; ///< Bytes read ahead.
};

Milliseconds draw(SoakCaller &caller, Milliseconds least, Milliseconds most)
{
    return Milliseconds(std::uniform_int_distribution<int64_t>(least.count(), most.count())(caller.random_));
}

void sleepFor(Milliseconds time, Asio::yield_context yield)
{
    boost::system::error_code ignored;
    Asio::steady_timer timer(yield.get_executor(), time);
    timer.async_wait(yield[ignored]);
}

bool connect(Soak &soak, SoakCaller &caller, Asio::yield_context yield)
{
    if (caller.stream_) {
        return true;
    }
    caller.stops_ = soak.stops_[caller.gateway_];
    caller.buffer_.clear();
    caller.stream_.emplace(yield.get_executor());
    caller.stream_->expires_after(std::chrono::seconds(1));
    boost::system::error_code error;
    const std::string &gateway = soak.fleet_.entries_[caller.gateway_];
    caller.stream_->async_connect(*parseEndpoint(soak.fleet_.processes_.at(gateway).address_), yield[error]);
    caller.stream_->expires_never();
    if (error) {
        caller.stream_.reset();
    }
    return !error;
}

SoakCall makeCall(const Soak &soak, SoakCaller &caller)
{
    static constexpr std::array<const char *, 3> targets{ "/stream/x", "/read/x", "/once/x" };
    SoakCall call;
    call.id_ = caller.name_ + "-" + std::to_string(caller.number_++);
    call.task_ = call.id_;
    std::string target = targets[caller.random_() % targets.size()];
    if (soak.spec_.replacements_ && caller.random_() % 4 != 0) {
        target = "/once/x";
    }
    call.target_ = target + std::to_string(caller.random_() % 1000) + "-" + call.id_;
    return call;
}

std::string serializeRequest(const SoakCall &call, const std::string &key)
{
    Http::request<Http::string_body> request{ Http::verb::post, call.target_, 11 };
    request.set(Http::field::host, gatewayHost);
    request.set("Request-Id", call.id_);
    request.set(Http::field::authorization, "Bearer " + key);
    request.set("Deadline-Ms", std::to_string(callerWait.count()));
    request.body() = "body";
    request.prepare_payload();
    std::ostringstream text;
    text << request;
    return text.str();
}

/// Sends the last part of a request and notes the answer. @param entitled whether the caller kept to the limits
/// @return whether the request was refused
bool finishCall(
    Soak &soak, SoakCaller &caller, SoakCall call, const std::string &text, bool entitled, Asio::yield_context yield)
{
    boost::system::error_code error;
    Http::response_parser<Http::string_body> parser;
    call.sentAt_ = Clock::now();
    caller.stream_->expires_after(callerWait + std::chrono::seconds(1));
    Asio::async_write(*caller.stream_, Asio::buffer(text), yield[error]);
    if (!error) {
        Http::async_read(*caller.stream_, caller.buffer_, parser, yield[error]);
    }
    caller.stream_->expires_never();
    call.status_ = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
    call.body_ = parser.get().body();
    call.whole_ = !error && parser.is_done();
    const bool closed = error && error != Beast::error::timeout;
    const bool gatewayRan = caller.stops_ % 2 == 0 && caller.stops_ == soak.stops_[caller.gateway_];
    call.answeredAt_ = Clock::now();
    if (gatewayRan) {
        call.gateway_ = soak.fleet_.entries_[caller.gateway_] + "/" + std::to_string(caller.stops_);
    }
    call.excess_ = call.whole_ ? caller.buffer_.size() : 0;
    if (parser.is_header_done()) {
        call.answeredId_ = std::string(parser.get()["Request-Id"]);
        call.instance_ = std::string(parser.get()["Instance-Id"]);
        call.leaving_ = parser.get().count("Server-Leaving") > 0;
    }
    if (closed && call.status_ == 0 && entitled && gatewayRan) {
        const auto waited = std::chrono::duration_cast<Milliseconds>(call.answeredAt_ - call.sentAt_);
        call.dropped_ = error.message() + " after " + std::to_string(waited.count()) + " ms";
    }
    if (!call.whole_ || !parser.get().keep_alive()) {
        caller.stream_.reset();
    }
    const bool refused = isRefused(call);
    const std::lock_guard lock(soak.mutex_);
    soak.report_.calls_.push_back(std::move(call));
    return refused;
}

/**
 * Draws how a caller comes back after a refusal: on the same connection or at another gateway, mostly with a new id.
 * @return false if it does not
 */
bool prepareRepeat(const Soak &soak, SoakCaller &caller, uint32_t repeats, SoakCall &call)
{
    constexpr uint64_t ways = 8;
    const uint64_t way = caller.random_() % ways;
    if (!soak.spec_.answerFaults_ || soak.ended_ || repeats == mostRepeats || way == 0) {
        return false;
    }
    if (way >= 4) {
        caller.stream_.reset();
        caller.gateway_ = (caller.gateway_ + 1 + caller.random_() % (soak.spec_.gateways_ - 1)) % soak.spec_.gateways_;
    }
    const bool sameId = !soak.spec_.replacements_ && (way == 1 || way == 4);
    if (!sameId) {
        call.id_ = call.task_ + "." + std::to_string(repeats + 1);
    }
    return true;
}

void runBusy(Soak &soak, SoakCaller &caller, Asio::yield_context yield)
{
    while (!soak.ended_) {
        SoakCall call = makeCall(soak, caller);
        for (uint32_t repeats = 0; connect(soak, caller, yield); ++repeats) {
            const std::string text = serializeRequest(call, callerKey(soak));
            if (!finishCall(soak, caller, call, text, true, yield) || !prepareRepeat(soak, caller, repeats, call)) {
                break;
            }
            sleepFor(draw(caller, Milliseconds(0), longestRepeatPause), yield);
        }
        sleepFor(callerPause, yield);
    }
}

/// Idles for about as long as the idle timeout between two calls.
void runIdle(Soak &soak, SoakCaller &caller, Asio::yield_context yield)
{
    while (true) {
        if (!connect(soak, caller, yield)) {
            sleepFor(reconnectPause, yield);
            continue;
        }
        const TimePoint begun = Clock::now();
        sleepFor(draw(caller, Milliseconds(0), longestIdleTimeout + reconnectPause), yield);
        SoakCall call = makeCall(soak, caller);
        const std::string text = serializeRequest(call, callerKey(soak));
        // Any timeout that was configured may be in force.
        const bool entitled = Clock::now() - begun < shortestIdleTimeout * reusableShare;
        finishCall(soak, caller, std::move(call), text, entitled, yield);
    }
}

/// Sends requests in two parts, the second at about the header timeout; or closes instead.
void runSlow(Soak &soak, SoakCaller &caller, Asio::yield_context yield)
{
    sleepFor(draw(caller, Milliseconds(0), slowestStart), yield);
    while (true) {
        caller.stream_.reset();
        if (!connect(soak, caller, yield)) {
            sleepFor(reconnectPause, yield);
            continue;
        }
        SoakCall call = makeCall(soak, caller);
        const std::string text = serializeRequest(call, callerKey(soak));
        const size_t cut = 1 + caller.random_() % (text.size() - 1);
        const TimePoint begun = Clock::now();
        boost::system::error_code error;
        Asio::async_write(*caller.stream_, Asio::buffer(text.data(), cut), yield[error]);
        sleepFor(draw(caller, headerTimeout - Milliseconds(700), headerTimeout + Milliseconds(200)), yield);
        if (error || caller.random_() % 3 == 0) {
            continue;
        }
        const bool entitled = Clock::now() - begun < headerTimeout - promptness;
        finishCall(soak, caller, std::move(call), text.substr(cut), entitled, yield);
    }
}

} // namespace

std::string keyName(uint64_t number)
{
    return "key-" + std::to_string(number);
}

std::string callerKey(const Soak &soak)
{
    return keyName(soak.spec_.answerFaults_ ? 1 : soak.key_.load());
}

void runCaller(Soak &soak, uint32_t index)
{
    Asio::io_context io; // outlives the caller's connection
    SoakCaller caller;
    caller.gateway_ = index % soak.spec_.gateways_;
    caller.random_.seed(soak.spec_.seed_ * 1000 + index);
    caller.name_ = "c" + std::to_string(index);
    Asio::spawn(
        io, [&](Asio::yield_context yield) { runBusy(soak, caller, yield); }, Asio::detached);
    io.run();
}

void runQuietCallers(Soak &soak, uint32_t gateway)
{
    Asio::io_context io; // outlives the callers' connections
    std::vector<SoakCaller> callers(soak.spec_.quietCallers_);
    for (size_t index = 0; index < callers.size(); ++index) {
        SoakCaller &caller = callers[index];
        caller.gateway_ = gateway;
        caller.random_.seed((soak.spec_.seed_ * 1000 + gateway) * 1000 + index);
        caller.name_ = "q" + std::to_string(gateway) + "-" + std::to_string(index);
        const auto run = index % 2 == 0 ? runIdle : runSlow;
        Asio::spawn(
            io, [&soak, &caller, run](Asio::yield_context yield) { run(soak, caller, yield); }, Asio::detached);
    }
    while (!soak.ended_) {
        io.run_for(endStep);
    }
}

} // namespace Burdockfield::Testing
