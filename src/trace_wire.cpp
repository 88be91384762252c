/**
 * @file trace_wire.cpp
 * @brief Traces as JSON lines.
 */
#include "trace_wire.h"

#include "caller_wire.h"
#include "digest_func.h"
#include "json_func.h"
#include "table/wire_names.h"

#include <array>

namespace Burdockfield {

namespace {

constexpr size_t bytesPerToken = 4;

constexpr std::array<std::pair<std::string_view, StatedOutcome>, 3> statedOutcomeNames{ {
    { "answered", StatedOutcome::Answered },
    { "answered-or-refused", StatedOutcome::AnsweredOrRefused },
    { "refused", StatedOutcome::Refused },
} };

/// @return text of @p tokens tokens, the same for the same @p seed.
std::string makeText(uint64_t seed, size_t tokens)
{
    std::string text;
    for (uint64_t block = 0; text.size() < tokens * bytesPerToken; ++block) {
        text += toHex(fastHash(std::to_string(block), seed));
    }
    text.resize(tokens * bytesPerToken);
    return text;
}

} // namespace

std::string serializeTraceRecord(const TraceRecord &record)
{
    return Json::serialize(Json::object{ { "id", record.id_ }, { "at_ms", record.arrival_.count() },
        { "workspace", record.workspace_ }, { "token", record.token_ }, { "tier", record.tier_ },
        { "region", record.region_ }, { "kind", nameOf(record.kind_, routeKindNames) }, { "route", record.route_ },
        { "prompt_tokens", record.promptTokens_ }, { "answer_tokens", record.answerTokens_ },
        { "prefix", record.sharedPrefix_ }, { "prefix_tokens", record.prefixTokens_ }, { "key", record.key_ },
        { "wait_ms", record.wait_.count() }, { "stream", record.streamed_ }, { "group", record.group_ },
        { "expect", nameOf(record.expect_, statedOutcomeNames) } });
}

std::error_code parseTraceRecord(std::string_view text, TraceRecord &record)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "id", record.id_);
    read(reader, "at_ms", record.arrival_);
    read(reader, "workspace", record.workspace_);
    read(reader, "token", record.token_);
    read(reader, "tier", record.tier_);
    read(reader, "region", record.region_);
    readName(reader, "kind", record.kind_, routeKindNames);
    read(reader, "route", record.route_);
    read(reader, "prompt_tokens", record.promptTokens_);
    read(reader, "answer_tokens", record.answerTokens_);
    read(reader, "prefix", record.sharedPrefix_);
    read(reader, "prefix_tokens", record.prefixTokens_);
    read(reader, "key", record.key_);
    read(reader, "wait_ms", record.wait_);
    read(reader, "stream", record.streamed_);
    read(reader, "group", record.group_);
    readName(reader, "expect", record.expect_, statedOutcomeNames);
    return reader.error_;
}

std::error_code parseTrace(std::string_view text, Trace &trace, size_t &line)
{
    line = 0;
    while (!text.empty()) {
        ++line;
        const std::string_view record = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), record.size() + 1));
        if (record.empty()) {
            continue;
        }
        trace.records_.emplace_back();
        if (const std::error_code error = parseTraceRecord(record, trace.records_.back()); error) {
            return error;
        }
    }
    return {};
}

std::string tracePrompt(const TraceRecord &record)
{
    const uint32_t shared = std::min(record.prefixTokens_, record.promptTokens_);
    const std::string prefix = record.sharedPrefix_ > 0 ? makeText(record.sharedPrefix_, shared) : std::string();
    const std::string own = "#" + std::to_string(record.id_) + " ";
    const size_t rest = record.promptTokens_ * bytesPerToken - prefix.size();
    return prefix + own + makeText(fastHash("record", record.id_), rest > own.size() ? (rest - own.size()) / 4 : 0);
}

HttpRequest traceRequest(const TraceRecord &record)
{
    HttpRequest request;
    request.method_ = "POST";
    request.headers_.emplace_back("Authorization", "Bearer " + record.token_);
    request.headers_.emplace_back("Content-Type", "application/json");
    if (!record.tier_.empty()) {
        request.headers_.emplace_back("X-Tier", record.tier_);
    }
    if (!record.key_.empty()) {
        request.headers_.emplace_back("Idempotency-Key", record.key_);
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(record.wait_).count();
    request.headers_.emplace_back("Prefer", "wait=" + std::to_string(seconds));
    if (record.kind_ == RouteKind::Service) {
        request.target_ = std::string(servicePrefix) + record.route_ + "/calls";
        request.body_ = Json::serialize(Json::object{ { "booking", tracePrompt(record) } });
        return request;
    }
    request.target_ = chatPath;
    const Json::object message{ { "role", "user" }, { "content", tracePrompt(record) } };
    request.body_ = Json::serialize(Json::object{ { "model", record.route_ }, { "stream", record.streamed_ },
        { "max_tokens", record.answerTokens_ }, { "messages", Json::array{ message } } });
    return request;
}

} // namespace Burdockfield
