/**
 * @file log_line_func.h
 * @brief Reads the lines of logs.
 */
#pragma once

#include <functional>
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

/**
 * Parses a line of a log. Text before the first brace is ignored.
 * @return whether the line is a JSON object with a time and an event
 */
bool parseLogLine(std::string_view text, LogLine &line);

/// @return a field of a line; empty if it has none with this name.
std::string findField(const LogLine &line, std::string_view name);

/**
 * Reads a log line by line and skips those that parseLogLine() rejects.
 * @param visit called with each line
 */
void visitLog(std::istream &stream, const std::function<void(LogLine line)> &visit);

/// Reads all lines of a log, as visitLog() does.
std::vector<LogLine> readLog(std::istream &stream);

} // namespace Burdockfield
