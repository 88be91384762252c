/**
 * @file fair_queue_func.h
 * @brief Start-time fair queueing across workspaces.
 *
 * A request costs its tokens divided by the weight of its workspace. The workspace whose next request starts at the
 * earliest start tag goes first. Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996.
 */
#pragma once

#include "fair_queue_type.h"

#include <functional>
#include <optional>

namespace Burdockfield {

/// Adds a request behind the others of its workspace.
void pushBack(TierQueue &queue, PoolId<Workspace> workspace, PoolId<Request> request);

/**
 * Puts a request that came back unrun before the others of its workspace, and gives back its cost.
 * @param cost tokens divided by weight, as charged when it was taken
 */
void requeueFront(TierQueue &queue, PoolId<Workspace> workspace, PoolId<Request> request, double cost);

/// Request at the head of a tier queue.
struct QueueEntry
{
    PoolId<Workspace> workspace_; ///< Its workspace.
    PoolId<Request> request_; ///< The request.
};

/**
 * Finds the request that goes next, dropping those that no longer wait.
 * @param waits tells whether a request still waits
 */
std::optional<QueueEntry> findHead(TierQueue &queue, const std::function<bool(PoolId<Request>)> &waits);

/**
 * Takes the request found by findHead().
 * @param cost tokens divided by weight
 */
void dequeueHead(TierQueue &queue, const QueueEntry &head, double cost);

/**
 * Finds the request to shed: the newest of the workspace that is furthest ahead of its share.
 * @param waits tells whether a request still waits
 */
std::optional<QueueEntry> findShedCandidate(TierQueue &queue, const std::function<bool(PoolId<Request>)> &waits);

} // namespace Burdockfield
