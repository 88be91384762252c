/**
 * @file fair_queue.cpp
 * @brief Start-time fair queueing across workspaces.
 */
#include "fair_queue_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

/// Removes a flow from the active flows.
void deactivate(TierQueue &queue, PoolId<Workspace> workspace, const Flow &flow)
{
    queue.active_.erase({ flow.startTag_, workspace });
}

/// Adds a flow to the active flows. An empty flow is erased if virtualTime_ has reached its finish tag.
void activate(TierQueue &queue, PoolId<Workspace> workspace)
{
    const auto found = queue.flows_.find(workspace);
    if (!found->second.waiting_.empty()) {
        queue.active_.insert({ found->second.startTag_, workspace });
    } else if (found->second.finishTag_ <= queue.virtualTime_) {
        queue.flows_.erase(found);
    }
}

} // namespace

void pushBack(TierQueue &queue, PoolId<Workspace> workspace, PoolId<Request> request)
{
    Flow &flow = queue.flows_[workspace];
    if (flow.waiting_.empty()) {
        flow.startTag_ = std::max(queue.virtualTime_, flow.finishTag_);
        queue.active_.insert({ flow.startTag_, workspace });
    }
    flow.waiting_.push_back(request);
}

void requeueFront(TierQueue &queue, PoolId<Workspace> workspace, PoolId<Request> request, double cost)
{
    Flow &flow = queue.flows_[workspace];
    deactivate(queue, workspace, flow);
    flow.finishTag_ -= cost;
    flow.startTag_ = flow.finishTag_;
    flow.waiting_.push_front(request);
    activate(queue, workspace);
}

std::optional<QueueEntry> findHead(TierQueue &queue, const std::function<bool(PoolId<Request>)> &stillWaiting)
{
    while (!queue.active_.empty()) {
        const auto [tag, workspace] = *queue.active_.begin();
        Flow &flow = queue.flows_[workspace];
        while (!flow.waiting_.empty() && !stillWaiting(flow.waiting_.front())) {
            flow.waiting_.pop_front();
        }
        if (!flow.waiting_.empty()) {
            return QueueEntry{ workspace, flow.waiting_.front() };
        }
        deactivate(queue, workspace, flow);
        activate(queue, workspace);
    }
    return std::nullopt;
}

void dequeueHead(TierQueue &queue, const QueueEntry &head, double cost)
{
    Flow &flow = queue.flows_[head.workspace_];
    deactivate(queue, head.workspace_, flow);
    flow.waiting_.pop_front();
    queue.virtualTime_ = std::max(queue.virtualTime_, flow.startTag_);
    flow.finishTag_ = flow.startTag_ + cost;
    flow.startTag_ = flow.finishTag_;
    activate(queue, head.workspace_);
}

std::optional<QueueEntry> findShedCandidate(TierQueue &queue, const std::function<bool(PoolId<Request>)> &stillWaiting)
{
    std::optional<QueueEntry> candidate;
    double furthestAhead = 0;
    for (auto &[workspace, flow] : queue.flows_) {
        while (!flow.waiting_.empty() && !stillWaiting(flow.waiting_.back())) {
            flow.waiting_.pop_back();
        }
        const double ahead = flow.startTag_ + static_cast<double>(flow.waiting_.size());
        if (!flow.waiting_.empty() && (!candidate || ahead > furthestAhead)) {
            furthestAhead = ahead;
            candidate = QueueEntry{ workspace, flow.waiting_.back() };
        }
    }
    return candidate;
}

} // namespace Burdockfield
