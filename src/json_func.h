/**
 * @file json_func.h
 * @brief Typed reading of JSON objects on top of Boost.JSON.
 */
#pragma once

#include "error_type.h"
#include "time_type.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockfield {

namespace Json = boost::json;

/// Nesting beyond which a message is refused.
constexpr size_t jsonDepthLimit = 32;

/// Whether a field may be absent.
enum class Presence : uint8_t {
    Required, ///< Absence is an error.
    Optional, ///< Absence leaves the target as it is.
};

/// Which bytes strings may hold.
enum class StringEncoding : uint8_t {
    Utf8, ///< Well-formed UTF-8 only.
    AnyBytes, ///< Any bytes, for bodies of services in messages between processes.
};

/// Object being read; keeps the first error, after which reads do nothing.
struct JsonReader
{
    const Json::object *object_ = nullptr; ///< The object.
    std::error_code error_; ///< First error met.
};

/**
 * Parses JSON text.
 * @param error set to a WireErrc when the text is not JSON or is nested too deep
 * @return the value, or null on error.
 */
Json::value parseJson(std::string_view text, std::error_code &error, StringEncoding rule = StringEncoding::Utf8);

/**
 * Parses JSON text whose value has to be an object.
 * @param document keeps the value that the reader refers to
 */
JsonReader readJsonObject(std::string_view text, Json::value &document, StringEncoding rule = StringEncoding::Utf8);

/// @return a reader of a value that has to be an object.
JsonReader readObject(const Json::value &value);

void read(JsonReader &reader, std::string_view field, std::string &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, bool &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, uint8_t &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, uint32_t &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, uint64_t &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, double &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, Milliseconds &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, std::vector<std::string> &target,
    Presence presence = Presence::Required);

/// @return the field's value, or nullptr; absence of a required field is an error of the reader.
const Json::value *readValue(JsonReader &reader, std::string_view field, Presence presence = Presence::Required);

/// @return the field's array, or nullptr.
const Json::array *readArray(JsonReader &reader, std::string_view field, Presence presence = Presence::Required);

/// Keeps the error unless an earlier one is kept.
void fail(JsonReader &reader, std::error_code error);

/// Reads a name and sets @p target to the matching value of @p names, a table of (name, value).
template<typename Value, typename Names>
void readName(JsonReader &reader, std::string_view field, Value &target, const Names &names,
    Presence presence = Presence::Required)
{
    std::string text;
    const Json::value *value = readValue(reader, field, presence);
    if (value == nullptr) {
        return;
    }
    read(reader, field, text, presence);
    for (const auto &[name, known] : names) {
        if (name == text) {
            target = known;
            return;
        }
    }
    fail(reader, WireErrc::UnknownValue);
}

/// @return the name of @p value in @p names, a table of (name, value).
template<typename Value, typename Names>
std::string_view nameOf(Value value, const Names &names)
{
    for (const auto &[name, known] : names) {
        if (known == value) {
            return name;
        }
    }
    return "unknown";
}

} // namespace Burdockfield
