/**
 * @file endless_engine_test.cpp
 * @brief Tests of agents and entries whose engine or agent sends bytes without end, with the memory of the smallest
 * machine.
 */
#include "agent_func.h"
#include "engine_wire.h"
#include "entry_fixture.h"
#include "error_type.h"
#include "heap_func.h"
#include "http_func.h"

#include <doctest/doctest.h>
#include <optional>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr size_t pieceBytes = 16U << 10U; ///< Bytes that a stream passes on at once.

/// Agent with two slots, whose engine answers without end.
struct EndlessEngineFixture
{
    EndlessEngineFixture()
    {
        state_.answerLimit_ = smallestMemory / 5;
        AgentInbox inbox;
        inbox.loads_.push_back({ {}, 0, {} });
        tick(std::move(inbox));
    }

    AgentOutbox tick(AgentInbox inbox = {})
    {
        now_ += Milliseconds(1);
        return tickAgent(state_, now_, std::move(inbox));
    }

    /// Orders a run, which is dispatched at once.
    RunId startRun()
    {
        RunOrder order;
        order.name_ = { "request-" + std::to_string(next_++), 1 };
        order.agentIncarnation_ = state_.incarnation_;
        order.workspace_ = "w";
        order.tier_ = 1;
        order.route_ = "m";
        order.payload_ = "{}";
        order.digest_ = order.name_.request_;
        order.remainingWait_ = std::chrono::minutes(10);
        AgentInbox inbox;
        inbox.orders_.push_back({ ExchangeId{ next_++ }, order });
        const AgentOutbox outbox = tick(std::move(inbox));
        REQUIRE(outbox.engineStarts_.size() == 1);
        return outbox.engineStarts_[0].run_;
    }

    AgentOutbox receive(RunId run, size_t deltas, const std::string &text)
    {
        AgentInbox inbox;
        EngineDeltas event{ run, 1, {} };
        event.deltas_.assign(deltas, Delta{ text, 1 });
        inbox.deltas_.push_back(std::move(event));
        return tick(std::move(inbox));
    }

    TimePoint now_{ std::chrono::hours(1) };
    AgentState state_
        = makeAgentState({ "a", "a:1", "r", "z" }, AgentPolicy{}, { "e:1", RouteKind::Model, { "m" }, 2, 1 }, 42);
    uint64_t next_ = 1; ///< Next unused number of a request or exchange.
};

} // namespace

TEST_CASE("Engine_WhenAnEventNeverEnds_IsMalformedWithinTheMemory")
{
    EngineStream stream;
    std::error_code error;
    const size_t before = heapBytes();
    size_t received = 0;
    while (!error && received < smallestMemory) {
        parseEngineBytes(stream, (received == 0 ? "data: " : "") + std::string(pieceBytes, 'a'), error);
        received += pieceBytes;
    }
    CHECK(error == make_error_code(WireErrc::OutOfRange));
    CHECK(heapGrowth(before) <= heldBound / 50);
}

TEST_CASE_FIXTURE(EndlessEngineFixture, "Agent_WhenDeltasNeverEnd_EndsTheRunWithinTheMemory")
{
    const size_t before = heapBytes();
    const RunId run = startRun();
    size_t aborts = 0;
    for (int piece = 0; piece < 4000 && aborts == 0; ++piece) {
        aborts += receive(run, 500, "a").engineAborts_.size();
    }
    CHECK(aborts == 1);
    CHECK(heapGrowth(before) <= heldBound);
    REQUIRE(findRow(state_.runs_, run) != nullptr);
    CHECK(findRow(state_.runs_, run)->stage_ == RunStage::Ended);
    CHECK(findRow(state_.runs_, run)->end_.error_ == RefusalErrc::UpstreamError);
    const RunId next = startRun();
    receive(next, 5, "token");
    CHECK(findRow(state_.runs_, next)->answer_.size() == 5);
}

// Two answers of half the limit each fit; a third makes the longest one end.
TEST_CASE_FIXTURE(EndlessEngineFixture, "Agent_WhenAnswersTogetherExceedTheLimit_EndsTheLongest")
{
    const RunId first = startRun();
    const RunId second = startRun();
    const std::string text(state_.answerLimit_ / 2 - 4096, 'a');
    CHECK(receive(first, 1, text).engineAborts_.empty());
    CHECK(receive(second, 1, text.substr(1)).engineAborts_.empty());
    const AgentOutbox outbox = receive(second, 1, std::string(10000, 'b'));
    REQUIRE(outbox.engineAborts_.size() == 1);
    CHECK(outbox.engineAborts_[0].run_ == second);
    CHECK(findRow(state_.runs_, first)->stage_ == RunStage::Running);
}

TEST_CASE_FIXTURE(EntryFixture, "Entry_WhenAnAnswerNeverEnds_RefusesItsRequestWithinTheMemory")
{
    state_.answerLimit_ = smallestMemory / 5;
    addUpstreams({ makeReport("only") });
    const EntryOutbox ordered = submit({ makeRequest() });
    const SendOrder &order = ordered.orders_.at(0);
    EntryInbox accepted;
    accepted.runReplies_.push_back({ order.request_, 1, {}, { {}, makeReport("only") } });
    tick(std::move(accepted));
    const size_t before = heapBytes();
    AnswerFrameReceived frame{ order.request_, 1, {} };
    frame.frame_.name_ = order.order_.name_;
    frame.frame_.deltas_.assign(500, Delta{ "a", 1 });
    std::optional<std::error_code> refusal;
    size_t cancels = 0;
    for (int piece = 0; piece < 4000 && !refusal; ++piece) {
        now_ += Milliseconds(1);
        EntryInbox inbox;
        inbox.frames_.push_back(frame);
        const EntryOutbox outbox = tick(std::move(inbox));
        cancels += outbox.cancels_.size();
        for (const CallerOutput &output : outbox.callerOutputs_) {
            if (const auto *body = std::get_if<Refusal>(&output.body_); body != nullptr) {
                refusal = body->error_;
            }
        }
        frame.frame_.offset_ += frame.frame_.deltas_.size();
    }
    CHECK(heapGrowth(before) <= heldBound);
    CHECK(refusal == make_error_code(RefusalErrc::UpstreamError));
    CHECK(cancels == 1);
    CHECK(state_.requests_.size_ == 0);
    CHECK(submit({ makeRequest() }).orders_.size() == 1);
}

TEST_CASE("Splitter_WhenASeparatorArrivesInPieces_FindsIt")
{
    TextSplitter splitter;
    CHECK(extractParts(splitter, "first\n", "\n\n").empty());
    CHECK(extractParts(splitter, "\nsecond\n\nthi", "\n\n") == std::vector<std::string>{ "first", "second" });
    CHECK(extractParts(splitter, "rd\n", "\n\n").empty());
    CHECK(extractParts(splitter, "\n", "\n\n") == std::vector<std::string>{ "third" });
}

TEST_CASE("Engine_WhenBytesFollowTheEndOfAnAnswer_IgnoresThem")
{
    EngineStream stream;
    std::error_code error;
    const std::string event = R"(data: {"choices":[{"text":"a"}]})"
                              "\n\n";
    CHECK(parseEngineBytes(stream, event + "data: [DONE]\n\n", error).size() == 1);
    CHECK(parseEngineBytes(stream, event + event, error).empty());
    CHECK(stream.splitter_.rest_.empty());
}
