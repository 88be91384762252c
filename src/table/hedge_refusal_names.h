/**
 * @file hedge_refusal_names.h
 * @brief Names of the reasons against a hedged send in metrics.
 */
#pragma once

#include "../gateway_hedging_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield {

constexpr std::array<std::pair<std::string_view, Gateway::HedgeRefusal>, 8> hedgeRefusalNames{ {
    { "attempts", Gateway::HedgeRefusal::Attempts },
    { "deadline", Gateway::HedgeRefusal::Deadline },
    { "crash-suspect", Gateway::HedgeRefusal::CrashSuspect },
    { "callers-retry", Gateway::HedgeRefusal::CallersRetry },
    { "slow-upstreams", Gateway::HedgeRefusal::SlowUpstreams },
    { "retry-budget", Gateway::HedgeRefusal::RetryBudget },
    { "budget", Gateway::HedgeRefusal::Budget },
    { "no-slot", Gateway::HedgeRefusal::NoSlot },
} };

} // namespace Burdockfield
