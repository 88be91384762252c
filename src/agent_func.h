/**
 * @file agent_func.h
 * @brief Tick of an agent, and its systems in the order in which they run.
 */
#pragma once

#include "agent_base.h"

namespace Burdockfield {

/**
 * Runs every system once over the tables of an agent.
 * @param state tables to update
 * @param now current time
 * @param inbox events received since the last tick
 * @return commands for the I/O thread
 */
AgentOutbox tickAgent(AgentState &state, TimePoint now, AgentInbox inbox);

/// @return time at which the next tick is needed even if no event is received.
TimePoint nextAgentDeadline(const AgentState &state);

/// Creates the initial state of an agent. @param seed seed of the random numbers, the first of which is the incarnation
AgentState makeAgentState(NodeIdentity identity, AgentPolicy policy, UpstreamSettings upstream, uint64_t seed);

/// @return report on the current state of the upstream and its agent.
AgentReport makeReport(const AgentState &state);

/// Applies received load replies and VM lists, and requests the next ones.
void runUpstreamWatch(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Applies received deltas and ends of answers, and measures the upstream's token rates.
void runEngineOutput(AgentState &state, TimePoint now, AgentInbox &inbox, AgentOutbox &outbox);

/// Applies replies of the table service to claims of idempotency keys, and retries failed calls.
void runClaims(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Admits or refuses ordered runs, and handles cancellations.
void runAdmission(AgentState &state, TimePoint now, AgentInbox &inbox, AgentOutbox &outbox);

/// Ends runs whose wait limit has expired or that no entry reads, and erases old ended runs.
void runRunDeadlines(AgentState &state, TimePoint now, AgentOutbox &outbox);

/// Dispatches waiting runs to the upstream, pausing runs of lower tiers for higher ones.
void runAgentDispatch(AgentState &state, TimePoint now, AgentOutbox &outbox);

/// Adds and removes readers, and sends them frames and heartbeats.
void runAnswerStreams(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Replies to report requests when the report has changed or the hold time has ended.
void runReportReplies(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Replies to status requests, and starts and ends a planned stop.
void runAgentStatus(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

} // namespace Burdockfield
