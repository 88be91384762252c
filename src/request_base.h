/**
 * @file request_base.h
 * @brief Row of the table of requests.
 */
#pragma once

#include "pool_type.h"
#include "prefix_type.h"
#include "request_type.h"
#include "route_base.h"
#include "run_type.h"
#include "upstream_base.h"
#include "workspace_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// Where a request stands.
enum class RequestStage : uint8_t {
    Waiting, ///< Queued at this entry.
    AwaitingReply, ///< A run has been ordered; the agent has not answered yet.
    Reading, ///< The agent has the run; its answer is being read.
    Cancelling, ///< The agreed wait is over; the agent is asked whether it ran.
};

/// Request in progress at an entry.
struct Request
{
    CallerRequest caller_; ///< What was asked.
    std::string name_; ///< Name across the fleet.
    WorkspaceId workspace_; ///< Customer.
    RouteId route_; ///< Model or service.
    TierRank tier_ = 0; ///< Tier.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be repeated.
    std::string digest_; ///< Digest of workspace, route and payload.
    PrefixHashes prefixes_; ///< Hashes of the prompt's prefixes.
    uint32_t promptTokens_ = 0; ///< Estimated prompt length.
    uint32_t answerTokens_ = 0; ///< Estimated answer length.
    uint32_t estimatedMaxTokens_ = 0; ///< Answer length that few answers exceed.
    double cost_ = 0; ///< Charge in the fair queue.
    TimePoint arrivedAt_{}; ///< When it came.
    TimePoint deadline_{}; ///< End of the agreed wait.

    RequestStage stage_ = RequestStage::Waiting; ///< Where it stands.
    uint32_t attempt_ = 0; ///< Attempts so far.
    UpstreamId upstream_; ///< Upstream of the present attempt.
    std::string agentAddress_; ///< Agent that is read from.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that the order was meant for.
    RunName readRun_; ///< Run that is read; another request's when attached by key.
    bool attached_ = false; ///< Whether the run belongs to another request with the same key.
    RunName releasedRun_; ///< Run of the same key that its agent has said will never run.
    bool orderPending_ = false; ///< Whether the upstream counts the order as unanswered.
    uint32_t orderSends_ = 0; ///< How often the present order was sent.
    uint32_t streamNumber_ = 0; ///< Counts the reads of the answer; older ones are ignored.
    TimePoint lastReceivedAt_{}; ///< When the agent was last heard on this request.
    TimePoint retryAt_{ noDeadline }; ///< When to send the order or open the answer again.
    bool mayHaveRun_ = false; ///< Whether an earlier attempt may have run.

    std::vector<Delta> answer_; ///< Pieces received.
    uint32_t receivedTokens_ = 0; ///< Tokens received.
    uint64_t attemptOffset_ = 0; ///< Pieces received before the present attempt.
    bool responseStarted_ = false; ///< Whether pieces have gone to the caller.
};

using RequestId = PoolId<Request>; ///< Index of a request.

} // namespace Burdockfield
