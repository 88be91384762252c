/**
 * @file run_wire.cpp
 * @brief JSON encoding of the messages between entries and agents.
 */
#include "run_wire.h"

#include "error_type.h"
#include "json_func.h"
#include "table/error_names.h"
#include "table/wire_names.h"

#include <algorithm>
#include <span>

namespace Burdockfield {

namespace {

/// @return the error value with the given name, which is its index in @p names, or -1 if there is none.
int findErrorValue(std::span<const std::string_view> names, std::string_view name)
{
    for (size_t index = 0; index < names.size(); ++index) {
        if (names[index] == name) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

Json::value errorToJson(std::error_code error)
{
    if (!error) {
        return nullptr;
    }
    return Json::string(std::string(error.category().name()) + ":" + error.message());
}

std::error_code findError(std::string_view category, std::string_view name)
{
    if (category == "admission") {
        if (const int value = findErrorValue(admissionErrorNames, name); value > 0) {
            return static_cast<AdmissionErrc>(value);
        }
    } else if (category == "refusal") {
        if (const int value = findErrorValue(refusalErrorNames, name); value > 0) {
            return static_cast<RefusalErrc>(value);
        }
    }
    return {};
}

void readError(JsonReader &reader, std::string_view field, std::error_code &error)
{
    const Json::value *value = readValue(reader, field);
    if (value == nullptr || value->is_null()) {
        return;
    }
    std::string text;
    read(reader, field, text);
    const size_t colon = text.find(':');
    const bool hasCategory = colon != std::string::npos;
    error = hasCategory ? findError(text.substr(0, colon), text.substr(colon + 1)) : std::error_code{};
    if (!error) {
        fail(reader, WireErrc::UnknownValue);
    }
}

Json::object toJson(const RunName &name)
{
    return { { "request", name.request_ }, { "attempt", name.attempt_ } };
}

void readRunName(JsonReader &reader, std::string_view field, RunName &name, Presence presence = Presence::Required)
{
    if (const Json::value *value = readValue(reader, field, presence); value != nullptr) {
        JsonReader members = readObject(*value);
        read(members, "request", name.request_);
        read(members, "attempt", name.attempt_);
        fail(reader, members.error_);
    }
}

Json::object toJson(const SuspectTable &suspects, TimePoint now)
{
    Json::object object;
    for (const auto &[digest, suspect] : suspects) {
        const auto left = std::chrono::duration_cast<Milliseconds>(suspect.expiresAt_ - now);
        object[digest] = Json::object{ { "crashes", suspect.crashes_ }, { "crashes_alone", suspect.crashesAlone_ },
            { "expires_in_ms", std::max<int64_t>(0, left.count()) } };
    }
    return object;
}

void readSuspects(JsonReader &reader, SuspectTable &suspects, TimePoint now)
{
    const Json::value *value = readValue(reader, "suspects", Presence::Optional);
    if (value == nullptr) {
        return;
    }
    JsonReader members = readObject(*value);
    fail(reader, members.error_);
    if (members.error_) {
        return;
    }
    for (const auto &member : *members.object_) {
        JsonReader row = readObject(member.value());
        Suspect suspect;
        Milliseconds left{ 0 };
        read(row, "crashes", suspect.crashes_);
        read(row, "crashes_alone", suspect.crashesAlone_);
        read(row, "expires_in_ms", left);
        suspect.expiresAt_ = now + std::min<Duration>(left, suspectRetention);
        fail(reader, row.error_);
        suspects[std::string(member.key())] = suspect;
    }
}

Json::object toJson(const AgentReport &report, TimePoint now)
{
    Json::object object{ { "upstream", report.upstream_ }, { "incarnation", report.incarnation_ },
        { "version", report.version_ }, { "revision", report.revision_ }, { "up", report.reachable_ },
        { "leaving", report.leaving_ }, { "slots", report.slots_ }, { "queue", report.queueDepth_ },
        { "occupied", Json::array(report.occupied_.begin(), report.occupied_.end()) },
        { "prefill_rate", report.prefillRate_ }, { "decode_rate", report.decodeRate_ },
        { "routes", Json::array(report.routes_.begin(), report.routes_.end()) } };
    if (!report.suspects_.empty()) {
        object["suspects"] = toJson(report.suspects_, now);
    }
    return object;
}

void readOccupied(JsonReader &reader, TierCounts &occupied)
{
    const Json::array *array = readArray(reader, "occupied");
    if (array == nullptr) {
        return;
    }
    if (array->size() != occupied.size()) {
        fail(reader, WireErrc::OutOfRange);
        return;
    }
    for (size_t index = 0; index < occupied.size(); ++index) {
        Json::error_code error;
        occupied[index] = (*array)[index].to_number<uint32_t>(error);
        if (error) {
            fail(reader, WireErrc::WrongType);
        }
    }
}

void readReport(JsonReader &reader, AgentReport &report, TimePoint now)
{
    read(reader, "upstream", report.upstream_);
    read(reader, "incarnation", report.incarnation_);
    read(reader, "version", report.version_);
    read(reader, "revision", report.revision_);
    read(reader, "up", report.reachable_);
    read(reader, "leaving", report.leaving_);
    read(reader, "slots", report.slots_);
    read(reader, "queue", report.queueDepth_);
    readOccupied(reader, report.occupied_);
    read(reader, "prefill_rate", report.prefillRate_);
    read(reader, "decode_rate", report.decodeRate_);
    read(reader, "routes", report.routes_);
    readSuspects(reader, report.suspects_, now);
}

/// Reads the member "report" if it is present.
void readReportField(JsonReader &reader, AgentReport &report, TimePoint now, Presence presence)
{
    if (const Json::value *value = readValue(reader, "report", presence); value != nullptr) {
        JsonReader members = readObject(*value);
        readReport(members, report, now);
        fail(reader, members.error_);
    }
}

Json::object toJson(const AnswerEnd &end)
{
    Json::object object{ { "error", errorToJson(end.error_) }, { "outcome", nameOf(end.runOutcome_, runOutcomeNames) },
        { "deltas", end.deltaCount_ }, { "checksum", end.checksum_ }, { "finish_reason", end.finishReason_ },
        { "status", end.status_ }, { "content_type", end.contentType_ }, { "prompt_tokens", end.promptTokens_ } };
    if (!end.ownerRun_.request_.empty()) {
        object["owner_address"] = end.ownerAddress_;
        object["owner_run"] = toJson(end.ownerRun_);
    }
    return object;
}

void readEnd(JsonReader &reader, AnswerEnd &end)
{
    const Json::value *value = readValue(reader, "end");
    if (value == nullptr) {
        return;
    }
    JsonReader members = readObject(*value);
    uint32_t status = 0;
    readError(members, "error", end.error_);
    readName(members, "outcome", end.runOutcome_, runOutcomeNames);
    read(members, "deltas", end.deltaCount_);
    read(members, "checksum", end.checksum_);
    read(members, "finish_reason", end.finishReason_);
    read(members, "status", status);
    read(members, "content_type", end.contentType_);
    read(members, "prompt_tokens", end.promptTokens_);
    read(members, "owner_address", end.ownerAddress_, Presence::Optional);
    readRunName(members, "owner_run", end.ownerRun_, Presence::Optional);
    end.status_ = static_cast<int>(status);
    fail(reader, members.error_);
}

/// Deltas are encoded as [text, tokens] pairs.
Json::array toJson(const std::vector<Delta> &deltas)
{
    Json::array array;
    for (const Delta &delta : deltas) {
        array.push_back(Json::array{ delta.text_, delta.tokens_ });
    }
    return array;
}

void readDeltas(JsonReader &reader, std::vector<Delta> &deltas)
{
    const Json::array *array = readArray(reader, "deltas", Presence::Optional);
    if (array == nullptr) {
        return;
    }
    for (const Json::value &item : *array) {
        const Json::array *pair = item.if_array();
        const bool isPair = pair != nullptr && pair->size() == 2 && (*pair)[0].is_string() && (*pair)[1].is_int64();
        if (!isPair) {
            fail(reader, WireErrc::WrongType);
            return;
        }
        const auto &text = (*pair)[0].get_string();
        deltas.push_back({ std::string(text.data(), text.size()), static_cast<uint32_t>((*pair)[1].get_int64()) });
    }
}

} // namespace

std::string serializeRunOrder(const RunOrder &order)
{
    Json::object object{ { "run", toJson(order.name_) }, { "agent_incarnation", order.agentIncarnation_ },
        { "revision", order.revision_ }, { "workspace", order.workspace_ }, { "weight", order.weight_ },
        { "tier", order.tier_ }, { "route", order.route_ }, { "kind", nameOf(order.kind_, routeKindNames) },
        { "dispatch", nameOf(order.retryPolicy_, retryPolicyNames) }, { "method", order.method_ },
        { "path", order.path_ }, { "payload", order.payload_ }, { "digest", order.digest_ }, { "key", order.key_ },
        { "wait_ms", std::max<int64_t>(0, order.remainingWait_.count()) }, { "prompt_tokens", order.promptTokens_ },
        { "answer_tokens", order.answerTokens_ }, { "likely_tokens", order.estimatedMaxTokens_ },
        { "resume_tokens", order.resumeTokens_ }, { "isolated", order.isolated_ } };
    if (!order.releasedRun_.request_.empty()) {
        object["released_run"] = toJson(order.releasedRun_);
    }
    return Json::serialize(object);
}

std::error_code parseRunOrder(std::string_view text, RunOrder &order)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document, StringEncoding::AnyBytes);
    readRunName(reader, "run", order.name_);
    read(reader, "agent_incarnation", order.agentIncarnation_);
    read(reader, "revision", order.revision_);
    read(reader, "workspace", order.workspace_);
    read(reader, "weight", order.weight_);
    read(reader, "tier", order.tier_);
    read(reader, "route", order.route_);
    readName(reader, "kind", order.kind_, routeKindNames);
    readName(reader, "dispatch", order.retryPolicy_, retryPolicyNames);
    read(reader, "method", order.method_);
    read(reader, "path", order.path_);
    read(reader, "payload", order.payload_);
    read(reader, "digest", order.digest_);
    read(reader, "key", order.key_);
    read(reader, "wait_ms", order.remainingWait_);
    read(reader, "prompt_tokens", order.promptTokens_);
    read(reader, "answer_tokens", order.answerTokens_);
    read(reader, "likely_tokens", order.estimatedMaxTokens_);
    read(reader, "resume_tokens", order.resumeTokens_);
    read(reader, "isolated", order.isolated_);
    readRunName(reader, "released_run", order.releasedRun_, Presence::Optional);
    if (order.tier_ >= tierRankCount || !(order.weight_ > 0)) {
        fail(reader, WireErrc::OutOfRange);
    }
    return reader.error_;
}

std::string serializeRunReply(const RunReply &reply, TimePoint now)
{
    return Json::serialize(
        Json::object{ { "error", errorToJson(reply.error_) }, { "report", toJson(reply.report_, now) } });
}

std::error_code parseRunReply(std::string_view text, RunReply &reply, TimePoint now)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    readError(reader, "error", reply.error_);
    readReportField(reader, reply.report_, now, Presence::Required);
    return reader.error_;
}

