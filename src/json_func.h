/**
 * @file json_func.h
 * @brief Typed reading of JSON objects with Boost.JSON.
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

/// Deepest nesting of a message; a deeper one is rejected as TooDeep.
constexpr size_t jsonDepthLimit = 32;

/// Whether a field may be absent.
enum class Presence : uint8_t {
    Required, ///< Absence is an error.
    Optional, ///< Absence leaves the target unchanged.
};

/// Encoding that JSON strings have to keep.
enum class StringEncoding : uint8_t {
    Utf8, ///< Well-formed UTF-8 only.
    AnyBytes, ///< Any bytes; messages between processes carry bodies of services in strings.
};

/// JSON object being read. Keeps the first error; reads after it do nothing.
struct JsonReader
{
    const Json::object *object_ = nullptr;
    std::error_code error_; ///< First error.
};

/**
 * Parses JSON text. Its values may take 4 MiB and four times its length: a text of many small values takes 20 times its
 * length or more.
 * @param error set to a WireErrc if the text is not JSON, is nested too deeply or takes too much memory
 * @return the value, or JSON null on error
 */
Json::value parseJson(std::string_view text, std::error_code &error, StringEncoding encoding = StringEncoding::Utf8);

/**
 * Parses JSON text whose value has to be an object.
 * @param document receives the value; the reader refers to it
 */
JsonReader readJsonObject(std::string_view text, Json::value &document, StringEncoding encoding = StringEncoding::Utf8);

/// @return a reader of an object; any other value sets WrongType.
JsonReader readObject(const Json::value &value);

// Each overload reads one field into target; the reader records a missing or invalid value as its error.

void read(JsonReader &reader, std::string_view field, std::string &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, bool &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, uint8_t &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, uint32_t &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, uint64_t &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, double &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, Milliseconds &target, Presence presence = Presence::Required);
void read(JsonReader &reader, std::string_view field, std::vector<std::string> &target,
    Presence presence = Presence::Required);

/// @return the field's value, or nullptr; a missing required field sets MissingField.
const Json::value *readValue(JsonReader &reader, std::string_view field, Presence presence = Presence::Required);

/// @return the field's array, or nullptr; any other value sets WrongType.
const Json::array *readArray(JsonReader &reader, std::string_view field, Presence presence = Presence::Required);

/// Records an error unless the reader has one already.
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
