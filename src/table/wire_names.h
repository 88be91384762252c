/**
 * @file wire_names.h
 * @brief Names of enumeration values in JSON and in settings files.
 */
#pragma once

#include "../configuration_type.h"
#include "../route_type.h"
#include "../vm_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield {

constexpr std::array<std::pair<std::string_view, RouteKind>, 2> routeKindNames{ {
    { "model", RouteKind::Model },
    { "service", RouteKind::Service },
} };

constexpr std::array<std::pair<std::string_view, RetryPolicy>, 2> retryPolicyNames{ {
    { "repeatable", RetryPolicy::Retryable },
    { "at-most-once", RetryPolicy::AtMostOnce },
} };

constexpr std::array<std::pair<std::string_view, RunOutcome>, 3> runOutcomeNames{ {
    { "not_run", RunOutcome::NotRun },
    { "ran", RunOutcome::Ran },
    { "unknown", RunOutcome::Unknown },
} };

constexpr std::array<std::pair<std::string_view, SubjectKind>, 3> subjectKindNames{ {
    { "tier", SubjectKind::Tier },
    { "workspace", SubjectKind::Workspace },
    { "route", SubjectKind::Route },
} };

constexpr std::array<std::pair<std::string_view, DrainKind>, 2> drainKindNames{ {
    { "upstream", DrainKind::Upstream },
    { "region", DrainKind::Region },
} };

constexpr std::array<std::pair<std::string_view, VmRole>, 2> vmRoleNames{ {
    { "entry", VmRole::Entry },
    { "upstream", VmRole::Upstream },
} };

} // namespace Burdockfield
