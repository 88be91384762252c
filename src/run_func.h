/**
 * @file run_func.h
 * @brief State changes of a run, shared by the systems of an agent.
 */
#pragma once

#include "agent_base.h"

namespace Burdockfield {

/// How long an ended run without a key is kept after its deadline, so that a late copy of its order is not run.
constexpr std::chrono::seconds endedRunRetention{ 30 };

/// How long an ended run with a key is kept for resent requests.
constexpr std::chrono::seconds keyedRunRetention{ 600 };

/// Time without a reader after which a run that may be retried is cancelled.
constexpr std::chrono::seconds orphanTimeout{ 10 };

/// How long a run of a higher tier waits for a free slot before a run of a lower tier is paused for it.
constexpr Milliseconds preemptionDelay{ 100 };

/// @return the end of a failed run, with the error and whether it ran.
AnswerEnd makeFailure(std::error_code error, RunOutcome runOutcome);

/// Ends a run; releases its claim if the run failed without having run.
void endRun(AgentState &state, RunId id, AnswerEnd end, TimePoint now, AgentOutbox &outbox);

/// Stops a running run at the upstream; the caller sets its next stage.
void abortRun(AgentState &state, RunId id, AgentOutbox &outbox);

/// @return whether a run may be paused or cancelled without breaking a guarantee given to its caller.
bool mayInterrupt(const Run &run);

/// @return whether no entry needs the run: it has no reader and no key, and may be retried.
bool isAbandoned(const Run &run);

/// @return the number of waiting and running runs by tier.
TierCounts countOccupied(const AgentState &state);

/// Adds a placement decision about a run to the decision log.
void logPlacement(
    const AgentState &state, const RunOrder &order, PlacementAction action, std::error_code error, AgentOutbox &outbox);

/// Starts or restarts the conditional write that claims a run's key.
void writeClaim(AgentState &state, RunId id, AgentOutbox &outbox);

/// Releases the claim of a run that will never start.
void releaseClaim(AgentState &state, const Run &run, AgentOutbox &outbox);

} // namespace Burdockfield
