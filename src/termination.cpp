/**
 * @file termination.cpp
 * @brief Log lines of a process that ends unintentionally.
 */
#include "termination_func.h"

#include "exception_func.h"
#include "json_func.h"
#include "log_func.h"
#include "utc_time_func.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <poll.h>
#include <string_view>
#include <unistd.h>

namespace Burdockfield {

namespace {

constexpr std::array faultSignals{ SIGSEGV, SIGBUS, SIGFPE, SIGILL };
constexpr size_t maxLineBytes = 512; ///< Longest line that the signal handler writes.

/// Line of a signal after its time, made in advance, since a signal handler must not allocate.
struct FaultLine
{
    std::array<char, maxLineBytes> text_{};
    size_t length_ = 0;
};

std::array<FaultLine, faultSignals.size()> &faultLines()
{
    static std::array<FaultLine, faultSignals.size()> lines;
    return lines;
}

/// Logs the exception that ends the process.
[[noreturn]] void endByException()
{
    const ExceptionText text = describeException(std::current_exception());
    logLastLine("ended-by-exception", { { "type", text.type_ }, { "error", text.error_ } });
    std::abort();
}

/// Writes the line of a fault unless that would block, then lets the signal end the process.
void endBySignal(int signal)
{
    const auto found = std::find(faultSignals.begin(), faultSignals.end(), signal);
    const FaultLine &line = faultLines()[static_cast<size_t>(found - faultSignals.begin())];
    constexpr std::string_view start = "{\"time\":\"";
    const UtcTimeText time = formatUtcTime(std::chrono::system_clock::now());
    std::array<char, start.size() + std::tuple_size_v<UtcTimeText> + maxLineBytes> text{};
    char *end = std::copy(start.begin(), start.end(), text.begin());
    end = std::copy(time.begin(), time.end(), end);
    end = std::copy_n(line.text_.begin(), line.length_, end);
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
        // A failed write cannot be reported from here.
        [[maybe_unused]] const ssize_t written
            = write(STDOUT_FILENO, text.data(), static_cast<size_t>(end - text.data()));
    }
    raise(signal); // the default action, since SA_RESETHAND has removed this handler
}

FaultLine makeFaultLine(const std::string &node, int signal)
{
    const std::string text = "\",\"node\":" + Json::serialize(Json::string(node))
        + R"(,"event":"ended-by-signal","signal":")" + std::to_string(signal) + "\"}\n";
    FaultLine line;
    line.length_ = std::min(text.size(), maxLineBytes);
    std::copy_n(text.begin(), line.length_, line.text_.begin());
    return line;
}

} // namespace

void installTerminationHandlers(const std::string &node)
{
    std::set_terminate(endByException);

    struct sigaction action
    {
    };

    action.sa_handler = endBySignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    for (size_t index = 0; index < faultSignals.size(); ++index) {
        faultLines()[index] = makeFaultLine(node, faultSignals[index]);
        sigaction(faultSignals[index], &action, nullptr);
    }
}

} // namespace Burdockfield
