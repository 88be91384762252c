/**
 * @file request_func.h
 * @brief Steps in the life of a request, shared by the systems of an entry.
 */
#pragma once

#include "entry_base.h"

namespace Burdockfield {

/// Time after which a silent agent is taken for lost, for requests that may be repeated.
constexpr Milliseconds agentSilenceTimeout{ 4000 };

/// Time between tries to reach an agent.
constexpr Milliseconds orderRetryInterval{ 150 };

/// Time for which a cancelled agent's word is waited for at the end of the agreed wait.
constexpr Milliseconds cancelReplyTimeout{ 250 };

/// Time that a refused caller is asked to wait when the fleet is overloaded.
constexpr Milliseconds overloadRetryAfter{ 2000 };

/// Share of fresh requests that may be spent on repeating lost runs.
constexpr double retryBudgetRatio = 0.1;

/// @return rank of the queue that the request waits in under the entry's policy.
size_t queueRank(const EntryState &state, const Request &request);

/// @return workspace under which the request is queued; one for all when the policy is first come, first served.
WorkspaceId queueWorkspace(const EntryState &state, const Request &request);

/// @return whether the request is still there and queued at this entry.
bool isWaiting(const EntryState &state, RequestId id);

/// Sends pieces to a streaming caller.
void sendDeltas(Request &request, std::vector<Delta> deltas, EntryOutbox &outbox, const EntryState &state);

/**
 * Ends a request with a refusal. What an earlier attempt may have done is taken into account: "not run" becomes
 * "unknown" when one may have run.
 */
void refuseRequest(EntryState &state, RequestId id, std::error_code error, RunOutcome runOutcome, EntryOutbox &outbox,
    uint32_t timesRun = 0);

/// Ends a request with its whole answer.
void completeRequest(EntryState &state, RequestId id, AnswerEnd end, TimePoint now, EntryOutbox &outbox);

/// Forgets a request without an answer.
void dropRequest(EntryState &state, RequestId id, EntryOutbox &outbox);

/// Queues a request for the first time.
void enqueueRequest(EntryState &state, RequestId id);

/// Queues a request again whose attempt did not run, or may be repeated.
void requeueRequest(EntryState &state, RequestId id, EntryOutbox &outbox);

/// Takes a request out of the queue's counts; its place in the queue is dropped when it comes up.
void removeFromQueue(EntryState &state, Request &request);

/// Ends the Ordering stage: the upstream's count of unanswered orders goes down.
void clearPendingOrder(EntryState &state, Request &request);

/// Sends, or sends again, the order of the present attempt.
void sendOrder(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox);

/// Opens a read of the answer from the first piece that is missing.
void openAnswerStream(EntryState &state, RequestId id, TimePoint now, EntryOutbox &outbox);

/// Tells the agent of the present attempt to cancel it.
void cancelAttempt(Request &request, RequestId id, EntryOutbox &outbox);

/**
 * The present attempt may have run and its answer cannot be had: repeats it if that is allowed, or refuses.
 * @param certain whether the agent that had the attempt is known to be gone
 */
void resolveLostAttempt(EntryState &state, RequestId id, TimePoint now, bool certain, EntryOutbox &outbox);

/// Takes over a report that came with another message.
void applyReport(EntryState &state, UpstreamId id, const AgentReport &report, TimePoint now);

} // namespace Burdockfield
