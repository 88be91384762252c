/**
 * @file settings_reader.cpp
 * @brief Typed reading of a settings file's values, with the accepted values in the error.
 */
#include "settings_reader.h"

#include "address_func.h"
#include "settings_func.h"

#include <array>
#include <charconv>

namespace Burdockfield {

namespace {

/// @return a number in decimal notation, with as many digits as it needs.
std::string numberText(double number)
{
    std::array<char, 400> text{}; // the longest double has 309 digits before its point
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed).ptr;
    return { text.data(), end };
}

int lineNumber(const YAML::Node &node)
{
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

std::string join(std::initializer_list<const char *> names)
{
    std::string text;
    for (const char *name : names) {
        text += (text.empty() ? "" : ", ") + std::string(name);
    }
    return text;
}

/// Requirements on a list of strings.
struct ListRule
{
    const char *accepted_; ///< Description of the accepted values, for the error.
    bool required_; ///< Whether the list has to be present and not empty.
    SettingsErrc itemErrc_; ///< Error for an item that is not accepted.
    bool (*isAccepted_)(const std::string &); ///< Tells whether an item is valid.
};

void readList(const SettingsReader &reader, const char *key, const ListRule &rule, std::vector<std::string> &target)
{
    if (reader.error_.error_ || !reader.node_.IsMap()) {
        return;
    }
    const YAML::Node value = reader.node_[key];
    if (!value.IsDefined()) {
        if (rule.required_) {
            recordError(reader, reader.node_, SettingsErrc::MissingKey, key, rule.accepted_);
        }
        return;
    }
    if (!value.IsSequence() || (rule.required_ && value.size() == 0)) {
        recordError(reader, value, SettingsErrc::WrongType, key, rule.accepted_);
        return;
    }
    for (const auto &item : value) {
        if (!item.IsScalar() || !rule.isAccepted_(item.Scalar())) {
            recordError(reader, item, rule.itemErrc_, key, rule.accepted_);
            return;
        }
        target.push_back(item.Scalar());
    }
}

} // namespace

void recordError(
    const SettingsReader &reader, const YAML::Node &at, SettingsErrc errc, const std::string &key, std::string accepted)
{
    if (reader.error_.error_) {
        return;
    }
    reader.error_.error_ = errc;
    reader.error_.line_ = lineNumber(at);
    reader.error_.key_ = reader.prefix_ + key;
    reader.error_.accepted_ = std::move(accepted);
}

void checkKeys(const SettingsReader &reader, std::initializer_list<const char *> knownKeys)
{
    if (!reader.node_.IsMap()) {
        recordError(reader, reader.node_, SettingsErrc::WrongType, "", "a mapping of " + join(knownKeys));
        return;
    }
    for (const auto &item : reader.node_) {
        const std::string key = item.first.IsScalar() ? item.first.Scalar() : std::string("?");
        const auto same = [&key](const char *name) {
            return key == name;
        };
        if (std::none_of(knownKeys.begin(), knownKeys.end(), same)) {
            recordError(reader, item.first, SettingsErrc::UnknownKey, key, join(knownKeys));
        }
    }
}

std::optional<std::string> readScalar(
    const SettingsReader &reader, const char *key, bool required, const std::string &accepted)
{
    if (reader.error_.error_ || !reader.node_.IsMap()) {
        return std::nullopt;
    }
    const YAML::Node value = reader.node_[key];
    if (!value.IsDefined()) {
        if (required) {
            recordError(reader, reader.node_, SettingsErrc::MissingKey, key, accepted);
        }
        return std::nullopt;
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        recordError(reader, value, SettingsErrc::WrongType, key, accepted);
        return std::nullopt;
    }
    return value.Scalar();
}

void readText(const SettingsReader &reader, const char *key, std::string &target, bool required)
{
    if (const auto text = readScalar(reader, key, required, "a name"); text) {
        target = *text;
    }
}

void readAddress(const SettingsReader &reader, const char *key, std::string &target)
{
    const std::string accepted = "an address IP:PORT";
    const auto text = readScalar(reader, key, true, accepted);
    if (!text) {
        return;
    }
    if (!parseEndpoint(*text)) {
        recordError(reader, reader.node_[key], SettingsErrc::BadAddress, key, accepted);
        return;
    }
    target = *text;
}

void readSize(const SettingsReader &reader, const char *key, size_t &target, size_t maximum)
{
    const std::string accepted = "a size such as 16KiB, at most " + std::to_string(maximum) + " bytes";
    const auto text = readScalar(reader, key, false, accepted);
    if (!text) {
        return;
    }
    const auto size = parseSize(*text);
    if (!size) {
        recordError(reader, reader.node_[key], SettingsErrc::WrongUnit, key, accepted);
    } else if (*size == 0 || *size > maximum) {
        recordError(reader, reader.node_[key], SettingsErrc::OutOfRange, key, accepted);
    } else {
        target = *size;
    }
}

void readDuration(const SettingsReader &reader, const char *key, Milliseconds &target)
{
    const std::string accepted = "a duration such as 250ms, 10s or 2m";
    const auto text = readScalar(reader, key, false, accepted);
    if (!text) {
        return;
    }
    const auto duration = parseDuration(*text);
    if (!duration) {
        recordError(reader, reader.node_[key], SettingsErrc::WrongUnit, key, accepted);
    } else if (duration->count() == 0) {
        recordError(reader, reader.node_[key], SettingsErrc::OutOfRange, key, accepted);
    } else {
        target = *duration;
    }
}

void readFlag(const SettingsReader &reader, const char *key, bool &target)
{
    const std::string accepted = "true or false";
    const auto text = readScalar(reader, key, false, accepted);
    if (!text) {
        return;
    }
    if (*text != "true" && *text != "false") {
        recordError(reader, reader.node_[key], SettingsErrc::WrongType, key, accepted);
        return;
    }
    target = *text == "true";
}

void readNumber(const SettingsReader &reader, const char *key, double &target, double maximum)
{
    const std::string accepted = "a number from 0 to " + numberText(maximum);
    const auto text = readScalar(reader, key, false, accepted);
    if (!text) {
        return;
    }
    double number = 0;
    const auto [rest, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (error != std::errc() || rest != text->data() + text->size()) {
        recordError(reader, reader.node_[key], SettingsErrc::WrongType, key, accepted);
    } else if (!(number >= 0 && number <= maximum)) {
        recordError(reader, reader.node_[key], SettingsErrc::OutOfRange, key, accepted);
    } else {
        target = number;
    }
}

void readNames(const SettingsReader &reader, const char *key, std::vector<std::string> &target)
{
    const auto isName = [](const std::string &text) {
        return !text.empty();
    };
    readList(reader, key, { "a list of one or more names", true, SettingsErrc::WrongType, isName }, target);
}

void readAddresses(const SettingsReader &reader, const char *key, std::vector<std::string> &target)
{
    const auto isAddress = [](const std::string &text) {
        return parseEndpoint(text).has_value();
    };
    readList(reader, key, { "a list of addresses IP:PORT", false, SettingsErrc::BadAddress, isAddress }, target);
}

std::optional<SettingsReader> openMapping(
    const SettingsReader &reader, const char *key, bool required, std::initializer_list<const char *> knownKeys)
{
    if (reader.error_.error_ || !reader.node_.IsMap()) {
        return std::nullopt;
    }
    const YAML::Node value = reader.node_[key];
    if (!value.IsDefined()) {
        if (required) {
            recordError(reader, reader.node_, SettingsErrc::MissingKey, key, "a mapping of " + join(knownKeys));
        }
        return std::nullopt;
    }
    SettingsReader inner{ value, reader.prefix_ + key + ".", reader.error_ };
    checkKeys(inner, knownKeys);
    return inner;
}

} // namespace Burdockfield
