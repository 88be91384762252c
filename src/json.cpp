/**
 * @file json.cpp
 * @brief Typed reading of JSON objects with Boost.JSON.
 */
#include "json_func.h"

#include <cmath>
#include <limits>

namespace Burdockfield {

namespace {

/// Reads an integer from 0 to @p limit.
uint64_t readUnsigned(JsonReader &reader, const Json::value &value, uint64_t limit)
{
    if (!value.is_int64() && !value.is_uint64()) {
        fail(reader, WireErrc::WrongType);
        return 0;
    }
    const bool negative = value.is_int64() && value.get_int64() < 0;
    const uint64_t number = value.is_uint64() ? value.get_uint64() : static_cast<uint64_t>(value.get_int64());
    if (negative || number > limit) {
        fail(reader, WireErrc::OutOfRange);
        return 0;
    }
    return number;
}

template<typename Number>
void readNumber(JsonReader &reader, std::string_view field, Number &target, Presence presence)
{
    if (const Json::value *value = readValue(reader, field, presence); value != nullptr) {
        target = static_cast<Number>(readUnsigned(reader, *value, std::numeric_limits<Number>::max()));
    }
}

} // namespace

void fail(JsonReader &reader, std::error_code error)
{
    if (!reader.error_) {
        reader.error_ = error;
    }
}

Json::value parseJson(std::string_view text, std::error_code &error, StringEncoding encoding)
{
    Json::parse_options options;
    options.max_depth = jsonDepthLimit;
    options.allow_invalid_utf8 = encoding == StringEncoding::AnyBytes;
    Json::error_code parseError;
    Json::value value = Json::parse({ text.data(), text.size() }, parseError, {}, options);
    if (parseError) {
        error = parseError == Json::error::too_deep ? WireErrc::TooDeep : WireErrc::MalformedJson;
        return nullptr;
    }
    return value;
}

JsonReader readObject(const Json::value &value)
{
    JsonReader reader;
    reader.object_ = value.if_object();
    if (reader.object_ == nullptr) {
        reader.error_ = WireErrc::WrongType;
    }
    return reader;
}

JsonReader readJsonObject(std::string_view text, Json::value &document, StringEncoding encoding)
{
    std::error_code error;
    document = parseJson(text, error, encoding);
    JsonReader reader = readObject(document);
    if (error) {
        reader.error_ = error;
    }
    return reader;
}

const Json::value *readValue(JsonReader &reader, std::string_view field, Presence presence)
{
    if (reader.error_) {
        return nullptr;
    }
    const Json::value *value = reader.object_->if_contains({ field.data(), field.size() });
    if (value == nullptr && presence == Presence::Required) {
        fail(reader, WireErrc::MissingField);
    }
    return value;
}

const Json::array *readArray(JsonReader &reader, std::string_view field, Presence presence)
{
    const Json::value *value = readValue(reader, field, presence);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array()) {
        fail(reader, WireErrc::WrongType);
    }
    return value->if_array();
}

void read(JsonReader &reader, std::string_view field, std::string &target, Presence presence)
{
    const Json::value *value = readValue(reader, field, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        fail(reader, WireErrc::WrongType);
        return;
    }
    target.assign(value->get_string().data(), value->get_string().size());
}

void read(JsonReader &reader, std::string_view field, bool &target, Presence presence)
{
    const Json::value *value = readValue(reader, field, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_bool()) {
        fail(reader, WireErrc::WrongType);
        return;
    }
    target = value->get_bool();
}

void read(JsonReader &reader, std::string_view field, uint8_t &target, Presence presence)
{
    readNumber(reader, field, target, presence);
}

void read(JsonReader &reader, std::string_view field, uint32_t &target, Presence presence)
{
    readNumber(reader, field, target, presence);
}

void read(JsonReader &reader, std::string_view field, uint64_t &target, Presence presence)
{
    readNumber(reader, field, target, presence);
}

void read(JsonReader &reader, std::string_view field, double &target, Presence presence)
{
    const Json::value *value = readValue(reader, field, presence);
    if (value == nullptr) {
        return;
    }
    Json::error_code error;
    const auto number = value->to_number<double>(error);
    if (error || !std::isfinite(number)) {
        fail(reader, WireErrc::WrongType);
        return;
    }
    target = number;
}

void read(JsonReader &reader, std::string_view field, Milliseconds &target, Presence presence)
{
    constexpr uint64_t maxDuration = std::chrono::duration_cast<Milliseconds>(std::chrono::hours(24)).count();
    if (const Json::value *value = readValue(reader, field, presence); value != nullptr) {
        target = Milliseconds(readUnsigned(reader, *value, maxDuration));
    }
}

void read(JsonReader &reader, std::string_view field, std::vector<std::string> &target, Presence presence)
{
    const Json::array *array = readArray(reader, field, presence);
    if (array == nullptr) {
        return;
    }
    target.clear();
    for (const Json::value &item : *array) {
        if (!item.is_string()) {
            fail(reader, WireErrc::WrongType);
            return;
        }
        target.emplace_back(item.get_string().data(), item.get_string().size());
    }
}

} // namespace Burdockfield
