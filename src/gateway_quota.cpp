/**
 * @file gateway_quota.cpp
 * @brief Quotas of workspaces and retry budgets of services, shared by all gateways.
 *
 * Every gateway keeps a token bucket for the whole quota of each workspace. It charges its own calls and the usage that
 * its peers report. The bucket shrinks to the share of gateways that are reachable. Gateways that a network partition
 * separates therefore stay within the quota together.
 */
#include "gateway_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

/// A peer silent for longer may have unreported usage; two heartbeats are overdue by then.
constexpr Milliseconds quotaPeerTimeout{ 500 };
constexpr double restartLevelShare = 0.25; ///< Share of the bucket that a restarted process assumes to be left.
constexpr double bucketSizeShare = 0.4; ///< Share of the allowance beyond the rate that may be used at once.
constexpr double overshootShare = 0.5; ///< Share of the allowed overshoot that is used; the rest covers lost updates.
constexpr double stableOvershootShare = 0.8; ///< The same while no update can be lost; the rest covers delays.
constexpr size_t smallClusterPeers = 8; ///< With more peers, usage that is not yet reported adds up to too much.
constexpr std::chrono::seconds quotaReportInterval{ 1 }; ///< Minimum time between log lines of a workspace's quota.
constexpr double retryRatioShare = 0.75; ///< Share of the allowed ratio that is used; the rest covers delayed counts.
constexpr double retrySlackShare = 0.6; ///< The same for the allowed slack.

constexpr double retryReserveShare
    = 0.75; ///< Fill of the retry budget below which a call that is only slow takes none.

/// @return the most retries that a service's budget holds.
double retryBudgetSize(const GatewayState &state)
{
    return state.bounds_.retrySlack_ * retrySlackShare / static_cast<double>(1 + state.peers_.size_);
}

bool isQuotaPeerReachable(const Peer &peer, TimePoint now)
{
    return now - peer.lastReceivedAt_ < quotaPeerTimeout;
}

/// Token bucket that keeps a workspace within its quota in every window.
struct Bucket
{
    double size_ = 0; ///< Units (tokens or requests) in a full bucket.
    double rate_ = 0; ///< Units added per second.
};

/// @return whether there are few peers, and all were reachable and none started during the last quota window.
bool arePeersStable(const GatewayState &state, TimePoint now)
{
    return state.peers_.size_ <= smallClusterPeers && now - state.lastPeerDisruptionAt_ >= state.bounds_.quotaWindow_;
}

/**
 * Computes the bucket of a workspace. Each window allows the rate, the burst and an overshoot. The allowance beyond the
 * rate is divided between the bucket's size and its rate, so that a workspace can use it at once as well as steadily.
 * While peers are stable the rate uses more of the overshoot. The size stays the same, since after a network partition
 * both sides may spend it.
 */
Bucket computeBucket(const GatewayState &state, TimePoint now, const WorkspaceRule &rule)
{
    const double window = FractionalSeconds(state.bounds_.quotaWindow_).count();
    const double allowed = rule.burst_ + rule.ratePerSecond_ * window;
    const double slack = rule.countsTokens_ ? state.bounds_.quotaTokenSlack_ : 0;
    const double overshoot = allowed * state.bounds_.quotaOvershoot_ + slack;
    const double size = bucketSizeShare * (rule.burst_ + overshootShare * overshoot);
    const double excess
        = rule.burst_ + (arePeersStable(state, now) ? stableOvershootShare : overshootShare) * overshoot;
    return { size, rule.ratePerSecond_ + (excess - size) / window };
}

/// @return the level at which a bucket begins.
double initialLevel(const GatewayState &state, double size)
{
    return size * (state.firstStart_ ? 1 : restartLevelShare);
}

/// Updates the level of a workspace's quota to @p now. @return the quota
WorkspaceQuota &refill(GatewayState &state, TimePoint now, const WorkspaceRule &rule)
{
    const double share = reachableGatewayShare(state, now);
    const auto [size, rate] = computeBucket(state, now, rule);
    const auto [entry, added] = state.quotaByWorkspace_.try_emplace(rule.name_);
    WorkspaceQuota &quota = entry->second;
    if (added) {
        quota.level_ = initialLevel(state, size * share);
        quota.levelAt_ = now;
        quota.levelAssumed_ = !state.firstStart_;
    }
    const double seconds = FractionalSeconds(now - quota.levelAt_).count();
    quota.levelAt_ = now;
    const double level = quota.level_ + seconds * rate * share;
    // Usage has left every window by the time at which a window's refill has paid for it.
    const double mostDebt = rate * FractionalSeconds(state.bounds_.quotaWindow_).count();
    quota.lowestLevel_ = std::min(quota.lowestLevel_, level);
    quota.forgivenUnits_ += std::max(0.0, -mostDebt - level);
    quota.level_ = std::clamp(level, -mostDebt, size * share);
    return quota;
}

std::string unitsText(double units)
{
    return std::to_string(static_cast<int64_t>(units));
}

} // namespace

double reachableGatewayShare(const GatewayState &state, TimePoint now)
{
    size_t reachable = 1;
    size_t known = 1;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        ++known;
        reachable += isQuotaPeerReachable(peer, now) ? 1 : 0;
    });
    return static_cast<double>(reachable) / static_cast<double>(known);
}

