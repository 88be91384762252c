/**
 * @file status_wire.h
 * @brief JSON of the nodes' status pages and of the replies to operators.
 */
#pragma once

#include "agent_base.h"
#include "agent_func.h"
#include "configuration_type.h"
#include "entry_base.h"
#include "http_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace Burdockfield {

/// @return JSON that summarises an entry's tables.
std::string serializeEntryStatus(const EntryState &state);

/// @return JSON that summarises an agent's tables.
std::string serializeAgentStatus(const AgentState &state);

/// @return JSON of confirmed changes, for parseConfirmedChanges().
std::string serializeConfirmedChanges(const std::vector<ConfirmedChange> &changes);

/// Parses and appends confirmed changes. @return success, or a WireErrc on bad input
std::error_code parseConfirmedChanges(std::string_view text, std::vector<ConfirmedChange> &changes);

/// @return the HTTP response to an operator; errors become problem documents.
HttpReply serializeOperatorReply(const OperatorReply &reply);

} // namespace Burdockfield
