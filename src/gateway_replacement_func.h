/**
 * @file gateway_replacement_func.h
 * @brief Upstreams that were replaced by another instance of their service at the same address.
 *
 * Only one process listens at an address. Once a later instance is listed there, the earlier one has ended, although
 * its row stays until it expires. Answers the load pattern in which many upstreams restart at once: calls to the
 * earlier instances would each cost a refusal and a second send.
 */
#pragma once

#include "gateway_func.h"

namespace Burdockfield::Gateway {

/// @return whether another instance listens at the upstream's address, so that its process has ended.
bool isReplaced(const Upstream &upstream);

/**
 * Compares a listed upstream with the others at its address. Of two instances of one service the one with the later
 * first row has replaced the other; rows whose versions are not known decide nothing.
 */
void recordAddress(GatewayState &state, TimePoint now, UpstreamId id, GatewayOutbox &outbox);

/// Forgets what is known of the address of an upstream that is going to be removed.
void forgetAddress(GatewayState &state, const Upstream &upstream);

/// Takes a replaced upstream back whose row was written again later: then its process lives.
void recordRowWritten(Upstream &upstream, const UpstreamRow &row, GatewayOutbox &outbox);

} // namespace Burdockfield::Gateway
