/**
 * @file route_base.h
 * @brief Row of the table of routes.
 */
#pragma once

#include "fair_queue_type.h"
#include "pool_type.h"
#include "route_type.h"
#include "upstream_base.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Model or service, with the requests that wait for it.
struct Route
{
    std::string name_; ///< Name of the model or service.
    RouteKind kind_ = RouteKind::Model; ///< Whether a model engine or a service serves it.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be retried.
    RouteQueue queue_; ///< Waiting requests.
    TierCounts waiting_{}; ///< Number of waiting requests by tier.
    std::vector<UpstreamId> candidates_; ///< Upstreams of this entry's subset that serve the route.
    size_t nextCandidate_ = 0; ///< Next candidate for round-robin; wraps around.
    double meanAnswerTokens_ = 0; ///< Moving average of the answer length; 0 before the first answer.
    double answerDeviation_ = 0; ///< Moving average of the distance from that mean.
};

using RouteId = PoolId<Route>; ///< Index of a route.

} // namespace Burdockfield
