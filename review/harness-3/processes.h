/**
 * @file processes.h
 * @brief Processes of a case: gateways with settings like those of a small deployment, and runners.
 */
#pragma once

#include "socket_io.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

/// Process that a case has started; it is killed at the end.
struct Process
{
    Process() = default;
    explicit Process(pid_t id);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    pid_t id_ = -1;
};

/// Addresses and settings file of a gateway.
struct GatewaySpec
{
    std::string folder_; ///< Folder for its settings and its log.
    std::string store_; ///< IP:PORT of the store.
    Address front_; ///< Where clients connect.
    Address ready_; ///< Where the platform asks whether it is ready.
};

/// @return a temporary folder, which the caller removes.
std::string makeFolder();

/// Starts a program. @param log file for its output; empty for none
Process startProgram(const std::vector<std::string> &words, const std::string &log);

void sendSignal(const Process &process, int signal);

/// Kills a process and waits for its end.
void endProcess(Process &process);

/// Writes the settings of the deploy file's template for one gateway and starts it with the deploy file's command.
/// @return the process; its id is -1 if it was not ready in time
Process startGateway(GatewaySpec &spec);

} // namespace Review
