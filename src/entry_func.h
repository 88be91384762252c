/**
 * @file entry_func.h
 * @brief The tick of an entry and its systems, in the order in which they run.
 */
#pragma once

#include "entry_base.h"

namespace Burdockfield {

/**
 * Runs every system once over the tables.
 * @param state the tables
 * @param now present time
 * @param inbox inputs since the last tick
 * @return the effects
 */
EntryOutbox tickEntry(EntryState &state, TimePoint now, EntryInbox inbox);

/// @return when the tables next need a tick although nothing comes in.
TimePoint nextEntryDeadline(const EntryState &state);

/// Makes the first state of an entry. @param seed seeds the random numbers and the incarnation
EntryState makeEntryState(NodeIdentity place, EntryPolicy policy, uint64_t seed);

/// @return whether the entry takes requests.
bool isReady(const EntryState &state);

/// Takes in the VM list and asks for the next one.
void runMembership(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Takes in agents' reports and asks for the next ones.
void runReports(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Follows the configuration in the table service.
void runConfiguration(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Answers plans and confirmations.
void runConfirmations(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Puts new requests into the queues or refuses them.
void runIntake(EntryState &state, TimePoint now, EntryInbox &inbox, EntryOutbox &outbox);

/// Takes in agents' answers to orders and cancellations.
void runOrders(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Relays frames of answers to callers.
void runRelay(EntryState &state, TimePoint now, EntryInbox &inbox, EntryOutbox &outbox);

/// Drops requests whose callers left.
void runCallerDisconnects(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Ends requests whose wait is over, and retries what is due.
void runDeadlines(EntryState &state, TimePoint now, EntryOutbox &outbox);

/// Gives waiting requests to upstreams.
void runDispatch(EntryState &state, TimePoint now, EntryOutbox &outbox);

/// Answers status requests and ends a planned stop.
void runStatus(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

} // namespace Burdockfield
