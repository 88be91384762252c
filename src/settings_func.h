/**
 * @file settings_func.h
 * @brief Parsing and validation of settings files.
 */
#pragma once

#include "settings_type.h"

#include <string_view>

namespace Burdockfield {

/**
 * Parses settings. They are applied completely or not at all.
 * @param file file name for the error message
 * @param settings set on success, unchanged otherwise
 * @return the first error, or success
 */
SettingsError parseSettings(std::string_view text, const std::string &file, Settings &settings);

/// Reads a settings file and parses it as parseSettings() does.
SettingsError loadSettings(const std::string &file, Settings &settings);

/// @return a one-line message with file, line, error, key and accepted values.
std::string describe(const SettingsError &error);

/// Parses a duration such as 250ms, 10s or 2m. @return std::nullopt on bad input.
std::optional<Milliseconds> parseDuration(std::string_view text);

/// Parses a size in bytes such as 512, 16KiB or 4MiB. @return std::nullopt on bad input.
std::optional<size_t> parseSize(std::string_view text);

} // namespace Burdockfield
