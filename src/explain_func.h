/**
 * @file explain_func.h
 * @brief Finds the cause of a request's outcome in the logs of several processes.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockfield {

/// Parsed line of a log.
struct LogLine
{
    std::string time_; ///< UTC in ISO 8601 format, so that text order is order of time.
    std::string node_; ///< Node that wrote the line.
    std::string event_; ///< What happened, a fixed name.
    std::vector<std::pair<std::string, std::string>> fields_; ///< Other members, in the order of the line.
};

/// Log lines that explain the outcome of a request.
struct Explanation
{
    std::vector<LogLine> lines_; ///< Lines with the id of the request, sorted by time.
    std::vector<LogLine> relatedLines_; ///< Last events at its nodes and upstreams before its end, sorted by time.
    std::string cause_; ///< Why the request ended as it did; empty if no line has its id.
};

/**
 * Parses a line of a log. Text before the first brace is ignored.
 * @return whether the line is a JSON object with a time and an event
 */
bool parseLogLine(std::string_view text, LogLine &line);

/// Explains a request. @param lines lines of all logs, in any order
Explanation explainRequest(const std::string &request, const std::vector<LogLine> &lines);

/// Reads the lines of a log and skips those that parseLogLine() rejects.
std::vector<LogLine> readLog(std::istream &stream);

/// @return text for a terminal: the lines of the request, the related lines and the cause.
std::string formatExplanation(const Explanation &explanation);

} // namespace Burdockfield
