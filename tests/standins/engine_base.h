/**
 * @file engine_base.h
 * @brief Tables of the model engine stand-in.
 *
 * It batches continuously over a bounded number of slots, queues what is beyond them in order of arrival, caches prompt
 * prefixes in limited memory, streams, stops when its caller closes, goes on from `resume_tokens`, and crashes on a
 * marked prompt.
 */
#pragma once

#include "deadline_type.h"
#include "pool_type.h"
#include "prefix_type.h"
#include "standin_func.h"

#include <deque>
#include <map>
#include <set>

namespace Burdockfield::Standin {

/// Prompt text that crashes the engine when its prefill ends.
constexpr std::string_view crashMarker = "<crash>";

/// What an engine can do.
struct EngineSettings
{
    std::vector<std::string> models_{ "model" }; ///< Models that it serves.
    uint32_t slots_ = 8; ///< Requests that it works on at once.
    double prefillRate_ = 4000; ///< Prompt tokens a second of one request.
    double decodeRate_ = 50; ///< Generated tokens a second of one request.
    uint32_t cacheBlocks_ = 4096; ///< Prefix blocks that its cache holds.
    Milliseconds loadLag_{ 500 }; ///< Age of its load reports.
    Milliseconds crashDowntime_{ 1000 }; ///< Time that it is down after a crash.
};

/// Where a request stands in the engine.
enum class EngineStage : uint8_t {
    Queued, ///< Waits for a slot.
    Prefill, ///< Its prompt is worked through.
    Decode, ///< Its answer is generated.
};

/// Request in the engine.
struct EngineRequest
{
    ExchangeId exchange_; ///< Where its answer goes.
    std::string id_; ///< Request id that the caller gave.
    std::string model_; ///< Model.
    std::string prompt_; ///< Prompt.
    bool chat_ = true; ///< Whether it came by the chat API.
    uint32_t promptTokens_ = 0; ///< Prompt tokens.
    uint32_t prefillTokens_ = 0; ///< Prompt tokens that were not cached.
    uint32_t resumeTokens_ = 0; ///< Answer tokens that the caller has already.
    uint32_t answerTokens_ = 0; ///< Length of the whole answer.
    uint32_t produced_ = 0; ///< Answer tokens so far, those the caller has included.
    EngineStage stage_ = EngineStage::Queued; ///< Where it stands.
    TimePoint nextAt_{}; ///< When its next token is ready.
};

using EngineRequestId = PoolId<EngineRequest>; ///< Index of a request.

/// Load at one moment.
struct LoadSample
{
    TimePoint at_{}; ///< When.
    uint32_t running_ = 0; ///< Requests in slots.
    uint32_t queued_ = 0; ///< Requests waiting.
};

/// All state of the engine.
struct EngineState
{
    EngineSettings settings_; ///< What it can do.
    double slowdown_ = 1; ///< Factor by which it is slowed down.
    Pool<EngineRequest> requests_; ///< Requests.
    std::map<ExchangeId, EngineRequestId> byExchange_; ///< Requests by exchange.
    std::deque<EngineRequestId> queue_; ///< Waiting requests, first come first served.
    uint32_t running_ = 0; ///< Requests in slots.
    DeadlineQueue<EngineRequest> deadlines_; ///< Next tokens.
    PrefixTable cache_; ///< Cached prefix blocks.
    std::deque<LoadSample> samples_; ///< Load of the recent past.
    TimePoint downUntil_{}; ///< End of the downtime after a crash.
    uint64_t crashes_ = 0; ///< Crashes so far.
};

/// Runs the engine once.
StandinOutbox tickEngine(EngineState &state, TimePoint now, StandinInbox inbox);

/// @return when the engine next needs a tick.
TimePoint nextEngineDeadline(const EngineState &state);

/// @return the token at @p index of the answer to @p prompt.
std::string answerToken(std::string_view prompt, uint32_t index);

/// @return the whole answer of @p tokens tokens to @p prompt.
std::string wholeAnswer(std::string_view prompt, uint32_t tokens);

} // namespace Burdockfield::Standin
