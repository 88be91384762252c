/**
 * @file platform_upstream_faults.cpp
 * @brief Stand-in for the faults of upstreams' answers.
 */
#include "platform_upstream_faults.h"

#include "address_func.h"
#include "digest_func.h"
#include "header_names.h"
#include "json_func.h"
#include "platform_upstream_base.h"

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

namespace Burdockfield::Standin {

namespace {

namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;
using Request = Http::request<Http::string_body>;

constexpr size_t relayBytes = 16384; ///< Bytes relayed at once.
constexpr size_t copiedBytes = 65536; ///< Longest answer that is copied.
constexpr size_t floodPieceBytes = 65536; ///< Bytes of an answer without end that are sent at once.
constexpr Milliseconds floodPieceInterval{ 2 }; ///< Time between them.
constexpr Milliseconds floodTime{ 10000 }; ///< Longest time for which they are sent, as a silent link never closes.
constexpr uint64_t mostIdleLateness = 100; ///< Longest time in ms from a refusal to its copy on an idle connection.
constexpr uint64_t longestGap = 15; ///< Longest time in ms between the two parts of a copy.
constexpr Milliseconds partStep{ 1 }; ///< Time between two looks at whether a copy has been sent.
constexpr Milliseconds lateness{ 5 }; ///< Time into the run of a request after which every second copy is sent.

/// Connection of a gateway, and that to the upstream which it is relayed to.
struct FaultyConnection
{
    Tcp::socket near_; ///< From the gateway.
    Tcp::socket far_; ///< To the upstream.
    std::string request_{}; ///< Id of the latest request.
    std::string answer_{}; ///< What was relayed since it came.
    std::string lastAnswer_{}; ///< Latest answer that isn't a refusal.
    std::string lastRefusal_{}; ///< Latest refusal.
    std::map<std::string, std::string> refusals_{}; ///< Refusals by the id of their request.
    uint64_t requests_ = 0; ///< Count of requests.
    bool copying_ = false; ///< Whether a part of a copy has been sent and the rest is due; all else waits for it.
    bool flooding_ = false; ///< Whether an answer without end is sent; the upstream's own are dropped.
};

using FaultyConnectionPointer = std::shared_ptr<FaultyConnection>;

/// All state of the relay.
struct AnswerFaults
{
    Asio::io_context io_{ 1 }; ///< Where it runs.
    Tcp::acceptor acceptor_{ io_ }; ///< Takes connections.
    Tcp::endpoint target_; ///< Address of the upstream.
    std::string name_; ///< Instance that its own answers name.
    AnswerFaultShares shares_; ///< Faults in force.
    std::mt19937_64 random_; ///< Source of its draws.
};

bool draw(AnswerFaults &faults, double share)
{
    return std::uniform_real_distribution<double>(0, 1)(faults.random_) < share;
}

void closeConnection(FaultyConnection &connection)
{
    boost::system::error_code ignored;
    connection.near_.close(ignored);
    connection.far_.close(ignored);
}

void logFault(const AnswerFaults &faults, const FaultyConnection &connection, const char *fault)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    boost::system::error_code ignored;
    std::cout << Json::serialize(Json::object{
        { "ms", std::chrono::duration_cast<Milliseconds>(now).count() },
        { "upstream", faults.name_ },
        { "connection", connection.near_.remote_endpoint(ignored).port() },
        { "request", connection.request_ },
        { "fault", fault },
    }) << std::endl;
}

std::string makeHead(const AnswerFaults &faults, const std::string &status, const std::string &id)
{
    return "HTTP/1.1 " + status + "\r\n" + std::string(Platform::requestIdHeader) + ": " + id
        + "\r\nInstance-Id: " + faults.name_ + "\r\n";
}

std::string makeRefusal(const AnswerFaults &faults, const std::string &status, const std::string &id)
{
    return makeHead(faults, status, id) + std::string(Platform::notRunHeader) + ": 1\r\nContent-Length: 0\r\n\r\n";
}

void sleepFor(Milliseconds time, Asio::yield_context yield)
{
    boost::system::error_code ignored;
    Asio::steady_timer timer(yield.get_executor(), time);
    timer.async_wait(yield[ignored]);
}

void awaitCopy(const FaultyConnection &connection, Asio::yield_context yield)
{
    while (connection.copying_) {
        sleepFor(partStep, yield);
    }
}

/// Sends bytes that are few enough for the socket's buffer, once a copy that is being sent has ended.
void send(FaultyConnection &connection, const std::string &bytes, Asio::yield_context yield)
{
    awaitCopy(connection, yield);
    boost::system::error_code ignored;
    Asio::write(connection.near_, Asio::buffer(bytes), ignored);
}

/// Sends a copy, a share of them in two parts that are cut within the head.
void sendCopy(AnswerFaults &faults, FaultyConnection &connection, const std::string &copy, Asio::yield_context yield)
{
    size_t sent = 0;
    if (faults.shares_.split_ > 0 && draw(faults, faults.shares_.split_)) {
        sent = 1 + faults.random_() % (copy.find("\r\n\r\n") + 2);
        send(connection, copy.substr(0, sent), yield);
        connection.copying_ = true;
        sleepFor(Milliseconds(1 + faults.random_() % longestGap), yield);
        connection.copying_ = false;
    }
    send(connection, copy.substr(sent), yield);
}

void keepRefusal(FaultyConnection &connection, std::string bytes)
{
    connection.refusals_[connection.request_] = bytes;
    connection.lastRefusal_ = std::move(bytes);
}

bool isRefusal(const std::string &answer)
{
    return answer.find(std::string(Platform::notRunHeader) + ": ") != std::string::npos;
}

/// Keeps the answer to the latest request for copies.
void keepAnswer(FaultyConnection &connection)
{
    std::string answer = std::exchange(connection.answer_, {});
    if (answer.empty() || answer.size() > copiedBytes) {
        return;
    }
    if (isRefusal(answer)) {
        keepRefusal(connection, std::move(answer));
    } else {
        connection.lastAnswer_ = std::move(answer);
    }
}

/// Lets a share of the refusals come once more after a pause, unless the answer to a later request has begun.
void copyLate(AnswerFaults &faults, const FaultyConnectionPointer &connection, const std::string &refusal)
{
    if (faults.shares_.idleCopies_ == 0 || !draw(faults, faults.shares_.idleCopies_)) {
        return;
    }
    const Milliseconds pause(faults.random_() % (mostIdleLateness + 1));
    const auto body
        = [&faults, connection, refusal, pause, requests = connection->requests_](Asio::yield_context yield) {
              sleepFor(pause, yield);
              awaitCopy(*connection, yield);
              const bool idle = connection->requests_ == requests;
              if (!connection->flooding_ && (idle || connection->answer_.empty())) {
                  logFault(faults, *connection, idle ? "late copy of its refusal" : "late copy of a refusal");
                  sendCopy(faults, *connection, refusal, yield);
              }
          };
    Asio::spawn(faults.io_, body, Asio::detached);
}

/// @return the answer too many that comes where the answer to the latest request is due, or an empty text.
std::string drawCopy(AnswerFaults &faults, const FaultyConnection &connection)
{
    if (!connection.lastAnswer_.empty() && draw(faults, faults.shares_.answerCopies_)) {
        logFault(faults, connection, "copy of an answer");
        return connection.lastAnswer_;
    }
    if (!connection.lastRefusal_.empty() && draw(faults, faults.shares_.refusalCopies_)) {
        const auto own = connection.refusals_.find(connection.request_);
        logFault(faults, connection, own == connection.refusals_.end() ? "copy of a refusal" : "copy of its refusal");
        const std::string &refusal = own == connection.refusals_.end() ? connection.lastRefusal_ : own->second;
        std::string copies;
        for (uint64_t copy = 0; copy < faults.shares_.copies_; ++copy) {
            copies += refusal;
        }
        return copies;
    }
    return {};
}

/// Relays answers from the upstream.
void relayAnswers(AnswerFaults &faults, const FaultyConnectionPointer &connection, Asio::yield_context yield)
{
    std::array<char, relayBytes> bytes{};
    boost::system::error_code error;
    while (!error) {
        const size_t count = connection->far_.async_read_some(Asio::buffer(bytes), yield[error]);
        if (error || connection->flooding_) {
            continue;
        }
        if (connection->answer_.size() <= copiedBytes) {
            connection->answer_.append(bytes.data(), count);
        }
        awaitCopy(*connection, yield);
        Asio::async_write(connection->near_, Asio::buffer(bytes, count), yield[error]);
        if (isRefusal(connection->answer_) && connection->answer_.ends_with("\r\n\r\n")) {
            copyLate(faults, connection, connection->answer_);
        }
    }
    if (!connection->flooding_) {
        closeConnection(*connection);
    }
}

/// Sends an answer without end until its caller closes the connection.
void flood(AnswerFaults &faults, FaultyConnection &connection, const Request &request, Asio::yield_context yield)
{
    static constexpr std::array<const char *, 4> parts{ "head", "chunk header", "body", "trailers" };
    const size_t part = faults.random_() % parts.size();
    logFault(faults, connection, (std::string("endless ") + parts.at(part)).c_str());
    const std::string target(request.target());
    const std::string body = target.find("/stream/") == std::string::npos ? echoBody(target, request.body())
                                                                          : streamBody(target, request.body());
    std::string start = makeHead(faults, "200 OK", connection.request_) + std::string(Platform::signatureHeader) + ": "
        + toHex(fastHash(connection.request_)) + "\r\n";
    if (part > 0) {
        std::ostringstream chunk;
        chunk << "Transfer-Encoding: chunked\r\n\r\n" << std::hex << body.size() << "\r\n" << body << "\r\n";
        start += chunk.str() + (part == 1 ? "1;" : part == 3 ? "0\r\n" : "");
    }
    const std::string line = "Part: " + std::string(100, '.') + "\r\n";
    std::string piece;
    while (piece.size() < floodPieceBytes) {
        piece += part == 0 || part == 3 ? line : std::string(line.size(), '.');
    }
    if (part == 2) {
        std::ostringstream size;
        size << std::hex << piece.size();
        piece = size.str() + "\r\n" + piece + "\r\n";
    }
    Asio::steady_timer timer(yield.get_executor());
    boost::system::error_code error;
    Asio::async_write(connection.near_, Asio::buffer(start), yield[error]);
    const TimePoint end = Clock::now() + floodTime;
    while (!error && Clock::now() < end) {
        Asio::async_write(connection.near_, Asio::buffer(piece), yield[error]);
        timer.expires_after(floodPieceInterval);
        timer.async_wait(yield);
    }
    closeConnection(connection);
}

/// Passes the latest request on to the upstream, with a copy of an earlier answer before its own or none.
bool forward(AnswerFaults &faults, FaultyConnection &connection, const Request &request, Asio::yield_context yield)
{
    std::ostringstream text;
    text << request;
    const std::string bytes = text.str();
    const std::string copy = drawCopy(faults, connection);
    const bool late = draw(faults, 0.5);
    if (!copy.empty() && !late) {
        sendCopy(faults, connection, copy, yield);
    }
    boost::system::error_code error;
    Asio::async_write(connection.far_, Asio::buffer(bytes), yield[error]);
    if (!copy.empty() && late) {
        sleepFor(lateness, yield);
        if (connection.answer_.empty()) {
            sendCopy(faults, connection, copy, yield);
        }
    }
    return !error;
}

void serveConnection(AnswerFaults &faults, const FaultyConnectionPointer &connection, Asio::yield_context yield)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        boost::system::error_code error;
        Http::request_parser<Http::string_body> parser;
        Http::async_read(connection->near_, buffer, parser, yield[error]);
        if (error) {
            return;
        }
        const Request request = parser.release();
        keepAnswer(*connection);
        ++connection->requests_;
        connection->request_ = std::string(request[std::string(Platform::requestIdHeader)]);
        const bool refused = draw(faults, faults.shares_.refused_);
        if (refused || draw(faults, faults.shares_.replaced_)) {
            logFault(faults, *connection, refused ? "refused" : "refused by another instance");
            keepRefusal(*connection,
                makeRefusal(
                    faults, refused ? "503 Service Unavailable" : "421 Misdirected Request", connection->request_));
            send(*connection, connection->lastRefusal_, yield);
            copyLate(faults, connection, connection->lastRefusal_);
            continue;
        }
        connection->flooding_ = draw(faults, faults.shares_.endless_);
        if (!forward(faults, *connection, request, yield)) {
            return;
        }
        if (connection->flooding_) {
            flood(faults, *connection, request, yield);
            return;
        }
    }
}

