/**
 * @file soak_parts_func.h
 * @brief Parts of a soak: its shared state, its callers and its faults.
 */
#pragma once

#include "soak_fixture.h"

#include <array>
#include <atomic>
#include <map>
#include <random>
#include <thread>

namespace Burdockfield::Testing {

constexpr Milliseconds callerWait{ 4000 }; ///< How long callers wait.
constexpr Milliseconds shortestIdleTimeout{ 500 }; ///< Least idle timeout that the soak configures.
constexpr Milliseconds longestIdleTimeout{ 1500 }; ///< Greatest idle timeout that the soak configures.
constexpr Milliseconds headerTimeout{ 10000 }; ///< Header timeout that the soak configures.

/// Instance that runs at the address of an upstream.
struct SoakInstance
{
    std::string name_; ///< Its id.
    uint64_t starts_ = 0; ///< How often the upstream has been replaced.
};

/// State that the callers and the schedule share.
struct Soak
{
    SoakSpec spec_; ///< What it consists of.
    Fleet fleet_; ///< The fleet.
    std::mt19937_64 random_; ///< Source of the schedule.
    std::mutex mutex_; ///< Guards report_.
    SoakReport report_; ///< Outcome.
    std::atomic<bool> ended_ = false; ///< Whether callers stop.
    std::atomic<uint64_t> key_ = 1; ///< Number of the key in force.
    std::vector<std::atomic<uint64_t>> stops_; ///< Of each gateway: grows when it is told to end and when it has ended.
    std::vector<TimePoint> started_; ///< When each gateway was started.
    uint64_t version_ = 1; ///< Version of the configuration.
    Gateway::CallerLimits limits_; ///< Limits of the configuration.
    uint64_t memoryMib_ = 0; ///< Memory of each gateway in MiB.
    uint32_t unusedRoutes_ = 0; ///< Routes of the configuration that only make it larger.
    std::map<std::string, SoakInstance> instances_; ///< Instances at the addresses of upstreams that were replaced.
    std::vector<SoakDisturbance> disturbances_; ///< Faults besides replacements, where upstreams are replaced.
    std::map<std::string, TimePoint> endedInstances_; ///< Ended instances that are still listed, until when.
};

/// @return the API key with a number.
std::string keyName(uint64_t number);

/// @return the API key that callers use. With answer faults the first one stays, as it is known without the store.
std::string callerKey(const Soak &soak);

/// Makes calls without pause, on a connection that is kept for as long as the gateway does, until the soak ends.
void runCaller(Soak &soak, uint32_t index);

/// Runs the connections to a gateway that idle and those that send requests slowly, until the soak ends.
void runQuietCallers(Soak &soak, uint32_t gateway);

/// Adds a line to the report's faults.
void noteFault(Soak &soak, const std::string &fault);

/// Replaces an upstream by another instance at its address. The row of the earlier one stays for a time, and is seldom
/// written again after the first row of the new one.
void replaceUpstream(Soak &soak);

/// Replaces upstreams, or causes another fault meanwhile.
void strikeReplacing(Soak &soak);

/// Lets the upstreams that were replaced run under their own names again.
void restoreUpstreams(Soak &soak);

/// Draws a fault and causes it.
void strike(Soak &soak);

/// Kills an upstream and starts it again, or draws how it handles requests.
void strikeUpstream(Soak &soak);

/// Spoils the link before an upstream, or between a gateway and the store.
void strikeLink(Soak &soak);

/// Draws how the store answers.
void strikeStore(Soak &soak);

/// Asks a gateway to stop. @return whether it had begun to listen
bool beginStop(Soak &soak, uint32_t gateway);

/// Waits for the end of a planned stop, and starts the gateway again. @param listening what beginStop() returned
void endStop(Soak &soak, uint32_t gateway, bool listening);

/// Starts a gateway that has ended.
void startAgain(Soak &soak, uint32_t gateway);

/// Ends the faults of the store, the links and the upstreams' modes.
void mendAll(Soak &soak);

/// Ends all faults.
void heal(Soak &soak);

/// Reports gateways whose resident memory has exceeded their setting.
void checkMemory(Soak &soak);

/// Reports processes that have ended without being told to, and starts them again.
void checkRunning(Soak &soak);

/// Reports lines in the processes' logs about an end by an exception or a signal, or of a sanitizer.
void checkLogs(Soak &soak);

} // namespace Burdockfield::Testing
