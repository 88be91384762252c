/**
 * @file configuration_wire.h
 * @brief JSON of the configuration, of changes and of plans.
 */
#pragma once

#include "configuration_type.h"
#include "json_func.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

/// @return canonical JSON: equal configurations give equal text.
std::string serializeConfiguration(const Configuration &configuration);

/// Parses what serializeConfiguration() wrote. @return a WireErrc on bad input.
std::error_code parseConfiguration(std::string_view text, Configuration &configuration);

/// @return JSON of the changes, an array.
Json::array serializeChanges(const std::vector<Change> &changes);

/// Parses an array of changes. @return a WireErrc on bad input.
std::error_code parseChanges(const Json::value &value, std::vector<Change> &changes);

/// @return JSON of a plan.
std::string serializePlan(const Plan &plan);

/// Parses a plan. @return a WireErrc on bad input.
std::error_code parsePlan(std::string_view text, Plan &plan);

/// @return JSON of a confirmed change.
std::string serializeConfirmedChange(const ConfirmedChange &change);

/// Parses a confirmed change. @return a WireErrc on bad input.
std::error_code parseConfirmedChange(std::string_view text, ConfirmedChange &change);

/// @return the subject of a change with its settings before and after.
PlanEffect describeEffect(const Configuration &before, const Configuration &after, const Change &change);

} // namespace Burdockfield
