/**
 * @file fleet_parts_func.h
 * @brief What fleets of every kind are put together from.
 */
#pragma once

#include "fleet_func.h"

#include <string>
#include <vector>

namespace Burdockfield::Testing {

/// @return addresses on loopback that were free when they were asked for, all different.
std::vector<std::string> takeAddresses(size_t count);

/// Makes the folder of a fleet's settings, logs and ledgers.
void makeFolder(Fleet &fleet);

/// Adds a stand-in; all but the platform keep a ledger.
void addStandin(Fleet &fleet, const std::string &name, const std::string &address, std::vector<std::string> options);

/// Adds a daemon with its settings file.
void addDaemon(Fleet &fleet, const std::string &name, const std::string &listen, const std::string &control,
    const std::string &settings);

/// Adds a link before a process, under its name with "-link" added.
void addLink(Fleet &fleet, const std::string &target, const std::string &listen, const std::string &control);

} // namespace Burdockfield::Testing
