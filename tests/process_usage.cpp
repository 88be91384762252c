/**
 * @file process_usage.cpp
 * @brief Memory, processor time and descriptors of a running process.
 */
#include "process_usage_func.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace Burdockfield::Testing {

namespace {

std::string processFolder(pid_t process)
{
    return "/proc/" + std::to_string(process);
}

} // namespace

size_t readMemoryField(pid_t process, std::string_view field)
{
    std::ifstream status(processFolder(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) << 10U; // the file has KiB
        }
    }
    return 0;
}

size_t readPeakMemory(pid_t process)
{
    return readMemoryField(process, "VmHWM:");
}

std::chrono::duration<double> readProcessorTime(pid_t process)
{
    std::ifstream stat(processFolder(process) + "/stat");
    std::string text;
    std::getline(stat, text);
    const size_t name = text.rfind(')'); // which may contain blanks
    if (name == std::string::npos) {
        return {};
    }
    std::istringstream fields(text.substr(name + 1));
    std::string skipped;
    for (int field = 3; field < 14; ++field) { // the 14th and the next one are the times, in ticks
        fields >> skipped;
    }
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    return std::chrono::duration<double>((user + kernel) / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

size_t countDescriptors(pid_t process)
{
    std::error_code error;
    size_t descriptors = 0;
    for (std::filesystem::directory_iterator item(processFolder(process) + "/fd", error), end; !error && item != end;
         item.increment(error)) {
        ++descriptors;
    }
    return descriptors;
}

} // namespace Burdockfield::Testing
