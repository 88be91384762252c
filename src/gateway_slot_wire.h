/**
 * @file gateway_slot_wire.h
 * @brief JSON encoding of the messages about slots between gateways.
 */
#pragma once

#include "gateway_slot_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield::Gateway {

/// @return whether a datagram is a message about slots; else it is an update.
bool isSlotMessage(std::string_view datagram);

/// Encodes a message, except its sender's address, which the receiver takes from the datagram.
std::string serializeSlotMessage(const SlotMessage &message);

/// Parses a message; address_ is left unchanged. @return a WireErrc on bad input
std::error_code parseSlotMessage(std::string_view datagram, SlotMessage &message);

} // namespace Burdockfield::Gateway
