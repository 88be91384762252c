/**
 * @file fair_queue_func.h
 * @brief Start-time fair queueing across workspaces.
 *
 * A request costs its tokens divided by the weight of its workspace. The workspace whose next request has the earliest
 * start tag is served first. Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996.
 */
#pragma once

#include "fair_queue_type.h"

#include <functional>
#include <optional>

namespace Burdockfield {

/// Appends a request to the queue of its workspace.
void pushBack(TierQueue &queue, PoolId<Workspace> workspace, PoolId<Request> request);

/**
 * Puts a request that was dequeued but not run back at the front of its workspace's queue, and refunds its cost.
 * @param cost tokens divided by weight, as charged when it was dequeued
 */
void requeueFront(TierQueue &queue, PoolId<Workspace> workspace, PoolId<Request> request, double cost);

/// Request in a tier queue, with its workspace.
struct QueueEntry
{
    PoolId<Workspace> workspace_; ///< Workspace that the request is queued under.
    PoolId<Request> request_;
};

/**
 * Finds the next request to dispatch. Removes the requests in front of it that are no longer waiting.
 * @param stillWaiting returns whether a request is still waiting
 */
std::optional<QueueEntry> findHead(TierQueue &queue, const std::function<bool(PoolId<Request>)> &stillWaiting);

/**
 * Dequeues the request found by findHead() and charges its cost to the workspace.
 * @param cost tokens divided by weight
 */
void dequeueHead(TierQueue &queue, const QueueEntry &head, double cost);

/**
 * Finds the request to shed: the newest one of the workspace that is furthest ahead of its share.
 * @param stillWaiting returns whether a request is still waiting
 */
std::optional<QueueEntry> findShedCandidate(TierQueue &queue, const std::function<bool(PoolId<Request>)> &stillWaiting);

} // namespace Burdockfield
