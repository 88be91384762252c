/**
 * @file suspect_type.h
 * @brief Payloads seen in flight when an upstream crashed.
 */
#pragma once

#include "time_type.h"

#include <cstdint>
#include <map>
#include <string>

namespace Burdockfield {

/// What is known of a payload that was in flight at a crash.
struct Suspect
{
    uint32_t crashes_ = 0; ///< Crashes it was in flight at.
    uint32_t crashesAlone_ = 0; ///< Crashes it was the only request in flight at.
    TimePoint expiresAt_{}; ///< When the suspicion is dropped.
};

/// Suspects by payload digest.
using SuspectTable = std::map<std::string, Suspect>;

/// Crashes alone after which a payload is refused.
constexpr uint32_t suspectRefusalThreshold = 1;

/// Time for which a suspicion is kept after its last crash.
constexpr std::chrono::minutes suspectRetention{ 30 };

/// Bound on the suspects kept; the ones that expire first go first.
constexpr size_t suspectLimit = 256;

} // namespace Burdockfield
