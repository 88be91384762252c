/**
 * @file process_usage_func.h
 * @brief Memory, processor time and descriptors of a running process, see proc(5).
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>
#include <sys/types.h>

namespace Burdockfield::Testing {

/// @param field name in the status file, with its colon, such as "VmRSS:"
/// @return the field in bytes, or 0 if the process has ended
size_t readMemoryField(pid_t process, std::string_view field);

/// @return the peak of the resident memory in bytes, or 0 if the process has ended.
size_t readPeakMemory(pid_t process);

/// @return the processor time used so far, or 0 if the process has ended.
std::chrono::duration<double> readProcessorTime(pid_t process);

/// @return the number of open descriptors, or 0 if the process has ended.
size_t countDescriptors(pid_t process);

} // namespace Burdockfield::Testing
