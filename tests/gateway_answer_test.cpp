/**
 * @file gateway_answer_test.cpp
 * @brief Tests of forwarding answers and of retries.
 */
#include "gateway_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

TEST_CASE_FIXTURE(GatewayFixture, "Answer_WhenComplete_IsForwarded")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = receiveAnswer(send, makeHead(200), "done");
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.body_ == "done");
    CHECK(state_.calls_.size_ == 0);
    CHECK(upstream("desk-1").ownInFlight_ == 0);
}

TEST_CASE_FIXTURE(GatewayFixture, "Answer_WhenUnsigned_IsReplacedByAFailureThatMayHaveRun")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    AnswerHead head = makeHead(200);
    head.authentic_ = false;
    const GatewayOutbox outbox = receiveAnswer(send, head, "someone's");
    CHECK(outbox.answers_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamFailed);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenConnectionIsLost_IsNotRetried")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = endSend(send, TransportErrc::Lost);
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenConnectFails_IsSentToAnotherUpstream")
{
    GatewayInbox inbox;
    UpstreamsReceived rows;
    rows.rows_ = { makeRow("desk-2", "desk") };
    inbox.upstreams_.push_back(rows);
    tick(std::move(inbox));
    const GatewayOutbox first = receiveCall("once", 1);
    const GatewayOutbox second = endSend(first.sends_.at(0).send_, TransportErrc::NotSent);
    REQUIRE(second.sends_.size() == 1);
    CHECK(second.sends_[0].parameters_.instance_ != first.sends_[0].parameters_.instance_);
}

