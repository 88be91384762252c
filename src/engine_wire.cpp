/**
 * @file engine_wire.cpp
 * @brief HTTP messages between an agent and its upstream: the streaming completions API, or a plain service.
 */
#include "engine_wire.h"

#include "error_type.h"
#include "json_func.h"

namespace Burdockfield {

namespace {

constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view eventSeparator = "\n\n";
constexpr std::string_view doneEvent = "[DONE]";
constexpr size_t maxEventBytes = 256U << 10U; ///< Longest event of a stream, as for gateways.
constexpr int serverErrorStatus = 500;

/// @return the caller's body, changed to request a stream that resumes after the tokens received so far.
std::string makeEngineBody(const RunOrder &order)
{
    std::error_code error;
    Json::value body = parseJson(order.payload_, error);
    Json::object *object = body.if_object();
    if (error || object == nullptr) {
        return order.payload_;
    }
    (*object)["stream"] = true;
    if (order.resumeTokens_ > 0) {
        (*object)["resume_tokens"] = order.resumeTokens_;
    }
    return Json::serialize(body);
}

void readChoice(JsonReader &reader, Delta &delta, AnswerEnd &end)
{
    const Json::array *choices = readArray(reader, "choices");
    if (choices == nullptr || choices->empty()) {
        return;
    }
    JsonReader choice = readObject(choices->front());
    read(choice, "text", delta.text_, Presence::Optional);
    if (const Json::value *inner = readValue(choice, "delta", Presence::Optional); inner != nullptr) {
        JsonReader content = readObject(*inner);
        read(content, "content", delta.text_, Presence::Optional);
        fail(choice, content.error_);
    }
    const Json::value *reason = readValue(choice, "finish_reason", Presence::Optional);
    if (reason != nullptr && !reason->is_null()) {
        read(choice, "finish_reason", end.finishReason_);
    }
    fail(reader, choice.error_);
}

void readUsage(JsonReader &reader, AnswerEnd &end)
{
    const Json::value *usage = readValue(reader, "usage", Presence::Optional);
    if (usage != nullptr && usage->is_object()) {
        JsonReader members = readObject(*usage);
        read(members, "prompt_tokens", end.promptTokens_, Presence::Optional);
        fail(reader, members.error_);
    }
}

} // namespace

HttpRequest makeEngineRequest(const RunOrder &order)
{
    HttpRequest request;
    request.method_ = order.method_;
    request.target_ = order.path_;
    request.headers_.emplace_back("X-Request-Id", order.name_.request_);
    request.headers_.emplace_back("Content-Type", "application/json");
    if (!order.key_.empty()) {
        request.headers_.emplace_back("Idempotency-Key", order.key_);
    }
    request.body_ = order.kind_ == RouteKind::Model ? makeEngineBody(order) : order.payload_;
    return request;
}

std::vector<Delta> parseEngineBytes(EngineStream &stream, std::string_view bytes, std::error_code &error)
{
    std::vector<Delta> deltas;
    if (stream.done_) {
        return deltas;
    }
    for (const std::string &event : extractParts(stream.splitter_, bytes, eventSeparator)) {
        if (!event.starts_with(eventPrefix)) {
            continue;
        }
        const std::string_view data = std::string_view(event).substr(eventPrefix.size());
        if (data == doneEvent) {
            stream.done_ = true;
            break;
        }
        Json::value document;
        JsonReader reader = readJsonObject(data, document);
        Delta delta;
        readChoice(reader, delta, stream.end_);
        readUsage(reader, stream.end_);
        if (reader.error_) {
            error = reader.error_;
            return deltas;
        }
        if (!delta.text_.empty()) {
            delta.tokens_ = 1;
            deltas.push_back(std::move(delta));
        }
    }
    if (stream.splitter_.rest_.size() > maxEventBytes) {
        error = WireErrc::OutOfRange;
    }
    return deltas;
}

AnswerEnd makeErrorStatusEnd(int status)
{
    AnswerEnd end;
    end.error_ = RefusalErrc::UpstreamError;
    end.runOutcome_ = status >= serverErrorStatus ? RunOutcome::Unknown : RunOutcome::Ran;
    end.status_ = status;
    return end;
}

AnswerEnd makeServiceEnd(const HttpReply &reply)
{
    AnswerEnd end;
    end.status_ = reply.status_;
    end.contentType_ = findHeader(reply.headers_, "Content-Type");
    return end;
}

std::error_code parseLoad(std::string_view text, EngineLoad &load)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "slots", load.slots_, Presence::Optional);
    read(reader, "models", load.models_, Presence::Optional);
    return reader.error_;
}

} // namespace Burdockfield
