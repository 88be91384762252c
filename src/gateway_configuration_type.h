/**
 * @file gateway_configuration_type.h
 * @brief Configuration that an operator has put in force for gateways.
 */
#pragma once

#include "time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Burdockfield::Gateway {

/// What may be repeated of a route's requests.
enum class CallKind : uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< May run at most once.
    Streaming, ///< Answered by a stream of events; at most once unless the route allows resuming.
};

/// Share of a route's requests that goes to one service.
struct RouteTarget
{
    std::string service_; ///< Name of the service.
    uint32_t weight_ = 1; ///< Weight among the targets of the route.
};

/// Route from a host and a path prefix to services.
struct Route
{
    std::string name_; ///< Name.
    std::string host_; ///< Host that it belongs to.
    std::string pathPrefix_; ///< Prefix of paths, with a slash at both ends.
    CallKind kind_ = CallKind::NonIdempotent; ///< What may be repeated.
    Milliseconds timeout_{ 0 }; ///< Longest time to a final answer.
    Milliseconds latencyTarget_{ 0 }; ///< Time within which an answer earns its full credit.
    Milliseconds gapTarget_{ 0 }; ///< Longest pause between events of a stream that is on time.
    uint32_t rank_ = 0; ///< Urgency, 0 first.
    uint32_t attempts_ = 1; ///< Upstreams that one request may be sent to.
    bool anonymous_ = false; ///< Whether requests need no key.
    bool resumable_ = false; ///< Whether a stream may go on at another upstream.
    std::vector<RouteTarget> targets_; ///< Services.
};

/// Service that routes lead to.
struct Service
{
    std::string name_; ///< Name.
    uint32_t connectionLimit_ = 0; ///< Connections an upstream takes from all gateways together; 0 if not told.
    bool modelEngine_ = false; ///< Whether its upstreams are model engines.
};

/// Workspace with its keys and its quota.
struct WorkspaceRule
{
    std::string name_; ///< Name.
    std::vector<std::string> keys_; ///< Keys of its callers.
    std::optional<uint32_t> rank_; ///< Urgency of its requests, in place of the route's.
    double ratePerSecond_ = 0; ///< Quota in units per second; 0 for none.
    double burst_ = 0; ///< Units beyond the rate.
    bool countsTokens_ = false; ///< Whether a unit is a token; else it is a request.
    uint32_t defaultTokens_ = 0; ///< Tokens that a request without a token count is charged.
};

/// Bounds on what callers may send.
struct CallerLimits
{
    size_t headerBytes_ = 16U << 10U; ///< Longest header.
    size_t bodyBytes_ = 4U << 20U; ///< Longest body.
    Milliseconds headerTimeout_{ 3000 }; ///< Longest time for a header to come in.
    Milliseconds idleTimeout_{ 15000 }; ///< Longest time that a connection may stay unused.
};

/// Whole configuration.
struct Configuration
{
    uint64_t version_ = 0; ///< Rises with each change; 0 when nothing is known yet.
    std::vector<Route> routes_; ///< Routes.
    std::vector<Service> services_; ///< Services.
    std::vector<WorkspaceRule> workspaces_; ///< Workspaces.
    CallerLimits limits_; ///< Bounds on callers.

    std::unordered_map<std::string, std::vector<size_t>> routesByHost_; ///< Routes of a host, longest prefix first.
    std::unordered_map<std::string, size_t> workspaceByKey_; ///< Workspace of a key.
    std::unordered_map<std::string, size_t> workspaceByName_; ///< Workspace of a name.
    std::unordered_map<std::string, size_t> serviceByName_; ///< Service of a name.
    std::unordered_map<std::string, uint32_t>
        mostUrgentRankByService_; ///< Most urgent rank of the routes to a service.
};

/// Fills the indexes of a configuration from its lists.
void indexConfiguration(Configuration &configuration);

/// @return the route of @p host with the longest prefix of @p path, or nullptr.
const Route *findRoute(const Configuration &configuration, const std::string &host, const std::string &path);

/// @return the workspace that holds @p key, or nullptr.
const WorkspaceRule *findWorkspace(const Configuration &configuration, const std::string &key);

/// @return the workspace of that name, or nullptr.
const WorkspaceRule *findWorkspaceByName(const Configuration &configuration, const std::string &name);

/// @return the service of that name, or nullptr.
const Service *findService(const Configuration &configuration, const std::string &name);

} // namespace Burdockfield::Gateway
