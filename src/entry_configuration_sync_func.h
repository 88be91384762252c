/**
 * @file entry_configuration_sync_func.h
 * @brief How an entry follows the configuration, and what it tells its peers.
 */
#pragma once

#include "entry_base.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Table of the table service that holds the configuration.
constexpr const char *configurationTable = "configuration";

/// Row of the newest confirmed change.
constexpr const char *configurationHeadKey = "head";

/// Row of the whole configuration.
constexpr const char *configurationSnapshotKey = "snapshot";

/// @return row of the change that made a revision.
std::string configurationChangeKey(uint64_t revision);

/// Reads a row of the configuration's table. @param call set to the number of the call
void readConfigurationRow(EntryState &state, uint64_t &call, const std::string &key, EntryOutbox &outbox);

/// Applies a confirmed change and puts it in force. @return whether it was applied
bool applyConfirmedChange(EntryState &state, const ConfirmedChange &change, TimePoint now);

/// @return the changes after @p revision, or none when this node no longer has them all.
std::vector<ConfirmedChange> changesAfter(const EntryState &state, uint64_t revision);

/// @return whether the node would ask a peer for the configuration now, but for the pause between two questions.
bool shouldFetchFromPeer(const EntryState &state);

} // namespace Burdockfield
