/**
 * @file decision_names.h
 * @brief Names of routing and placement decisions in the decision log.
 */
#pragma once

#include "../agent_command_type.h"
#include "../entry_command_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield {

constexpr std::array<std::pair<std::string_view, DecisionReason>, 3> decisionReasonNames{ {
    { "earliest-finish", DecisionReason::EarliestFinish },
    { "next-in-turn", DecisionReason::NextInTurn },
    { "refused", DecisionReason::Refused },
} };

constexpr std::array<std::pair<std::string_view, PlacementAction>, 5> placementActionNames{ {
    { "start", PlacementAction::Start },
    { "resume", PlacementAction::Resume },
    { "pause", PlacementAction::Pause },
    { "displace", PlacementAction::Displace },
    { "refuse", PlacementAction::Refuse },
} };

} // namespace Burdockfield
