/**
 * @file status_wire.h
 * @brief JSON of nodes' status pages and of operators' answers.
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

/// @return JSON of an entry's tables at a glance.
std::string serializeEntryStatus(const EntryState &state);

/// @return JSON of an agent's tables at a glance.
std::string serializeAgentStatus(const AgentState &state);

/// @return JSON of confirmed changes.
std::string serializeConfirmedChanges(const std::vector<ConfirmedChange> &changes);

/// Parses confirmed changes. @return a WireErrc on bad input.
std::error_code parseConfirmedChanges(std::string_view text, std::vector<ConfirmedChange> &changes);

/// @return the HTTP answer to an operator.
HttpReply serializeOperatorReply(const OperatorReply &reply);

} // namespace Burdockfield
