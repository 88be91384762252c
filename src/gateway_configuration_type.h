/**
 * @file gateway_configuration_type.h
 * @brief Configuration of gateways: routes, services, workspaces and limits, as the operator wrote them.
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

/// How often a route's requests may run.
enum class CallKind : uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< May run at most once.
    Streaming, ///< Answered by a stream of events; runs at most once unless the route allows resuming.
};

/// Share of a route's requests that goes to one service.
struct RouteTarget
{
    std::string service_; ///< Name of the service.
    uint32_t weight_ = 1; ///< Weight relative to the other targets of the route.
};

/// Route from a host and a path prefix to services.
struct Route
{
    std::string name_; ///< Shown in log lines and metrics.
    std::string host_; ///< Requested host that it applies to.
    std::string pathPrefix_; ///< Prefix of paths, with a slash at both ends.
    CallKind kind_ = CallKind::NonIdempotent; ///< How often its requests may run.
    Milliseconds timeout_{ 0 }; ///< Longest time to a final answer.
    Milliseconds latencyTarget_{ 0 }; ///< Target response time; an answer within it earns its full credit.
    Milliseconds gapTarget_{ 0 }; ///< Longest time between two events of a stream that counts as on time.
    uint32_t rank_ = 0; ///< Urgency, 0 the most urgent.
    uint32_t attempts_ = 1; ///< Most upstreams that one request may be sent to.
    bool anonymous_ = false; ///< Whether requests need no key.
    bool resumable_ = false; ///< Whether a stream may resume at another upstream.
    std::vector<RouteTarget> targets_; ///< Services that share its requests by weight.
};

/// Service that routes lead to.
struct Service
{
    std::string name_; ///< Referred to by routes and upstreams.
    uint32_t connectionLimit_ = 0; ///< Connections that an upstream accepts from all gateways together; 0 if unknown.
    bool modelEngine_ = false; ///< Whether its upstreams are model engines.
    uint64_t kvCapacityTokens_ = 0; ///< Tokens of requests that an engine's memory holds; 0 if there is no limit.
};

/// Workspace with its keys and its quota.
struct WorkspaceRule
{
    std::string name_; ///< Identifies the workspace to upstreams and peers.
    std::vector<std::string> keys_; ///< API keys of its callers.
    std::optional<uint32_t> rank_; ///< Urgency of its requests, in place of the route's.
    double ratePerSecond_ = 0; ///< Quota in units per second; 0 for no quota.
    double burst_ = 0; ///< Units allowed at once in addition to the rate.
    bool countsTokens_ = false; ///< Whether a unit is a token; else it is a request.
    uint32_t defaultTokens_ = 0; ///< Tokens charged for a request that gives no token count.
};

/// Limits on callers' requests and connections.
struct CallerLimits
{
    size_t headerBytes_ = 16U << 10U; ///< Longest header.
    size_t bodyBytes_ = 4U << 20U; ///< Longest body.
    Milliseconds headerTimeout_{ 3000 }; ///< Longest time for a header to be received.
    Milliseconds idleTimeout_{ 15000 }; ///< Time after which an unused connection is closed.
};

/// Whole configuration, with indexes that indexConfiguration() fills.
struct Configuration
{
    uint64_t version_ = 0; ///< Rises with each change; 0 while no configuration is known.
    std::vector<Route> routes_; ///< In the operator's order, which decides between prefixes of equal length.
    std::vector<Service> services_; ///< Services that routes lead to.
    std::vector<WorkspaceRule> workspaces_; ///< Workspaces; if there are none, no route needs a key.
    CallerLimits limits_; ///< Limits on callers.

    std::unordered_map<std::string, std::vector<size_t>> routesByHost_; ///< Routes of a host, longest prefix first.
    std::unordered_map<std::string, size_t> workspaceByKey_; ///< Index into workspaces_ by API key.
    std::unordered_map<std::string, size_t> workspaceByName_; ///< Index into workspaces_ by name.
    std::unordered_map<std::string, size_t> serviceByName_; ///< Index into services_ by name.
    std::unordered_map<std::string, uint32_t> mostUrgentRankByService_; ///< Lowest rank of the routes to a service.
};

/// Fills the indexes of a configuration from its lists.
void indexConfiguration(Configuration &configuration);

/// @return the route of @p host with the longest prefix of @p path, or nullptr.
const Route *findRoute(const Configuration &configuration, const std::string &host, const std::string &path);

/// @return the workspace that holds the API key @p key, or nullptr.
const WorkspaceRule *findWorkspaceByKey(const Configuration &configuration, const std::string &key);

/// @return the workspace with that name, or nullptr.
const WorkspaceRule *findWorkspaceByName(const Configuration &configuration, const std::string &name);

/// @return the service with that name, or nullptr.
const Service *findService(const Configuration &configuration, const std::string &name);

} // namespace Burdockfield::Gateway
