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

/// Stage of a request at its entry.
enum class RequestStage : uint8_t {
    Waiting, ///< Queued at this entry.
    AwaitingReply, ///< A run order was sent; the agent's reply is awaited.
    Reading, ///< The agent accepted the run; its answer is being read.
    Cancelling, ///< The wait limit is over; the agent was told to cancel and asked whether the request ran.
};

/// Request in progress at an entry.
struct Request
{
    CallerRequest caller_; ///< Request as sent by the caller.
    std::string name_; ///< Unique in the fleet.
    WorkspaceId workspace_;
    RouteId route_;
    TierRank tier_ = 0;
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be retried.
    std::string digest_; ///< Digest of workspace, route and payload.
    PrefixHashes prefixes_; ///< Prefix hashes of the prompt.
    uint32_t promptTokens_ = 0; ///< Estimated prompt length in tokens.
    uint32_t answerTokens_ = 0; ///< Estimated answer length in tokens.
    uint32_t estimatedMaxTokens_ = 0; ///< Answer length in tokens that few answers exceed.
    double cost_ = 0; ///< Cost charged to the workspace in the fair queue.
    TimePoint arrivedAt_{}; ///< When it was received.
    TimePoint deadline_{}; ///< End of the wait limit.

    RequestStage stage_ = RequestStage::Waiting;
    uint32_t attempt_ = 0; ///< Number of the current attempt; 0 before the first.
    UpstreamId upstream_; ///< Upstream of the current attempt.
    std::string agentAddress_; ///< Agent that the answer is read from.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that the order is addressed to.
    RunName readRun_; ///< Run whose answer is read; belongs to another request if attached.
    bool attached_ = false; ///< Whether the run belongs to another request with the same idempotency key.
    RunName releasedRun_; ///< Run with the same key that will never start, as its agent has confirmed.
    bool orderPending_ = false; ///< Whether the order is included in the upstream's count of orders without a reply.
    uint32_t orderSends_ = 0; ///< How often the current order was sent.
    uint32_t streamNumber_ = 0; ///< Number of the current read of the answer; messages of earlier reads are ignored.
    TimePoint lastReceivedAt_{}; ///< When the agent last sent a message about this request.
    TimePoint retryAt_{ noDeadline }; ///< When to send the order or read the answer again.
    bool mayHaveRun_ = false; ///< Whether an earlier attempt may have run.

    std::vector<Delta> answer_; ///< Deltas received.
    size_t answerBytes_ = 0; ///< Memory of these deltas.
    uint32_t receivedTokens_ = 0; ///< Tokens received.
    uint64_t attemptOffset_ = 0; ///< Number of deltas received before the current attempt.
    bool responseStarted_ = false; ///< Whether a part of the answer was sent to the caller.
};

using RequestId = PoolId<Request>; ///< Index of a request.

} // namespace Burdockfield
