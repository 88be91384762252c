/**
 * @file gateway_rollouts.cpp
 * @brief System that keeps the rollouts up to date, and the limits that they set on the choice of upstreams.
 *
 * Answers the load pattern in which a part of a service's upstreams has new software that may be bad: it gets a small,
 * counted share of the calls of each route, and none once its failures or the status row show that it is bad.
 */
#include "gateway_rollout_func.h"

#include "rollout_func.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

/// Share of bounds.exposure_share used while a version is watched; the other half is for the switch at the end.
constexpr double watchingPart = 0.5;

/// Time from writing a status row to the next attempt, in which the reply or the row itself is received.
constexpr std::chrono::seconds statusWriteInterval{ 1 };
constexpr size_t maxRollouts = 1024; ///< Services whose rollouts are kept; more than any configuration has.

const Rollout *findRollout(const GatewayState &state, const std::string &service)
{
    const auto found = state.rollouts_.find(service);
    return found == state.rollouts_.end() ? nullptr : &found->second;
}

double watchingShare(const GatewayState &state)
{
    return state.bounds_.exposureShare_ * watchingPart;
}

void logState(const Rollout &rollout, const std::string &source, GatewayOutbox &outbox)
{
    VersionOutcomes newVersion;
    VersionOutcomes others;
    for (const auto &[route, evidence] : rollout.evidence_) {
        newVersion.answers_ += evidence.newVersion_.answers_;
        newVersion.failures_ += evidence.newVersion_.failures_;
        others.answers_ += evidence.others_.answers_;
        others.failures_ += evidence.others_.failures_;
    }
    ExposureCount exposure;
    for (const auto &[route, count] : rollout.exposure_) {
        exposure.total_ += count.total_;
        exposure.exposed_ += count.exposed_;
    }
    outbox.decisions_.push_back({ "rollout",
        { { "service", rollout.order_.service_ }, { "version", rollout.order_.version_ },
            { "order", std::to_string(rollout.order_.rowVersion_.version_) },
            { "state", std::string(nameOfState(rollout.state_)) }, { "source", source },
            { "new_answers", std::to_string(newVersion.answers_) },
            { "new_failures", std::to_string(newVersion.failures_) },
            { "other_answers", std::to_string(others.answers_) },
            { "other_failures", std::to_string(others.failures_) }, { "assigned", std::to_string(exposure.total_) },
            { "exposed", std::to_string(exposure.exposed_) } },
        rollout.state_ == RolloutState::Stopped || rollout.state_ == RolloutState::RolledBack });
}

/// @return whether a service had only the version of an order before the order, so that there is nothing to move.
bool hasOnlyVersion(const GatewayState &state, const RolloutOrder &order)
{
    bool found = false;
    bool other = false;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.service_ != order.service_) {
            return;
        }
        const bool before = upstream.rowVersion_.version_ != 0 && upstream.rowVersion_ < order.rowVersion_;
        found = found || (upstream.version_ == order.version_ && before);
        other = other || upstream.version_ != order.version_;
    });
    return found && !other;
}

/// Bars the versions that a completed rollout has replaced, also for a later order to a third version.
void barReplacedVersions(const GatewayState &state, Rollout &rollout)
{
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.service_ == rollout.order_.service_ && upstream.version_ != rollout.order_.version_) {
            rollout.barred_.insert(upstream.version_);
        }
    });
}

void changeState(
    GatewayState &state, Rollout &rollout, RolloutState next, const std::string &source, GatewayOutbox &outbox)
{
    if (!advanceState(rollout, next)) {
        return;
    }
    if (next == RolloutState::Completed) {
        barReplacedVersions(state, rollout);
    }
    logState(rollout, source, outbox);
    count(state.metrics_, "rollouts", std::string(nameOfState(next)));
}

/// Applies the newest status row of a service. One older than the order belongs to an earlier order.
void applyStatus(GatewayState &state, const std::string &service, GatewayOutbox &outbox)
{
    const auto status = state.rolloutStatuses_.find(service);
    const auto found = state.rollouts_.find(service);
    if (status == state.rolloutStatuses_.end() || found == state.rollouts_.end()) {
        return;
    }
    Rollout &rollout = found->second;
    if (status->second.version_ != rollout.order_.version_) {
        return;
    }
    // A repeated order for a version that is completed already has nothing to move.
    const bool repeated = status->second.state_ == RolloutState::Completed;
    if (status->second.rowVersion_ > rollout.order_.rowVersion_ || repeated) {
        changeState(state, rollout, status->second.state_, "status-row", outbox);
    }
}

