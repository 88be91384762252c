/**
 * @file run_base.h
 * @brief Row of an agent's table of runs.
 */
#pragma once

#include "pool_type.h"
#include "request_type.h"
#include "run_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// Stage of a run at its agent.
enum class RunStage : uint8_t {
    Waiting, ///< Queued, or paused for a run of a higher tier.
    Running, ///< Sent to the upstream.
    Ended, ///< Complete, failed or never to be started; kept for readers.
};

/// Stage of the claim of a run's idempotency key.
enum class ClaimStage : uint8_t {
    NotNeeded, ///< The run has no key.
    Writing, ///< The result of a conditional write is awaited.
    Verifying, ///< The reply to a write was lost; the result of a read is awaited.
    Retrying, ///< The table service did not reply; the call will be retried.
    Held, ///< This run holds the claim.
};

/// Reader of a run's answer.
struct RunReader
{
    ExchangeId exchange_; ///< Exchange that frames are sent on.
    uint64_t nextOffset_ = 0; ///< Position of the first delta not sent yet.
    TimePoint heartbeatAt_{}; ///< When to send the next frame at the latest, even without deltas.
};

/// Run that an entry has ordered from this agent.
struct Run
{
    RunOrder order_;
    RunStage stage_ = RunStage::Waiting;
    bool started_ = false; ///< Whether it was ever sent to the upstream.
    uint32_t dispatchNumber_
        = 0; ///< Number of the current dispatch to the upstream; events of earlier ones are ignored.
    uint64_t sequence_ = 0; ///< Position in the order of arrival.
    double startTag_ = 0; ///< Virtual start time for fair sharing among the workspaces of its tier.
    TimePoint orderedAt_{}; ///< When the order was received.
    TimePoint deadline_{}; ///< End of the wait limit.

    ClaimStage claim_ = ClaimStage::NotNeeded; ///< Stage of the claim of its key.
    uint64_t claimCall_ = 0; ///< Number of the store call that is awaited.
    uint64_t claimVersion_ = 0; ///< Version that the row of the claim must have for the next write to succeed.
    TimePoint claimRetryAt_ = noDeadline; ///< When to retry the claim.

    std::vector<Delta> answer_; ///< Deltas received so far.
    size_t answerBytes_ = 0; ///< Memory of these deltas.
    uint32_t receivedTokens_ = 0; ///< Answer tokens received so far.
    uint64_t prefillTokens_ = 0; ///< Prompt tokens, added up over all dispatches.
    TimePoint dispatchedAt_{}; ///< Time of the latest dispatch.
    TimePoint firstDeltaAt_{}; ///< When the first delta of that dispatch was received.
    uint32_t dispatchTokens_ = 0; ///< Answer tokens received since that dispatch.
    AnswerEnd end_; ///< How the answer ended.
    std::vector<RunReader> readers_; ///< Entries that read the answer.
    bool delivered_ = false; ///< Whether the end was sent to a reader.
    TimePoint lastReadAt_{}; ///< When a reader was last connected.
    TimePoint eraseAt_ = noDeadline; ///< When to erase the run after its end.
};

using RunId = PoolId<Run>; ///< Index of a run.

} // namespace Burdockfield
