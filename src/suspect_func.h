/**
 * @file suspect_func.h
 * @brief Recording and merging of crash suspects.
 */
#pragma once

#include "suspect_type.h"

#include <string_view>

namespace Burdockfield {

/**
 * Records that the payload was in flight when an upstream crashed.
 * @param alone whether it was the only request in flight
 */
void recordCrash(SuspectTable &suspects, const std::string &digest, bool alone, TimePoint now);

/**
 * Merges the records of a peer. Counts never decrease, so merging in any order gives the same table.
 * @return whether a count has increased.
 */
bool mergeSuspects(SuspectTable &suspects, const SuspectTable &received);

/// Drops the records that have expired.
void expireSuspects(SuspectTable &suspects, TimePoint now);

/// @return whether the payload is a suspect and must run alone on its upstream.
bool mustRunAlone(const SuspectTable &suspects, const std::string &digest);

/// @return the number of crashes of the payload if it must be refused, otherwise 0.
uint32_t crashCountIfRefused(const SuspectTable &suspects, const std::string &digest);

} // namespace Burdockfield
