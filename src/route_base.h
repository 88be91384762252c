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
    std::string name_; ///< Name.
    RouteKind kind_ = RouteKind::Model; ///< What stands behind it.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be repeated.
    RouteQueue queue_; ///< Waiting requests.
    TierCounts waiting_{}; ///< Count of waiting requests by tier.
    std::vector<UpstreamId> candidates_; ///< Upstreams of this entry's subset that serve it.
    size_t nextCandidate_ = 0; ///< Next in turn for round-robin.
    double meanAnswerTokens_ = 0; ///< Learnt mean length of answers; 0 before the first.
    double answerDeviation_ = 0; ///< Learnt mean distance from that mean.
};

using RouteId = PoolId<Route>; ///< Index of a route.

} // namespace Burdockfield
