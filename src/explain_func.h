/**
 * @file explain_func.h
 * @brief Finds the cause of a request's outcome in the logs of several processes.
 */
#pragma once

#include "log_line_func.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Log lines that explain the outcome of a request.
struct Explanation
{
    std::vector<LogLine> lines_; ///< Lines with the id of the request, sorted by time.
    std::vector<LogLine> relatedLines_; ///< Last events at its nodes and upstreams before its end, sorted by time.
    std::string cause_; ///< Why the request ended as it did; empty if no line has its id.
};

/// Explains a request. @param lines lines of all logs, in any order
Explanation explainRequest(const std::string &request, const std::vector<LogLine> &lines);

/// @return text for a terminal: the lines of the request, the related lines and the cause.
std::string formatExplanation(const Explanation &explanation);

} // namespace Burdockfield
