/**
 * @file suspect_func.h
 * @brief Recording and merging of crash suspects.
 */
#pragma once

#include "suspect_type.h"

#include <string_view>

namespace Burdockfield {

/**
 * Records that @p digest was in flight at a crash.
 * @param alone whether it was the only request in flight
 */
void recordCrash(SuspectTable &suspects, const std::string &digest, bool alone, TimePoint now);

/**
 * Takes over what a peer knows; counts only grow, so merging in any order gives the same table.
 * @return whether anything was new.
 */
bool mergeSuspects(SuspectTable &suspects, const SuspectTable &heard);

/// Drops the suspicions that have expired.
void expireSuspects(SuspectTable &suspects, TimePoint now);

/// @return whether @p digest has to run alone.
bool mustRunAlone(const SuspectTable &suspects, const std::string &digest);

/// @return how often @p digest has crashed an upstream alone when it must be refused, or 0.
uint32_t crashCountIfRefused(const SuspectTable &suspects, const std::string &digest);

} // namespace Burdockfield
