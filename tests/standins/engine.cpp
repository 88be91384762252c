/**
 * @file engine.cpp
 * @brief Model engine stand-in.
 */
#include "caller_wire.h"
#include "digest_func.h"
#include "engine_base.h"
#include "http_func.h"
#include "json_func.h"

#include <algorithm>

namespace Burdockfield::Standin {

namespace {

constexpr uint32_t bytesPerToken = 4;
constexpr uint32_t defaultAnswerTokens = 16;
constexpr uint64_t wordCount = 65536;

Duration tokensTime(double tokens, double rate)
{
    return std::chrono::duration_cast<Duration>(FractionalSeconds(tokens / rate));
}

void writeLedger(StandinOutbox &outbox, const EngineRequest &request, const char *event)
{
    outbox.ledger_.push_back(Json::serialize(
        Json::object{ { "event", event }, { "request", request.id_ }, { "prompt", toHex(fastHash(request.prompt_)) },
            { "prefill_tokens", request.prefillTokens_ }, { "resume_tokens", request.resumeTokens_ },
            { "produced", request.produced_ }, { "answer_tokens", request.answerTokens_ } }));
}

void reply(StandinOutbox &outbox, ExchangeId exchange, HttpReply answer)
{
    outbox.outputs_.push_back({ exchange, ServerOutput::Kind::Full, std::move(answer), {} });
}

void breakOff(StandinOutbox &outbox, ExchangeId exchange)
{
    outbox.outputs_.push_back({ exchange, ServerOutput::Kind::Abort, {}, {} });
}

void removeRequest(EngineState &state, EngineRequestId id)
{
    EngineRequest &request = *findRow(state.requests_, id);
    if (request.stage_ != EngineStage::Queued) {
        --state.running_;
    }
    state.byExchange_.erase(request.exchange_);
    eraseRow(state.requests_, id);
}

/// Lets go of everything and stays down for a while.
void crash(EngineState &state, TimePoint now, StandinOutbox &outbox)
{
    ++state.crashes_;
    state.downUntil_ = now + state.settings_.crashDowntime_;
    state.cache_ = {};
    std::vector<EngineRequestId> all;
    for (const auto &[exchange, id] : state.byExchange_) {
        all.push_back(id);
    }
    for (const EngineRequestId id : all) {
        const EngineRequest &request = *findRow(state.requests_, id);
        writeLedger(outbox, request, "crashed");
        breakOff(outbox, request.exchange_);
        removeRequest(state, id);
    }
    state.queue_.clear();
}

EngineRequest parseRequest(const Arrival &arrival, std::error_code &error)
{
    EngineRequest request;
    CallerRequest parsed;
    error = parseCallerRequest(arrival.request_, parsed);
    request.exchange_ = arrival.exchange_;
    request.id_ = findHeader(arrival.request_.headers_, "X-Request-Id");
    request.model_ = parsed.route_;
    request.prompt_ = parsed.prompt_;
    request.chat_ = parsed.path_ == chatPath;
    request.promptTokens_ = static_cast<uint32_t>(parsed.prompt_.size() / bytesPerToken) + 1;
    request.answerTokens_ = parsed.maxTokens_ > 0 ? parsed.maxTokens_ : defaultAnswerTokens;
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    read(reader, "resume_tokens", request.resumeTokens_, Presence::Optional);
    request.produced_ = std::min(request.resumeTokens_, request.answerTokens_);
    return request;
}

void takeCompletion(EngineState &state, const Arrival &arrival, StandinOutbox &outbox)
{
    std::error_code error;
    EngineRequest request = parseRequest(arrival, error);
    const auto &models = state.settings_.models_;
    if (error || std::find(models.begin(), models.end(), request.model_) == models.end()) {
        reply(outbox, arrival.exchange_, makeJsonReply(400, "{}"));
        return;
    }
    const EngineRequestId id = insertRow(state.requests_, std::move(request));
    state.byExchange_[arrival.exchange_] = id;
    state.queue_.push_back(id);
}

/// The newest sample that is at least as old as the lag.
LoadSample laggingLoad(EngineState &state, TimePoint now)
{
    LoadSample sample;
    while (state.samples_.size() > 1 && state.samples_[1].at_ + state.settings_.loadLag_ <= now) {
        state.samples_.pop_front();
    }
    if (!state.samples_.empty() && state.samples_.front().at_ + state.settings_.loadLag_ <= now) {
        sample = state.samples_.front();
    }
    return sample;
}

void replyLoad(EngineState &state, ExchangeId exchange, TimePoint now, StandinOutbox &outbox)
{
    const LoadSample sample = laggingLoad(state, now);
    const auto &models = state.settings_.models_;
    reply(outbox, exchange,
        makeJsonReply(200,
            Json::serialize(Json::object{ { "slots", state.settings_.slots_ }, { "running", sample.running_ },
                { "queued", sample.queued_ }, { "models", Json::array(models.begin(), models.end()) },
                { "crashes", state.crashes_ } })));
}

void takeControl(EngineState &state, const Arrival &arrival, StandinOutbox &outbox)
{
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    read(reader, "slowdown", state.slowdown_, Presence::Optional);
    reply(outbox, arrival.exchange_, makeJsonReply(reader.error_ ? 400 : 200, "{}"));
}

void takeArrival(EngineState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    if (now < state.downUntil_) {
        breakOff(outbox, arrival.exchange_);
    } else if (arrival.request_.target_ == "/load") {
        replyLoad(state, arrival.exchange_, now, outbox);
    } else if (arrival.request_.target_ == "/control") {
        takeControl(state, arrival, outbox);
    } else {
        takeCompletion(state, arrival, outbox);
    }
}

void takeDeparture(EngineState &state, ExchangeId exchange, StandinOutbox &outbox)
{
    const auto found = state.byExchange_.find(exchange);
    if (found == state.byExchange_.end()) {
        return;
    }
    const EngineRequestId id = found->second;
    const EngineRequest &request = *findRow(state.requests_, id);
    if (request.stage_ != EngineStage::Queued) {
        writeLedger(outbox, request, "cancelled");
    }
    removeRequest(state, id);
}

void startPrefill(EngineState &state, EngineRequestId id, TimePoint now, StandinOutbox &outbox)
{
    EngineRequest &request = *findRow(state.requests_, id);
    const PrefixHashes hashes = hashPrefixes(request.prompt_);
    const size_t known = countCachedBlocks(state.cache_, hashes);
    const uint32_t cached = static_cast<uint32_t>(known * prefixBlockBytes / bytesPerToken);
    request.prefillTokens_ = request.promptTokens_ - std::min(cached, request.promptTokens_ - 1);
    state.cache_.limit_ = state.settings_.cacheBlocks_;
    recordPrefixes(state.cache_, hashes);
    request.stage_ = EngineStage::Prefill;
    ++state.running_;
    request.nextAt_ = now + tokensTime(request.prefillTokens_ * state.slowdown_, state.settings_.prefillRate_);
    pushDeadline(state.deadlines_, request.nextAt_, id);
    writeLedger(outbox, request, "started");
}

std::string chunkText(const EngineRequest &request, const std::string &token)
{
    Json::object choice{ { "index", 0 }, { "finish_reason", nullptr } };
    if (request.chat_) {
        choice["delta"] = Json::object{ { "content", token } };
    } else {
        choice["text"] = token;
    }
    return "data: " + Json::serialize(Json::object{ { "choices", Json::array{ std::move(choice) } } }) + "\n\n";
}

std::string endText(const EngineRequest &request)
{
    const Json::object choice{ { "index", 0 }, { "delta", Json::object{} }, { "finish_reason", "stop" } };
    const Json::object usage{ { "prompt_tokens", request.promptTokens_ },
        { "completion_tokens", request.answerTokens_ } };
    const Json::object chunk{ { "choices", Json::array{ choice } }, { "usage", usage } };
    return "data: " + Json::serialize(chunk) + "\n\ndata: [DONE]\n\n";
}

void finish(EngineState &state, EngineRequestId id, StandinOutbox &outbox)
{
    const EngineRequest &request = *findRow(state.requests_, id);
    writeLedger(outbox, request, "finished");
    outbox.outputs_.push_back({ request.exchange_, ServerOutput::Kind::Chunk, {}, endText(request) });
    outbox.outputs_.push_back({ request.exchange_, ServerOutput::Kind::End, {}, {} });
    removeRequest(state, id);
}

/// Sends the tokens that are due.
void decode(EngineState &state, EngineRequestId id, TimePoint now, StandinOutbox &outbox)
{
    EngineRequest &request = *findRow(state.requests_, id);
    const Duration pace = tokensTime(state.slowdown_, state.settings_.decodeRate_);
    std::string text;
    while (request.nextAt_ <= now && request.produced_ < request.answerTokens_) {
        text += chunkText(request, answerToken(request.prompt_, request.produced_));
        ++request.produced_;
        request.nextAt_ += pace;
    }
    if (!text.empty()) {
        outbox.outputs_.push_back({ request.exchange_, ServerOutput::Kind::Chunk, {}, std::move(text) });
    }
    if (request.produced_ >= request.answerTokens_) {
        finish(state, id, outbox);
    } else {
        pushDeadline(state.deadlines_, request.nextAt_, id);
    }
}

/// @return whether the engine is still up.
bool advance(EngineState &state, EngineRequestId id, TimePoint now, StandinOutbox &outbox)
{
    EngineRequest *request = findRow(state.requests_, id);
    if (request == nullptr || request->nextAt_ > now) {
        return true;
    }
    if (request->stage_ == EngineStage::Prefill) {
        if (request->prompt_.find(crashMarker) != std::string::npos) {
            crash(state, now, outbox);
            return false;
        }
        request->stage_ = EngineStage::Decode;
        HttpReply head;
        head.headers_.emplace_back("Content-Type", "text/event-stream");
        outbox.outputs_.push_back({ request->exchange_, ServerOutput::Kind::Head, std::move(head), {} });
    }
    decode(state, id, now, outbox);
    return true;
}

void fillSlots(EngineState &state, TimePoint now, StandinOutbox &outbox)
{
    while (state.running_ < state.settings_.slots_ && !state.queue_.empty()) {
        const EngineRequestId id = state.queue_.front();
        state.queue_.pop_front();
        if (findRow(state.requests_, id) != nullptr) {
            startPrefill(state, id, now, outbox);
        }
    }
}

} // namespace

StandinOutbox tickEngine(EngineState &state, TimePoint now, StandinInbox inbox)
{
    StandinOutbox outbox;
    for (const Departure &departure : inbox.disconnects_) {
        takeDeparture(state, departure.exchange_, outbox);
    }
    for (const Arrival &arrival : inbox.arrivals_) {
        takeArrival(state, arrival, now, outbox);
    }
    bool up = true;
    for (const EngineRequestId id : popDue(state.deadlines_, now)) {
        up = up && advance(state, id, now, outbox);
    }
    fillSlots(state, now, outbox);
    const auto queued = static_cast<uint32_t>(state.requests_.size_ - state.running_);
    state.samples_.push_back({ now, state.running_, queued });
    return outbox;
}

TimePoint nextEngineDeadline(const EngineState &state)
{
    return nextDeadline(state.deadlines_);
}

std::string answerToken(std::string_view prompt, uint32_t index)
{
    return "w" + std::to_string(fastHash(prompt, index + 1) % wordCount) + " ";
}

std::string wholeAnswer(std::string_view prompt, uint32_t tokens)
{
    std::string text;
    for (uint32_t index = 0; index < tokens; ++index) {
        text += answerToken(prompt, index);
    }
    return text;
}

} // namespace Burdockfield::Standin
