/**
 * @file gateway_quota.cpp
 * @brief Quotas of workspaces and repeat budgets of services, shared by all gateways.
 *
 * Every gateway keeps the whole bucket of a workspace and charges it with its own calls and with what its peers tell.
 * The bucket shrinks to the share of the gateways that are heard, so that parts that cannot hear each other
 * stay within the quota together.
 */
#include "gateway_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr Milliseconds heardWithin{ 500 }; ///< A peer silent for longer may charge unseen; two heartbeats.
constexpr double freshLevelShare = 0.25; ///< Part of the bucket that a restarted process takes for left.
constexpr double sizeShare = 0.4; ///< Part of the excess over the rate that may be used at once.
constexpr double slackShare = 0.5; ///< Part of the allowed overshoot that is used; the rest covers lost counts.
constexpr double calmSlackShare = 0.8; ///< The same while no count can have been lost; the rest covers lags.
constexpr size_t fewPeers = 8; ///< With more peers, what all may charge before they hear of it adds up to too much.
constexpr double repeatRatioShare = 0.75; ///< Part of the allowed ratio that is used; the rest covers counting lags.
constexpr double repeatSlackShare = 0.6; ///< Part of the allowed slack that is used, likewise.

/// Bucket that keeps a workspace within its quota in every window.
struct Bucket
{
    double size_ = 0; ///< Units that it holds when full.
    double rate_ = 0; ///< Units that it gains a second.
};

/// @return whether every peer of a few has been heard, and none has started, for as long as quotas look back.
bool isCalm(const GatewayState &state, TimePoint now)
{
    return state.peers_.size_ <= fewPeers && now - state.lastPeerDisruptionAt_ >= state.bounds_.quotaWindow_;
}

/**
 * A window allows the rate, the burst and an overshoot. What goes beyond the rate is divided between the bucket's size
 * and its own rate, so that a workspace may use it both at once and steadily. In calm the rate uses more of the
 * overshoot; the size stays, since it is what parts that lose each other may both spend.
 */
Bucket bucketOf(const GatewayState &state, TimePoint now, const WorkspaceRule &rule)
{
    const double window = FractionalSeconds(state.bounds_.quotaWindow_).count();
    const double allowed = rule.burst_ + rule.ratePerSecond_ * window;
    const double slack = rule.countsTokens_ ? state.bounds_.quotaTokenSlack_ : 0;
    const double overshoot = allowed * state.bounds_.quotaOvershoot_ + slack;
    const double size = sizeShare * (rule.burst_ + slackShare * overshoot);
    const double excess = rule.burst_ + (isCalm(state, now) ? calmSlackShare : slackShare) * overshoot;
    return { size, rule.ratePerSecond_ + (excess - size) / window };
}

/// Brings the level up to date. @return the workspace's use
WorkspaceQuota &refill(GatewayState &state, TimePoint now, const WorkspaceRule &rule)
{
    const double share = reachableGatewayShare(state, now);
    const auto [size, rate] = bucketOf(state, now, rule);
    const auto [place, added] = state.workspaces_.try_emplace(rule.name_);
    WorkspaceQuota &use = place->second;
    if (added) {
        use.level_ = size * share * (state.firstStart_ ? 1 : freshLevelShare);
        use.levelAt_ = now;
        use.levelAssumed_ = !state.firstStart_;
    }
    const double seconds = FractionalSeconds(now - use.levelAt_).count();
    use.levelAt_ = now;
    use.level_ = std::clamp(use.level_ + seconds * rate * share, -size, size * share);
    return use;
}

} // namespace

double reachableGatewayShare(const GatewayState &state, TimePoint now)
{
    size_t heard = 1;
    size_t known = 1;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        ++known;
        heard += now - peer.lastReceivedAt_ < heardWithin ? 1 : 0;
    });
    return static_cast<double>(heard) / static_cast<double>(known);
}

bool chargeQuota(GatewayState &state, TimePoint now, const WorkspaceRule &rule, uint64_t units)
{
    if (rule.ratePerSecond_ <= 0) {
        return true;
    }
    WorkspaceQuota &use = refill(state, now, rule);
    // Of a few gateways each may overdraw, and pays back first: if all were asked for the whole charge, small calls
    // would leave none for large ones.
    const double needed = state.peers_.size_ <= fewPeers ? 0 : static_cast<double>(units);
    if (use.level_ <= 0 || use.level_ < needed) {
        return false;
    }
    use.level_ -= static_cast<double>(units);
    use.ownChargedUnits_ += units;
    return true;
}

QuotaLevels collectQuotaLevels(const GatewayState &state)
{
    QuotaLevels levels;
    for (const auto &[workspace, use] : state.workspaces_) {
        levels[workspace] = use.level_;
    }
    return levels;
}

void applyQuotaLevels(GatewayState &state, TimePoint now, const QuotaLevels &levels)
{
    for (const WorkspaceRule &rule : state.configuration_.workspaces_) {
        const auto learnt = levels.find(rule.name_);
        if (rule.ratePerSecond_ <= 0 || learnt == levels.end()) {
            continue;
        }
        if (WorkspaceQuota &use = refill(state, now, rule); use.levelAssumed_) {
            use.levelAssumed_ = false;
            use.level_ = learnt->second - static_cast<double>(use.ownChargedUnits_);
        }
    }
}

void refundQuota(GatewayState &state, const std::string &workspace, uint64_t units)
{
    const auto found = state.workspaces_.find(workspace);
    if (found == state.workspaces_.end() || units == 0) {
        return;
    }
    found->second.level_ += static_cast<double>(units);
    found->second.ownChargedUnits_ -= std::min(units, found->second.ownChargedUnits_);
}

void chargePeerUsage(GatewayState &state, TimePoint now, const std::string &workspace, int64_t units)
{
    const WorkspaceRule *rule = findWorkspaceByName(state.configuration_, workspace);
    if (rule != nullptr && rule->ratePerSecond_ > 0) {
        refill(state, now, *rule).level_ -= static_cast<double>(units);
    }
}

void creditRetryBudget(GatewayState &state, const std::string &service)
{
    RetryBudget &budget = state.retryBudgets_[service];
    const double slack = state.bounds_.retrySlack_ * repeatSlackShare / static_cast<double>(1 + state.peers_.size_);
    if (!budget.started_) {
        budget.started_ = true;
        budget.level_ = slack;
    }
    budget.level_ = std::min(slack, budget.level_ + state.bounds_.retryRatio_ * repeatRatioShare);
}

bool consumeRetry(GatewayState &state, const std::string &service)
{
    RetryBudget &budget = state.retryBudgets_[service];
    if (budget.level_ < 1) {
        return false;
    }
    budget.level_ -= 1;
    return true;
}

} // namespace Burdockfield::Gateway
