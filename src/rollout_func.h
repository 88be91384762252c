/**
 * @file rollout_func.h
 * @brief Rules of rollouts that need no other state of a gateway.
 */
#pragma once

#include "rollout_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace Burdockfield::Gateway {

/// @return the name of a state, for messages between gateways and log lines.
std::string_view nameOfState(RolloutState state);

/// @return the state with that name, if there is one.
std::optional<RolloutState> parseStateName(std::string_view text);

/**
 * Replaces a rollout by a newer order. Versions of earlier orders that were not completed stay barred.
 * @return whether the order is newer
 */
bool applyOrder(Rollout &rollout, const RolloutOrder &order);

/// @return whether a version was ordered before, but its rollout was not completed.
bool isUnproven(const Rollout &rollout, const std::string &version);

/// Applies a state of the same order unless a stronger one is known. @return whether the state has changed
bool advanceState(Rollout &rollout, RolloutState state);

/// @return whether calls may be sent to a version at all.
bool mayUseVersion(const Rollout &rollout, const std::string &version);

/// @return whether sends to a version are counted and limited.
bool isLimited(const Rollout &rollout, const std::string &version);

/// @return the requests of a route that may be assigned to the new version now.
uint64_t exposureLeft(const Rollout &rollout, const std::string &route, double share);

/// @return the same for all routes together.
uint64_t exposureLeft(const Rollout &rollout, double share);

/// Counts an assignment. @param firstAssignment whether the request has not been counted before
void recordAssignment(Rollout &rollout, const std::string &route, const std::string &version, bool firstAssignment);

/**
 * Adds outcomes of the new version to a sequential test (a cumulative sum of log-likelihood ratios, never below 0).
 * It reacts to a version that turns bad late as fast as to one that is bad at once.
 * @return whether the failures show the version to be bad
 */
bool addOutcomes(double &score, const VersionOutcomes &added, const VersionOutcomes &others);

/// Adds a peer's newest report to the outcomes of all gateways; repeated and late reports change nothing.
void mergeEvidence(Rollout &rollout, const std::string &address, uint64_t incarnation, const RolloutEvidence &evidence);

/// Adds outcomes of this or another gateway, and stops the rollout if they show the new version to be bad.
void addEvidence(Rollout &rollout, const std::string &route, const RouteEvidence &added);

} // namespace Burdockfield::Gateway
