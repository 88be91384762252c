/**
 * @file log.cpp
 * @brief Structured log of JSON lines, written through glog.
 */
#include "log_func.h"

#include "json_func.h"
#include "table/decision_names.h"
#include "utc_time_func.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <glog/logging.h>
#include <iostream>
#include <mutex>
#include <oneapi/tbb/concurrent_queue.h>
#include <thread>

namespace Burdockfield {

namespace {

constexpr std::chrono::milliseconds batchDelay{ 100 }; ///< Time for which lines are collected into one write.
constexpr size_t maxBatchBytes = 20U << 10U; ///< Below glog's limit of 30,000 bytes a message.
constexpr ptrdiff_t maxQueuedLines = 4096; ///< Longer queues drop lines; uses about 1.5 MB.
constexpr uint32_t maxLinesPerSecond = 600; ///< Allows three lines a request at 200 requests a second.
constexpr uint32_t maxFailuresPerSecond = 300; ///< Warnings and errors; separate, so that Info lines cannot use it up.
constexpr std::chrono::milliseconds stopTimeout{ 300 }; ///< Longest time that stopLog() waits for the queued lines.

/// @return node that every line names; set by startLog().
std::string &nodeName()
{
    static std::string name;
    return name;
}

Json::object makeLine(const std::string &event)
{
    const UtcTimeText time = formatUtcTime(std::chrono::system_clock::now());
    return { { "time", std::string_view(time.data(), time.size()) }, { "node", nodeName() }, { "event", event } };
}

Json::object makeLine(const std::string &event, const LogFields &fields)
{
    Json::object line = makeLine(event);
    for (const auto &[name, value] : fields) {
        line[name] = value;
    }
    return line;
}

/// Line to be written; an empty text tells the writer thread to stop.
struct QueuedLine
{
    LogLevel level_ = LogLevel::Info;
    std::string text_; ///< Serialized JSON, without a line end.
};

/// Counts the lines of the current second to enforce the rate limit.
struct LineRateLimit
{
    int64_t second_ = 0; ///< Second of the steady clock that the counts belong to.
    uint32_t lines_ = 0; ///< Lines of severity Info.
    uint32_t failures_ = 0; ///< Lines of a higher severity.
    uint64_t dropped_ = 0; ///< Dropped lines not yet reported in a "lines-left-out" line.
};

/// State shared with the writer thread; one instance in the process.
struct LogWriter
{
    tbb::concurrent_bounded_queue<QueuedLine> lines_; ///< Lines to write.
    std::mutex mutex_; ///< Guards rateLimit_ and ended_.
    std::condition_variable endedCondition_; ///< Notified when ended_ is set.
    LineRateLimit rateLimit_;
    std::atomic<bool> started_ = false; ///< Whether the writer thread has been started.
    bool ended_ = false; ///< Whether the writer thread has written its last line.
};

/// @return the writer. It is never destroyed, because its thread may be blocked by a reader that does not read.
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
    std::fflush(stdout); // text in stdio's buffer is lost if the process is killed
}

/// Writes @p line and all queued lines in batches. @return whether the thread was told to stop
bool writeQueuedLines(QueuedLine line)
{
    std::string batch;
    LogLevel level = LogLevel::Info;
    bool more = true;
    bool stopRequested = false;
    while (more) {
        stopRequested = stopRequested || line.text_.empty();
        level = std::max(level, line.level_);
        if (!line.text_.empty()) {
            batch += (batch.empty() ? "" : "\n") + line.text_;
        }
        if (batch.size() > maxBatchBytes) {
            writeText(level, batch);
            batch.clear();
            level = LogLevel::Info;
        }
        more = writer().lines_.try_pop(line);
    }
    if (!batch.empty()) {
        writeText(level, batch);
    }
    return stopRequested;
}

void runWriter()
{
    bool stopRequested = false;
    while (!stopRequested) {
        QueuedLine line;
        writer().lines_.pop(line);
        if (!line.text_.empty()) {
            std::this_thread::sleep_for(batchDelay);
        }
        stopRequested = writeQueuedLines(std::move(line));
    }
    const std::lock_guard lock(writer().mutex_);
    writer().ended_ = true;
    writer().endedCondition_.notify_all();
}

/**
 * Counts a line against the rate limit of the current second.
 * @param dropped set to the number of lines dropped since the last accepted one
 * @return whether the line may be written; if not, it is counted as dropped
 */
bool consumeLineQuota(LogLevel level, uint64_t &dropped)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    const std::lock_guard lock(writer().mutex_);
    LineRateLimit &rateLimit = writer().rateLimit_;
    if (rateLimit.second_ != second) {
        rateLimit = { second, 0, 0, rateLimit.dropped_ };
    }
    uint32_t &lineCount = level == LogLevel::Info ? rateLimit.lines_ : rateLimit.failures_;
    if (lineCount >= (level == LogLevel::Info ? maxLinesPerSecond : maxFailuresPerSecond)) {
        ++rateLimit.dropped_;
        return false;
    }
    ++lineCount;
    dropped = std::exchange(rateLimit.dropped_, 0);
    return true;
}

void enqueueLine(LogLevel level, const Json::object &line)
{
    if (!writer().started_) {
        std::cerr << Json::serialize(line) << '\n';
        return;
    }
    uint64_t dropped = 0;
    if (!consumeLineQuota(level, dropped)) {
        return;
    }
    if (dropped > 0) {
        Json::object notice = makeLine("lines-left-out");
        notice["lines"] = dropped;
        writer().lines_.try_push({ LogLevel::Warning, Json::serialize(notice) });
    }
    if (!writer().lines_.try_push({ level, Json::serialize(line) })) {
        const std::lock_guard lock(writer().mutex_);
        ++writer().rateLimit_.dropped_;
    }
}

bool isInfoLogged()
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
    writer().lines_.set_capacity(maxQueuedLines);
    writer().started_ = true;
    std::thread(runWriter).detach();
}

bool stopLog()
{
    writer().lines_.try_push({});
    std::unique_lock lock(writer().mutex_);
    return writer().endedCondition_.wait_for(lock, stopTimeout, [] { return writer().ended_; });
}

void logLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    if (static_cast<int>(level) < FLAGS_minloglevel) {
        return;
    }
    enqueueLine(level, makeLine(event, fields));
}

bool logLastLine(const std::string &event, const LogFields &fields)
{
    const bool queued = writer().lines_.try_push({ LogLevel::Error, Json::serialize(makeLine(event, fields)) });
    return stopLog() && queued;
}

void logDecision(const RoutingDecision &decision)
{
    if (!isInfoLogged()) {
        return;
    }
    Json::array candidates;
    for (const DecisionCandidate &candidate : decision.candidates_) {
        candidates.push_back(
            Json::object{ { "upstream", candidate.upstream_ }, { "expected_s", candidate.expected_.count() } });
    }
    Json::object line = makeLine("routing");
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
    enqueueLine(LogLevel::Info, line);
}

void logDecision(const PlacementDecision &decision)
{
    if (!isInfoLogged()) {
        return;
    }
    Json::object line = makeLine("placement");
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
    enqueueLine(LogLevel::Info, line);
}

} // namespace Burdockfield