void applyReceivedOrder(
    GatewayState &state, const RolloutOrder &order, const std::string &source, GatewayOutbox &outbox)
{
    if (!state.rollouts_.contains(order.service_) && state.rollouts_.size() >= maxRollouts) {
        count(state.metrics_, "rollouts", "too-many");
        return;
    }
    Rollout &rollout = state.rollouts_[order.service_];
    const bool unproven = isUnproven(rollout, order.version_);
    if (!applyOrder(rollout, order)) {
        return;
    }
    logState(rollout, source, outbox);
    count(state.metrics_, "rollouts", "ordered");
    if (!unproven && hasOnlyVersion(state, order)) {
        rollout.nothingToMove_ = true;
        changeState(state, rollout, RolloutState::Completed, "only-version", outbox);
    }
    applyStatus(state, order.service_, outbox);
}

void applyReceivedStatus(GatewayState &state, const RolloutStatus &status, GatewayOutbox &outbox)
{
    if (!state.rolloutStatuses_.contains(status.service_) && state.rolloutStatuses_.size() >= maxRollouts) {
        count(state.metrics_, "rollouts", "too-many");
        return;
    }
    RolloutStatus &known = state.rolloutStatuses_[status.service_];
    if (status.rowVersion_ <= known.rowVersion_) {
        return;
    }
    known = status;
    applyStatus(state, status.service_, outbox);
}

/**
 * @return whether this gateway writes status rows: the broker of each region does. Writes are conditional, so that only
 * the first one takes effect, and none is lost when a broker dies.
 */
bool writesStatuses(const GatewayState &state)
{
    return assignsSlots(state, state.region_);
}

/**
 * Finds the versions in use: those of rows up to which the operator's table was read. If all rows of a service are
 * newer, as after a crash of all its upstreams, the versions that it had before stay in use.
 */
void updateEstablishedVersions(GatewayState &state)
{
    std::map<std::string, std::set<std::string>> versions;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.rowVersion_ <= state.operatorVersion_) {
            versions[upstream.service_].insert(upstream.version_);
        }
    });
    for (auto &[service, found] : versions) {
        state.establishedVersions_[service] = std::move(found);
    }
}

} // namespace

void runRollouts(GatewayState &state, TimePoint /*now*/, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (const RolloutsReceived &event : inbox.rollouts_) {
        for (const RolloutOrder &order : event.orders_) {
            applyReceivedOrder(state, order, event.source_, outbox);
        }
        for (const RolloutStatus &status : event.statuses_) {
            applyReceivedStatus(state, status, outbox);
        }
        for (const PeerRollout &known : event.peerRollouts_) {
            applyReceivedOrder(state, known.order_, event.source_, outbox);
            const auto found = state.rollouts_.find(known.order_.service_);
            if (found != state.rollouts_.end() && found->second.order_.rowVersion_ == known.order_.rowVersion_) {
                changeState(state, found->second, known.state_, event.source_, outbox);
            }
        }
        // Only after the orders: it says that all of them up to this version are known.
        state.operatorVersion_ = std::max(state.operatorVersion_, event.operatorVersion_);
    }
    if (!inbox.rollouts_.empty() || !inbox.upstreams_.empty()) {
        updateEstablishedVersions(state);
    }
}

void runRolloutStatuses(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    if (!writesStatuses(state)) {
        return;
    }
    for (auto &[service, rollout] : state.rollouts_) {
        if (rollout.state_ != RolloutState::Stopped || now < rollout.statusWriteAt_) {
            continue;
        }
        rollout.statusWriteAt_ = now + statusWriteInterval;
        const auto known = state.rolloutStatuses_.find(service);
        const uint64_t expected = known == state.rolloutStatuses_.end() ? 0 : known->second.rowVersion_.version_;
        outbox.rolloutStatuses_.push_back(
            { { service, rollout.order_.version_, RolloutState::RolledBack, 0 }, expected });
        outbox.decisions_.push_back({ "rollout-status-write",
            { { "service", service }, { "version", rollout.order_.version_ },
                { "order", std::to_string(rollout.order_.rowVersion_.version_) },
                { "state", std::string(nameOfState(RolloutState::RolledBack)) },
                { "expected", std::to_string(expected) } } });
    }
}

TimePoint nextRolloutDeadline(const GatewayState &state)
{
    TimePoint next = noDeadline;
    for (const auto &[service, rollout] : state.rollouts_) {
        if (rollout.state_ == RolloutState::Stopped && writesStatuses(state)) {
            next = std::min(next, rollout.statusWriteAt_);
        }
    }
    return next;
}

bool isHeldBack(const GatewayState &state, const Upstream &upstream)
{
    if (upstream.version_.empty() || upstream.rowVersion_ <= state.operatorVersion_) {
        return false;
    }
    const auto found = state.establishedVersions_.find(upstream.service_);
    return found == state.establishedVersions_.end() || !found->second.contains(upstream.version_);
}

