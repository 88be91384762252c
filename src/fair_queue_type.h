/**
 * @file fair_queue_type.h
 * @brief Waiting requests of one route, by tier and by workspace.
 */
#pragma once

#include "pool_type.h"
#include "tier_type.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <set>

namespace Burdockfield {

struct Request;
struct Workspace;

/// Waiting requests of one workspace in one tier.
struct Flow
{
    std::deque<PoolId<Request>> waiting_; ///< In order of arrival.
    double startTag_ = 0; ///< Virtual time at which the first request may start.
    double finishTag_ = 0; ///< Virtual time at which the last dequeued request ends.
};

/// Waiting requests of one tier, ordered by start-time fair queueing.
struct TierQueue
{
    std::map<PoolId<Workspace>, Flow> flows_; ///< Flows by workspace.
    std::set<std::pair<double, PoolId<Workspace>>> active_; ///< Flows with waiting requests, by start tag.
    double virtualTime_ = 0; ///< Start tag of the last dequeued request.
};

/// Waiting requests of one route.
struct RouteQueue
{
    std::array<TierQueue, tierRankCount> tiers_; ///< Queues, by tier rank.
};

} // namespace Burdockfield
