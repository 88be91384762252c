/**
 * @file entry_configuration_sync_func.h
 * @brief Synchronisation of an entry's configuration with the table service and with its peers.
 */
#pragma once

#include "entry_base.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Name of the table that holds the configuration in the table service.
constexpr const char *configurationTable = "configuration";

/// Key of the row that holds the latest confirmed change.
constexpr const char *configurationHeadKey = "head";

/// Key of the row that holds the whole configuration.
constexpr const char *configurationSnapshotKey = "snapshot";

/// @return the key of the row that holds the confirmed change of a revision.
std::string configurationChangeKey(uint64_t revision);

/// Requests a row of the configuration table. @param call set to the number of the store call
void readConfigurationRow(EntryState &state, uint64_t &call, const std::string &key, EntryOutbox &outbox);

/// Applies a confirmed change and updates the entry's tables. @return whether it was applied
bool applyConfirmedChange(EntryState &state, const ConfirmedChange &change, TimePoint now);

/// @return the changes after @p revision, or none if this node no longer has all of them.
std::vector<ConfirmedChange> changesAfter(const EntryState &state, uint64_t revision);

/// @return whether a peer should be asked for the configuration as soon as the interval between two fetches allows.
bool shouldFetchFromPeer(const EntryState &state);

} // namespace Burdockfield
