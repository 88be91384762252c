/**
 * @file settings_type.h
 * @brief Settings of one process.
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

/// What a daemon does.
enum class Role : uint8_t {
    Gateway, ///< Takes the platform's callers straight to upstreams.
    Entry, ///< Takes callers' requests.
    Agent, ///< Owns the runs of the upstream beside it.
};

/// Least severe log line that is written.
enum class LogLevel : uint8_t {
    Info, ///< Everything.
    Warning, ///< No decisions.
    Error, ///< Failures only.
};

/// Settings of a gateway.
struct GatewaySettings
{
    std::string readyAddress_; ///< IP:PORT at which the balancer asks.
    std::string peerAddress_; ///< IP:PORT for other gateways, the same port on all nodes.
    std::string metrics_; ///< IP:PORT for operators.
    std::map<std::string, std::string> regionByZone_; ///< Regions of all availability zones.
    bool firstStart_ = false; ///< Whether the whole system starts for the first time.
    size_t memoryBytes_ = 128U << 20U; ///< Memory of the process.
    Gateway::Bounds bounds_; ///< Figures that decisions use.
};

/// Settings of one process.
struct Settings
{
    Role role_ = Role::Entry; ///< What it does.
    NodeIdentity identity_; ///< Where it stands; its address is that for peers.
    std::string listenAddress_; ///< IP:PORT for callers (entry) or for entries (agent).
    std::string controlAddress_; ///< IP:PORT for operators and peers; entry only.
    std::string platformAddress_; ///< IP:PORT of the platform's store.
    std::vector<std::string> seeds_; ///< IP:PORT of nodes of the same role that may be asked for others.
    LogLevel logLevel_ = LogLevel::Info; ///< Least severe log line.
    std::optional<uint64_t> seed_; ///< Seed of random numbers; drawn when absent.
    ServerLimits limits_; ///< Bounds on callers' requests.
    EntryPolicy entryPolicy_; ///< Policy of an entry.
    AgentPolicy agentPolicy_; ///< Policy of an agent.
    GatewaySettings gateway_; ///< Further settings of a gateway.
    UpstreamSettings upstream_; ///< Upstream beside an agent.
    std::string loadPath_ = "/load"; ///< Path by which the upstream tells of itself.
    Milliseconds upstreamSilenceTimeout_{ 30000 }; ///< Longest silence of an engine's stream.
    Milliseconds serviceTimeout_{ 120000 }; ///< Longest call of a plain service.
};

/// Why a settings file was refused.
struct SettingsError
{
    std::error_code error_; ///< A SettingsErrc, or success.
    std::string file_; ///< File.
    int line_ = 0; ///< Line, counted from 1; 0 when it is the whole file.
    std::string key_; ///< Setting, with dots between levels.
    std::string accepted_; ///< What is accepted.
};

} // namespace Burdockfield
