/**
 * @file runner.h
 * @brief Stand-in for a runner, in a process of its own so that it can be killed.
 */
#pragma once

#include "kit.h"

namespace Review {

constexpr const char *deadlyBody = "deadly"; ///< Body of a request that crashes each runner that begins to run it.
constexpr int crashStatus = 70; ///< Exit status of the runner then.

/// How a runner answers; everything here is what the pages allow a sound runner.
struct RunnerSettings
{
    int port_ = 0;
    std::string id_; ///< Of this start.
    int64_t stepMs_ = 100; ///< Time between two pieces of an answer.
    int pieces_ = 20; ///< Pieces of an answer.
    bool withLength_ = false; ///< Whether answers have a length or chunks; else they end with their connection.
    std::string record_;
    /// If not 0, a stream is preempted twice in its fourth event: for so long before its first token, ...
    int64_t firstPauseMs_ = 0;
    int64_t secondPauseMs_ = 0; ///< ... and for so long after it.
};

inline std::string makePiece(const std::string &request, int number, bool streamed)
{
    const std::string text = request + "-" + std::to_string(number);
    return streamed ? "id: " + std::to_string(number) + "\ndata: " + text + "\n\n" : text + ";";
}

/// @return the whole body of the answer to a request.
inline std::string makeBody(const std::string &request, int pieces, bool streamed, int after = 0)
{
    std::string body;
    for (int number = after + 1; number <= pieces; ++number) {
        body += makePiece(request, number, streamed);
    }
    return body;
}

inline std::string makeHead(const std::string &status, const std::string &request, const std::string &instance)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request + "\r\nInstance-Id: " + instance + "\r\n";
}

/// Sends bytes of a body, as a chunk if the answer is in chunks.
inline bool sendPart(int socket, const std::string &bytes, bool chunked)
{
    if (!chunked) {
        return sendAll(socket, bytes);
    }
    std::ostringstream length;
    length << std::hex << bytes.size();
    return sendAll(socket, length.str() + "\r\n" + bytes + "\r\n");
}

/// Sends an event whose tokens are generated one by one, with a preemption before its first token and after it.
inline bool sendPreempted(
    int socket, const std::string &event, const RunnerSettings &settings, const std::string &id, const Record &record)
{
    record.write("runner " + settings.id_ + " preempts " + id);
    sleepMs(settings.firstPauseMs_);
    const size_t half = event.size() / 2;
    bool sent = sendPart(socket, event.substr(0, half), true);
    record.write("runner " + settings.id_ + " has sent the first token of an event of " + id + " and preempts it");
    sleepMs(settings.secondPauseMs_);
    record.write("runner " + settings.id_ + " goes on with " + id);
    sent = sent && sendPart(socket, event.substr(half), true);
    return sent;
}

