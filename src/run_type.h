/**
 * @file run_type.h
 * @brief Messages about runs between entries and agents.
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

/// Order from an entry to an agent to run a request.
struct RunOrder
{
    RunName name_; ///< Attempt to run.
    uint64_t agentIncarnation_ = 0; ///< Agent incarnation that the order is addressed to.
    uint64_t revision_ = 0; ///< Configuration revision of the entry.
    std::string workspace_; ///< Workspace of the caller.
    double weight_ = 1; ///< Weight of the workspace in fair sharing.
    TierRank tier_ = 0; ///< Tier of the request.
    std::string route_; ///< Name of the model or service.
    RouteKind kind_ = RouteKind::Model; ///< Kind of the route.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be retried.
    std::string method_; ///< HTTP method of a service call.
    std::string path_; ///< Path of a service call, or of the model API.
    std::string payload_; ///< Request body of the caller.
    std::string digest_; ///< Digest of workspace, route and payload.
    std::string key_; ///< Idempotency key, or empty.
    Milliseconds remainingWait_{ 0 }; ///< Time left until the end of the wait limit.
    uint32_t promptTokens_ = 0; ///< Estimated prompt length in tokens.
    uint32_t answerTokens_ = 0; ///< Estimated answer length in tokens.
    uint32_t estimatedMaxTokens_ = 0; ///< Answer length in tokens that few answers exceed.
    uint32_t resumeTokens_ = 0; ///< Answer tokens received from earlier attempts, where the run resumes.
    bool isolated_ = false; ///< Whether the run must be the only one on the upstream.
    RunName releasedRun_; ///< Run with the same key that will never start, as its agent has confirmed.
};

/// Reply of an agent to a run order.
struct RunReply
{
    std::error_code error_; ///< Success if accepted. With an AdmissionErrc the attempt will never run at this agent.
    AgentReport report_; ///< State of the upstream after the order.
};

/// Reply of an agent to the cancellation of an attempt.
struct CancelReply
{
    bool known_ = false; ///< Whether the agent knows the attempt.
    RunOutcome runOutcome_ = RunOutcome::Unknown; ///< Whether it ran.
};

/// Part of an answer sent by an agent; a frame without deltas is a heartbeat.
struct AnswerFrame
{
    RunName name_; ///< Attempt that the deltas belong to.
    uint64_t offset_ = 0; ///< Position of the first delta in the answer.
    std::vector<Delta> deltas_; ///< New deltas.
    bool ended_ = false; ///< Whether the answer ends with this frame.
    AnswerEnd end_; ///< How the answer ended; set if ended_.
    AgentReport report_; ///< State of the upstream; set if ended_.
};

} // namespace Burdockfield
