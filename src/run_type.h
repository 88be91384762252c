/**
 * @file run_type.h
 * @brief Messages between entries and agents about runs.
 */
#pragma once

#include "agent_report_type.h"
#include "answer_type.h"
#include "route_type.h"
#include "tier_type.h"
#include "time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// Order of an entry to an agent to run a request.
struct RunOrder
{
    RunName name_; ///< Attempt that is ordered.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that the order is meant for.
    uint64_t revision_ = 0; ///< Configuration revision that the entry knows.
    std::string workspace_; ///< Workspace of the caller.
    double weight_ = 1; ///< Share weight of the workspace.
    TierRank tier_ = 0; ///< Tier of the request.
    std::string route_; ///< Model or service.
    RouteKind kind_ = RouteKind::Model; ///< Kind of the route.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be repeated.
    std::string method_; ///< HTTP method for a service.
    std::string path_; ///< Path for a service, or of the model API.
    std::string payload_; ///< Body sent by the caller.
    std::string digest_; ///< Digest of workspace, route and payload.
    std::string key_; ///< Idempotency key, or empty.
    Milliseconds remainingWait_{ 0 }; ///< Time left of the agreed wait.
    uint32_t promptTokens_ = 0; ///< Estimated prompt length.
    uint32_t answerTokens_ = 0; ///< Estimated answer length.
    uint32_t estimatedMaxTokens_ = 0; ///< Answer length that few answers exceed.
    uint32_t resumeTokens_ = 0; ///< Tokens of the answer that an earlier attempt delivered.
    bool isolated_ = false; ///< Whether it must run alone.
    RunName releasedRun_; ///< Run of the same key that its agent has said will never run.
};

/// Answer of an agent to a run order.
struct RunReply
{
    std::error_code error_; ///< Success when taken, or an AdmissionErrc: then the attempt will never run here.
    AgentReport report_; ///< State of the upstream after the order.
};

/// What an agent says of an attempt it was told to cancel.
struct CancelReply
{
    bool known_ = false; ///< Whether the agent has heard of the attempt.
    RunOutcome runOutcome_ = RunOutcome::Unknown; ///< Whether it ran.
};

/// Pieces of an answer read from an agent; empty as a heartbeat.
struct AnswerFrame
{
    RunName name_; ///< Attempt that the pieces belong to.
    uint64_t offset_ = 0; ///< Position of the first piece.
    std::vector<Delta> deltas_; ///< Pieces.
    bool ended_ = false; ///< Whether the answer is complete with this frame.
    AnswerEnd end_; ///< How it ended.
    AgentReport report_; ///< State of the upstream; only in a frame that ends.
};

} // namespace Burdockfield
