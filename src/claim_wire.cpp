/**
 * @file claim_wire.cpp
 * @brief Codec for claims of idempotency keys, which are rows of the table service.
 */
#include "claim_wire.h"

#include "json_func.h"

namespace Burdockfield {

std::string serializeClaim(const Claim &claim)
{
    return Json::serialize(Json::object{ { "request", claim.run_.request_ }, { "attempt", claim.run_.attempt_ },
        { "agent", claim.agentAddress_ }, { "incarnation", claim.agentIncarnation_ }, { "digest", claim.digest_ } });
}

std::error_code parseClaim(std::string_view text, Claim &claim)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "request", claim.run_.request_);
    read(reader, "attempt", claim.run_.attempt_);
    read(reader, "agent", claim.agentAddress_);
    read(reader, "incarnation", claim.agentIncarnation_);
    read(reader, "digest", claim.digest_);
    return reader.error_;
}

} // namespace Burdockfield