// Nothing was sent, and no upstream is at fault that the workspace's name can't stand in a header.
TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenItsRequestIsUnsendable_IsRefusedAsNotRun")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = endSend(send, TransportErrc::Unsendable);
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Unsendable);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(upstream("desk-1").avoidUntil_ <= now_);
    CHECK(upstream("desk-1").ownInFlight_ == 0);
    CHECK(receiveCall("once", 2).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenAnUpstreamsIdIsUnsendable_IsSentToAnotherUpstream")
{
    UpstreamsReceived change;
    change.rows_ = { makeRow("desk-1", "desk"), makeRow("desk-2\r\n", "desk") };
    change.rows_[0].draining_ = true;
    GatewayInbox inbox;
    inbox.upstreams_.push_back(change);
    tick(std::move(inbox));
    const GatewayOutbox first = receiveCall("once", 1);
    REQUIRE(first.sends_.at(0).parameters_.instance_ == "desk-2\r\n");
    change.rows_ = { makeRow("desk-1", "desk") };
    inbox = {};
    inbox.upstreams_.push_back(change);
    tick(std::move(inbox));
    const GatewayOutbox second = endSend(first.sends_[0].send_, TransportErrc::Unsendable);
    REQUIRE(second.sends_.size() == 1);
    CHECK(second.sends_[0].parameters_.instance_ == "desk-1");
}

TEST_CASE_FIXTURE(GatewayFixture, "Log_WhenACallIsSentAgain_NamesTheAddressesAndTheCause")
{
    UpstreamsReceived change;
    change.rows_ = { makeRow("desk-2", "desk") };
    change.rows_[0].address_ = "10.0.1.2:80";
    GatewayInbox inbox;
    inbox.upstreams_.push_back(change);
    tick(std::move(inbox));
    const GatewayOutbox first = receiveCall("once", 1);
    CHECK(findField(first, "sent", "cause") == "first");
    AnswerHead head = makeHead(421);
    head.wrongInstance_ = true;
    const GatewayOutbox second = receiveAnswer(first.sends_.at(0).send_, head, "");
    CHECK(findField(second, "send-failed", "address") == first.sends_.at(0).address_);
    CHECK(findField(second, "sent", "address") == second.sends_.at(0).address_);
    CHECK(findField(second, "sent", "cause") == "wrong-instance");
    CHECK(findField(second, "sent", "repeatable") == "no");
    CHECK(state_.metrics_.counters_["sends_repeated"]["wrong-instance"] == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenUpstreamReportsNotRun_IsRefusedAsNotRun")
{
    state_.configuration_.routes_[1].attempts_ = 1;
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    AnswerHead head = makeHead(503);
    head.authentic_ = false;
    head.notRun_ = true;
    const GatewayOutbox outbox = receiveAnswer(send, head, "");
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamRefused);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(outbox.refusals_[0].retryAfter_ > Milliseconds(0));
}

TEST_CASE_FIXTURE(GatewayFixture, "NonIdempotentCall_WhenARefusalIsCutShort_IsRefusedAsPossiblyRun")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    AnswerHead head = makeHead(503);
    head.authentic_ = false;
    head.notRun_ = true;
    const GatewayOutbox outbox = receiveAnswer(send, head, "", TransportErrc::Lost);
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "IdempotentCall_WhenUpstreamFails_IsRetriedAtAnother")
{
    const GatewayOutbox first = receiveCall("read", 1);
    const GatewayOutbox second = receiveAnswer(first.sends_.at(0).send_, makeHead(500), "oops");
    REQUIRE(second.sends_.size() == 1);
    CHECK(second.sends_[0].parameters_.instance_ != first.sends_[0].parameters_.instance_);
}

TEST_CASE_FIXTURE(GatewayFixture, "IdempotentCall_WhenAttemptsAreUsedUp_ForwardsTheFailure")
{
    const uint64_t first = receiveCall("read", 1).sends_.at(0).send_;
    const uint64_t second = receiveAnswer(first, makeHead(500), "oops").sends_.at(0).send_;
    const GatewayOutbox outbox = receiveAnswer(second, makeHead(500), "");
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.status_ == 500);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenEventsAreReceived_ForwardsCompleteOnesOnly")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = receiveStreamBytes(send, "id: 1\ndata: a\n\nid: 2\nda");
    REQUIRE(outbox.streamStarts_.size() == 1);
    REQUIRE(outbox.events_.size() == 1);
    CHECK(outbox.events_[0].bytes_ == "id: 1\ndata: a\n\n");
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenBrokenWithinAnEvent_ResumesElsewhereAfterTheLastCompleteOne")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\nid: 2\nda");
    const GatewayOutbox outbox = endSend(send, TransportErrc::Lost);
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
    const GatewayOutbox rest = receiveAnswer(outbox.sends_[0].send_, makeHead(200, true), "id: 2\ndata: b\n\n");
    CHECK(rest.streamStarts_.empty());
    REQUIRE(rest.events_.size() == 1);
    CHECK(rest.events_[0].bytes_ == "id: 2\ndata: b\n\n");
    CHECK(rest.streamEnds_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenTheNextUpstreamAnswersWithAnError_ShowsNothingOfIt")
{
    state_.configuration_.routes_[0].attempts_ = 3;
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\nid: 2\nda");
    const uint64_t second = endSend(send, TransportErrc::Lost).sends_.at(0).send_;
    const GatewayOutbox third = receiveAnswer(second, makeHead(500), "id: 2\ndata: error\n\n");
    CHECK(third.events_.empty());
    CHECK(third.answers_.empty());
    REQUIRE(third.sends_.size() == 1);
    const GatewayOutbox end = receiveAnswer(third.sends_[0].send_, makeHead(500), "id: 2\ndata: error\n\n");
    CHECK(end.events_.empty());
    CHECK(end.answers_.empty());
    CHECK(end.streamEnds_.empty());
    CHECK(end.abortedExchanges_ == std::vector<ExchangeId>{ ExchangeId{ 1 } });
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenTheNextUpstreamAnswersWithAnErrorInTheFormOfEvents_ShowsNothingOfIt")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\n");
    const uint64_t second = endSend(send, TransportErrc::Lost).sends_.at(0).send_;
    AnswerHead head = makeHead(503, true);
    head.authentic_ = false;
    const GatewayOutbox end = receiveAnswer(second, head, "id: 2\ndata: error\n\n");
    CHECK(end.events_.empty());
    CHECK(end.streamEnds_.empty());
    CHECK(end.abortedExchanges_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenNotResumable_IsAbortedWithoutAnEnd")
{
    state_.configuration_.routes_[0].resumable_ = false;
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\n");
    const GatewayOutbox outbox = endSend(send, TransportErrc::Lost);
    CHECK(outbox.sends_.empty());
    CHECK(outbox.streamEnds_.empty());
    CHECK(outbox.abortedExchanges_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenItEndsWithinAnEvent_IsAborted")
{
    state_.configuration_.routes_[0].resumable_ = false;
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = receiveAnswer(send, makeHead(200, true), "id: 1\ndata: a\n\nid: 2");
    CHECK(outbox.streamEnds_.empty());
    CHECK(outbox.abortedExchanges_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenItsConnectionEndsBeforeAnyEvent_IsNotComplete")
{
    state_.configuration_.routes_[0].attempts_ = 1;
    AnswerHead head = makeHead(200, true);
    head.endsWithConnection_ = true;
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    const GatewayOutbox outbox = receiveAnswer(send, head, "");
    CHECK(outbox.streamStarts_.empty());
    CHECK(outbox.streamEnds_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenAnEventIsMissing_IsAborted")
{
    state_.configuration_.routes_[0].resumable_ = false;
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\n");
    const GatewayOutbox outbox = receiveStreamBytes(send, "id: 3\ndata: c\n\n");
    CHECK(outbox.events_.empty());
    CHECK(outbox.abortedExchanges_.size() == 1);
    CHECK(outbox.cancels_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenItIsSlowButNotResumable_IsNotCut")
{
    state_.configuration_.routes_[0].resumable_ = false;
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    for (int event = 1; event <= 3; ++event) {
        CHECK(tickAfter(Milliseconds(1200)).cancels_.empty());
        const std::string text = "id: " + std::to_string(event) + "\ndata: a\n\n";
        CHECK(receiveStreamBytes(send, text).events_.size() == 1);
    }
    const GatewayOutbox outbox = endSend(send, {});
    CHECK(outbox.streamEnds_.size() == 1);
    CHECK(outbox.abortedExchanges_.empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenItSendsOnlyComments_EndsAtItsDeadline")
{
    state_.configuration_.routes_[0].attempts_ = 1;
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    GatewayOutbox outbox;
    receiveStreamBytes(send, ": comment\n\n");
    for (int step = 0; step < 39; ++step) {
        receiveBytes(send, ": comment\n\n");
        outbox = tickAfter(Milliseconds(100));
        CHECK(outbox.cancels_.empty());
    }
    outbox = tickAfter(Milliseconds(100));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ send });
    CHECK(outbox.refusals_.size() + outbox.abortedExchanges_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stream_WhenBrokenAndNoUpstreamHasAFreeSlot_WaitsUpToItsDeadline")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\n");
    receivePeerCounts("10.0.0.2:7000", { { "engine-1", 9 }, { "engine-2", 9 } });
    CHECK(endSend(send, TransportErrc::Lost).sends_.empty());
    for (int step = 0; step < 20; ++step) {
        now_ += Milliseconds(100);
        CHECK(receivePeerCounts("10.0.0.2:7000", { { "engine-1", 9 }, { "engine-2", 9 } }).abortedExchanges_.empty());
    }
    CHECK(receivePeerCounts("10.0.0.2:7000", {}).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenCallerDisconnects_IsCancelledAtTheUpstream")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    GatewayInbox inbox;
    inbox.disconnects_.push_back({ ExchangeId{ 1 } });
    const GatewayOutbox outbox = tick(std::move(inbox));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ send });
    CHECK(state_.calls_.size_ == 0);
    CHECK(state_.callBySend_.empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenItsCallerDisconnectsBeforeItIsAdmitted_IsNotSent")
{
    GatewayInbox inbox;
    inbox.arrivals_.push_back(makeCall("read", 1));
    inbox.disconnects_.push_back({ ExchangeId{ 1 } });
    CHECK(tick(std::move(inbox)).sends_.empty());
    CHECK(state_.calls_.size_ == 0);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenItsCallerHasLeftBeforeItIsSent_IsNotCharged")
{
    receiveCall("read", 1);
    const double charged = static_cast<double>(state_.quotaByWorkspace_.at("workspace-1").ownChargedUnits_);
    REQUIRE(charged == 10);
    GatewayInbox inbox;
    inbox.disconnects_.push_back({ ExchangeId{ 1 }, true });
    tick(std::move(inbox));
    CHECK(state_.quotaByWorkspace_.at("workspace-1").ownChargedUnits_ == 0);
    CHECK(upstream("engine-1").ownInFlight_ + upstream("engine-2").ownInFlight_ == 0);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenItIsReadLate_HasOnlyTheRestOfItsWait")
{
    CallArrived arrival = makeCall("read", 1);
    arrival.age_ = Milliseconds(1500);
    const GatewayOutbox outbox = receiveCall(arrival);
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.wait_ == Milliseconds(2500));
    CHECK(tickAfter(Milliseconds(2500)).refusals_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenItIsReadAfterItsCallersWait_IsRefusedAsNotRun")
{
    CallArrived arrival = makeCall("read", 1);
    arrival.age_ = Milliseconds(4100);
    const GatewayOutbox outbox = receiveCall(arrival);
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::ReadLate);
    CHECK(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenItsDeadlinePasses_IsRefusedAsPossiblyRun")
{
    receiveCall("once", 1);
    const GatewayOutbox outbox = tickAfter(Milliseconds(4000));
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Expired);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
    CHECK(outbox.cancels_.size() == 1);
}
