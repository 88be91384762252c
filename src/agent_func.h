/**
 * @file agent_func.h
 * @brief The tick of an agent and its systems, in the order in which they run.
 */
#pragma once

#include "agent_base.h"

namespace Burdockfield {

/**
 * Runs every system once over the tables.
 * @param state the tables
 * @param now present time
 * @param inbox inputs since the last tick
 * @return the effects
 */
AgentOutbox tickAgent(AgentState &state, TimePoint now, AgentInbox inbox);

/// @return when the tables next need a tick although nothing comes in.
TimePoint nextAgentDeadline(const AgentState &state);

/// Makes the first state of an agent. @param seed seeds the random numbers and the incarnation
AgentState makeAgentState(NodeIdentity place, AgentPolicy policy, UpstreamSettings upstream, uint64_t seed);

/// @return the report as it stands.
AgentReport makeReport(const AgentState &state);

/// Takes in what the upstream says of itself and the VM list.
void runUpstreamWatch(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Takes in pieces and ends of answers from the upstream.
void runEngineOutput(AgentState &state, TimePoint now, AgentInbox &inbox, AgentOutbox &outbox);

/// Writes, settles and retries claims of idempotency keys.
void runClaims(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Admits ordered runs or turns them down, and cancels attempts.
void runAdmission(AgentState &state, TimePoint now, AgentInbox &inbox, AgentOutbox &outbox);

/// Ends runs whose wait is over, forgets old ones.
void runRunDeadlines(AgentState &state, TimePoint now, AgentOutbox &outbox);

/// Hands waiting runs to the upstream, pausing lower tiers for higher ones.
void runAgentDispatch(AgentState &state, TimePoint now, AgentOutbox &outbox);

/// Sends frames and heartbeats to readers.
void runAnswerStreams(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Gives reports to the entries that wait for them.
void runReportGiving(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

/// Answers status requests and ends a planned stop.
void runAgentStatus(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox);

} // namespace Burdockfield
