/**
 * @file rollout.cpp
 * @brief Rules of rollouts: which versions may get calls, how many, and when a version is found to be bad.
 *
 * The exposure of a new version is bounded by counting: each gateway that assigns calls gives the new version less than
 * a share of the requests that it has assigned itself. The sum over all gateways then keeps the same share, without
 * messages, whichever of them die, restart or are cut off.
 */
#include "rollout_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

constexpr double minFailureRate = 0.02; ///< Failure rate that is taken as normal, also if the others fail less.
constexpr double maxFailureRate = 0.5; ///< Above this rate of the others the test can't tell versions apart.
constexpr double detectedIncrease = 0.15; ///< Increase of the failure rate that the test is designed for.
/// Score from which a version is bad: five failures in a row at the normal rate. VersionTest_WhenVersionsAreDrawn_*
/// measures how often a good version reaches it.
constexpr double badScore = 10;
constexpr size_t maxEvidencePeers = 512; ///< Peers whose outcomes are kept; more than there are.
constexpr size_t maxEvidenceRoutes = 4096; ///< Routes whose outcomes are kept; peers may name any.

constexpr std::array<std::pair<std::string_view, RolloutState>, 4> stateNames{ {
    { "watching", RolloutState::Watching },
    { "stopped", RolloutState::Stopped },
    { "rolled-back", RolloutState::RolledBack },
    { "completed", RolloutState::Completed },
} };

uint64_t grown(uint64_t now, uint64_t before)
{
    return now > before ? now - before : 0;
}

VersionOutcomes grown(const VersionOutcomes &now, const VersionOutcomes &before)
{
    return { grown(now.answers_, before.answers_), grown(now.failures_, before.failures_) };
}

void add(VersionOutcomes &sum, const VersionOutcomes &added)
{
    sum.answers_ += added.answers_;
    sum.failures_ += added.failures_;
}

} // namespace

std::string_view nameOfState(RolloutState state)
{
    for (const auto &[name, known] : stateNames) {
        if (known == state) {
            return name;
        }
    }
    return "unknown";
}

std::optional<RolloutState> parseStateName(std::string_view text)
{
    for (const auto &[name, known] : stateNames) {
        if (name == text) {
            return known;
        }
    }
    return std::nullopt;
}

bool applyOrder(Rollout &rollout, const RolloutOrder &order)
{
    if (order.rowVersion_ <= rollout.order_.rowVersion_) {
        return false;
    }
    const bool sameVersion = rollout.order_.version_ == order.version_;
    if (sameVersion && order.rowVersion_.era_ > rollout.order_.rowVersion_.era_) {
        rollout.order_.rowVersion_ = order.rowVersion_; // the same order, written again after the store lost it
        return false;
    }
    const bool completed = rollout.state_ == RolloutState::Completed;
    std::set<std::string> barred = std::move(rollout.barred_);
    if (!rollout.order_.version_.empty() && !completed) {
        barred.insert(rollout.order_.version_);
    }
    barred.erase(order.version_);
    rollout = {};
    rollout.order_ = order;
    rollout.barred_ = std::move(barred);
    // An order for the version that has all calls already leaves it as it is.
    rollout.state_ = sameVersion && completed ? RolloutState::Completed : RolloutState::Watching;
    return true;
}

bool isUnproven(const Rollout &rollout, const std::string &version)
{
    const bool current = rollout.order_.version_ == version && rollout.state_ != RolloutState::Completed;
    return current || rollout.barred_.contains(version);
}

bool advanceState(Rollout &rollout, RolloutState state)
{
    const bool final = rollout.state_ == RolloutState::RolledBack || rollout.state_ == RolloutState::Completed;
    if (final || state <= rollout.state_) {
        return false;
    }
    rollout.state_ = state;
    return true;
}

bool mayUseVersion(const Rollout &rollout, const std::string &version)
{
    if (rollout.state_ == RolloutState::Completed) {
        return version == rollout.order_.version_;
    }
    if (version == rollout.order_.version_) {
        return rollout.state_ == RolloutState::Watching;
    }
    return !rollout.barred_.contains(version);
}

bool isLimited(const Rollout &rollout, const std::string &version)
{
    return rollout.state_ == RolloutState::Watching && version == rollout.order_.version_;
}

uint64_t exposureLeft(const Rollout &rollout, const std::string &route, double share)
{
    const auto found = rollout.exposure_.find(route);
    if (found == rollout.exposure_.end()) {
        return 0;
    }
    const auto allowed = static_cast<uint64_t>(std::floor(share * static_cast<double>(found->second.total_)));
    return grown(allowed, found->second.exposed_);
}

uint64_t exposureLeft(const Rollout &rollout, double share)
{
    uint64_t left = 0;
    for (const auto &[route, count] : rollout.exposure_) {
        left += exposureLeft(rollout, route, share);
    }
    return left;
}

void recordAssignment(Rollout &rollout, const std::string &route, const std::string &version, bool firstAssignment)
{
    ExposureCount &count = rollout.exposure_[route];
    count.total_ += firstAssignment ? 1 : 0;
    count.exposed_ += version == rollout.order_.version_ ? 1 : 0;
}

bool addOutcomes(double &score, const VersionOutcomes &added, const VersionOutcomes &others)
{
    const double othersRate
        = others.answers_ == 0 ? 0 : static_cast<double>(others.failures_) / static_cast<double>(others.answers_);
    const double normal = std::clamp(othersRate, minFailureRate, maxFailureRate);
    const double bad = normal + detectedIncrease;
    const auto failures = static_cast<double>(std::min(added.failures_, added.answers_));
    const double successes = static_cast<double>(added.answers_) - failures;
    const double change = failures * std::log(bad / normal) + successes * std::log((1 - bad) / (1 - normal));
    score = std::max(0.0, score + change);
    return score >= badScore;
}

void mergeEvidence(Rollout &rollout, const std::string &address, uint64_t incarnation, const RolloutEvidence &evidence)
{
    if (!rollout.peerEvidence_.contains(address) && rollout.peerEvidence_.size() >= maxEvidencePeers) {
        return;
    }
    PeerEvidence &known = rollout.peerEvidence_[address];
    if (known.incarnation_ != incarnation) {
        known = { incarnation, {} };
    }
    for (const auto &[route, reported] : evidence) {
        if (!rollout.evidence_.contains(route) && rollout.evidence_.size() >= maxEvidenceRoutes) {
            continue;
        }
        RouteEvidence &before = known.evidence_[route];
        addEvidence(rollout, route,
            { grown(reported.newVersion_, before.newVersion_), grown(reported.others_, before.others_) });
        before = reported;
    }
}

void addEvidence(Rollout &rollout, const std::string &route, const RouteEvidence &added)
{
    RouteEvidence &sum = rollout.evidence_[route];
    add(sum.newVersion_, added.newVersion_);
    add(sum.others_, added.others_);
    if (addOutcomes(rollout.failureScores_[route], added.newVersion_, sum.others_)) {
        advanceState(rollout, RolloutState::Stopped);
    }
}

} // namespace Burdockfield::Gateway
