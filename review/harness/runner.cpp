/**
 * @file runner.cpp
 * @brief Stand-in for a runner, a process of its own: runner IP PORT ID RECORD [NAME=VALUE...]
 *
 * Targets that begin with /stream/ or /firm/ get a stream of events, all others a plain answer.
 *   events=N     events of a stream (20)
 *   step=MS      time to each event (50)
 *   work=MS      time to a plain answer (60)
 *   pause=MS     pause of each run after its fifth event, if it began with the first one (0)
 *   deadly=MS    requests whose body begins with "deadly" end the process so long after their first event (-1: never)
 *   unframed=1   answers have no length and end with their connection
 *   trace=1      each event is recorded
 */
#include "record.h"

#include <cstdio>
#include <cstdlib>
#include <thread>
#include <unistd.h>

namespace {

using namespace Review;

/// What the runner does.
struct Behaviour
{
    std::string id_;
    int events_ = 20;
    int stepMs_ = 50;
    int workMs_ = 60;
    int pauseMs_ = 0;
    int deadlyMs_ = -1;
    bool unframed_ = false;
    bool trace_ = false;
};

constexpr int eventsBeforePause = 5;
constexpr int plainBodyBytes = 800;

void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

std::string signedHeaders(const std::string &request)
{
    return "Request-Id: " + request + "\r\nResponse-Signature: review." + request + "\r\n";
}

/// Ends the process at once, as a crash does.
[[noreturn]] void crash(const Behaviour &runner, const std::string &request)
{
    record(runner.id_, "crashes", request);
    std::_Exit(1);
}

/// @return whether the connection may carry another request.
bool runStream(const Behaviour &runner, const Stream &stream, const Message &request, const std::string &id)
{
    const std::string length = runner.unframed_ ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
    bool open = sendAll(
        stream.socket_, "HTTP/1.1 200 OK\r\n" + signedHeaders(id) + length + "Content-Type: text/event-stream\r\n\r\n");
    const int first = std::atoi(headerOf(request, "last-event-id").c_str()) + 1;
    const bool deadly = runner.deadlyMs_ >= 0 && request.body_.starts_with("deadly");
    const int64_t begin = nowMs();
    for (int event = first; event <= runner.events_ && open; ++event) {
        sleepFor(runner.stepMs_);
        if (first == 1 && event == eventsBeforePause + 1 && runner.pauseMs_ > 0) {
            record(runner.id_, "pauses", id);
            sleepFor(runner.pauseMs_);
        }
        if (deadly && nowMs() - begin >= runner.deadlyMs_) {
            crash(runner, id);
        }
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + std::to_string(event) + "\n\n";
        if (runner.trace_) {
            record(runner.id_, "event", id, std::to_string(event));
        }
        open = sendAll(stream.socket_, runner.unframed_ ? text : makeChunk(text));
    }
    record(runner.id_, open ? "ends" : "drops", id);
    return open && !runner.unframed_ && sendAll(stream.socket_, "0\r\n\r\n");
}

/// @return whether the connection may carry another request.
bool runPlain(const Behaviour &runner, const Stream &stream, const std::string &id)
{
    sleepFor(runner.workMs_);
    const std::string half(plainBodyBytes / 2, 'x');
    record(runner.id_, "answers", id);
    if (!runner.unframed_) {
        return sendAll(stream.socket_, makeResponse(200, signedHeaders(id), half + half));
    }
    sendAll(stream.socket_, "HTTP/1.1 200 OK\r\n" + signedHeaders(id) + "Connection: close\r\n\r\n" + half);
    sleepFor(runner.workMs_);
    sendAll(stream.socket_, half);
    record(runner.id_, "ends", id);
    return false;
}

void serveRunner(const Behaviour &runner, Stream &stream)
{
    for (bool open = true; open;) {
        const Message request = receiveMessage(stream, BodyEnd::Framed);
        if (!request.complete_) {
            return;
        }
        const std::string id = headerOf(request, "request-id");
        const std::string expected = headerOf(request, "expect-instance");
        if (!expected.empty() && expected != runner.id_) {
            record(runner.id_, "not-run", id, "expected " + expected);
            open = sendAll(stream.socket_,
                makeResponse(
                    421, "Request-Id: " + id + "\r\nNot-Executed: 1\r\nInstance-Id: " + runner.id_ + "\r\n", ""));
            continue;
        }
        record(runner.id_, "runs", id,
            "last-event-id " + headerOf(request, "last-event-id") + " body " + request.body_.substr(0, 6));
        const bool streamed = request.startLine_.find(" /stream/") != std::string::npos
            || request.startLine_.find(" /firm/") != std::string::npos;
        open = streamed ? runStream(runner, stream, request, id) : runPlain(runner, stream, id);
    }
}

void applyOption(Behaviour &runner, const std::string &name, int value)
{
    if (name == "events") {
        runner.events_ = value;
    } else if (name == "step") {
        runner.stepMs_ = value;
    } else if (name == "work") {
        runner.workMs_ = value;
    } else if (name == "pause") {
        runner.pauseMs_ = value;
    } else if (name == "deadly") {
        runner.deadlyMs_ = value;
    } else if (name == "unframed") {
        runner.unframed_ = value != 0;
    } else if (name == "trace") {
        runner.trace_ = value != 0;
    }
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int fixedArguments = 5;
    if (argc < fixedArguments) {
        std::fputs("usage: runner IP PORT ID RECORD [NAME=VALUE...]\n", stderr);
        return 2;
    }
    Behaviour runner;
    Endpoint endpoint{ argv[1], static_cast<uint16_t>(std::atoi(argv[2])) };
    runner.id_ = argv[3];
    openRecord(argv[4]);
    for (int index = fixedArguments; index < argc; ++index) {
        const std::string option = argv[index];
        const size_t equals = option.find('=');
        applyOption(runner, option.substr(0, equals), std::atoi(option.c_str() + equals + 1));
    }
    serveConnections(listenAt(endpoint), [&runner](Stream &stream) { serveRunner(runner, stream); });
    while (true) {
        pause();
    }
}
