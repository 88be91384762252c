/**
 * @file agent_admission.cpp
 * @brief System that admits or refuses ordered runs, and cancels attempts.
 */
#include "agent_func.h"
#include "error_type.h"
#include "run_func.h"
#include "suspect_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr size_t finishTagLimit = 4096; ///< Number of workspaces per tier above which old finish tags are removed.
constexpr std::chrono::minutes tombstoneRetention{ 2 }; ///< Longer than any message of an attempt can be in transit.

/// Records the reply to an entry that the attempt will never run here, so that a late copy of its order is refused.
void recordTombstone(AgentState &state, const RunName &name, TimePoint now)
{
    while (!state.tombstonesByAge_.empty() && state.tombstonesByAge_.front().first + tombstoneRetention <= now) {
        state.tombstones_.erase(state.tombstonesByAge_.front().second);
        state.tombstonesByAge_.pop_front();
    }
    if (state.tombstones_.insert(name).second) {
        state.tombstonesByAge_.emplace_back(now, name);
    }
}

/// @return why the order must be refused regardless of the load, or success.
std::error_code checkOrder(const AgentState &state, const RunOrder &order)
{
    if (order.agentIncarnation_ != state.incarnation_) {
        return AdmissionErrc::StaleIncarnation;
    }
    if (state.tombstones_.contains(order.name_)) {
        return AdmissionErrc::Withdrawn;
    }
    if (state.stopping_) {
        return AdmissionErrc::Stopping;
    }
    if (state.leaving_ || state.drained_) {
        return AdmissionErrc::Leaving;
    }
    if (!state.reachable_) {
        return AdmissionErrc::UpstreamDown;
    }
    const auto &routes = state.upstream_.routes_;
    if (std::find(routes.begin(), routes.end(), order.route_) == routes.end()) {
        return AdmissionErrc::UnknownRoute;
    }
    if (crashCountIfRefused(state.suspects_, order.digest_) > 0) {
        return AdmissionErrc::CrashSuspect;
    }
    return order.remainingWait_.count() > 0 ? std::error_code{} : AdmissionErrc::Expired;
}

/// @return the newest run of the lowest tier below @p rank, among the waiting runs that have never started.
std::optional<RunId> findDisplaceable(const AgentState &state, TierRank rank)
{
    std::optional<RunId> found;
    for (const RunId id : state.waiting_) {
        const Run &run = *findRow(state.runs_, id);
        if (run.started_ || run.order_.tier_ >= rank) {
            continue;
        }
        const Run *best = found ? findRow(state.runs_, *found) : nullptr;
        const bool lower = best == nullptr || run.order_.tier_ < best->order_.tier_;
        const bool newer = best != nullptr && run.order_.tier_ == best->order_.tier_ && run.sequence_ > best->sequence_;
        if (lower || newer) {
            found = id;
        }
    }
    return found;
}

/// Displaces a waiting run of a lower tier if capacity is exhausted. @return whether a run of @p rank can be admitted.
bool ensureCapacity(AgentState &state, TierRank rank, TimePoint now, AgentOutbox &outbox)
{
    if (!state.policy_.queueAtAgent_) {
        return true;
    }
    const uint32_t capacity = state.upstream_.slots_ + state.upstream_.queueDepth_;
    const TierCounts occupied = countOccupied(state);
    const bool tiered = state.policy_.queue_ == QueueRule::TierFair;
    if (countAtOrAbove(occupied, tiered ? rank : 0) >= capacity) {
        return false;
    }
    if (countAtOrAbove(occupied, 0) < capacity) {
        return true;
    }
    if (const auto displaced = findDisplaceable(state, rank); displaced) {
        logPlacement(state, findRow(state.runs_, *displaced)->order_, PlacementAction::Displace, {}, outbox);
        endRun(state, *displaced, makeFailure(AdmissionErrc::Displaced, RunOutcome::NotRun), now, outbox);
    }
    return true;
}

/// Assigns the run's start tag and arrival number, which order the runs of its tier.
void assignStartTag(AgentState &state, Run &run)
{
    AgentTier &tier = state.tiers_[run.order_.tier_];
    if (tier.finishTags_.size() > finishTagLimit) {
        std::erase_if(tier.finishTags_, [&tier](const auto &item) { return item.second <= tier.virtualTime_; });
    }
    double &finish = tier.finishTags_[run.order_.workspace_];
    run.startTag_ = std::max(tier.virtualTime_, finish);
    finish = run.startTag_ + (run.order_.promptTokens_ + run.order_.answerTokens_) / std::max(run.order_.weight_, 1e-6);
    run.sequence_ = state.nextSequence_++;
}

