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

} // namespace Burdockfield
