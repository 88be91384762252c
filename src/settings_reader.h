/**
 * @file settings_reader.h
 * @brief Typed reading of a settings file's values. Each function reads the value under a key into its target, and
 * leaves it unchanged if the value is absent; the reader records an invalid value as its error.
 */
#pragma once

#include "error_type.h"
#include "http_func.h"
#include "settings_type.h"
#include "time_type.h"

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Burdockfield {

/// One mapping of a settings file that is being read. After the first error, reads do nothing.
struct SettingsReader
{
    YAML::Node node_; ///< The mapping.
    std::string prefix_; ///< Path of the mapping with a trailing dot; empty at the top level.
    SettingsError &error_; ///< First error of the file.
};

/// Records an error unless the file has one already. @param accepted description of the accepted values
void recordError(const SettingsReader &reader, const YAML::Node &at, SettingsErrc errc, const std::string &key,
    std::string accepted);

/// Records an error if the mapping has other keys than @p knownKeys, or is none.
void checkKeys(const SettingsReader &reader, std::initializer_list<const char *> knownKeys);

/// @return the scalar under @p key, or std::nullopt if it is absent or not valid. A missing required key is an error.
std::optional<std::string> readScalar(
    const SettingsReader &reader, const char *key, bool required, const std::string &accepted);

void readText(const SettingsReader &reader, const char *key, std::string &target, bool required);
void readAddress(const SettingsReader &reader, const char *key, std::string &target);
void readSize(const SettingsReader &reader, const char *key, size_t &target, size_t maximum);
void readDuration(const SettingsReader &reader, const char *key, Milliseconds &target);
void readFlag(const SettingsReader &reader, const char *key, bool &target);
void readNumber(const SettingsReader &reader, const char *key, double &target, double maximum);
void readNames(const SettingsReader &reader, const char *key, std::vector<std::string> &target);
void readAddresses(const SettingsReader &reader, const char *key, std::vector<std::string> &target);

/// @return a reader of the mapping under @p key, or std::nullopt if it is absent. Unknown keys are an error.
std::optional<SettingsReader> openMapping(
    const SettingsReader &reader, const char *key, bool required, std::initializer_list<const char *> knownKeys);

template<typename Number>
void readCount(const SettingsReader &reader, const char *key, Number &target, uint64_t minimum, uint64_t maximum)
{
    const std::string accepted = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const auto text = readScalar(reader, key, false, accepted);
    if (!text) {
        return;
    }
    const bool digits = text->find_first_not_of("0123456789") == std::string::npos;
    const uint64_t number = parseNumberOr(*text, maximum + 1);
    if (!digits) {
        recordError(reader, reader.node_[key], SettingsErrc::WrongType, key, accepted);
    } else if (number < minimum || number > maximum) {
        recordError(reader, reader.node_[key], SettingsErrc::OutOfRange, key, accepted);
    } else {
        target = static_cast<Number>(number);
    }
}

template<typename Value, typename Names>
void readName(const SettingsReader &reader, const char *key, Value &target, const Names &names, bool required)
{
    std::string accepted;
    for (const auto &[name, value] : names) {
        accepted += (accepted.empty() ? "" : ", ") + std::string(name);
    }
    const auto text = readScalar(reader, key, required, accepted);
    if (!text) {
        return;
    }
    const auto same = [&text](const auto &item) {
        return item.first == *text;
    };
    const auto found = std::find_if(names.begin(), names.end(), same);
    if (found == names.end()) {
        recordError(reader, reader.node_[key], SettingsErrc::UnknownValue, key, accepted);
        return;
    }
    target = found->second;
}

} // namespace Burdockfield
