/**
 * @file call_number_func.h
 * @brief Numbers of the calls between this system's own nodes.
 *
 * A connection alone doesn't tell which call a reply belongs to: a peer may send one twice. Each call to another node
 * therefore carries a number, which the node's reply repeats. Nodes of earlier releases repeat none.
 */
#pragma once

#include "http_type.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Burdockfield {

constexpr std::string_view callNumberHeader = "Call-Number"; ///< Between nodes only, in requests and replies.

/// @return the call number of a request or reply; 0, which no call has, if it is not one number; nothing without one.
std::optional<uint64_t> findCallNumber(const HttpHeaders &headers);

/**
 * @param expected number of the call under way; 0 if it has none
 * @return whether a reply names another call. One that names none may be of an earlier release, and counts.
 */
bool isExtraReply(uint64_t expected, const HttpHeaders &reply);

} // namespace Burdockfield
