/**
 * @file configuration_wire.h
 * @brief JSON codecs of configurations, changes and plans.
 */
#pragma once

#include "configuration_type.h"
#include "json_func.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

/// @return canonical JSON: equal configurations give equal text, so that their digests can be compared.
std::string serializeConfiguration(const Configuration &configuration);

/// Parses the output of serializeConfiguration(). @return a WireErrc on bad input.
std::error_code parseConfiguration(std::string_view text, Configuration &configuration);

/// @return a JSON array of changes.
Json::array serializeChanges(const std::vector<Change> &changes);

/// Parses a JSON array of changes. @return a WireErrc on bad input.
std::error_code parseChanges(const Json::value &value, std::vector<Change> &changes);

/// @return JSON of a plan and its effects.
std::string serializePlan(const Plan &plan);

/// Parses the output of serializePlan(). @return a WireErrc on bad input.
std::error_code parsePlan(std::string_view text, Plan &plan);

/// @return JSON of a confirmed change.
std::string serializeConfirmedChange(const ConfirmedChange &change);

/// Parses the output of serializeConfirmedChange(). @return a WireErrc on bad input.
std::error_code parseConfirmedChange(std::string_view text, ConfirmedChange &change);

/// @return what a change affects, with its settings in both configurations; displacedWork_ is left empty.
PlanEffect describeEffect(const Configuration &before, const Configuration &after, const Change &change);

} // namespace Burdockfield
