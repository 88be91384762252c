/**
 * @file gateway_refusal_names.h
 * @brief Names of the gateway's refusal reasons in logs, metrics and responses.
 */
#pragma once

#include "../gateway_call_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield {

constexpr std::array<std::pair<std::string_view, Gateway::RefusalReason>, 15> refusalReasonNames{ {
    { "no-configuration", Gateway::RefusalReason::NoConfiguration },
    { "no-route", Gateway::RefusalReason::NoRoute },
    { "unknown-key", Gateway::RefusalReason::UnknownKey },
    { "malformed", Gateway::RefusalReason::Malformed },
    { "read-late", Gateway::RefusalReason::ReadLate },
    { "over-quota", Gateway::RefusalReason::OverQuota },
    { "overloaded", Gateway::RefusalReason::Overloaded },
    { "stopping", Gateway::RefusalReason::Stopping },
    { "no-upstream", Gateway::RefusalReason::NoUpstream },
    { "not-run-there", Gateway::RefusalReason::UpstreamRefused },
    { "unsendable", Gateway::RefusalReason::Unsendable },
    { "crash-suspect", Gateway::RefusalReason::CrashSuspect },
    { "exceeds-memory", Gateway::RefusalReason::ExceedsMemory },
    { "expired", Gateway::RefusalReason::Expired },
    { "upstream-failed", Gateway::RefusalReason::UpstreamFailed },
} };

} // namespace Burdockfield
