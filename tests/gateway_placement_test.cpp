/**
 * @file gateway_placement_test.cpp
 * @brief Tests of the choice of upstreams by speed and by the load that they tell.
 */
#include "gateway_fixture.h"

#include "gateway_placement_func.h"

#include <map>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway before ten engines with four slots each.
struct PlacementFixture : GatewayFixture
{
    static constexpr size_t engineCount = 10;
    static constexpr uint64_t meanPrompt = 2000; ///< Tokens of the prompts that were seen before.

    PlacementFixture()
    {
        GatewayInbox inbox;
        UpstreamsReceived list;
        for (size_t engine = 0; engine < engineCount; ++engine) {
            list.rows_.push_back(makeRow(nameOfEngine(engine), "engines"));
        }
        list.fullList_ = true;
        list.version_ = { 0, 20 };
        inbox.upstreams_.push_back(list);
        tick(std::move(inbox));
        state_.configuration_.workspaces_[0].ratePerSecond_ = 0;
    }

    static std::string nameOfEngine(size_t engine)
    {
        return "engine-" + std::to_string(engine);
    }

    /// Teaches the speed of all engines: every third one is three times as fast as the others.
    void teachSpeeds()
    {
        for (size_t engine = 0; engine < engineCount; ++engine) {
            const Milliseconds time(engine % 3 == 0 ? 1000 : 3000);
            applyReport(upstream(nameOfEngine(engine)), now_, { 0, 0, 100000, time });
        }
        updateSpeedMeans(state_);
    }

    static bool isFast(const std::string &id)
    {
        return id == "engine-0" || id == "engine-3" || id == "engine-6" || id == "engine-9";
    }

    std::string place(uint64_t promptTokens)
    {
        CallArrived arrival = makeCall("read", ++exchange_);
        arrival.request_.promptTokens_ = promptTokens;
        const GatewayOutbox outbox = receiveCall(arrival);
        return outbox.sends_.empty() ? std::string() : outbox.sends_[0].parameters_.instance_;
    }

    /// Lets an engine tell a load with an answer.
    void tellLoad(const std::string &id, const UpstreamLoad &load)
    {
        AnswerHead head;
        head.load_ = load;
        GatewayOutbox outbox;
        recordReportedLoad(state_, now_, head, upstream(id), outbox);
    }

    uint64_t exchange_ = 0; ///< Last exchange.
};

} // namespace

TEST_CASE_FIXTURE(PlacementFixture, "LongPrompt_WhenUpstreamsDifferInSpeed_GoesToAFastOne")
{
    teachSpeeds();
    for (int call = 0; call < 4; ++call) {
        CHECK(isFast(place(4 * meanPrompt)));
    }
}

TEST_CASE_FIXTURE(PlacementFixture, "Prompt_WhenALongOneHasJustBeenPlaced_GoesElsewhere")
{
    teachSpeeds();
    const std::string first = place(20 * meanPrompt);
    for (int call = 0; call < 6; ++call) {
        CHECK(place(meanPrompt) != first);
    }
    now_ += std::chrono::seconds(1); // it has been read by then
    CHECK(backlogTokens(state_, upstream(first), now_) == 0);
}

TEST_CASE_FIXTURE(PlacementFixture, "Speed_WhenPromptsAreRead_IsLearntFromTheFirstEvent")
{
    CallArrived arrival = makeCall("stream", 1);
    arrival.request_.promptTokens_ = 5000;
    const GatewayOutbox sent = receiveCall(arrival);
    now_ += Milliseconds(100);
    receiveStreamBytes(sent.sends_.at(0).send_, "id: 1\ndata: a\n\n");
    const std::string &engine = sent.sends_[0].parameters_.instance_;
    CHECK(upstream(engine).promptTokensPerSecond_ == doctest::Approx(50000));
    CHECK(state_.upstreamReports_.at(engine).promptTokens_ == 5000);
}

TEST_CASE_FIXTURE(PlacementFixture, "Calls_WhenUpstreamsDifferInSpeed_AreNotBunchedOnFastOnes")
{
    teachSpeeds();
    std::map<std::string, int> calls;
    for (int call = 0; call < 20; ++call) { // half of all slots
        ++calls[place(meanPrompt)];
    }
    CHECK(calls.size() == engineCount);
    for (const auto &item : calls) { // doctest's lambdas can't refer to structured bindings
        CAPTURE(item.first);
        CHECK(item.second <= 3);
    }
}

TEST_CASE_FIXTURE(PlacementFixture, "Upstream_WhenItTellsOfCallsThatAreNotCounted_IsAvoidedForAMoment")
{
    tellLoad("engine-0", { 4, 6, 4, 1 });
    for (int call = 0; call < 18; ++call) {
        CHECK(place(0) != "engine-0");
    }
    now_ += std::chrono::seconds(2);
    CHECK(place(0) == "engine-0");
}

TEST_CASE_FIXTURE(PlacementFixture, "Upstream_WhenItClaimsToBeIdle_GetsNoMoreCallsThanOthers")
{
    upstream("engine-0").peerInFlight_ = 4;
    tellLoad("engine-0", { 0, 0, 1000, 0.1 });
    std::map<std::string, int> calls;
    for (int call = 0; call < 27; ++call) {
        ++calls[place(meanPrompt)];
    }
    CHECK(calls["engine-0"] == 0);
}

TEST_CASE_FIXTURE(PlacementFixture, "Upstream_WhenItsMachineIsSlowAtThisMoment_IsChosenAfterOthers")
{
    tellLoad("engine-0", { 0, 0, 4, 2.5 });
    for (int call = 0; call < 9; ++call) {
        CHECK(place(0) != "engine-0");
    }
}

TEST_CASE_FIXTURE(PlacementFixture, "Load_WhenMalformed_IsLoggedOnceInAWhile")
{
    AnswerHead head;
    head.loadMalformed_ = true;
    GatewayOutbox outbox;
    for (int answer = 0; answer < 100; ++answer) {
        recordReportedLoad(state_, now_, head, upstream("engine-0"), outbox);
    }
    CHECK(outbox.decisions_.size() == 1);
    CHECK(upstream("engine-0").reportedLoad_.at_ == TimePoint{});
}

TEST_CASE_FIXTURE(PlacementFixture, "Upstream_WhenOtherGatewaysReportItsFailures_IsChosenAfterOthers")
{
    applyReport(upstream("engine-0"), now_, { 1, 5, 0, Milliseconds(0) });
    for (int call = 0; call < 18; ++call) {
        CHECK(place(0) != "engine-0");
    }
}
