/**
 * @file settings_names.h
 * @brief Names of enumeration values, and units, in settings files.
 */
#pragma once

#include "../settings_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield {

constexpr std::array<std::pair<std::string_view, Role>, 3> roleNames{ {
    { "gateway", Role::Gateway },
    { "entry", Role::Entry },
    { "agent", Role::Agent },
} };

constexpr std::array<std::pair<std::string_view, LogLevel>, 3> logLevelNames{ {
    { "info", LogLevel::Info },
    { "warning", LogLevel::Warning },
    { "error", LogLevel::Error },
} };

constexpr std::array<std::pair<std::string_view, RoutingRule>, 2> routingRuleNames{ {
    { "round-robin", RoutingRule::RoundRobin },
    { "expected-finish", RoutingRule::ExpectedFinish },
} };

constexpr std::array<std::pair<std::string_view, QueueRule>, 2> queueRuleNames{ {
    { "first-come", QueueRule::FirstCome },
    { "tier-fair", QueueRule::TierFair },
} };

/// Predefined scheduling policies that a settings file can select. Single settings override them.
enum class PolicyPreset : uint8_t {
    Scheduled, ///< All defaults: every scheduling feature is on.
    Baseline, ///< Round-robin, first come first served, no preemption, no prefix affinity.
};

constexpr std::array<std::pair<std::string_view, PolicyPreset>, 2> policyPresetNames{ {
    { "scheduled", PolicyPreset::Scheduled },
    { "baseline", PolicyPreset::Baseline },
} };

/// Units of durations, in milliseconds.
constexpr std::array<std::pair<std::string_view, uint64_t>, 3> durationUnits{ {
    { "ms", 1 },
    { "s", 1000 },
    { "m", 60000 },
} };

/// Units of sizes, in bytes.
constexpr std::array<std::pair<std::string_view, uint64_t>, 3> sizeUnits{ {
    { "", 1 },
    { "KiB", 1024 },
    { "MiB", 1048576 },
} };

} // namespace Burdockfield
