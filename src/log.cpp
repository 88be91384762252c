/**
 * @file log.cpp
 * @brief Log of JSON lines, written through glog.
 */
#include "log_func.h"

#include "json_func.h"
#include "table/decision_names.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <glog/logging.h>
#include <mutex>
#include <oneapi/tbb/concurrent_queue.h>
#include <thread>

namespace Burdockfield {

namespace {

constexpr int64_t microsecondsPerSecond = 1000000;
constexpr std::chrono::milliseconds batchInterval{ 100 }; ///< Time in which lines gather for one write.
constexpr size_t batchBytes = 20U << 10U; ///< Below glog's bound of 30,000 bytes a message.
constexpr ptrdiff_t waitingLines = 4096; ///< Lines that may wait for the writer; about 1.5 MB.
constexpr uint32_t linesPerSecond = 600; ///< Three lines a request at 200 requests a second.
constexpr uint32_t failuresPerSecond = 300; ///< Failures have a budget of their own, so that they are told first.
constexpr std::chrono::milliseconds stopTimeout{ 300 }; ///< Longest wait for the last lines.

/// Node that the lines name.
std::string &nodeName()
{
    static std::string name;
    return name;
}

/// @return present time in UTC as of ISO 8601, with microseconds.
std::string timeText()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const int64_t micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    const std::time_t seconds = micros / microsecondsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%06dZ", date.data(), static_cast<int>(micros % microsecondsPerSecond));
    return text.data();
}

Json::object startLine(const std::string &event)
{
    return { { "time", timeText() }, { "node", nodeName() }, { "event", event } };
}

/// Line that waits to be written.
struct WaitingLine
{
    LogLevel level_ = LogLevel::Info; ///< Severity.
    std::string text_; ///< JSON.
};

/// Budget of lines in the present second.
struct LineBudget
{
    int64_t second_ = 0; ///< Second that the counts belong to.
    uint32_t lines_ = 0; ///< Lines taken of severity Info.
    uint32_t failures_ = 0; ///< Lines taken of a higher severity.
    uint64_t leftOut_ = 0; ///< Lines left out and not yet told of.
};

/// Writer of the log; one for the process.
struct LogWriter
{
    tbb::concurrent_bounded_queue<WaitingLine> lines_; ///< Lines that wait.
    std::mutex mutex_; ///< Guards budget_ and ended_.
    std::condition_variable endedChanged_; ///< Signalled when the thread ends.
    LineBudget budget_; ///< Budget of lines.
    bool ended_ = false; ///< Whether the thread has written its last line.
};

/// @return the writer; never destroyed, since its thread may be held up by a reader that does not read.
LogWriter &writer()
{
    static auto *instance = new LogWriter; // NOLINT(cppcoreguidelines-owning-memory)
    return *instance;
}

void writeText(LogLevel level, const std::string &text)
{
    switch (level) {
    case LogLevel::Info:
        LOG(INFO) << text;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << text;
        break;
    case LogLevel::Error:
        LOG(ERROR) << text;
        break;
    }
    std::fflush(stdout); // a killed process writes out nothing that its library still holds
}

/// Writes the lines that wait, several with one call. @return whether the end was asked for
bool writeWaiting(WaitingLine line)
{
    std::string batch;
    LogLevel level = LogLevel::Info;
    bool more = true;
    bool end = false;
    while (more) {
        end = end || line.text_.empty();
        level = std::max(level, line.level_);
        if (!line.text_.empty()) {
            batch += (batch.empty() ? "" : "\n") + line.text_;
        }
        if (batch.size() > batchBytes) {
            writeText(level, batch);
            batch.clear();
            level = LogLevel::Info;
        }
        more = writer().lines_.try_pop(line);
    }
    if (!batch.empty()) {
        writeText(level, batch);
    }
    return end;
}

void runWriter()
{
    bool end = false;
    while (!end) {
        WaitingLine line;
        writer().lines_.pop(line);
        if (!line.text_.empty()) {
            std::this_thread::sleep_for(batchInterval);
        }
        end = writeWaiting(std::move(line));
    }
    const std::lock_guard lock(writer().mutex_);
    writer().ended_ = true;
    writer().endedChanged_.notify_all();
}

/// @return whether the budget of this second allows the line; tells of lines left out before.
bool takeBudget(LogLevel level, uint64_t &leftOut)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    const std::lock_guard lock(writer().mutex_);
    LineBudget &budget = writer().budget_;
    if (budget.second_ != second) {
        budget = { second, 0, 0, budget.leftOut_ };
    }
    uint32_t &taken = level == LogLevel::Info ? budget.lines_ : budget.failures_;
    if (taken >= (level == LogLevel::Info ? linesPerSecond : failuresPerSecond)) {
        ++budget.leftOut_;
        return false;
    }
    ++taken;
    leftOut = std::exchange(budget.leftOut_, 0);
    return true;
}

