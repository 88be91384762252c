/**
 * @file gateway_replacement_func.h
 * @brief Upstreams that were replaced by another instance at the same address.
 *
 * Only one process listens at an address. Once a later instance is listed there, the earlier one has most likely ended,
 * although its row stays until it expires. Answers the load pattern in which many upstreams restart at once: calls to
 * the earlier instances would each cost a refusal and a second send.
 *
 * The list proves nothing: a row may be written late, or by somebody else. So the finding keeps calls away for a time
 * only, ends with any sign of life, and is no reason to send a call a second time.
 */
#pragma once

#include "gateway_func.h"

namespace Burdockfield::Gateway {

/// @return whether another instance seems to listen at the upstream's address, so that its process has ended.
bool isReplaced(const Upstream &upstream, TimePoint now);

/**
 * Compares a listed upstream with the latest one at its address. Of two instances the one with the later first row has
 * replaced the other. Rows whose versions are not known, and those of services that the configuration doesn't name,
 * decide nothing.
 */
void recordAddress(GatewayState &state, TimePoint now, UpstreamId id, GatewayOutbox &outbox);

/// Forgets what is known of the address of an upstream that is going to be removed.
void forgetAddress(GatewayState &state, const Upstream &upstream);

/// Takes a replaced upstream back whose row was written again later: then its process lives.
void recordRowWritten(Upstream &upstream, const UpstreamRow &row, GatewayOutbox &outbox);

/// Takes a replaced upstream back from which an answer of its own was received.
void recordSignOfLife(Upstream &upstream, GatewayOutbox &outbox);

/// Takes all upstreams at an address back after the instance that replaced them was found not to listen there.
void recordWrongInstance(GatewayState &state, const Upstream &notThere, GatewayOutbox &outbox);

} // namespace Burdockfield::Gateway
