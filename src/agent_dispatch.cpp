/**
 * @file agent_dispatch.cpp
 * @brief System that dispatches waiting runs to the upstream, pausing runs of lower tiers for higher ones.
 */
#include "agent_func.h"
#include "error_type.h"
#include "feasibility_func.h"
#include "run_func.h"
#include "suspect_func.h"

#include <algorithm>
#include <tuple>

namespace Burdockfield {

namespace {

bool mayStart(const Run &run)
{
    return run.claim_ == ClaimStage::NotNeeded || run.claim_ == ClaimStage::Held;
}

/// @return whether @p left must start before @p right.
bool precedes(const AgentState &state, const Run &left, const Run &right)
{
    if (state.policy_.queue_ == QueueRule::FirstCome) {
        return left.sequence_ < right.sequence_;
    }
    if (left.order_.tier_ != right.order_.tier_) {
        return left.order_.tier_ > right.order_.tier_;
    }
    return std::tie(left.startTag_, left.sequence_) < std::tie(right.startTag_, right.sequence_);
}

std::optional<RunId> findNext(const AgentState &state)
{
    std::optional<RunId> next;
    for (const RunId id : state.waiting_) {
        const Run &run = *findRow(state.runs_, id);
        if (mayStart(run) && (!next || precedes(state, run, *findRow(state.runs_, *next)))) {
            next = id;
        }
    }
    return next;
}

bool mustRunIsolated(const AgentState &state, const Run &run)
{
    return run.order_.isolated_ || mustRunAlone(state.suspects_, run.order_.digest_);
}

/// @return whether the only running run must stay the only one.
bool isIsolatedRunActive(const AgentState &state)
{
    return state.running_.size() == 1 && mustRunIsolated(state, *findRow(state.runs_, state.running_.front()));
}

void startRun(AgentState &state, RunId id, TimePoint now, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    std::erase(state.waiting_, id);
    state.running_.push_back(id);
    AgentTier &tier = state.tiers_[run.order_.tier_];
    tier.virtualTime_ = std::max(tier.virtualTime_, run.startTag_);
    logPlacement(state, run.order_, run.started_ ? PlacementAction::Resume : PlacementAction::Start, {}, outbox);
    run.stage_ = RunStage::Running;
    run.started_ = true;
    ++run.dispatchNumber_;
    run.dispatchedAt_ = now;
    run.dispatchTokens_ = 0;
    run.prefillTokens_ += run.order_.promptTokens_;
    StartEngine command{ id, run.dispatchNumber_, run.order_ };
    command.order_.resumeTokens_ = run.order_.resumeTokens_ + run.receivedTokens_;
    outbox.engineStarts_.push_back(std::move(command));
}

/// @return the pausable run of the lowest tier below @p rank; of that tier, the one with the fewest answer tokens.
std::optional<RunId> findPausable(const AgentState &state, TierRank rank)
{
    std::optional<RunId> found;
    for (const RunId id : state.running_) {
        const Run &run = *findRow(state.runs_, id);
        if (!mayInterrupt(run) || run.order_.tier_ >= rank) {
            continue;
        }
        const Run *best = found ? findRow(state.runs_, *found) : nullptr;
        const auto order = [](const Run &row) {
            return std::tuple(row.order_.tier_, row.receivedTokens_);
        };
        if (best == nullptr || order(run) < order(*best)) {
            found = id;
        }
    }
    return found;
}

void pauseRun(AgentState &state, RunId id, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    abortRun(state, id, outbox);
    run.stage_ = RunStage::Waiting;
    state.waiting_.push_back(id);
    logPlacement(state, run.order_, PlacementAction::Pause, {}, outbox);
    count(state.metrics_, "runs_paused_total", std::to_string(run.order_.tier_));
}

/// Pauses a run of a lower tier if the next run has waited at least preemptionDelay. @return whether it did.
bool preempt(AgentState &state, RunId id, TimePoint now, AgentOutbox &outbox)
{
    const Run &next = *findRow(state.runs_, id);
    if (!state.policy_.preemption_) {
        return false;
    }
    if (now < next.orderedAt_ + preemptionDelay) {
        return false;
    }
    const auto victim = findPausable(state, next.order_.tier_);
    if (victim) {
        pauseRun(state, *victim, outbox);
    }
    return victim.has_value();
}

bool hasFreeSlot(const AgentState &state, const Run &next)
{
    if (!state.policy_.queueAtAgent_) {
        return true;
    }
    const size_t slots = mustRunIsolated(state, next) ? 1 : state.upstream_.slots_;
    return state.running_.size() < slots;
}

/// @return whether a run that has never started cannot end in time; false until the upstream's rates are measured.
bool isInfeasible(const AgentState &state, const Run &run, TimePoint now)
{
    const bool applicable = state.policy_.dropInfeasible_ && !run.started_ && run.order_.kind_ == RouteKind::Model
        && state.prefillRate_ > 0 && state.decodeRate_ > 0;
    if (!applicable) {
        return false;
    }
    const uint32_t tokens
        = run.order_.estimatedMaxTokens_ - std::min(run.order_.estimatedMaxTokens_, run.order_.resumeTokens_);
    const FractionalSeconds decode{ tokens / state.decodeRate_ };
    return cannotMeetDeadline(decode, run.deadline_ - now);
}

/// Starts the next run if possible, or ends it if infeasible. @return whether it did either.
bool startNext(AgentState &state, TimePoint now, AgentOutbox &outbox)
{
    const auto next = findNext(state);
    if (!next || isIsolatedRunActive(state)) {
        return false;
    }
    const Run &run = *findRow(state.runs_, *next);
    if (isInfeasible(state, run, now)) {
        endRun(state, *next, makeFailure(AdmissionErrc::Expired, RunOutcome::NotRun), now, outbox);
        return true;
    }
    const bool isolated = mustRunIsolated(state, run);
    if (!hasFreeSlot(state, run) && (isolated || !preempt(state, *next, now, outbox))) {
        return false;
    }
    startRun(state, *next, now, outbox);
    return true;
}

} // namespace

void runAgentDispatch(AgentState &state, TimePoint now, AgentOutbox &outbox)
{
    bool started = state.reachable_;
    while (started) {
        started = startNext(state, now, outbox);
    }
}

} // namespace Burdockfield