std::string serializeAnswerFrame(const AnswerFrame &frame, TimePoint now)
{
    Json::object object{ { "run", toJson(frame.name_) }, { "offset", frame.offset_ } };
    if (!frame.deltas_.empty()) {
        object["deltas"] = toJson(frame.deltas_);
    }
    if (frame.ended_) {
        object["end"] = toJson(frame.end_);
        object["report"] = toJson(frame.report_, now);
    }
    return Json::serialize(object);
}

std::error_code parseAnswerFrame(std::string_view text, AnswerFrame &frame, TimePoint now)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document, StringEncoding::AnyBytes);
    readRunName(reader, "run", frame.name_);
    read(reader, "offset", frame.offset_);
    readDeltas(reader, frame.deltas_);
    frame.ended_ = readValue(reader, "end", Presence::Optional) != nullptr;
    if (frame.ended_) {
        readEnd(reader, frame.end_);
        readReportField(reader, frame.report_, now, Presence::Required);
    }
    return reader.error_;
}

std::string serializeCancelReply(const CancelReply &reply)
{
    return Json::serialize(
        Json::object{ { "known", reply.known_ }, { "outcome", nameOf(reply.runOutcome_, runOutcomeNames) } });
}

std::error_code parseCancelReply(std::string_view text, CancelReply &reply)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "known", reply.known_);
    readName(reader, "outcome", reply.runOutcome_, runOutcomeNames);
    return reader.error_;
}

std::string serializeReport(const AgentReport &report, TimePoint now)
{
    return Json::serialize(toJson(report, now));
}

std::error_code parseReport(std::string_view text, AgentReport &report, TimePoint now)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    readReport(reader, report, now);
    return reader.error_;
}

} // namespace Burdockfield
