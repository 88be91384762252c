/**
 * @file gateway_answer_test.cpp
 * @brief What a gateway does with answers, and with their absence.
 */
#include "gateway_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

TEST_CASE_FIXTURE(GatewayFixture, "Answer_WhenWhole_IsPassedOn")
{
    const uint64_t send = arrive("once", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = answer(send, makeHead(200), "done");
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.body_ == "done");
    CHECK(state_.calls_.size_ == 0);
    CHECK(upstream("desk-1").ownInFlight_ == 0);
}

TEST_CASE_FIXTURE(GatewayFixture, "Answer_WhenUnsigned_IsReplacedByAFailureThatPromisesNothing")
{
    const uint64_t send = arrive("once", 1).sends_.at(0).send_;
    AnswerHead head = makeHead(200);
    head.authentic_ = false;
    const GatewayOutbox outbox = answer(send, head, "someone's");
    CHECK(outbox.answers_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamFailed);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenConnectionIsLost_IsNotSentAgain")
{
    const uint64_t send = arrive("once", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = end(send, TransportErrc::Lost);
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenConnectionNeverCameUp_IsSentElsewhere")
{
    GatewayInbox inbox;
    UpstreamsReceived rows;
    rows.rows_ = { makeRow("desk-2", "desk") };
    inbox.upstreams_.push_back(rows);
    tick(std::move(inbox));
    const GatewayOutbox first = arrive("once", 1);
    const GatewayOutbox second = end(first.sends_.at(0).send_, TransportErrc::NotSent);
    REQUIRE(second.sends_.size() == 1);
    CHECK(second.sends_[0].parameters_.instance_ != first.sends_[0].parameters_.instance_);
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenUpstreamPromisesNotRun_IsRefusedAsNotRun")
{
    state_.configuration_.routes_[1].attempts_ = 1;
    const uint64_t send = arrive("once", 1).sends_.at(0).send_;
    AnswerHead head = makeHead(503);
    head.authentic_ = false;
    head.notRun_ = true;
    const GatewayOutbox outbox = answer(send, head, "");
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamRefused);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(outbox.refusals_[0].retryAfter_ > Milliseconds(0));
}

TEST_CASE_FIXTURE(GatewayFixture, "IdempotentCall_WhenUpstreamFails_IsSentToAnother")
{
    const GatewayOutbox first = arrive("read", 1);
    const GatewayOutbox second = answer(first.sends_.at(0).send_, makeHead(500), "oops");
    REQUIRE(second.sends_.size() == 1);
    CHECK(second.sends_[0].parameters_.instance_ != first.sends_[0].parameters_.instance_);
}

TEST_CASE_FIXTURE(GatewayFixture, "IdempotentCall_WhenAttemptsAreUsedUp_PassesTheFailureOn")
{
    const uint64_t first = arrive("read", 1).sends_.at(0).send_;
    const uint64_t second = answer(first, makeHead(500), "oops").sends_.at(0).send_;
    const GatewayOutbox outbox = answer(second, makeHead(500), "");
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.status_ == 500);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenEventsCome_RelaysWholeOnesOnly")
{
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = stream(send, "id: 1\ndata: a\n\nid: 2\nda");
    REQUIRE(outbox.streamStarts_.size() == 1);
    REQUIRE(outbox.events_.size() == 1);
    CHECK(outbox.events_[0].bytes_ == "id: 1\ndata: a\n\n");
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenBrokenInsideAnEvent_GoesOnElsewhereAfterTheLastWholeOne")
{
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    stream(send, "id: 1\ndata: a\n\nid: 2\nda");
    const GatewayOutbox outbox = end(send, TransportErrc::Lost);
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
    const GatewayOutbox rest = answer(outbox.sends_[0].send_, makeHead(200, true), "id: 2\ndata: b\n\n");
    CHECK(rest.streamStarts_.empty());
    REQUIRE(rest.events_.size() == 1);
    CHECK(rest.events_[0].bytes_ == "id: 2\ndata: b\n\n");
    CHECK(rest.streamEnds_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenItMayNotGoOn_IsBrokenOffWithoutAnEnd")
{
    state_.configuration_.routes_[0].resumable_ = false;
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    stream(send, "id: 1\ndata: a\n\n");
    const GatewayOutbox outbox = end(send, TransportErrc::Lost);
    CHECK(outbox.sends_.empty());
    CHECK(outbox.streamEnds_.empty());
    CHECK(outbox.abortedExchanges_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenItEndsInsideAnEvent_IsNotTakenForComplete")
{
    state_.configuration_.routes_[0].resumable_ = false;
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = answer(send, makeHead(200, true), "id: 1\ndata: a\n\nid: 2");
    CHECK(outbox.streamEnds_.empty());
    CHECK(outbox.abortedExchanges_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenAnEventIsMissing_IsNotJoined")
{
    state_.configuration_.routes_[0].resumable_ = false;
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    stream(send, "id: 1\ndata: a\n\n");
    const GatewayOutbox outbox = stream(send, "id: 3\ndata: c\n\n");
    CHECK(outbox.events_.empty());
    CHECK(outbox.abortedExchanges_.size() == 1);
    CHECK(outbox.cancels_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenUpstreamFallsSilent_GoesOnElsewhere")
{
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    stream(send, "id: 1\ndata: a\n\n");
    const GatewayOutbox outbox = tickAfter(Milliseconds(1000));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ send });
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenUpstreamFallsSilentAndNoOtherHasRoom_StaysWhereItIs")
{
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    stream(send, "id: 1\ndata: a\n\n");
    for (int step = 0; step < 30; ++step) {
        now_ += Milliseconds(100);
        const GatewayOutbox outbox = hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
        CHECK(outbox.cancels_.empty());
        CHECK(outbox.abortedExchanges_.empty());
    }
    CHECK(hearPeer("10.0.0.2:7000", {}).cancels_.empty());
    now_ += Milliseconds(100);
    CHECK(hearPeer("10.0.0.2:7000", {}).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenBrokenOffAndNoUpstreamHasRoom_WaitsUntilItsDeadline")
{
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    stream(send, "id: 1\ndata: a\n\n");
    hearPeer("10.0.0.2:7000", { { "engine-1", 9 }, { "engine-2", 9 } });
    CHECK(end(send, TransportErrc::Lost).sends_.empty());
    for (int step = 0; step < 20; ++step) {
        now_ += Milliseconds(100);
        CHECK(hearPeer("10.0.0.2:7000", { { "engine-1", 9 }, { "engine-2", 9 } }).abortedExchanges_.empty());
    }
    CHECK(hearPeer("10.0.0.2:7000", {}).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenCallerLeaves_IsGivenUpAtTheUpstream")
{
    const uint64_t send = arrive("stream", 1).sends_.at(0).send_;
    GatewayInbox inbox;
    inbox.disconnects_.push_back(ExchangeId{ 1 });
    const GatewayOutbox outbox = tick(std::move(inbox));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ send });
    CHECK(state_.calls_.size_ == 0);
    CHECK(state_.callBySend_.empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenTimeIsOver_EndsWithoutAPromise")
{
    arrive("once", 1);
    const GatewayOutbox outbox = tickAfter(Milliseconds(4000));
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Expired);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
    CHECK(outbox.cancels_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Suspect_WhenThreeUpstreamsWentDownWithIt_IsNotRunAgain")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    for (uint64_t exchange = 1; exchange <= 3; ++exchange) {
        const uint64_t send = arrive("read", exchange).sends_.at(0).send_;
        const std::string victim = findRow(state_.calls_, state_.callBySend_.at(send))->triedInstances_.back();
        end(send, TransportErrc::Lost);
        CallArrived probe = makeCall("read", 100 + exchange);
        probe.request_.body_ = std::make_shared<const std::string>("another");
        const uint64_t second = arrive(probe).sends_.at(0).send_;
        findRow(state_.calls_, state_.callBySend_.at(second))->upstream_ = state_.upstreamById_.at(victim);
        end(second, TransportErrc::NotSent);
        now_ += std::chrono::seconds(5);
        tick();
    }
    const GatewayOutbox outbox = arrive("read", 50);
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::CrashSuspect);
    CHECK(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "Suspect_WhenItsConnectionsAreOnlyReset_IsStillRun")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    for (uint64_t exchange = 1; exchange <= 5; ++exchange) {
        end(arrive("read", exchange).sends_.at(0).send_, TransportErrc::Lost);
    }
    CHECK(arrive("read", 50).sends_.size() == 1);
}
