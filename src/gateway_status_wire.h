/**
 * @file gateway_status_wire.h
 * @brief JSON of a gateway's view of upstreams, peers, quotas and versions, for operators.
 */
#pragma once

#include "gateway_base.h"

#include <string>

namespace Burdockfield::Gateway {

/// @return the gateway's status as JSON, with the age of each part.
std::string serializeGatewayStatus(const GatewayState &state, TimePoint now);

} // namespace Burdockfield::Gateway
