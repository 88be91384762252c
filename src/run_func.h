/**
 * @file run_func.h
 * @brief Steps in the life of a run, shared by the systems of an agent.
 */
#pragma once

#include "agent_base.h"

namespace Burdockfield {

/// Time after the agreed wait for which an ended run without a key is kept, so that no late copy of its order runs.
constexpr std::chrono::seconds endedRunRetention{ 30 };

/// Time for which an ended run with a key is kept for resent requests.
constexpr std::chrono::seconds keyedRunRetention{ 600 };

/// Time without a reader after which a run that may be repeated is given up.
constexpr std::chrono::seconds orphanTimeout{ 10 };

/// Time that a run of a higher tier waits for a slot to come free before lower work is paused for it.
constexpr Milliseconds preemptionDelay{ 100 };

/// @return an end that says why a run failed and what is known of it.
AnswerEnd makeFailure(std::error_code error, RunOutcome runOutcome);

/// Ends a run; gives its claim back when it has never been started.
void endRun(AgentState &state, RunId id, AnswerEnd end, TimePoint now, AgentOutbox &outbox);

/// Takes a running run from the upstream.
void abortRun(AgentState &state, RunId id, AgentOutbox &outbox);

/// @return whether a run may be paused or given up without breaking a promise.
bool mayInterrupt(const Run &run);

/// @return whether nobody but the given exchange could still want the run.
bool isAbandoned(const Run &run);

/// Counts the runs waiting or running, by tier.
TierCounts countOccupied(const AgentState &state);

/// Appends a line about a run to the log.
void logPlacement(
    const AgentState &state, const RunOrder &order, PlacementAction action, std::error_code error, AgentOutbox &outbox);

/// Starts, or starts again, the write of the claim of a run's key.
void writeClaim(AgentState &state, RunId id, AgentOutbox &outbox);

/// Gives back the claim of a run that will never start.
void releaseClaim(AgentState &state, const Run &run, AgentOutbox &outbox);

} // namespace Burdockfield
