/**
 * @file changes_file.h
 * @brief Parsing of the YAML files in which operators write configuration changes.
 */
#pragma once

#include "configuration_type.h"

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Burdockfield {

/**
 * Parses a YAML list of changes. A workspace's bearer token may be given as `token`, which is replaced by its digest.
 * @return a WireErrc or SettingsErrc on bad input
 */
std::error_code parseChangesFile(std::string_view text, std::vector<Change> &changes);

} // namespace Burdockfield
