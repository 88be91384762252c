/**
 * @file schedule_fixture.h
 * @brief Ticks of entries and agents joined by a hand-moved clock and a lossy message queue, for schedules of faults.
 */
#pragma once

#include "agent_func.h"
#include "entry_func.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Burdockfield::Testing {

/// Table service as the schedules see it.
enum class StoreWeather : uint8_t {
    Up, ///< As it should.
    Down, ///< Refuses; nothing is written.
    LosesAnswers, ///< Writes, but the answer is lost.
};

/// Message, or other happening, that waits for its time.
struct Delivery
{
    TimePoint at_{}; ///< When.
    uint64_t sequence_ = 0; ///< Keeps the order of equals.
    std::function<void()> act_; ///< What happens.
};

/// One start of a run by a fake engine.
struct StartRecord
{
    std::string request_; ///< Request name.
    std::string key_; ///< Idempotency key.
    std::string payload_; ///< Payload.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Dispatch rule.
    uint32_t resumeTokens_ = 0; ///< Tokens that had been delivered.
};

/// What a caller was told.
struct CallerRecord
{
    std::string payload_; ///< What was asked.
    std::string key_; ///< Idempotency key.
    std::string request_; ///< Request name, once known.
    std::string text_; ///< Text received.
    bool answered_ = false; ///< Whether the answer was said to be whole.
    bool refused_ = false; ///< Whether a refusal came.
    RunOutcome runOutcome_ = RunOutcome::Unknown; ///< Truth of the refusal.
    std::error_code error_; ///< Why it was refused.
    bool gone_ = false; ///< Whether its entry died.
    TimePoint deadline_{}; ///< End of the agreed wait.
};

/// Entry with its inbox.
struct EntryNode
{
    EntryState state_; ///< Tables.
    EntryInbox inbox_; ///< Inputs.
    uint64_t life_ = 0; ///< Counts restarts; messages to earlier lives are lost.
    std::map<std::pair<RequestId, uint32_t>, ExchangeId> reads_; ///< Exchanges at agents by read.
};

/// Agent with its inbox and its fake engine.
struct AgentNode
{
    AgentState state_; ///< Tables.
    AgentInbox inbox_; ///< Inputs.
    uint64_t life_ = 0; ///< Counts restarts.
    TimePoint frozenUntil_{}; ///< No tick before this time.
    std::set<std::pair<RunId, uint32_t>> engine_; ///< Runs at the engine.
};

/// What a caller asks for in a schedule.
struct ScheduledCall
{
    std::string route_ = "booking"; ///< Route.
    std::string payload_; ///< Payload.
    std::string key_; ///< Idempotency key.
    std::string tier_ = "standard"; ///< Tier.
    size_t entry_ = 0; ///< Entry that is asked.
};

/// Fixture of a schedule.
struct ScheduleFixture
{
    ScheduleFixture();

    TimePoint now_{ std::chrono::hours(1) }; ///< Hand-moved clock.
    std::mt19937_64 random_{ 1 }; ///< Delays and losses.
    double loss_ = 0; ///< Share of messages that are lost.
    Milliseconds longestDelay_{ 5 }; ///< Longest delay of a message.
    StoreWeather store_ = StoreWeather::Up; ///< How the table service behaves.
    std::map<StoreKey, StoreRow> rows_; ///< Rows of the table service.
    std::vector<EntryNode> entries_; ///< Entries.
    std::vector<AgentNode> agents_; ///< Agents.
    std::vector<Delivery> queue_; ///< What is on its way.
    uint64_t sequence_ = 0; ///< Number of the next delivery.
    uint64_t nextExchange_ = 1; ///< Number of the next exchange.
    std::map<ExchangeId, CallerRecord> callers_; ///< What callers were told.
    std::map<ExchangeId, std::function<void(AnswerFrame)>> readers_; ///< Readers at agents.
    std::map<ExchangeId, std::function<void()>> unknownRuns_; ///< Readers to be told that the run is unknown.
    std::map<ExchangeId, std::function<void(RunReply)>> orderReplies_; ///< Answers to orders.
    std::map<ExchangeId, std::function<void(CancelReply)>> cancelReplies_; ///< Answers to cancellations.
    std::map<ExchangeId, std::function<void(AgentReport)>> reportReplies_; ///< Reports.
    std::vector<StartRecord> starts_; ///< What engines were given.
    bool engineCrashes_ = false; ///< Whether the next start crashes its engine.
};

/// Moves the clock forward, delivering and ticking as it goes.
void passTime(ScheduleFixture &fixture, Milliseconds time);

/// Sends a request. @return its exchange
ExchangeId submit(ScheduleFixture &fixture, const ScheduledCall &call);

/// Restarts an agent with nothing in memory; its engine loses its runs.
void restartAgent(ScheduleFixture &fixture, size_t agent);

/// Restarts an entry with nothing in memory; its callers' connections break.
void restartEntry(ScheduleFixture &fixture, size_t entry);

/// Keeps an agent from ticking for a while.
void freezeAgent(ScheduleFixture &fixture, size_t agent, Milliseconds time);

/// @return the answer that fake engines give.
std::string fakeAnswer(const std::string &payload);

/// @return in words which promise is broken, or nothing.
std::string findBrokenPromise(const ScheduleFixture &fixture);

} // namespace Burdockfield::Testing
