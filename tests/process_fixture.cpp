/**
 * @file process_fixture.cpp
 * @brief Fixture of tests that start real daemons and stand-ins.
 */
#include "process_fixture.h"

#include "digest_func.h"
#include "http_func.h"
#include "json_func.h"
#include "standins/engine_base.h"

namespace Burdockfield::Testing {

namespace {

constexpr Milliseconds callMargin{ 20000 }; ///< Time beyond the agreed wait that a call is waited for.

void readRefusal(CallResult &result, const std::string &text)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "outcome", result.outcome_);
    read(reader, "title", result.title_);
}

void readChat(CallResult &result)
{
    Json::value document;
    JsonReader reader = readJsonObject(result.body_, document);
    if (const Json::array *choices = readArray(reader, "choices"); choices != nullptr && !choices->empty()) {
        result.text_ = std::string(choices->front().at("message").at("content").as_string());
        result.done_ = true;
    }
}

void readEvents(CallResult &result)
{
    TextSplitter splitter;
    for (const std::string &event : extractParts(splitter, result.body_, "\n\n")) {
        if (event == "data: [DONE]") {
            result.done_ = true;
            continue;
        }
        std::error_code error;
        const Json::value chunk = parseJson(event.substr(6), error);
        if (const Json::value *problem = error ? nullptr : chunk.as_object().if_contains("error"); problem != nullptr) {
            readRefusal(result, Json::serialize(*problem));
            continue;
        }
        const Json::object &delta = chunk.at("choices").at(0).at("delta").as_object();
        if (const Json::value *content = delta.if_contains("content"); content != nullptr) {
            result.text_ += std::string(content->as_string());
        }
    }
}

HttpHeaders headersOf(const CallSpec &spec)
{
    HttpHeaders headers{ { "Authorization", "Bearer token-" + spec.workspace_ },
        { "Prefer", "wait=" + std::to_string(spec.waitSeconds_) } };
    if (!spec.tier_.empty()) {
        headers.emplace_back("X-Tier", spec.tier_);
    }
    if (!spec.key_.empty()) {
        headers.emplace_back("Idempotency-Key", spec.key_);
    }
    return headers;
}

std::string chatBody(const CallSpec &spec)
{
    const Json::object message{ { "role", "user" }, { "content", spec.prompt_ } };
    return Json::serialize(Json::object{ { "model", spec.route_ }, { "stream", spec.streamed_ },
        { "max_tokens", spec.tokens_ }, { "messages", Json::array{ message } } });
}

} // namespace

CallResult call(const Fleet &fleet, const std::string &entry, const CallSpec &spec)
{
    const std::string &address = fleet.processes_.at(entry).address_;
    const Milliseconds timeout = std::chrono::seconds(spec.waitSeconds_) + callMargin;
    const bool service = spec.route_ == "booking";
    const std::string target = service ? "/v1/services/booking/calls" : "/v1/chat/completions";
    const std::string body = service ? spec.prompt_ : chatBody(spec);
    const HttpReply reply = callNode(address, "POST", target, body, headersOf(spec), timeout);
    CallResult result;
    result.status_ = reply.status_;
    result.body_ = reply.body_;
    if (reply.status_ >= 400) {
        readRefusal(result, reply.body_);
    } else if (service) {
        result.text_ = reply.body_;
        result.done_ = reply.status_ == 201;
    } else if (spec.streamed_) {
        readEvents(result);
    } else if (reply.status_ == 200) {
        readChat(result);
    }
    return result;
}

std::string engineView(const std::string &prompt)
{
    return "user: " + prompt + "\n";
}

std::string ledgerHash(const CallSpec &spec)
{
    const bool service = spec.route_ == "booking";
    return toHex(fastHash(service ? spec.prompt_ : engineView(spec.prompt_)));
}

std::string expectedAnswer(const CallSpec &spec)
{
    return Standin::wholeAnswer(engineView(spec.prompt_), spec.tokens_);
}

} // namespace Burdockfield::Testing
