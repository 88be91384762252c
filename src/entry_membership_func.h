/**
 * @file entry_membership_func.h
 * @brief Subsets of upstreams that an entry holds.
 */
#pragma once

#include "entry_base.h"

namespace Burdockfield {

/// Chooses anew which upstreams this entry holds for each route, and which of them the configuration drains.
void rebuildSubsets(EntryState &state, TimePoint now);

} // namespace Burdockfield
