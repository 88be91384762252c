/**
 * @file settings_type.h
 * @brief Settings of a daemon, which are read from a YAML file.
 */
#pragma once

#include "agent_base.h"
#include "gateway_base.h"
#include "http_server.h"
#include "policy_type.h"

#include <optional>
#include <string>
#include <system_error>

namespace Burdockfield {

/// Role of a daemon.
enum class Role : uint8_t {
    Gateway, ///< Forwards the requests of the platform's callers directly to upstreams.
    Entry, ///< Accepts callers' requests and schedules them on upstreams.
    Agent, ///< Manages the runs of the upstream on its VM.
};

/// Lowest severity of log lines that are written.
enum class LogLevel : uint8_t {
    Info, ///< All lines, including scheduling decisions.
    Warning, ///< Warnings and errors.
    Error, ///< Errors only.
};

/// Settings of a gateway.
struct GatewaySettings
{
    std::string readyAddress_; ///< IP:PORT of the readiness check for the load balancer.
    std::string peerAddress_; ///< IP:PORT for other gateways; the port has to be the same on all nodes.
    std::string metrics_; ///< IP:PORT of the metrics for operators.
    std::map<std::string, std::string> regionByZone_; ///< Region of each availability zone.
    bool firstStart_ = false; ///< Whether the whole system starts for the first time, so that no quota is used yet.
    size_t memoryBytes_ = 128U << 20U; ///< Memory that the process may use, in bytes.
    uint32_t descriptors_ = 0; ///< Descriptors that the process may open; 0 for the limit that the system tells.
    double processorShare_ = 1; ///< Cores that the process may use; those with more assign slots.
    Gateway::Bounds bounds_; ///< Bounds on retries, quotas and times.
};

/// Settings of one daemon. Members that the role does not use keep their defaults.
struct Settings
{
    Role role_ = Role::Entry; ///< Role of the daemon.
    NodeIdentity identity_; ///< Name, location and the address for peers.
    std::string listenAddress_; ///< IP:PORT for callers (gateway, entry) or for entries (agent).
    std::string controlAddress_; ///< IP:PORT for operators and peers; entry only.
    std::string platformAddress_; ///< IP:PORT of the platform's table service.
    std::vector<std::string> seeds_; ///< IP:PORT of nodes of the same role from which the list of peers can be fetched.
    LogLevel logLevel_ = LogLevel::Info; ///< Lowest severity that is logged.
    std::optional<uint64_t> seed_; ///< Seed of the random numbers; random if absent.
    size_t serverMemoryBytes_ = defaultServerMemory; ///< Memory that the process may use, in bytes (entry, agent).
    ServerLimits limits_; ///< Limits of callers' HTTP requests (entry).
    EntryPolicy entryPolicy_; ///< Scheduling policy (entry).
    AgentPolicy agentPolicy_; ///< Scheduling policy (agent).
    GatewaySettings gateway_; ///< Settings that only a gateway has.
    UpstreamSettings upstream_; ///< Upstream on the VM of the agent.
    std::string loadPath_ = "/load"; ///< Path at which the upstream reports its load (agent).
    Milliseconds upstreamSilenceTimeout_{ 30000 }; ///< Longest time without data on a model engine's stream (agent).
    Milliseconds serviceTimeout_{ 120000 }; ///< Longest duration of a call of a service (agent).
};

/// First error of a settings file.
struct SettingsError
{
    std::error_code error_; ///< A SettingsErrc, or success.
    std::string file_; ///< Name of the file.
    int line_ = 0; ///< Line, counted from 1; 0 if the error concerns the whole file.
    std::string key_; ///< Path of the setting, with dots between levels.
    std::string accepted_; ///< Description of the accepted values, for the message.
};

} // namespace Burdockfield
