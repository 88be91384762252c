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

/// Where a run stands at its agent.
enum class RunStage : uint8_t {
    Waiting, ///< Queued, or paused for work of a higher tier.
    Running, ///< Handed to the upstream.
    Ended, ///< Whole, failed or never to be run; kept for readers.
};

/// Where the claim of a run's idempotency key stands.
enum class ClaimStage : uint8_t {
    NotNeeded, ///< The run has no key.
    Writing, ///< A conditional write is awaited.
    Verifying, ///< The answer of a write was lost; a read is awaited.
    Retrying, ///< The table service did not answer; to be tried again.
    Held, ///< The claim is this run's.
};

/// Reader of a run's answer.
struct RunReader
{
    ExchangeId exchange_; ///< Where frames go.
    uint64_t nextOffset_ = 0; ///< First piece not sent yet.
    TimePoint heartbeatAt_{}; ///< When to send a frame at the latest.
};

/// Run that an agent was ordered to make.
struct Run
{
    RunOrder order_; ///< The order.
    RunStage stage_ = RunStage::Waiting; ///< Where it stands.
    bool started_ = false; ///< Whether the upstream was ever given it.
    uint32_t dispatchNumber_ = 0; ///< Counts the hand-overs to the upstream; events of older ones are ignored.
    uint64_t sequence_ = 0; ///< Order of arrival.
    double startTag_ = 0; ///< Virtual start time among the workspaces of its tier.
    TimePoint orderedAt_{}; ///< When the order came.
    TimePoint deadline_{}; ///< End of the agreed wait.

    ClaimStage claim_ = ClaimStage::NotNeeded; ///< Claim of its key.
    uint64_t claimCall_ = 0; ///< Store call awaited.
    uint64_t claimVersion_ = 0; ///< Version that the claim's row must have for the next write.
    TimePoint claimRetryAt_ = noDeadline; ///< When to try the claim again.

    std::vector<Delta> answer_; ///< Pieces so far.
    uint32_t receivedTokens_ = 0; ///< Tokens so far.
    uint64_t prefillTokens_ = 0; ///< Prompt tokens over all hand-overs.
    TimePoint dispatchedAt_{}; ///< When the upstream was last given it.
    TimePoint firstDeltaAt_{}; ///< When the first piece of that hand-over came.
    uint32_t dispatchTokens_ = 0; ///< Tokens of that hand-over.
    AnswerEnd end_; ///< How it ended.
    std::vector<RunReader> readers_; ///< Readers of the answer.
    bool delivered_ = false; ///< Whether a reader was sent the end.
    TimePoint lastReadAt_{}; ///< When a reader was last there.
    TimePoint eraseAt_ = noDeadline; ///< When an ended run is forgotten.
};

using RunId = PoolId<Run>; ///< Index of a run.

} // namespace Burdockfield
