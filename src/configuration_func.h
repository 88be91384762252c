/**
 * @file configuration_func.h
 * @brief Plans: tested on a copy, then executed by the same code.
 */
#pragma once

#include "configuration_type.h"

#include <optional>
#include <span>
#include <system_error>

namespace Burdockfield {

/**
 * Applies one change.
 * @return a PlanErrc when the change does not fit the configuration, which is then left as it was.
 */
std::error_code applyChange(Configuration &configuration, const Change &change);

/**
 * Applies changes in order and counts the revision up.
 * @return the first error; the configuration is then left as it was.
 */
std::error_code applyChanges(Configuration &configuration, std::span<const Change> changes);

/// Outcome of testing changes.
struct PlanResult
{
    std::error_code error_; ///< Why the changes cannot be planned.
    Plan plan_; ///< The plan, when there is no error.
};

/**
 * Tests changes against a configuration, which stays as it is.
 * @param id name for the plan
 */
PlanResult makePlan(const Configuration &configuration, std::string id, std::vector<Change> changes);

/**
 * Applies a confirmed change and checks that it leads to the recorded digest.
 * @return PlanErrc::StaleBase when it does not follow the revision, PlanErrc::Diverged on another digest.
 */
std::error_code replayChange(Configuration &configuration, const ConfirmedChange &change);

/// @return SHA-256 of the canonical text of the configuration, in hexadecimal.
std::string configurationDigest(const Configuration &configuration);

/// @return the rank of the tier, or nothing when there is no such tier.
std::optional<TierRank> tierRank(const Configuration &configuration, const std::string &tier);

} // namespace Burdockfield