/// Answers one request. @return whether the connection may carry another
inline bool answerRequest(int socket, const Message &request, const RunnerSettings &settings, const Record &record)
{
    const std::string id = request.header("request-id");
    if (request.start_.find(" /health ") != std::string::npos) {
        return sendAll(socket, makeHead("200 OK", id, settings.id_) + "Content-Length: 0\r\n\r\n");
    }
    const std::string expected = request.header("expect-instance");
    if (!expected.empty() && expected != settings.id_) {
        record.write("runner " + settings.id_ + " refuses " + id + " with 421, not run");
        return sendAll(socket,
            makeHead("421 Misdirected Request", id, settings.id_) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    record.write("runner " + settings.id_ + " runs " + id);
    if (request.body_ == deadlyBody) {
        record.write("runner " + settings.id_ + " is crashed by " + id);
        _exit(crashStatus);
    }
    const bool streamed = request.start_.find("/stream") != std::string::npos;
    const int after = std::atoi(request.header("last-event-id").c_str());
    std::string head = makeHead("200 OK", id, settings.id_) + "Response-Signature: 3e1b." + id + "." + settings.id_
        + "\r\nContent-Type: " + (streamed ? "text/event-stream" : "text/plain") + "\r\n";
    const size_t length = makeBody(id, settings.pieces_, streamed, after).size();
    const bool chunked = settings.withLength_ && streamed;
    head += chunked            ? "Transfer-Encoding: chunked\r\n"
        : settings.withLength_ ? "Content-Length: " + std::to_string(length) + "\r\n"
                               : "Connection: close\r\n";
    constexpr int preemptedPiece = 4;
    bool sent = sendAll(socket, head + "\r\n");
    for (int number = after + 1; sent && number <= settings.pieces_; ++number) {
        sleepMs(settings.stepMs_);
        const std::string piece = makePiece(id, number, streamed);
        const bool preempted = chunked && settings.firstPauseMs_ > 0 && number == preemptedPiece && after == 0;
        sent = preempted ? sendPreempted(socket, piece, settings, id, record) : sendPart(socket, piece, chunked);
    }
    sent = sent && (!chunked || sendAll(socket, "0\r\n\r\n"));
    record.write("runner " + settings.id_ + (sent ? " has finished " : " has dropped ") + id);
    return sent && settings.withLength_;
}

/// Runs until the process is killed.
inline int runRunner(const RunnerSettings &settings)
{
    const Record record(settings.record_);
    const int listener = listenOn(settings.port_);
    if (listener < 0) {
        return exitNotRun;
    }
    for (int socket = accept(listener, nullptr, nullptr); socket >= 0; socket = accept(listener, nullptr, nullptr)) {
        std::thread([socket, &settings, &record] {
            std::string buffer;
            Message request;
            bool open = true;
            while (open && readRequest(socket, buffer, request, 60000)) {
                open = answerRequest(socket, request, settings, record);
            }
            close(socket);
        }).detach();
    }
    return exitHeld;
}

/// @return the words that start this program as a runner, see runnerFrom().
inline std::vector<std::string> runnerCommand(const std::string &program, const RunnerSettings &settings)
{
    return { program, "runner", std::to_string(settings.port_), settings.id_, std::to_string(settings.stepMs_),
        std::to_string(settings.pieces_), settings.withLength_ ? "1" : "0", settings.record_,
        std::to_string(settings.firstPauseMs_), std::to_string(settings.secondPauseMs_) };
}

constexpr int runnerWords = 10; ///< Words of runnerCommand().

/// @return the settings in the words of runnerCommand().
inline RunnerSettings runnerFrom(char **words)
{
    return { std::atoi(words[2]), words[3], std::atoll(words[4]), std::atoi(words[5]), words[6][0] == '1', words[7],
        std::atoll(words[8]), std::atoll(words[9]) };
}

/// Runner as the store and the case know it.
struct Runner
{
    RunnerSettings settings_;
    std::string service_;
    std::string zone_;
    int64_t born_ = 0;
    pid_t process_ = 0;
};

/// Writes the rows of runners. A heartbeat changes no more than `sequence`, so that the row stays as it is.
class Heartbeats
{
public:
    explicit Heartbeats(Store &store)
        : store_(store)
    {
    }

    void add(const Runner &runner)
    {
        const std::lock_guard lock(mutex_);
        runners_[runner.settings_.id_] = runner;
        write(runner);
    }

    /// The row stays until it expires, three heartbeats later.
    void crash(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        runners_.erase(id);
        std::thread([this, id] {
            sleepMs(3 * heartbeatMs_);
            const std::lock_guard again(mutex_);
            if (!stopped_ && runners_.find(id) == runners_.end()) {
                store_.remove("servers", id);
            }
        }).detach();
    }

    /// A runner that reports no draining: its row is removed, and it goes on serving.
    void leave(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        runners_.erase(id);
        store_.remove("servers", id);
    }

    void stop()
    {
        stopped_ = true;
    }

private:
    static constexpr int64_t heartbeatMs_ = 1200;

    void write(const Runner &runner)
    {
        store_.put("servers", runner.settings_.id_,
            R"({"service":")" + runner.service_ + R"(","address":")" + address(runner.settings_.port_) + R"(","zone":")"
                + runner.zone_ + R"(","version":"1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":)"
                + std::to_string(++sequence_) + R"(,"born":)" + std::to_string(runner.born_) + "}");
    }

    Store &store_;
    std::mutex mutex_;
    std::map<std::string, Runner> runners_;
    uint64_t sequence_ = 0;
    std::atomic<bool> stopped_{ false };
};

/// Route of the operator's configuration.
struct Route
{
    std::string name_;
    std::string kind_;
    std::string service_;
    int64_t timeoutMs_ = 0;
    int64_t targetMs_ = 0;
    int attempts_ = 1;
    bool resumable_ = false;
};

inline std::string makeConfiguration(uint64_t version, const std::vector<Route> &routes)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    std::string services;
    for (const Route &route : routes) {
        const bool first = &route == routes.data();
        const bool streaming = route.kind_ == "streaming";
        text += (first ? R"({"name":")" : R"(,{"name":")") + route.name_
            + R"(","host":"ficu95.example","pathPrefix":"/)" + route.name_ + R"(/","kind":")" + route.kind_
            + R"(","timeoutMs":)" + std::to_string(route.timeoutMs_) + R"(,"targetLatencyMs":)"
            + std::to_string(route.targetMs_) + R"(,"priority":0,"service":")" + route.service_ + R"(","attempts":)"
            + std::to_string(route.attempts_) + R"(,"allowAnonymous":false)"
            + (streaming ? R"(,"gapTargetMs":200,"sessionAffinity":true,"resumable":)" : "")
            + (streaming ? (route.resumable_ ? "true}" : "false}") : "}");
        if (services.find("\"" + route.service_ + "\"") == std::string::npos) {
            services += (first ? R"({"name":")" : R"(,{"name":")") + route.service_
                + R"(","healthPath":"/health","maxConns":310})";
        }
    }
    return text + R"(],"services":[)" + services
        + R"(],"tenants":[{"name":"hule930","apiKeys":["key-1"],"ratePerS":0,"burst":0}],"limits":{"maxHeaderBytes":16384,)"
        + R"("maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}})";
}

} // namespace Review