void writeLine(LogLevel level, const Json::object &line)
{
    uint64_t leftOut = 0;
    if (!takeBudget(level, leftOut)) {
        return;
    }
    if (leftOut > 0) {
        Json::object notice = startLine("lines-left-out");
        notice["lines"] = leftOut;
        writer().lines_.try_push({ LogLevel::Warning, Json::serialize(notice) });
    }
    if (!writer().lines_.try_push({ level, Json::serialize(line) })) {
        const std::lock_guard lock(writer().mutex_);
        ++writer().budget_.leftOut_;
    }
}

bool decisionsLogged()
{
    return FLAGS_minloglevel <= google::GLOG_INFO;
}

} // namespace

void startLog(const std::string &program, const std::string &node, LogLevel level)
{
    nodeName() = node;
    FLAGS_logtostdout = true;
    FLAGS_log_prefix = false;
    FLAGS_minloglevel = static_cast<int>(level);
    static const std::string name = program;
    google::InitGoogleLogging(name.c_str());
    writer().lines_.set_capacity(waitingLines);
    std::thread(runWriter).detach();
}

bool stopLog()
{
    writer().lines_.try_push({});
    std::unique_lock lock(writer().mutex_);
    return writer().endedChanged_.wait_for(lock, stopTimeout, [] { return writer().ended_; });
}

void logLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    if (static_cast<int>(level) < FLAGS_minloglevel) {
        return;
    }
    Json::object line = startLine(event);
    for (const auto &[name, value] : fields) {
        line[name] = value;
    }
    writeLine(level, line);
}

void logDecision(const RoutingDecision &decision)
{
    if (!decisionsLogged()) {
        return;
    }
    Json::array candidates;
    for (const DecisionCandidate &candidate : decision.candidates_) {
        candidates.push_back(
            Json::object{ { "upstream", candidate.upstream_ }, { "expected_s", candidate.expected_.count() } });
    }
    Json::object line = startLine("routing");
    line["request"] = decision.request_;
    line["attempt"] = decision.attempt_;
    line["tier"] = decision.tier_;
    line["workspace"] = decision.workspace_;
    line["route"] = decision.route_;
    line["candidates"] = std::move(candidates);
    line["choice"] = decision.choice_;
    line["reason"] = nameOf(decision.reason_, decisionReasonNames);
    if (decision.error_) {
        line["error"] = decision.error_.message();
    }
    line["revision"] = decision.revision_;
    writeLine(LogLevel::Info, line);
}

void logDecision(const PlacementDecision &decision)
{
    if (!decisionsLogged()) {
        return;
    }
    Json::object line = startLine("placement");
    line["request"] = decision.run_.request_;
    line["attempt"] = decision.run_.attempt_;
    line["tier"] = decision.tier_;
    line["workspace"] = decision.workspace_;
    line["route"] = decision.route_;
    line["action"] = nameOf(decision.action_, placementActionNames);
    if (decision.error_) {
        line["error"] = decision.error_.message();
    }
    line["running"] = decision.running_;
    line["waiting"] = decision.waiting_;
    line["revision"] = decision.revision_;
    writeLine(LogLevel::Info, line);
}

} // namespace Burdockfield