void openConnection(AnswerFaults &faults, Tcp::socket socket)
{
    auto connection
        = std::make_shared<FaultyConnection>(FaultyConnection{ std::move(socket), Tcp::socket(faults.io_) });
    const auto body = [&faults, connection](Asio::yield_context yield) {
        boost::system::error_code error;
        connection->far_.async_connect(faults.target_, yield[error]);
        if (!error) {
            connection->near_.set_option(Tcp::no_delay(true), error);
            connection->far_.set_option(Tcp::no_delay(true), error);
            Asio::spawn(
                faults.io_,
                [&faults, connection](Asio::yield_context inner) { relayAnswers(faults, connection, inner); },
                Asio::detached);
            serveConnection(faults, connection, yield);
        }
        closeConnection(*connection);
    };
    Asio::spawn(faults.io_, body, Asio::detached);
}

void acceptNext(AnswerFaults &faults)
{
    faults.acceptor_.async_accept([&faults](const boost::system::error_code &error, Tcp::socket socket) {
        if (!error) {
            openConnection(faults, std::move(socket));
        }
        acceptNext(faults);
    });
}

/// @return whether the shares could be read.
bool setShares(AnswerFaults &faults, const std::string &text)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    AnswerFaultShares shares;
    read(reader, "refused", shares.refused_, Presence::Optional);
    read(reader, "replaced", shares.replaced_, Presence::Optional);
    read(reader, "refusal_copies", shares.refusalCopies_, Presence::Optional);
    read(reader, "copies", shares.copies_, Presence::Optional);
    read(reader, "idle_copies", shares.idleCopies_, Presence::Optional);
    read(reader, "split", shares.split_, Presence::Optional);
    read(reader, "answer_copies", shares.answerCopies_, Presence::Optional);
    read(reader, "endless", shares.endless_, Presence::Optional);
    faults.shares_ = shares;
    return !reader.error_;
}

} // namespace