double quotaLevelAt(const GatewayState &state, TimePoint now, const WorkspaceRule &rule)
{
    const double share = reachableGatewayShare(state, now);
    const auto [size, rate] = computeBucket(state, now, rule);
    const auto found = state.quotaByWorkspace_.find(rule.name_);
    if (found == state.quotaByWorkspace_.end()) {
        return initialLevel(state, size * share);
    }
    const double seconds = FractionalSeconds(now - found->second.levelAt_).count();
    const double mostDebt = rate * FractionalSeconds(state.bounds_.quotaWindow_).count();
    return std::clamp(found->second.level_ + seconds * rate * share, -mostDebt, size * share);
}

bool isWithinQuota(const GatewayState &state, double level, uint64_t units)
{
    // In a small cluster a call may overdraw the bucket; no more calls are admitted until its level is positive again.
    // If the bucket had to hold the whole charge, small calls would use up the quota before a large one is admitted.
    return level > 0 && (state.peers_.size_ <= smallClusterPeers || level >= static_cast<double>(units));
}

bool chargeQuota(GatewayState &state, TimePoint now, const WorkspaceRule &rule, uint64_t units)
{
    if (rule.ratePerSecond_ <= 0) {
        return true;
    }
    WorkspaceQuota &quota = refill(state, now, rule);
    if (!isWithinQuota(state, quota.level_, units)) {
        ++quota.refusedCalls_;
        return false;
    }
    quota.level_ -= static_cast<double>(units);
    quota.ownChargedUnits_ += units;
    quota.ownChargedAt_ = now;
    return true;
}

QuotaLevels collectQuotaLevels(const GatewayState &state)
{
    QuotaLevels levels;
    for (const auto &[workspace, quota] : state.quotaByWorkspace_) {
        levels[workspace] = quota.level_;
    }
    return levels;
}

void applyQuotaLevels(GatewayState &state, TimePoint now, const QuotaLevels &levels)
{
    for (const WorkspaceRule &rule : state.configuration_.workspaces_) {
        const auto received = levels.find(rule.name_);
        if (rule.ratePerSecond_ <= 0 || received == levels.end()) {
            continue;
        }
        if (WorkspaceQuota &quota = refill(state, now, rule); quota.levelAssumed_) {
            quota.levelAssumed_ = false;
            quota.level_ = received->second - static_cast<double>(quota.ownChargedUnits_);
        }
    }
}

void refundQuota(GatewayState &state, TimePoint now, const std::string &workspace, uint64_t units)
{
    const auto found = state.quotaByWorkspace_.find(workspace);
    if (found == state.quotaByWorkspace_.end() || units == 0) {
        return;
    }
    found->second.level_ += static_cast<double>(units);
    found->second.ownChargedUnits_ -= std::min(units, found->second.ownChargedUnits_);
    found->second.ownChargedAt_ = now;
}

void chargePeerUsage(GatewayState &state, TimePoint now, const Peer &peer, const std::string &workspace, int64_t units)
{
    const WorkspaceRule *rule = findWorkspaceByName(state.configuration_, workspace);
    if (rule == nullptr || rule->ratePerSecond_ <= 0) {
        return;
    }
    WorkspaceQuota &quota = refill(state, now, *rule);
    const double level = quota.level_ - static_cast<double>(units);
    // Usage of a peer that was unreachable was paid for by its own share of the rate.
    const double mostDebt = computeBucket(state, now, *rule).size_;
    const double lowest = isQuotaPeerReachable(peer, now) ? level : std::min(quota.level_, -mostDebt);
    quota.level_ = std::max(level, lowest);
    quota.forgivenUnits_ += quota.level_ - level;
    quota.peerChargedUnits_ += units;
}

void reportQuotas(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    if (now - state.quotasReportedAt_ < quotaReportInterval) {
        return;
    }
    state.quotasReportedAt_ = now;
    for (auto &[workspace, quota] : state.quotaByWorkspace_) {
        if (quota.refusedCalls_ > 0 || quota.forgivenUnits_ > 0) {
            outbox.decisions_.push_back({ "quota",
                { { "workspace", workspace }, { "level", unitsText(quota.level_) },
                    { "lowest", unitsText(quota.lowestLevel_) }, { "forgiven", unitsText(quota.forgivenUnits_) },
                    { "charged", std::to_string(quota.ownChargedUnits_) },
                    { "peers_charged", std::to_string(quota.peerChargedUnits_) },
                    { "refused", std::to_string(quota.refusedCalls_) } } });
        }
        quota.peerChargedUnits_ = 0;
        quota.lowestLevel_ = 0;
        quota.forgivenUnits_ = 0;
        quota.refusedCalls_ = 0;
    }
}

void creditRetryBudget(GatewayState &state, const std::string &service)
{
    RetryBudget &budget = state.retryBudgets_[service];
    const double slack = retryBudgetSize(state);
    if (!budget.started_) {
        budget.started_ = true;
        budget.level_ = slack;
    }
    budget.level_ = std::min(slack, budget.level_ + state.bounds_.retryRatio_ * retryRatioShare);
}

bool isRetryBudgetLow(const GatewayState &state, const std::string &service)
{
    const auto found = state.retryBudgets_.find(service);
    return found == state.retryBudgets_.end()
        || found->second.level_ < std::max(1.0, retryReserveShare * retryBudgetSize(state));
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
