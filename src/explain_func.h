/**
 * @file explain_func.h
 * @brief Merges the log lines of several processes that concern one request, and tells why it ended as it did.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockfield {

/// Line of a log.
struct ExplainedLine
{
    std::string time_; ///< UTC as of ISO 8601.
    std::string node_; ///< Node that wrote it.
    std::string event_; ///< What happened.
    std::vector<std::pair<std::string, std::string>> fields_; ///< Further members, in order.
};

/// Log lines about a request, and about what it met on its way.
struct Explanation
{
    std::vector<ExplainedLine> lines_; ///< Lines that name the request, by time.
    std::vector<ExplainedLine> around_; ///< Changes at its nodes and upstreams shortly before its end, by time.
    std::string cause_; ///< Why it ended as it did; empty when no line names the request.
};

/**
 * Parses a line of a log; text before the first brace is left out.
 * @return whether it is a line of this project's log
 */
bool parseLogLine(std::string_view text, ExplainedLine &line);

/// Explains a request by the lines of all logs, in any order.
Explanation explainRequest(const std::string &request, const std::vector<ExplainedLine> &lines);

/// Reads the lines of a log. Lines that are not this project's are left out.
std::vector<ExplainedLine> readLog(std::istream &stream);

/// @return the explanation as text for a terminal.
std::string describe(const Explanation &explanation);

} // namespace Burdockfield
