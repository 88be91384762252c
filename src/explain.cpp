/**
 * @file explain.cpp
 * @brief Finds the cause of a request's outcome in the logs of several processes.
 */
#include "explain_func.h"

#include "table/explain_names.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace Burdockfield {

namespace {

constexpr size_t maxRelatedLines = 20; ///< Only the latest before the end of the request are shown.
constexpr std::string_view extraAnswerEvent = "extra-answer"; ///< Event of an answer that no call was waiting for.
constexpr size_t dateTimeLength = 19; ///< Of YYYY-MM-DDThh:mm:ss; the last 8 characters are the time of day.

bool isEarlier(const LogLine &left, const LogLine &right)
{
    return left.time_ < right.time_;
}

std::string expandPattern(std::string_view pattern, const LogLine &line)
{
    std::string text;
    size_t at = 0;
    while (at < pattern.size()) {
        const size_t open = pattern.find('{', at);
        const size_t close = open == std::string_view::npos ? open : pattern.find('}', open);
        if (close == std::string_view::npos) {
            text += pattern.substr(at);
            break;
        }
        text += pattern.substr(at, open - at);
        text += findField(line, pattern.substr(open + 1, close - open - 1));
        at = close + 1;
    }
    return text;
}

/// @return whether @p line is about the attempt whose answer was passed on in the line @p end.
bool isFinalAttempt(const LogLine &line, const LogLine &end)
{
    return end.event_ == "answered" && findField(line, "attempt") == findField(end, "attempts");
}

/// @return the last failed send or silent upstream, other than the final attempt; nullptr if none.
const LogLine *findLastFailure(const std::vector<LogLine> &lines)
{
    const auto failed = [&lines](const LogLine &line) {
        return line.event_ == "upstream-silent"
            || (line.event_ == "send-failed" && !isFinalAttempt(line, lines.back()));
    };
    const auto found = std::find_if(lines.rbegin(), lines.rend(), failed);
    return found == lines.rend() ? nullptr : &*found;
}

std::string determineCause(const std::vector<LogLine> &lines)
{
    const LogLine &last = lines.back();
    const std::string reason = findField(last, last.event_ == "answered" ? "outcome" : "reason");
    std::string cause = "the request is still in progress, or its last log line is missing";
    for (const CausePattern &pattern : causePatterns) {
        if (pattern.event_ == last.event_ && pattern.reason_ == reason) {
            cause = expandPattern(pattern.text_, last);
            break;
        }
    }
    if (const LogLine *failure = findLastFailure(lines); failure != nullptr) {
        cause += expandPattern(failure->event_ == "send-failed" ? sendFailedPattern : upstreamSilentPattern, *failure);
    }
    return cause;
}

/// @return whether the line is about an answer that was dropped and bears the id of the request, or came beside its
/// own.
bool isExtraAnswerOf(const LogLine &line, const std::string &request)
{
    return line.event_ == extraAnswerEvent
        && (findField(line, "request") == request || findField(line, "received") == request);
}

/**
 * Finds events that are not about a single request but may have affected this one.
 * @return whether the line was written by the end of the request and names one of its upstreams or, if it names no
 * upstream, comes from one of its nodes
 */
bool isRelated(const LogLine &line, const std::set<std::string> &nodes, const std::set<std::string> &upstreams,
    const std::string &until)
{
    if (!findField(line, "request").empty() || line.time_ > until) {
        return false;
    }
    const std::string upstream = findField(line, "upstream");
    return upstream.empty() ? nodes.contains(line.node_) : upstreams.contains(upstream);
}

} // namespace

Explanation explainRequest(const std::string &request, const std::vector<LogLine> &lines)
{
    Explanation explanation;
    std::set<std::string> nodes;
    std::set<std::string> upstreams;
    for (const LogLine &line : lines) {
        if (findField(line, "request") == request && line.event_ != extraAnswerEvent) {
            explanation.lines_.push_back(line);
            nodes.insert(line.node_);
            upstreams.insert(findField(line, "upstream"));
        }
    }
    if (explanation.lines_.empty()) {
        return explanation;
    }
    std::stable_sort(explanation.lines_.begin(), explanation.lines_.end(), isEarlier);
    explanation.cause_ = determineCause(explanation.lines_);
    const std::string until = explanation.lines_.back().time_;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(explanation.relatedLines_),
        [&](const LogLine &line) { return isRelated(line, nodes, upstreams, until); });
    std::stable_sort(explanation.relatedLines_.begin(), explanation.relatedLines_.end(), isEarlier);
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(explanation.lines_),
        [&request](const LogLine &line) { return isExtraAnswerOf(line, request); });
    std::stable_sort(explanation.lines_.begin(), explanation.lines_.end(), isEarlier);
    if (explanation.relatedLines_.size() > maxRelatedLines) {
        explanation.relatedLines_.erase(
            explanation.relatedLines_.begin(), explanation.relatedLines_.end() - maxRelatedLines);
    }
    return explanation;
}

std::string formatExplanation(const Explanation &explanation)
{
    std::ostringstream text;
    const auto write = [&text](const LogLine &line) {
        text << "  " << line.time_.substr(std::min(line.time_.size(), dateTimeLength - 8)) << "  " << line.node_ << "  "
             << line.event_;
        for (const auto &[name, value] : line.fields_) {
            text << ' ' << name << '=' << value;
        }
        text << '\n';
    };
    text << "log lines of the request:\n";
    std::for_each(explanation.lines_.begin(), explanation.lines_.end(), write);
    text << "events at its nodes and upstreams before its end:\n";
    std::for_each(explanation.relatedLines_.begin(), explanation.relatedLines_.end(), write);
    text << "cause: " << explanation.cause_ << '\n';
    return text.str();
}

} // namespace Burdockfield
