/**
 * @file entry_func.h
 * @brief Tick of an entry, and its systems in the order in which they run.
 */
#pragma once

#include "entry_base.h"

namespace Burdockfield {

/**
 * Runs every system once over the tables of an entry.
 * @param state tables to update
 * @param now current time
 * @param inbox events received since the last tick
 * @return commands for the I/O thread
 */
EntryOutbox tickEntry(EntryState &state, TimePoint now, EntryInbox inbox);

/// @return time at which the next tick is needed even if no event is received.
TimePoint nextEntryDeadline(const EntryState &state);

/// Creates the initial state of an entry. @param seed seed of the random numbers, the first of which is the incarnation
EntryState makeEntryState(NodeIdentity identity, EntryPolicy policy, uint64_t seed);

/// @return whether the entry accepts requests: it has a configuration and is not stopping.
bool isReady(const EntryState &state);

/// Applies received VM lists and requests the next one.
void runMembership(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Applies received agent reports and requests the next ones.
void runReports(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Keeps the configuration up to date from the table service and from peers.
void runConfiguration(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Tests plans for operators and confirms them in the table service.
void runConfirmations(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Admits new requests to the queues or refuses them.
void runIntake(EntryState &state, TimePoint now, EntryInbox &inbox, EntryOutbox &outbox);

/// Handles agents' replies to run orders and cancellations.
void runOrders(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Relays answers from agents to callers.
void runRelay(EntryState &state, TimePoint now, EntryInbox &inbox, EntryOutbox &outbox);

/// Drops requests whose callers have disconnected, and cancels their runs.
void runCallerDisconnects(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

/// Ends requests whose agreed wait has expired, and runs the retries that are due.
void runDeadlines(EntryState &state, TimePoint now, EntryOutbox &outbox);

/// Dispatches waiting requests to upstreams with free capacity.
void runDispatch(EntryState &state, TimePoint now, EntryOutbox &outbox);

/// Replies to status requests, and starts and ends a planned stop.
void runStatus(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox);

} // namespace Burdockfield
