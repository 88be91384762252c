/**
 * @file entry_membership_func.h
 * @brief Subsets of the upstreams that an entry dispatches to.
 */
#pragma once

#include "entry_base.h"

namespace Burdockfield {

/// Recomputes the subset of upstreams for each route, and which upstreams the configuration drains.
void rebuildSubsets(EntryState &state, TimePoint now);

} // namespace Burdockfield
