/**
 * @file caller_wire.cpp
 * @brief HTTP API for callers: completions, plain services and problem documents.
 */
#include "caller_wire.h"

#include "digest_func.h"
#include "error_type.h"
#include "http_func.h"
#include "json_func.h"
#include "table/refusal_status.h"
#include "table/wire_names.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view waitPrefix = "wait=";
constexpr uint64_t maxWaitSeconds = 86400;
constexpr size_t keyLengthLimit = 255; ///< Bytes of an idempotency key.
constexpr size_t nameLengthLimit = 255; ///< Bytes of a model, service or tier name.
constexpr int badGatewayStatus = 502;

/// Appends the text of a message's content, which is a string or an array of parts with text.
void appendContent(JsonReader &reader, const Json::value &content, std::string &prompt)
{
    if (content.is_string()) {
        prompt += std::string_view(content.get_string());
        return;
    }
    if (!content.is_array()) {
        fail(reader, WireErrc::WrongType);
        return;
    }
    for (const Json::value &part : content.get_array()) {
        JsonReader partReader = readObject(part);
        std::string text;
        read(partReader, "text", text, Presence::Optional);
        fail(reader, partReader.error_);
        prompt += text;
    }
}

void readMessages(JsonReader &reader, std::string &prompt)
{
    const Json::array *messages = readArray(reader, "messages");
    if (messages == nullptr) {
        return;
    }
    if (messages->empty()) {
        fail(reader, WireErrc::OutOfRange);
    }
    for (const Json::value &message : *messages) {
        JsonReader messageReader = readObject(message);
        std::string role;
        read(messageReader, "role", role);
        prompt += role + ": ";
        if (const Json::value *content = readValue(messageReader, "content"); content != nullptr) {
            appendContent(messageReader, *content, prompt);
        }
        prompt += '\n';
        fail(reader, messageReader.error_);
    }
}

void readPrompt(JsonReader &reader, std::string &prompt)
{
    const Json::value *value = readValue(reader, "prompt");
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        read(reader, "prompt", prompt);
        return;
    }
    std::vector<std::string> parts;
    read(reader, "prompt", parts);
    for (const std::string &part : parts) {
        prompt += part;
    }
}

std::error_code parseModelRequest(const HttpRequest &http, CallerRequest &request)
{
    Json::value document;
    JsonReader reader = readJsonObject(http.body_, document);
    read(reader, "model", request.route_);
    if (request.path_ == chatPath) {
        readMessages(reader, request.prompt_);
    } else {
        readPrompt(reader, request.prompt_);
    }
    read(reader, "stream", request.streamed_, Presence::Optional);
    read(reader, "max_tokens", request.maxTokens_, Presence::Optional);
    read(reader, "service_tier", request.tier_, Presence::Optional);
    request.kind_ = RouteKind::Model;
    return reader.error_;
}

void parseServiceRequest(const HttpRequest &http, std::string_view path, CallerRequest &request)
{
    const std::string_view rest = path.substr(servicePrefix.size());
    const size_t slash = std::min(rest.find('/'), rest.size());
    request.kind_ = RouteKind::Service;
    request.route_ = rest.substr(0, slash);
    request.path_ = slash < rest.size() ? rest.substr(slash) : std::string_view("/");
    if (const size_t mark = http.target_.find('?'); mark != std::string::npos) {
        request.path_ += http.target_.substr(mark);
    }
    request.retryable_ = http.method_ == "GET" || http.method_ == "HEAD";
}

std::error_code parseWait(std::string_view prefer, Milliseconds &wait)
{
    const size_t begin = prefer.find(waitPrefix);
    if (begin == std::string_view::npos) {
        return {};
    }
    std::string_view digits = prefer.substr(begin + waitPrefix.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const uint64_t seconds = parseNumberOr(digits, 0);
    if (seconds == 0 || seconds > maxWaitSeconds) {
        return WireErrc::OutOfRange;
    }
    wait = std::chrono::seconds(seconds);
    return {};
}

std::error_code parseCallerHeaders(const HttpRequest &http, CallerRequest &request)
{
    const std::string_view authorization = findHeader(http.headers_, "Authorization");
    const bool bearer = authorization.starts_with(bearerPrefix);
    request.tokenDigest_ = bearer ? sha256Hex(authorization.substr(bearerPrefix.size())) : std::string();
    request.key_ = findHeader(http.headers_, "Idempotency-Key");
    if (const std::string_view tier = findHeader(http.headers_, "X-Tier"); !tier.empty()) {
        request.tier_ = tier;
    }
    const bool tooLong = request.key_.size() > keyLengthLimit || request.tier_.size() > nameLengthLimit
        || request.route_.size() > nameLengthLimit;
    return tooLong ? WireErrc::OutOfRange : parseWait(findHeader(http.headers_, "Prefer"), request.wait_);
}

Json::object makeProblem(const Refusal &refusal, const std::string &request, int status)
{
    const std::string name = refusal.error_.message();
    Json::object problem{ { "type", "urn:burdockfield:refusal:" + name }, { "title", name }, { "status", status },
        { "outcome", nameOf(refusal.runOutcome_, runOutcomeNames) } };
    if (!request.empty()) {
        problem["request"] = request;
    }
    if (refusal.timesRun_ > 0) {
        problem["times_run"] = refusal.timesRun_;
    }
    return problem;
}

int httpStatusOf(const Refusal &refusal)
{
    const bool known = refusal.error_.category() == std::error_code(RefusalErrc::BadRequest).category();
    const auto index = static_cast<size_t>(refusal.error_.value());
    return known && index < refusalStatus.size() ? refusalStatus[index] : badGatewayStatus;
}

bool isChat(const CallerOutput &output)
{
    return output.path_ == chatPath;
}

std::string joinText(const std::vector<Delta> &deltas)
{
    std::string text;
    for (const Delta &delta : deltas) {
        text += delta.text_;
    }
    return text;
}

Json::object makeChunk(const CallerOutput &output, Json::object choice)
{
    choice["index"] = 0;
    return { { "id", output.request_ }, { "object", isChat(output) ? "chat.completion.chunk" : "text_completion" },
        { "model", output.route_ }, { "choices", Json::array{ std::move(choice) } } };
}

std::string formatEvent(const Json::object &object)
{
    return "data: " + Json::serialize(object) + "\n\n";
}

Json::object makeUsage(const CallerEnd &end)
{
    return { { "prompt_tokens", end.end_.promptTokens_ }, { "completion_tokens", end.answerTokens_ },
        { "total_tokens", end.end_.promptTokens_ + end.answerTokens_ } };
}

} // namespace

