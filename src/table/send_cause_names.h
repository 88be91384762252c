/**
 * @file send_cause_names.h
 * @brief Names of why a call is sent, as logs and metrics show them.
 */
#pragma once

#include "../gateway_base.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield::Gateway {

constexpr std::array<std::pair<std::string_view, SendCause>, 6> sendCauseNames{ {
    { "first", SendCause::First },
    { "not-connected", SendCause::NotConnected },
    { "wrong-instance", SendCause::WrongInstance },
    { "refused", SendCause::Refused },
    { "failed", SendCause::Failed },
    { "silent", SendCause::Silent },
} };

} // namespace Burdockfield::Gateway
