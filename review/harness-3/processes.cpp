/**
 * @file processes.cpp
 * @brief Processes of a case: gateways with settings like those of a small deployment, and runners.
 */
#include "processes.h"

#include "http_text.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Review {

namespace {

constexpr const char *program = "target/burdockfieldd"; ///< As the deploy file names it; cases run in the root folder.
constexpr Milliseconds readyInterval{ 50 };
constexpr int readyChecks = 200;

/// Runs in the new process until it becomes the program.
[[noreturn]] void becomeProgram(const std::vector<std::string> &words, const std::string &log)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case, whatever ends that
    const char *output = log.empty() ? "/dev/null" : log.c_str();
    const int file = open(output, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    std::vector<char *> arguments;
    for (const std::string &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

std::string settingsText(const GatewaySpec &spec)
{
    const std::string metrics = textOf(findFreeAddress(spec.front_.ip_));
    const std::string peer = textOf(findFreeAddress(spec.front_.ip_));
    return "role: gateway\nname: \"edge-norte-a-1\"\nregion: \"norte\"\nzone: \"norte-a\"\nlisten: \""
        + textOf(spec.front_) + "\"\nready: \"" + textOf(spec.ready_) + "\"\nmetrics: \"" + metrics + "\"\npeer: \""
        + peer + "\"\nplatform: \"" + spec.store_ + "\"\nseeds: [\"" + peer
        + "\"]\nzones:\n  \"norte-a\": \"norte\"\nfirst_start: true\nmemory: 110MiB\ndescriptors: 4100\n"
          "processor: 0.19\nbounds:\n  repeat_ratio: 0.2\n  repeat_slack: 58\n  quota_window: 8s\n"
          "  quota_overshoot: 0.1\n  quota_token_slack: 72000\n  configuration_delay: 2500ms\n"
          "  drain_delay: 2500ms\n  grace: 8s\n";
}

bool isReady(const GatewaySpec &spec)
{
    Connection connection = connectTo(spec.ready_);
    if (connection.socket_.descriptor_ < 0) {
        return false;
    }
    sendAll(connection, "GET /burdockfield/ready HTTP/1.1\r\nHost: " + textOf(spec.ready_) + "\r\n\r\n");
    const std::optional<Message> reply = readMessage(connection, Milliseconds(1000));
    return reply && wordOf(*reply, 1) == "200";
}

} // namespace

Process::Process(pid_t id)
    : id_(id)
{
}

Process::Process(Process &&other) noexcept
    : id_(std::exchange(other.id_, -1))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(id_, other.id_);
    return *this;
}

Process::~Process()
{
    endProcess(*this);
}

std::string makeFolder()
{
    std::array<char, 32> name{ "/tmp/burdockfield-case-XXXXXX" };
    return mkdtemp(name.data()) == nullptr ? std::string() : std::string(name.data());
}

Process startProgram(const std::vector<std::string> &words, const std::string &log)
{
    const pid_t id = fork();
    if (id == 0) {
        becomeProgram(words, log);
    }
    return Process(id);
}

void sendSignal(const Process &process, int signal)
{
    if (process.id_ > 0) {
        kill(process.id_, signal);
    }
}

void endProcess(Process &process)
{
    if (process.id_ > 0) {
        kill(process.id_, SIGKILL);
        while (waitpid(process.id_, nullptr, 0) < 0 && errno == EINTR) {
        }
        process.id_ = -1;
    }
}

Process startGateway(GatewaySpec &spec)
{
    spec.front_ = findFreeAddress(spec.front_.ip_);
    spec.ready_ = findFreeAddress(spec.front_.ip_);
    const std::string file = spec.folder_ + "/node.json";
    std::ofstream(file) << settingsText(spec);
    Process gateway = startProgram({ program, "--settings", file }, spec.folder_ + "/gateway.log");
    for (int check = 0; check < readyChecks; ++check) {
        if (isReady(spec)) {
            return gateway;
        }
        std::this_thread::sleep_for(readyInterval);
    }
    return {};
}

} // namespace Review
