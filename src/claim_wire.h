/**
 * @file claim_wire.h
 * @brief Codec for claims of idempotency keys, which are rows of the table service.
 */
#pragma once

#include "answer_type.h"
#include "store_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

/// Claim of an idempotency key. The key is the key of its row.
struct Claim
{
    RunName run_; ///< Run that holds the claim.
    std::string agentAddress_; ///< IP:PORT of the agent of that run.
    uint64_t agentIncarnation_ = 0; ///< Incarnation of that agent.
    std::string digest_; ///< Digest of workspace, route and payload.
};

/// @return the claim as JSON.
std::string serializeClaim(const Claim &claim);

/// Parses a claim. @return a WireErrc on bad input.
std::error_code parseClaim(std::string_view text, Claim &claim);

} // namespace Burdockfield