bool isCallerPath(std::string_view path)
{
    return path == chatPath || path == completionPath || path.starts_with(servicePrefix);
}

std::error_code parseCallerRequest(const HttpRequest &http, CallerRequest &request)
{
    const HttpTarget target = splitTarget(http.target_);
    request.method_ = http.method_;
    request.payload_ = http.body_;
    if (target.path_.starts_with(servicePrefix)) {
        parseServiceRequest(http, target.path_, request);
        return parseCallerHeaders(http, request);
    }
    request.path_ = target.path_;
    if (request.path_ != chatPath && request.path_ != completionPath) {
        return WireErrc::UnknownPath;
    }
    if (http.method_ != "POST") {
        return WireErrc::WrongMethod;
    }
    const std::error_code error = parseModelRequest(http, request);
    return error ? error : parseCallerHeaders(http, request);
}

HttpReply serializeRefusal(const Refusal &refusal, const std::string &request)
{
    HttpReply reply;
    reply.status_ = httpStatusOf(refusal);
    reply.headers_.emplace_back("Content-Type", "application/problem+json");
    if (refusal.retryAfter_.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter_).count();
        reply.headers_.emplace_back("Retry-After", std::to_string(seconds));
    }
    reply.body_ = Json::serialize(makeProblem(refusal, request, reply.status_));
    return reply;
}

HttpReply serializeAnswer(const CallerOutput &output, const CallerEnd &end)
{
    HttpReply reply;
    reply.headers_.emplace_back("X-Request-Id", output.request_);
    if (output.kind_ == RouteKind::Service) {
        reply.status_ = end.end_.status_;
        reply.headers_.emplace_back("Content-Type", end.end_.contentType_);
        reply.body_ = joinText(end.deltas_);
        return reply;
    }
    Json::object choice{ { "index", 0 }, { "finish_reason", end.end_.finishReason_ } };
    if (isChat(output)) {
        choice["message"] = Json::object{ { "role", "assistant" }, { "content", joinText(end.deltas_) } };
    } else {
        choice["text"] = joinText(end.deltas_);
    }
    const Json::object body{ { "id", output.request_ },
        { "object", isChat(output) ? "chat.completion" : "text_completion" }, { "model", output.route_ },
        { "choices", Json::array{ std::move(choice) } }, { "usage", makeUsage(end) } };
    reply.headers_.emplace_back("Content-Type", "application/json");
    reply.body_ = Json::serialize(body);
    return reply;
}

HttpReply serializeStreamHead(const std::string &request)
{
    HttpReply reply;
    reply.headers_
        = { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" }, { "X-Request-Id", request } };
    return reply;
}

std::string serializeDeltas(const CallerOutput &output, const CallerDeltas &deltas)
{
    std::string text;
    for (const Delta &delta : deltas.deltas_) {
        Json::object choice{ { "finish_reason", nullptr } };
        if (isChat(output)) {
            choice["delta"] = Json::object{ { "content", delta.text_ } };
        } else {
            choice["text"] = delta.text_;
        }
        text += formatEvent(makeChunk(output, std::move(choice)));
    }
    return text;
}

std::string serializeStreamEnd(const CallerOutput &output, const CallerEnd &end)
{
    Json::object choice{ { "finish_reason", end.end_.finishReason_ } };
    if (isChat(output)) {
        choice["delta"] = Json::object{};
    } else {
        choice["text"] = "";
    }
    Json::object chunk = makeChunk(output, std::move(choice));
    chunk["usage"] = makeUsage(end);
    return formatEvent(chunk) + "data: [DONE]\n\n";
}

std::string serializeStreamRefusal(const Refusal &refusal, const std::string &request)
{
    return formatEvent({ { "error", makeProblem(refusal, request, httpStatusOf(refusal)) } });
}

} // namespace Burdockfield
