/**
 * @file gateway_slot_wire.cpp
 * @brief JSON encoding of the messages about slots between gateways.
 */
#include "gateway_slot_wire.h"

#include "json_func.h"

namespace Burdockfield::Gateway {

namespace {

constexpr char slotMessageMark = 'S'; ///< First byte of a message about slots; updates begin with a brace.

// Names of fields are short because traffic between regions is charged by the byte. Fields with their default value are
// left out.
constexpr std::string_view incarnationField = "i";
constexpr std::string_view requestsField = "q";
constexpr std::string_view repliesField = "g";
constexpr std::string_view freeSlotsField = "l";
constexpr std::string_view numberField = "n";

template<typename Value>
void add(Json::object &object, std::string_view field, const Value &value)
{
    if (value != Value{}) {
        object[field] = Json::value_from(value);
    }
}

Json::object serializeRequest(const SlotRequest &request)
{
    Json::object object{ { numberField, request.number_ }, { "s", request.service_ }, { "z", request.zone_ },
        { "a", request.age_.count() }, { "w", request.wait_.count() } };
    add(object, "o", request.origin_);
    add(object, "r", request.rank_);
    add(object, "rr", request.routeRank_);
    add(object, "st", request.resumesStream_);
    add(object, "cr", request.callerRetry_);
    add(object, "t", request.promptTokens_);
    add(object, "k", request.memoryTokens_);
    add(object, "ro", request.route_);
    add(object, "f", request.firstMessage_);
    add(object, "x", request.excluded_);
    add(object, "tr", request.tried_);
    return object;
}

std::error_code parseRequest(const Json::value &value, SlotRequest &request)
{
    JsonReader reader = readObject(value);
    read(reader, numberField, request.number_);
    read(reader, "s", request.service_);
    read(reader, "z", request.zone_);
    read(reader, "a", request.age_);
    read(reader, "w", request.wait_);
    read(reader, "o", request.origin_, Presence::Optional);
    read(reader, "r", request.rank_, Presence::Optional);
    read(reader, "rr", request.routeRank_, Presence::Optional);
    read(reader, "st", request.resumesStream_, Presence::Optional);
    read(reader, "cr", request.callerRetry_, Presence::Optional);
    read(reader, "t", request.promptTokens_, Presence::Optional);
    read(reader, "k", request.memoryTokens_, Presence::Optional);
    read(reader, "ro", request.route_, Presence::Optional);
    read(reader, "f", request.firstMessage_, Presence::Optional);
    read(reader, "x", request.excluded_, Presence::Optional);
    read(reader, "tr", request.tried_, Presence::Optional);
    return reader.error_;
}

Json::object serializeReply(const SlotReply &reply)
{
    Json::object object{ { numberField, reply.number_ } };
    add(object, "g", reply.grant_);
    add(object, "u", reply.upstream_);
    add(object, "f", reply.inFlight_);
    add(object, "h", reply.infeasible_);
    return object;
}

std::error_code parseReply(const Json::value &value, SlotReply &reply)
{
    JsonReader reader = readObject(value);
    read(reader, numberField, reply.number_);
    read(reader, "g", reply.grant_, Presence::Optional);
    read(reader, "u", reply.upstream_, Presence::Optional);
    read(reader, "f", reply.inFlight_, Presence::Optional);
    read(reader, "h", reply.infeasible_, Presence::Optional);
    return reader.error_;
}

std::error_code parseFreeSlots(const Json::value &value, std::map<std::string, FreeSlots> &freeSlots)
{
    JsonReader reader = readObject(value);
    if (reader.error_) {
        return reader.error_;
    }
    for (const auto &item : *reader.object_) {
        const std::string service(item.key().data(), item.key().size());
        const Json::array *counts = readArray(reader, service);
        FreeSlots &slots = freeSlots[service];
        if (counts == nullptr || counts->size() != slots.size()) {
            return WireErrc::WrongType;
        }
        for (size_t index = 0; index < slots.size(); ++index) {
            const Json::value &count = (*counts)[index];
            if (!count.is_int64() || count.as_int64() < 0 || count.as_int64() > UINT32_MAX) {
                return WireErrc::WrongType;
            }
            slots[index] = static_cast<uint32_t>(count.as_int64());
        }
    }
    return reader.error_;
}

template<typename Item, typename Parse>
void parseItems(JsonReader &reader, std::string_view field, std::vector<Item> &items, Parse parse)
{
    const Json::array *array = readArray(reader, field, Presence::Optional);
    for (const Json::value &value : array == nullptr ? Json::array() : *array) {
        fail(reader, parse(value, items.emplace_back()));
    }
}

} // namespace

bool isSlotMessage(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == slotMessageMark;
}

std::string serializeSlotMessage(const SlotMessage &message)
{
    Json::object object{ { incarnationField, message.incarnation_ } };
    Json::array requests;
    for (const SlotRequest &request : message.requests_) {
        requests.push_back(serializeRequest(request));
    }
    Json::array replies;
    for (const SlotReply &reply : message.replies_) {
        replies.push_back(serializeReply(reply));
    }
    if (!requests.empty()) {
        object[requestsField] = std::move(requests);
    }
    if (!replies.empty()) {
        object[repliesField] = std::move(replies);
    }
    if (!message.freeSlots_.empty()) {
        object[freeSlotsField] = Json::value_from(message.freeSlots_);
    }
    return slotMessageMark + Json::serialize(object);
}

std::error_code parseSlotMessage(std::string_view datagram, SlotMessage &message)
{
    if (!isSlotMessage(datagram)) {
        return WireErrc::WrongType;
    }
    Json::value document;
    JsonReader reader = readJsonObject(datagram.substr(1), document);
    read(reader, incarnationField, message.incarnation_);
    parseItems(reader, requestsField, message.requests_, parseRequest);
    parseItems(reader, repliesField, message.replies_, parseReply);
    if (const Json::value *freeSlots = readValue(reader, freeSlotsField, Presence::Optional); freeSlots != nullptr) {
        fail(reader, parseFreeSlots(*freeSlots, message.freeSlots_));
    }
    return reader.error_;
}

} // namespace Burdockfield::Gateway
