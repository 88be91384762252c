/**
 * @file runner.cpp
 * @brief Stand-in for a runner of a plain service.
 */
#include "runner.h"

#include <cstdlib>

namespace Review {

namespace {

constexpr std::chrono::hours forever{ 1 };
constexpr size_t bodyBytes = 800;
constexpr int crashStatus = 70;

void record(Runner &runner, const std::string &line)
{
    note(*runner.record_, "runner " + runner.spec_.id_ + ": " + line);
}

/// @return the start of an answer, up to the fields about its length.
std::string answerHead(const Message &request, const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + fieldOf(request, "request-id") + "\r\n";
}

bool isRequest(const Message &message)
{
    return wordOf(message, 2) == "HTTP/1.1" && wordOf(message, 1).starts_with("/");
}

void sendAnswer(const Connection &connection, const Message &request)
{
    const std::string body = answerBody(fieldOf(request, "request-id"));
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const bool head = wordOf(request, 0) == "HEAD"; // its answer has no body
    sendAll(connection,
        answerHead(request, "200 OK") + "Response-Signature: s." + fieldOf(request, "request-id") + "\r\n" + length
            + (head ? std::string() : body));
}

void recordRun(Runner &runner, const Message &request)
{
    const Run run{ fieldOf(request, "request-id"), fieldOf(request, "tenant-id"), request.body_, Clock::now() };
    const std::lock_guard lock(runner.mutex_);
    runner.runs_.push_back(run);
    record(runner,
        "runs " + request.startLine_ + ", Request-Id '" + run.id_ + "', Tenant-Id '" + run.tenant_ + "', body '"
            + shown(run.body_) + "'");
}

/// Answers one request. @return whether the connection may carry another
bool answerRequest(Runner &runner, const Connection &connection, const Message &request)
{
    if (!isRequest(request)) {
        record(runner, "answers 400 to '" + shown(request.startLine_) + "'");
        sendAll(connection, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return false;
    }
    if (fieldOf(request, "expect-instance") != runner.spec_.id_) {
        record(runner, "answers 421 to " + fieldOf(request, "request-id"));
        sendAll(connection, answerHead(request, "421 Misdirected") + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    }
    recordRun(runner, request);
    if (runner.spec_.mortal_ && request.body_ == deadlyBody) {
        std::_Exit(crashStatus);
    }
    std::this_thread::sleep_for(runner.spec_.work_);
    sendAnswer(connection, request);
    return true;
}

void serve(const std::shared_ptr<Runner> &runner, Connection connection)
{
    bool open = true;
    while (open) {
        const std::optional<Message> request = readMessage(connection, forever);
        open = request && answerRequest(*runner, connection, *request);
    }
}

void acceptAll(const std::shared_ptr<Runner> &runner)
{
    while (true) {
        std::thread(serve, runner, acceptNext(runner->listener_)).detach();
    }
}

} // namespace

bool startRunner(const std::shared_ptr<Runner> &runner)
{
    runner->listener_ = listenAt(runner->spec_.address_);
    if (runner->listener_.descriptor_ < 0) {
        return false;
    }
    std::thread(acceptAll, runner).detach();
    return true;
}

std::vector<Run> runsOf(Runner &runner)
{
    const std::lock_guard lock(runner.mutex_);
    return runner.runs_;
}

std::string answerBody(const std::string &requestId)
{
    std::string body = "begin of the answer to " + requestId + " ";
    body.resize(bodyBytes, '.');
    return body + " end of the answer to " + requestId;
}

std::string entryOf(const RunnerSpec &spec, const std::string &state, uint64_t bornMs)
{
    return R"({"service":"wuno96b","address":")" + textOf(spec.address_)
        + R"(","zone":"norte-a","version":"v1","slots":6,"state":")" + state
        + R"(","coldRemainingMs":0,"sequence":1,"born":)" + std::to_string(bornMs) + "}";
}

} // namespace Review
