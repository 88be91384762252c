/**
 * @file claim_wire.h
 * @brief Claim of an idempotency key, as a row of the table service.
 */
#pragma once

#include "answer_type.h"
#include "store_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

/// Claim of an idempotency key.
struct Claim
{
    RunName run_; ///< Run that holds the key.
    std::string agentAddress_; ///< Agent that has the run.
    uint64_t agentIncarnation_ = 0; ///< Incarnation of that agent.
    std::string digest_; ///< Digest of workspace, route and payload.
};

/// @return JSON of a claim.
std::string serializeClaim(const Claim &claim);

/// Parses a claim. @return a WireErrc on bad input.
std::error_code parseClaim(std::string_view text, Claim &claim);

} // namespace Burdockfield
