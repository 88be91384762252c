/**
 * @file version_type.h
 * @brief Name and version that every program prints for --version.
 */
#pragma once

#include <string_view>

namespace Burdockfield {

constexpr std::string_view versionText = "burdockfield 0.1.0";

} // namespace Burdockfield
