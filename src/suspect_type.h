/**
 * @file suspect_type.h
 * @brief Payloads that were in flight when an upstream crashed, and may have caused the crash.
 */
#pragma once

#include "time_type.h"

#include <cstdint>
#include <map>
#include <string>

namespace Burdockfield {

/// Crash record of a payload.
struct Suspect
{
    uint32_t crashes_ = 0; ///< Crashes while it was in flight.
    uint32_t crashesAlone_ = 0; ///< Crashes while it was the only request in flight.
    TimePoint expiresAt_{}; ///< When the record is dropped.
};

/// Suspects by payload digest.
using SuspectTable = std::map<std::string, Suspect>;

/// Number of crashes as the only request in flight at which a payload is refused.
constexpr uint32_t suspectRefusalThreshold = 1;

/// How long a record is kept after the last crash.
constexpr std::chrono::minutes suspectRetention{ 30 };

/// Maximum number of records; those that expire first are dropped first.
constexpr size_t suspectLimit = 256;

} // namespace Burdockfield
