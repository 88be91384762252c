/**
 * @file configuration_sync_func.h
 * @brief What an entry tells its peers of the configuration.
 */
#pragma once

#include "entry_base.h"

#include <vector>

namespace Burdockfield {

/// @return the changes after @p revision, or none when this node no longer has them all.
std::vector<ConfirmedChange> changesAfter(const EntryState &state, uint64_t revision);

/// @return whether the node would ask a peer for the configuration now, but for the pause between two questions.
bool wantsPeer(const EntryState &state);

} // namespace Burdockfield
