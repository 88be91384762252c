/**
 * @file extra_answer_names.h
 * @brief Names in logs and metrics of when an extra answer came.
 */
#pragma once

#include "../link_use_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield {

constexpr std::array<std::pair<std::string_view, ExtraAnswerPlace>, 3> extraAnswerNames{ {
    { "idle", ExtraAnswerPlace::Idle },
    { "before-answer", ExtraAnswerPlace::BeforeAnswer },
    { "behind-answer", ExtraAnswerPlace::BehindAnswer },
} };

} // namespace Burdockfield
