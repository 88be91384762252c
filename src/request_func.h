/**
 * @file request_func.h
 * @brief State changes of a request, shared by the systems of an entry.
 */
#pragma once

#include "entry_base.h"

namespace Burdockfield {

/// Time without a message after which an agent counts as lost, for requests that may be retried.
constexpr Milliseconds agentSilenceTimeout{ 4000 };

/// Interval between retries to reach an agent.
constexpr Milliseconds orderRetryInterval{ 150 };

/// How long a request stays open after its wait limit for the agent's reply to the cancellation.
constexpr Milliseconds cancelReplyTimeout{ 250 };

/// Retry delay suggested to a refused caller when the fleet is overloaded.
constexpr Milliseconds overloadRetryAfter{ 2000 };

/// Retries of lost runs allowed per new request.
constexpr double retryBudgetRatio = 0.1;

/// @return the rank of the queue that the request waits in under the entry's policy.
size_t queueRank(const EntryState &state, const Request &request);

/// @return the workspace that the request is queued under; the same for all requests under QueueRule::FirstCome.
WorkspaceId queueWorkspace(const EntryState &state, const Request &request);

/// @return whether the request still exists and is queued at this entry.
bool isWaiting(const EntryState &state, RequestId id);

/// Sends deltas to the caller if it streams.
void sendDeltas(Request &request, std::vector<Delta> deltas, EntryOutbox &outbox, const EntryState &state);

/**
 * Ends a request with a refusal. If an earlier attempt may have run, "not run" is changed to "unknown".
 */
void refuseRequest(EntryState &state, RequestId id, std::error_code error, RunOutcome runOutcome, EntryOutbox &outbox,
    uint32_t timesRun = 0);

/// Ends a request with its complete answer.
void completeRequest(EntryState &state, RequestId id, AnswerEnd end, TimePoint now, EntryOutbox &outbox);

/// Removes a request without an answer, because its caller has disconnected.
void dropRequest(EntryState &state, RequestId id, EntryOutbox &outbox);

/// Queues a request for the first time.
void enqueueRequest(EntryState &state, RequestId id);

/// Puts a request back at the front of its queue after an attempt that did not run or may be retried.
void requeueRequest(EntryState &state, RequestId id, EntryOutbox &outbox);

/// Removes a request from the count of waiting requests; its queue entry is dropped later, when it reaches the head.
void removeFromQueue(EntryState &state, Request &request);

/// Removes the request's order from the upstream's count of orders without a reply, if it is included.
void clearPendingOrder(EntryState &state, Request &request);

/// Sends or resends the order of the current attempt.
void sendOrder(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox);

/// Starts to read the answer from the first missing delta.
void openAnswerStream(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox);

/// Sends a cancellation of the current attempt to its agent.
void cancelAttempt(Request &request, RequestId id, EntryOutbox &outbox);

/**
 * Handles an attempt that may have run and whose answer cannot be read: retries the request if that is allowed,
 * refuses it otherwise. If no retry is allowed and the loss is uncertain, tries the agent again later.
 * @param certain whether the attempt is known to be lost
 */
void resolveLostAttempt(EntryState &state, RequestId id, TimePoint now, bool certain, EntryOutbox &outbox);

/// Applies a report received within another message.
void applyReport(EntryState &state, UpstreamId id, const AgentReport &report, TimePoint now);

} // namespace Burdockfield
