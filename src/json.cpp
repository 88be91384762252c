/**
 * @file json.cpp
 * @brief Typed reading of JSON objects with Boost.JSON.
 */
#include "json_func.h"

#include <cmath>
#include <limits>
#include <memory>
#include <new>
#include <utility>

namespace Burdockfield {

namespace {

/// Memory that values may take besides a multiple of their text; messages of up to some 100 KB never reach it.
constexpr size_t baseMemory = 4U << 20U;
constexpr size_t memoryPerByte = 4; ///< A configuration of 2,500 routes takes about as much.
constexpr size_t blockOverhead = 16; ///< Bytes that the allocator adds to a block, rounding included.

/**
 * Allocates the values of all documents, and bounds what a single parse takes. It has to outlive all values, which
 * refer to it without counting.
 */
class BoundedMemory : public Json::memory_resource
{
public:
    /// Starts a parse that may take @p bytes.
    static void start(size_t bytes)
    {
        left = bytes;
    }

    /// Ends the bound.
    static void stop()
    {
        left = unbounded;
    }

private:
    void *do_allocate(size_t bytes, size_t /*alignment*/) override
    {
        const size_t charged = bytes + blockOverhead;
        if (charged > left) {
            throw std::bad_alloc();
        }
        left -= left == unbounded ? 0 : charged;
        return ::operator new(bytes);
    }

    void do_deallocate(void *block, size_t bytes, size_t /*alignment*/) override
    {
        left += left == unbounded ? 0 : bytes + blockOverhead;
        ::operator delete(block);
    }

    bool do_is_equal(const Json::memory_resource &other) const noexcept override
    {
        return this == &other;
    }

    static constexpr size_t unbounded = std::numeric_limits<size_t>::max();
    static thread_local size_t left; ///< Bytes that the parse in progress on this thread may still take.
};

thread_local size_t BoundedMemory::left = BoundedMemory::unbounded;

/// Parses within the bound. @throw std::bad_alloc if the values exceed it
Json::value parseBounded(std::string_view text, const Json::parse_options &options, Json::error_code &error)
{
    static BoundedMemory memory;

    struct Bound
    {
        explicit Bound(size_t bytes)
        {
            BoundedMemory::start(bytes);
        }

        ~Bound()
        {
            BoundedMemory::stop();
        }

        Bound(const Bound &) = delete;
        Bound &operator=(const Bound &) = delete;
    };

    const Bound bound(baseMemory + memoryPerByte * text.size());
    Json::parser parser(Json::storage_ptr(&memory), options);
    parser.reset(Json::storage_ptr(&memory));
    parser.write(text.data(), text.size(), error);
    return error ? Json::value() : parser.release();
}

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
    try {
        Json::value value = parseBounded(text, options, parseError);
        if (!parseError) {
            return value;
        }
        error = parseError == Json::error::too_deep ? WireErrc::TooDeep : WireErrc::MalformedJson;
    } catch (const std::bad_alloc &) {
        error = WireErrc::OutOfRange;
    }
    return nullptr;
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
    Json::value parsed = parseJson(text, error, encoding);
    // An assignment would copy the values into the document's own storage.
    std::destroy_at(&document);
    std::construct_at(&document, std::move(parsed));
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
