/**
 * @file record.cpp
 * @brief Record of what was sent, answered and run, written by several processes.
 */
#include "record.h"

#include <algorithm>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Review {

namespace {

int recordDescriptor = -1;

} // namespace

void openRecord(const std::string &file)
{
    recordDescriptor = open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
}

void record(const std::string &who, const std::string &event, const std::string &request, const std::string &rest)
{
    const std::string line = std::to_string(nowMs()) + " " + who + " " + event + " " + (request.empty() ? "-" : request)
        + (rest.empty() ? "" : " " + rest) + "\n";
    // One write for each line, so that the lines of several processes don't mix.
    if (write(recordDescriptor, line.data(), line.size()) < 0) {
        return;
    }
}

int64_t nowMs()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
}

std::vector<RecordLine> readRecord(const std::string &file)
{
    std::vector<RecordLine> lines;
    std::ifstream input(file);
    for (std::string text; std::getline(input, text);) {
        std::istringstream words(text);
        RecordLine line;
        words >> line.at_ >> line.who_ >> line.event_ >> line.request_;
        std::getline(words >> std::ws, line.rest_);
        lines.push_back(std::move(line));
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const auto &left, const auto &right) { return left.at_ < right.at_; });
    return lines;
}

} // namespace Review