bool mayUse(const GatewayState &state, const Upstream &upstream)
{
    const Rollout *rollout = findRollout(state, upstream.service_);
    if (rollout != nullptr && (!upstream.versionKnown_ || !mayUseVersion(*rollout, upstream.version_))) {
        return false;
    }
    return !isHeldBack(state, upstream);
}

bool mayAssign(const GatewayState &state, const Upstream &upstream, const std::string &route)
{
    if (!mayUse(state, upstream)) {
        return false;
    }
    const Rollout *rollout = findRollout(state, upstream.service_);
    return rollout == nullptr || !isLimited(*rollout, upstream.version_)
        || exposureLeft(*rollout, route, watchingShare(state)) > 0;
}

uint32_t assignableCalls(const GatewayState &state, const Upstream &upstream)
{
    constexpr uint64_t most = std::numeric_limits<uint32_t>::max();
    if (!mayUse(state, upstream)) {
        return 0;
    }
    const Rollout *rollout = findRollout(state, upstream.service_);
    const bool limited = rollout != nullptr && isLimited(*rollout, upstream.version_);
    return static_cast<uint32_t>(limited ? std::min(exposureLeft(*rollout, watchingShare(state)), most) : most);
}

std::string countedRoute(const GatewayState &state, const Call &call)
{
    const Rollout *rollout = findRollout(state, call.service_);
    const bool watching = rollout != nullptr && rollout->state_ == RolloutState::Watching;
    return watching ? call.routeName_ : std::string();
}

void countAssignment(GatewayState &state, const Upstream &upstream, const std::string &route, bool firstAssignment)
{
    const auto found = state.rollouts_.find(upstream.service_);
    if (found != state.rollouts_.end() && found->second.state_ == RolloutState::Watching) {
        recordAssignment(found->second, route, upstream.version_, firstAssignment);
    }
}

void recordVersionOutcome(
    GatewayState &state, const Call &call, const Upstream &upstream, bool failed, GatewayOutbox &outbox)
{
    const auto found = state.rollouts_.find(upstream.service_);
    if (found == state.rollouts_.end() || found->second.state_ != RolloutState::Watching) {
        return;
    }
    Rollout &rollout = found->second;
    RouteEvidence added;
    (upstream.version_ == rollout.order_.version_ ? added.newVersion_ : added.others_) = { 1, failed ? 1U : 0U };
    RouteEvidence &own = rollout.ownEvidence_[call.routeName_];
    own.newVersion_.answers_ += added.newVersion_.answers_;
    own.newVersion_.failures_ += added.newVersion_.failures_;
    own.others_.answers_ += added.others_.answers_;
    own.others_.failures_ += added.others_.failures_;
    addEvidence(rollout, call.routeName_, added);
    if (rollout.state_ == RolloutState::Stopped) {
        logState(rollout, "own-evidence", outbox);
        count(state.metrics_, "rollouts", std::string(nameOfState(rollout.state_)));
    }
}

std::vector<PeerRollout> collectRollouts(const GatewayState &state)
{
    std::vector<PeerRollout> rollouts;
    for (const auto &[service, rollout] : state.rollouts_) {
        const RolloutState told = rollout.nothingToMove_ ? RolloutState::Watching : rollout.state_;
        const bool watching = told == RolloutState::Watching;
        rollouts.push_back({ rollout.order_, told, watching ? rollout.ownEvidence_ : RolloutEvidence{} });
    }
    return rollouts;
}

void applyPeerRollouts(GatewayState &state, const PeerUpdate &update, GatewayOutbox &outbox)
{
    for (const PeerRollout &known : update.rollouts_) {
        applyReceivedOrder(state, known.order_, update.name_, outbox);
        const auto found = state.rollouts_.find(known.order_.service_);
        if (found == state.rollouts_.end() || found->second.order_.rowVersion_ != known.order_.rowVersion_) {
            continue;
        }
        Rollout &rollout = found->second;
        changeState(state, rollout, known.state_, update.name_, outbox);
        if (rollout.state_ != RolloutState::Watching) {
            continue;
        }
        mergeEvidence(rollout, update.address_, update.incarnation_, known.evidence_);
        if (rollout.state_ == RolloutState::Stopped) {
            logState(rollout, "evidence-of-all", outbox);
            count(state.metrics_, "rollouts", std::string(nameOfState(rollout.state_)));
        }
    }
    state.operatorVersion_ = std::max(state.operatorVersion_, update.operatorVersion_);
}

} // namespace Burdockfield::Gateway