void insertRun(AgentState &state, RunOrder order, TimePoint now, AgentOutbox &outbox)
{
    Run run;
    run.order_ = std::move(order);
    run.orderedAt_ = now;
    run.lastReadAt_ = now;
    run.deadline_ = now + run.order_.remainingWait_;
    assignStartTag(state, run);
    const bool keyed = !run.order_.key_.empty();
    const RunName name = run.order_.name_;
    const TimePoint deadline = run.deadline_;
    const RunId id = insertRow(state.runs_, std::move(run));
    state.runByName_[name] = id;
    state.waiting_.push_back(id);
    pushDeadline(state.runDeadlines_, deadline, id);
    pushDeadline(state.runDeadlines_, now + preemptionDelay, id);
    if (keyed) {
        writeClaim(state, id, outbox);
    }
}

/// @return reply to an order that has been received before.
std::error_code replyToDuplicate(const Run &run)
{
    const bool neverRuns = run.stage_ == RunStage::Ended && run.end_.runOutcome_ == RunOutcome::NotRun
        && run.end_.error_ != AdmissionErrc::ClaimedElsewhere;
    return neverRuns ? run.end_.error_ : std::error_code{};
}

std::error_code admitOrder(AgentState &state, RunOrder order, TimePoint now, AgentOutbox &outbox)
{
    if (const auto known = state.runByName_.find(order.name_); known != state.runByName_.end()) {
        return replyToDuplicate(*findRow(state.runs_, known->second));
    }
    std::error_code error = checkOrder(state, order);
    if (!error && !ensureCapacity(state, order.tier_, now, outbox)) {
        error = AdmissionErrc::QueueFull;
    }
    if (error) {
        recordTombstone(state, order.name_, now);
        logPlacement(state, order, PlacementAction::Refuse, error, outbox);
        count(state.metrics_, "orders_refused_total", error.message());
        return error;
    }
    insertRun(state, std::move(order), now, outbox);
    return {};
}

RunOutcome cancelRun(AgentState &state, RunId id, TimePoint now, AgentOutbox &outbox)
{
    const Run &run = *findRow(state.runs_, id);
    if (run.stage_ == RunStage::Ended) {
        return run.end_.runOutcome_;
    }
    if (run.readers_.size() > 1) {
        return RunOutcome::Unknown;
    }
    if (run.stage_ == RunStage::Waiting && !run.started_) {
        endRun(state, id, makeFailure(AdmissionErrc::Withdrawn, RunOutcome::NotRun), now, outbox);
        return RunOutcome::NotRun;
    }
    if (mayInterrupt(run) && run.order_.key_.empty()) {
        if (run.stage_ == RunStage::Running) {
            abortRun(state, id, outbox);
        }
        endRun(state, id, makeFailure(AdmissionErrc::Withdrawn, RunOutcome::Unknown), now, outbox);
    }
    return RunOutcome::Unknown;
}

CancelReply cancelAttempt(AgentState &state, const CancelRequested &event, TimePoint now, AgentOutbox &outbox)
{
    const auto known = state.runByName_.find(event.name_);
    if (known != state.runByName_.end()) {
        return { true, cancelRun(state, known->second, now, outbox) };
    }
    if (event.agentIncarnation_ != state.incarnation_) {
        return { false, RunOutcome::Unknown };
    }
    recordTombstone(state, event.name_, now);
    return { false, RunOutcome::NotRun };
}

} // namespace

void runAdmission(AgentState &state, TimePoint now, AgentInbox &inbox, AgentOutbox &outbox)
{
    for (RunOrdered &event : inbox.orders_) {
        RunReply reply;
        reply.error_ = admitOrder(state, std::move(event.order_), now, outbox);
        reply.report_ = makeReport(state);
        outbox.runReplies_.push_back({ event.exchange_, std::move(reply) });
    }
    for (const CancelRequested &event : inbox.cancels_) {
        outbox.cancelReplies_.push_back({ event.exchange_, cancelAttempt(state, event, now, outbox) });
    }
}

} // namespace Burdockfield
