/**
 * @file configuration_func.h
 * @brief Validation and application of configuration changes. A plan is validated by applying it to a copy.
 */
#pragma once

#include "configuration_type.h"

#include <optional>
#include <span>
#include <system_error>

namespace Burdockfield {

/**
 * Applies one change.
 * @return a PlanErrc if the change is invalid; the configuration is then unchanged.
 */
std::error_code applyChange(Configuration &configuration, const Change &change);

/**
 * Applies changes in order and increments the revision.
 * @return the first error; the configuration is then unchanged.
 */
std::error_code applyChanges(Configuration &configuration, std::span<const Change> changes);

/// Result of makePlan().
struct PlanResult
{
    std::error_code error_; ///< Why the changes are invalid, or success.
    Plan plan_; ///< The plan; valid only without an error.
};

/**
 * Validates changes by applying them to a copy of the configuration.
 * @param id unique id of the plan
 * @return the plan with its effects, or the first error; changes that have no effect are an error too.
 */
PlanResult makePlan(const Configuration &configuration, std::string id, std::vector<Change> changes);

/**
 * Applies a confirmed change and compares the digest of the result with the recorded one.
 * @return PlanErrc::StaleBase if the change is not the next revision, PlanErrc::Diverged if the digests differ, or the
 * error of an invalid change; the configuration is then unchanged.
 */
std::error_code replayChange(Configuration &configuration, const ConfirmedChange &change);

/// @return SHA-256 of the canonical JSON of the configuration, in hexadecimal.
std::string configurationDigest(const Configuration &configuration);

/// @return the rank of the tier, or std::nullopt if the tier does not exist.
std::optional<TierRank> tierRank(const Configuration &configuration, const std::string &tier);

} // namespace Burdockfield
