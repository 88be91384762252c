/**
 * @file record.cpp
 * @brief Record of a case: what was sent, answered and run, with the time since its start.
 */
#include "record.h"

#include <iostream>

namespace Review {

Record::Record(const std::string &file)
    : file_(file)
{
}

void note(Record &record, const std::string &line)
{
    const std::lock_guard lock(record.mutex_);
    const auto time = std::chrono::duration_cast<Milliseconds>(Clock::now() - record.start_);
    record.file_ << time.count() << " ms: " << line << std::endl;
    std::cout << time.count() << " ms: " << line << std::endl;
}

std::string shown(const std::string &bytes, size_t most)
{
    std::string text;
    for (const char character : bytes.substr(0, most)) {
        if (character == '\r') {
            text += "\\r";
        } else if (character == '\n') {
            text += "\\n";
        } else {
            text += character;
        }
    }
    return bytes.size() > most ? text + "... (" + std::to_string(bytes.size()) + " bytes)" : text;
}

} // namespace Review
