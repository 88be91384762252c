/**
 * @file where_type.h
 * @brief Report of where a gateway would send a request, and why.
 */
#pragma once

#include "gateway_placement_func.h"

#include <optional>
#include <string>
#include <vector>

namespace Burdockfield::Gateway {

/// Request that a report is about. It has neither key nor body.
struct WhereQuery
{
    std::string host_; ///< Requested host.
    std::string path_; ///< Path without query.
    std::string workspace_; ///< Name of the workspace; empty for none.
    std::optional<uint64_t> promptTokens_; ///< Tokens of the prompt.
    std::optional<uint64_t> tokens_; ///< Tokens that the quota is charged with.
};

/// Upstream as a gateway sees it.
struct WhereCandidate
{
    std::string id_; ///< Id of the upstream.
    std::string zone_; ///< Availability zone.
    uint32_t inFlight_ = 0; ///< Calls there, as this gateway counts them.
    uint32_t slots_ = 1; ///< Requests that it runs at once.
    bool available_ = false; ///< See isAvailable().
    bool candidate_ = false; ///< See isCandidate().
    UpstreamCost cost_; ///< What it costs the request.
    std::optional<Milliseconds> failureAge_; ///< Time since an outcome of a call there was recorded, if any was.
    std::optional<Milliseconds> loadAge_; ///< Time since it reported its load, if it has.
    std::optional<Milliseconds> backlogAge_; ///< Time since a prompt was placed there, if any was.
};

/// Service that a route sends a share of its requests to.
struct WhereTarget
{
    std::string service_; ///< Name of the service.
    uint32_t weight_ = 1; ///< Share of the requests, relative to the other targets.
    size_t waitingAhead_ = 0; ///< Calls that wait here and go first.
    std::optional<Milliseconds> forecastWait_; ///< Time until a slot is free if none is now; empty without a forecast.
    bool refusedByForecast_ = false; ///< Whether the request is refused at once if no slot is free.
    std::vector<WhereCandidate> upstreams_; ///< Upstreams of the service, those with the lowest cost first.
    size_t omitted_ = 0; ///< Upstreams left out, as there are too many.
    std::string choice_; ///< Id of the upstream that this gateway would choose; empty if none has a free slot.
};

/// Where a gateway would send a request at this moment.
struct WhereReport
{
    std::string gateway_; ///< Name of the gateway.
    uint64_t configuration_ = 0; ///< Version of the configuration in force.
    std::string route_; ///< Name of the route; empty if none matches.
    uint32_t rank_ = 0; ///< Rank of the call.
    uint32_t routeRank_ = 0; ///< Rank of the route.
    std::string workspace_; ///< Name of the workspace; empty for none.
    std::optional<double> quotaLeft_; ///< Units left of its quota; empty if it has none.
    uint64_t charge_ = 0; ///< Units that the request costs.
    Milliseconds longestWait_{ 0 }; ///< Time for which it would wait for a slot.
    std::string broker_; ///< IP:PORT of the gateway that chooses the upstream; empty if this one does.
    size_t condemnedTraits_ = 0; ///< Crash verdicts in force; whether one applies depends on the request's body.
    std::vector<RefusalReason> refusals_; ///< Why it would be refused on arrival.
    std::vector<WhereTarget> targets_; ///< Services of the route.
};

} // namespace Burdockfield::Gateway
