/**
 * @file error_names.h
 * @brief Stable names of the error values, used in messages, logs and metrics.
 *
 * Each table has the order of its enumeration in error_type.h; index 0 is the success value.
 */
#pragma once

#include <array>
#include <string_view>

namespace Burdockfield {

constexpr std::array<std::string_view, 9> wireErrorNames{ "ok", "malformed-json", "missing-field", "wrong-type",
    "out-of-range", "unknown-value", "unknown-path", "wrong-method", "too-deep" };

constexpr std::array<std::string_view, 10> settingsErrorNames{ "ok", "cannot-read", "malformed-yaml", "unknown-key",
    "missing-key", "wrong-type", "wrong-unit", "out-of-range", "bad-address", "unknown-value" };

constexpr std::array<std::string_view, 19> refusalErrorNames{ "ok", "unknown-token", "unknown-route", "bad-request",
    "body-too-large", "header-too-large", "slow-request", "tier-not-allowed", "workspace-limit", "overloaded",
    "wait-expired", "not-ready", "stopping", "key-reused", "crash-suspect", "store-unavailable", "upstream-lost",
    "upstream-error", "answer-damaged" };

constexpr std::array<std::string_view, 14> admissionErrorNames{ "ok", "queue-full", "leaving", "stopping", "expired",
    "unknown-route", "stale-incarnation", "upstream-down", "store-unavailable", "key-reused", "displaced", "withdrawn",
    "crash-suspect", "claimed-elsewhere" };

constexpr std::array<std::string_view, 10> transportErrorNames{ "ok", "not-sent", "lost", "timed-out", "silent",
    "malformed", "cancelled", "connection-refused", "no-memory", "unsendable" };

constexpr std::array<std::string_view, 5> storeErrorNames{ "ok", "conflict", "unavailable", "ambiguous",
    "history-gone" };

constexpr std::array<std::string_view, 8> planErrorNames{ "ok", "unknown-subject", "bad-value", "stale-base",
    "alters-nothing", "store-unavailable", "outcome-unknown", "diverged" };

} // namespace Burdockfield