int runAnswerFaults(const AnswerFaultPlace &place)
{
    AnswerFaults faults;
    const auto listenAt = parseEndpoint(place.listen_);
    const auto target = parseEndpoint(place.target_);
    if (!listenAt || !target) {
        return 2;
    }
    faults.target_ = *target;
    faults.name_ = place.name_;
    faults.random_.seed(place.seed_);
    faults.acceptor_ = Tcp::acceptor(faults.io_, *listenAt);
    acceptNext(faults);
    HttpServer *control = nullptr;
    ServerHandlers handlers;
    handlers.onRequest_ = [&faults, &control](ExchangeId exchange, const HttpRequest &request) {
        respond(*control, exchange, makeJsonReply(setShares(faults, request.body_) ? 200 : 400, "{}"));
    };
    handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
    };
    handlers.onBadRequest_ = [](std::error_code /*error*/) {
        return makeJsonReply(400, "{}");
    };
    HttpServer server(faults.io_, ServerLimits{}, std::move(handlers));
    control = &server;
    if (listen(server, place.control_)) {
        return 2;
    }
    Asio::signal_set signals(faults.io_, SIGTERM, SIGINT);
    signals.async_wait([&faults](const boost::system::error_code & /*error*/, int /*signal*/) { faults.io_.stop(); });
    faults.io_.run();
    return 0;
}

} // namespace Burdockfield::Standin
