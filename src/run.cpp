/**
 * @file run.cpp
 * @brief Steps in the life of a run, shared by the systems of an agent.
 */
#include "run_func.h"

#include "digest_func.h"
#include "error_type.h"

#include <algorithm>

namespace Burdockfield {

namespace {

uint64_t answerChecksum(const Run &run)
{
    std::string text;
    for (const Delta &delta : run.answer_) {
        text += delta.text_;
    }
    return fastHash(text);
}

/// Counts the prompt tokens that the upstream worked through for the run, by whether the answer was whole.
void countPrefill(AgentState &state, const Run &run)
{
    if (run.order_.kind_ != RouteKind::Model || run.prefillTokens_ == 0) {
        return;
    }
    const uint64_t used = run.end_.error_ ? 0 : run.order_.promptTokens_;
    count(state.metrics_, "prefill_tokens_total", "used", used);
    count(state.metrics_, "prefill_tokens_total", "wasted", run.prefillTokens_ - used);
}

} // namespace

AnswerEnd makeFailure(std::error_code error, RunOutcome runOutcome)
{
    AnswerEnd end;
    end.error_ = error;
    end.runOutcome_ = runOutcome;
    return end;
}

void endRun(AgentState &state, RunId id, AnswerEnd end, TimePoint now, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    std::erase(state.waiting_, id);
    std::erase(state.running_, id);
    if (end.error_ && end.runOutcome_ == RunOutcome::NotRun) {
        releaseClaim(state, run, outbox);
    }
    run.stage_ = RunStage::Ended;
    run.end_ = std::move(end);
    run.end_.deltaCount_ = run.answer_.size();
    run.end_.checksum_ = answerChecksum(run);
    const bool keyed = !run.order_.key_.empty() && run.end_.runOutcome_ != RunOutcome::NotRun;
    run.eraseAt_ = std::max(now, run.deadline_) + (keyed ? keyedRunRetention : endedRunRetention);
    run.lastReadAt_ = now;
    pushDeadline(state.runDeadlines_, run.eraseAt_, id);
    countPrefill(state, run);
    count(state.metrics_, "runs_ended_total", run.end_.error_ ? run.end_.error_.message() : "whole");
}

void abortRun(AgentState &state, RunId id, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    outbox.engineAborts_.push_back({ id, run.dispatchNumber_ });
    std::erase(state.running_, id);
}

bool mayInterrupt(const Run &run)
{
    return run.order_.retryPolicy_ == RetryPolicy::Retryable && run.order_.kind_ == RouteKind::Model;
}

bool isAbandoned(const Run &run)
{
    return run.readers_.empty() && run.order_.key_.empty() && run.order_.retryPolicy_ == RetryPolicy::Retryable;
}

TierCounts countOccupied(const AgentState &state)
{
    TierCounts counts{};
    for (const RunId id : state.waiting_) {
        ++counts[findRow(state.runs_, id)->order_.tier_];
    }
    for (const RunId id : state.running_) {
        ++counts[findRow(state.runs_, id)->order_.tier_];
    }
    return counts;
}

void logPlacement(
    const AgentState &state, const RunOrder &order, PlacementAction action, std::error_code error, AgentOutbox &outbox)
{
    PlacementDecision decision;
    decision.run_ = order.name_;
    decision.workspace_ = order.workspace_;
    decision.route_ = order.route_;
    decision.tier_ = order.tier_;
    decision.action_ = action;
    decision.error_ = error;
    decision.running_ = static_cast<uint32_t>(state.running_.size());
    decision.waiting_ = static_cast<uint32_t>(state.waiting_.size());
    decision.revision_ = state.revision_;
    outbox.decisions_.push_back(std::move(decision));
}

} // namespace Burdockfield
