/**
 * @file record.h
 * @brief Record of a case: what was sent, answered and run, with the time since its start.
 */
#pragma once

#include "socket_io.h"

#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/// File that gets a line for each thing that a client, a server or the platform has seen.
struct Record
{
    explicit Record(const std::string &file);

    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

void note(Record &record, const std::string &line);

/// @return bytes with control characters shown, cut after @p most of them.
std::string shown(const std::string &bytes, size_t most = 160);

} // namespace Review
