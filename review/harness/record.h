/**
 * @file record.h
 * @brief Record of what was sent, answered and run, written by several processes.
 */
#pragma once

#include "wire.h"

#include <string>
#include <vector>

namespace Review {

/// Line of a record.
struct RecordLine
{
    int64_t at_ = 0; ///< Milliseconds of the steady clock, the same in all processes of the machine.
    std::string who_; ///< Who wrote it.
    std::string event_; ///< What happened.
    std::string request_; ///< Id of the request.
    std::string rest_; ///< Details.
};

/// Opens the record that this process appends to.
void openRecord(const std::string &file);

/// Appends a line as of now.
void record(const std::string &who, const std::string &event, const std::string &request, const std::string &rest = {});

/// @return milliseconds of the steady clock.
int64_t nowMs();

/// @return all lines of a record, by time.
std::vector<RecordLine> readRecord(const std::string &file);

} // namespace Review
