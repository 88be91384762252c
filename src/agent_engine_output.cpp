/**
 * @file agent_engine_output.cpp
 * @brief System that applies deltas and ends of answers from the upstream, and measures the upstream's token rates.
 */
#include "agent_func.h"
#include "error_type.h"
#include "run_func.h"
#include "suspect_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr double rateGain = 0.2; ///< Weight of the newest sample in the moving averages of the token rates.
constexpr Milliseconds crashWindow{ 1000 }; ///< Connection losses within this time count as one crash.
constexpr uint32_t minRateSampleTokens = 4; ///< Shortest answer whose decode rate is measured.

void updateRate(double &rate, double tokens, Duration duration)
{
    const double seconds = std::chrono::duration_cast<FractionalSeconds>(duration).count();
    if (seconds <= 0 || tokens <= 0) {
        return;
    }
    rate += rate == 0 ? tokens / seconds : rateGain * (tokens / seconds - rate);
}

/// @return the run if the dispatch is the current one. Otherwise nullptr, and the event is counted as late.
Run *findDispatched(AgentState &state, RunId id, uint32_t dispatch)
{
    Run *run = findRow(state.runs_, id);
    const bool present = run != nullptr && run->stage_ == RunStage::Running && run->dispatchNumber_ == dispatch;
    if (!present) {
        count(state.metrics_, "late_engine_events_total", "engine");
    }
    return present ? run : nullptr;
}

void applyDeltas(AgentState &state, EngineDeltas &event, TimePoint now)
{
    Run *run = findDispatched(state, event.run_, event.dispatchNumber_);
    if (run == nullptr) {
        return;
    }
    if (run->dispatchTokens_ == 0 && run->order_.kind_ == RouteKind::Model) {
        run->firstDeltaAt_ = now;
        updateRate(state.prefillRate_, run->order_.promptTokens_, now - run->dispatchedAt_);
    }
    for (Delta &delta : event.deltas_) {
        run->receivedTokens_ += delta.tokens_;
        run->dispatchTokens_ += delta.tokens_;
        run->answerBytes_ += 2 * sizeof(Delta) + delta.text_.size(); // the vector may be twice as long as its contents
        run->answer_.push_back(std::move(delta));
    }
}

/// Ends the runs with the longest answers while those of all running runs exceed their memory.
void boundAnswers(AgentState &state, TimePoint now, AgentOutbox &outbox)
{
    const auto bytesOf = [&state](RunId id) {
        return findRow(state.runs_, id)->answerBytes_;
    };
    size_t bytes = 0;
    for (const RunId id : state.running_) {
        bytes += bytesOf(id);
    }
    while (bytes > state.answerLimit_) {
        const RunId longest = *std::max_element(state.running_.begin(), state.running_.end(),
            [&bytesOf](RunId left, RunId right) { return bytesOf(left) < bytesOf(right); });
        bytes -= bytesOf(longest);
        Run &run = *findRow(state.runs_, longest);
        run.answer_ = {}; // released now; readers get the end only
        run.answerBytes_ = 0;
        abortRun(state, longest, outbox);
        count(state.metrics_, "answers_given_up_total", "no-memory");
        endRun(state, longest, makeFailure(RefusalErrc::UpstreamError, RunOutcome::Unknown), now, outbox);
    }
}

void updateDecodeRate(AgentState &state, const Run &run, TimePoint now)
{
    if (run.order_.kind_ == RouteKind::Service) {
        updateRate(state.decodeRate_, 1, now - run.dispatchedAt_);
    } else if (run.dispatchTokens_ >= minRateSampleTokens) {
        updateRate(state.decodeRate_, run.dispatchTokens_ - 1, now - run.firstDeltaAt_);
    }
}

/// Ends a run that could not be sent to the upstream, and marks the upstream as unreachable.
void handleNotSent(AgentState &state, RunId id, TimePoint now, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    state.reachable_ = false;
    const bool firstDispatch = run.dispatchNumber_ == 1;
    const std::error_code error
        = firstDispatch ? std::error_code(AdmissionErrc::UpstreamDown) : std::error_code(RefusalErrc::UpstreamLost);
    endRun(state, id, makeFailure(error, firstDispatch ? RunOutcome::NotRun : RunOutcome::Unknown), now, outbox);
}

/// Ends a run whose order can't be written as a request. The upstream is not at fault.
void handleUnsendable(AgentState &state, RunId id, TimePoint now, AgentOutbox &outbox)
{
    const bool firstDispatch = findRow(state.runs_, id)->dispatchNumber_ == 1;
    const RunOutcome runOutcome = firstDispatch ? RunOutcome::NotRun : RunOutcome::Unknown;
    endRun(state, id, makeFailure(RefusalErrc::BadRequest, runOutcome), now, outbox);
}

/// Ends a run whose connection to the upstream was lost, and records the payload as a crash suspect.
void handleLost(AgentState &state, RunId id, bool alone, TimePoint now, AgentOutbox &outbox)
{
    const Run &run = *findRow(state.runs_, id);
    recordCrash(state.suspects_, run.order_.digest_, alone, now);
    count(state.metrics_, "runs_lost_total", alone ? "alone" : "together");
    endRun(state, id, makeFailure(RefusalErrc::UpstreamLost, RunOutcome::Unknown), now, outbox);
}

void applyEnd(AgentState &state, EngineEnded &event, bool alone, TimePoint now, AgentOutbox &outbox)
{
    const Run *run = findDispatched(state, event.run_, event.dispatchNumber_);
    if (run == nullptr) {
        return;
    }
    if (event.error_ == TransportErrc::NotSent) {
        handleNotSent(state, event.run_, now, outbox);
    } else if (event.error_ == TransportErrc::Unsendable) {
        handleUnsendable(state, event.run_, now, outbox);
    } else if (event.error_ != TransportErrc::Lost && event.error_) {
        endRun(state, event.run_, makeFailure(RefusalErrc::UpstreamLost, RunOutcome::Unknown), now, outbox);
    } else if (event.error_) {
        handleLost(state, event.run_, alone, now, outbox);
    } else {
        updateDecodeRate(state, *run, now);
        endRun(state, event.run_, std::move(event.end_), now, outbox);
    }
}

bool isUpstreamLoss(const EngineEnded &event)
{
    return event.error_ == TransportErrc::Lost;
}

} // namespace

void runEngineOutput(AgentState &state, TimePoint now, AgentInbox &inbox, AgentOutbox &outbox)
{
    for (EngineDeltas &event : inbox.deltas_) {
        applyDeltas(state, event, now);
    }
    boundAnswers(state, now, outbox);
    const bool crash = std::any_of(inbox.ends_.begin(), inbox.ends_.end(), isUpstreamLoss);
    const bool sameCrash = now - state.lastCrashAt_ < crashWindow;
    const bool alone = state.running_.size() == 1 && !sameCrash;
    for (EngineEnded &event : inbox.ends_) {
        applyEnd(state, event, alone, now, outbox);
    }
    if (crash) {
        state.lastCrashAt_ = now;
        state.reachable_ = false;
        state.loadDue_ = now;
    }
}

} // namespace Burdockfield
