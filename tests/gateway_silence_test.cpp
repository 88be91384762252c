/**
 * @file gateway_silence_test.cpp
 * @brief Tests of streams that pause, and of answers whose end only the end of their connection shows.
 */
#include "gateway_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway with one call in flight at an engine.
struct SilenceFixture : GatewayFixture
{
    /// Sends a call of a route and receives the first event if it is a stream.
    void begin(const std::string &route)
    {
        const GatewayOutbox sent = receiveCall(route, 1);
        send_ = sent.sends_.at(0).send_;
        upstream_ = sent.sends_[0].parameters_.instance_;
        if (route == "stream") {
            receiveStreamBytes(send_, "id: 1\ndata: a\n\n");
        }
    }

    /// Runs a tick that receives the result of a check of the call's upstream.
    GatewayOutbox endCheck(std::error_code error, bool acknowledged = false)
    {
        GatewayInbox inbox;
        inbox.checks_.push_back({ upstream_, error, acknowledged });
        return tick(std::move(inbox));
    }

    /// Receives an answer that only the end of its connection ends.
    GatewayOutbox receiveAnswerWithoutLength(bool eventStream, const std::string &body)
    {
        AnswerHead head = makeHead(200, eventStream);
        head.endsWithConnection_ = true;
        return receiveAnswer(send_, head, body);
    }

    uint64_t send_ = 0; ///< Number of the call's first send.
    std::string upstream_; ///< Id of its upstream.
};

} // namespace

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItsUpstreamPausesButIsReachable_IsKeptToItsDeadline")
{
    // Guards against a second run of a stream whose upstream goes on with it after a pause.
    begin("stream");
    size_t checks = 0;
    for (int step = 0; step < 39; ++step) {
        const GatewayOutbox outbox = tickAfter(Milliseconds(100));
        CHECK(outbox.cancels_.empty());
        CHECK(outbox.sends_.empty());
        checks += outbox.checks_.size();
        if (!outbox.checks_.empty()) {
            CHECK(endCheck({}).cancels_.empty());
        }
    }
    CHECK(checks >= 5);
    CHECK(checks <= 8);
    CHECK(receiveBytes(send_, "id: 2\ndata: b\n\n").events_.size() == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItHasNotBegunAndItsUpstreamIsReachable_IsKept")
{
    const GatewayOutbox sent = receiveCall("stream", 1);
    upstream_ = sent.sends_.at(0).parameters_.instance_;
    for (int step = 0; step < 35; ++step) {
        const GatewayOutbox outbox = tickAfter(Milliseconds(100));
        CHECK(outbox.sends_.empty());
        if (!outbox.checks_.empty()) {
            endCheck({});
        }
    }
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItsUpstreamIsSilentAndUnreachable_ResumesElsewhere")
{
    begin("stream");
    REQUIRE(tickAfter(Milliseconds(500)).checks_.size() == 1);
    now_ += Milliseconds(300);
    CHECK(endCheck(TransportErrc::NotSent).cancels_.empty()); // the silence alone is still short
    const GatewayOutbox outbox = tickAfter(Milliseconds(200));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ send_ });
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItsUnreachableUpstreamSendsAgain_IsKept")
{
    begin("stream");
    tickAfter(Milliseconds(500));
    endCheck(TransportErrc::NotSent);
    receiveBytes(send_, "id: 2\ndata: b\n\n");
    CHECK(tickAfter(Milliseconds(950)).cancels_.empty());
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItsUpstreamSendsWhileACheckFails_IsMovedOnlyIfTheNextFailsToo")
{
    // Guards against a second run beside an upstream whose queue of new connections is full.
    begin("stream");
    REQUIRE(tickAfter(Milliseconds(500)).checks_.size() == 1);
    now_ += Milliseconds(300);
    receiveBytes(send_, "i");
    now_ += Milliseconds(400);
    CHECK(endCheck(TransportErrc::NotSent).cancels_.empty());
    const GatewayOutbox second = tickAfter(Milliseconds(200));
    CHECK(second.cancels_.empty());
    CHECK(second.checks_.size() == 1);
    now_ += Milliseconds(700);
    CHECK(endCheck(TransportErrc::NotSent).cancels_ == std::vector<uint64_t>{ send_ });
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenChecksFailButItsConnectionIsAcknowledged_IsKeptUntilThatEnds")
{
    begin("stream");
    for (int step = 0; step < 20; ++step) {
        const GatewayOutbox outbox = tickAfter(Milliseconds(100));
        CHECK(outbox.cancels_.empty());
        if (!outbox.checks_.empty()) {
            CHECK(endCheck(TransportErrc::NotSent, true).cancels_.empty());
        }
    }
    for (int step = 0; step < 10 && tickAfter(Milliseconds(100)).checks_.empty(); ++step) {
    }
    now_ += Milliseconds(700);
    CHECK(endCheck(TransportErrc::NotSent).cancels_ == std::vector<uint64_t>{ send_ });
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItsUpstreamRefusesConnections_ResumesElsewhere")
{
    begin("stream");
    REQUIRE(tickAfter(Milliseconds(500)).checks_.size() == 1);
    now_ += Milliseconds(500);
    CHECK(endCheck(TransportErrc::ConnectionRefused, true).cancels_ == std::vector<uint64_t>{ send_ });
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItsUpstreamIsUnreachableAndNoOtherHasAFreeSlot_IsKept")
{
    begin("stream");
    for (int step = 0; step < 30; ++step) {
        now_ += Milliseconds(100);
        const GatewayOutbox outbox = receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
        CHECK(outbox.cancels_.empty());
        CHECK(outbox.abortedExchanges_.empty());
        if (!outbox.checks_.empty()) {
            endCheck(TransportErrc::NotSent);
        }
    }
    CHECK(receivePeerCounts("10.0.0.2:7000", {}).cancels_.empty());
    now_ += Milliseconds(100);
    CHECK(receivePeerCounts("10.0.0.2:7000", {}).sends_.size() == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItStallsButSendsAByteNowAndThen_ResumesElsewhere")
{
    begin("stream");
    GatewayOutbox outbox;
    for (int step = 0; step < 11 && outbox.sends_.empty(); ++step) {
        receiveBytes(send_, "i");
        outbox = tickAfter(Milliseconds(100));
    }
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ send_ });
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "Stream_WhenItStopsWithinAnEventAndItsUpstreamIsReachable_IsKept")
{
    begin("stream");
    receiveBytes(send_, "id: 2\nda");
    for (int step = 0; step < 30; ++step) {
        const GatewayOutbox outbox = tickAfter(Milliseconds(100));
        CHECK(outbox.cancels_.empty());
        if (!outbox.checks_.empty()) {
            endCheck({});
        }
    }
}

TEST_CASE_FIXTURE(SilenceFixture, "IdempotentCall_WhenItsUpstreamIsSilent_IsSentElsewhere")
{
    begin("read");
    const GatewayOutbox outbox = tickAfter(Milliseconds(1250));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ send_ });
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.instance_ != upstream_);
}

TEST_CASE_FIXTURE(SilenceFixture, "StreamWithoutLength_WhenItsUpstreamLivesAfterItsEnd_IsComplete")
{
    begin("stream");
    const GatewayOutbox ended = receiveAnswerWithoutLength(true, "id: 2\ndata: b\n\n");
    CHECK(ended.events_.size() == 1);
    CHECK(ended.streamEnds_.empty());
    REQUIRE(ended.checks_.size() == 1);
    CHECK(endCheck({}).streamEnds_.size() == 1);
    CHECK(state_.calls_.size_ == 0);
}

TEST_CASE_FIXTURE(SilenceFixture, "StreamWithoutLength_WhenItsUpstreamHasCrashed_ResumesElsewhere")
{
    // Guards against a truncated stream that looks complete.
    begin("stream");
    receiveAnswerWithoutLength(true, "id: 2\ndata: b\n\n");
    const GatewayOutbox outbox = endCheck(TransportErrc::ConnectionRefused);
    CHECK(outbox.streamEnds_.empty());
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 2);
    CHECK(state_.crashEvidence_.crashes_.size() == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "StreamWithoutLength_WhenItsUpstreamHasCrashedAndItIsNotResumable_IsAborted")
{
    state_.configuration_.routes_[0].resumable_ = false;
    begin("stream");
    receiveAnswerWithoutLength(true, "id: 2\ndata: b\n\n");
    const GatewayOutbox outbox = endCheck(TransportErrc::ConnectionRefused);
    CHECK(outbox.streamEnds_.empty());
    CHECK(outbox.abortedExchanges_.size() == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "AnswerWithoutLength_WhenItsUpstreamHasCrashed_IsAFailureThatMayHaveRun")
{
    begin("once");
    CHECK(receiveAnswerWithoutLength(false, "half of the bo").answers_.empty());
    const GatewayOutbox outbox = endCheck(TransportErrc::ConnectionRefused);
    CHECK(outbox.answers_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamFailed);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(SilenceFixture, "AnswerWithoutLength_WhenItsUpstreamLives_IsForwarded")
{
    begin("once");
    receiveAnswerWithoutLength(false, "whole body");
    const GatewayOutbox outbox = endCheck({});
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.body_ == "whole body");
    CHECK(upstream("desk-1").ownInFlight_ == 0);
}

TEST_CASE_FIXTURE(SilenceFixture, "AnswerWithoutLength_WhenACheckWasBegunBeforeItsEnd_IsVerifiedByAnother")
{
    // The upstream may have crashed after it accepted the connection of the first check.
    begin("once");
    upstream("desk-1").checking_ = true;
    upstream("desk-1").checkStartedAt_ = now_;
    now_ += Milliseconds(10);
    CHECK(receiveAnswerWithoutLength(false, "body").checks_.empty());
    const GatewayOutbox second = endCheck({});
    CHECK(second.answers_.empty());
    REQUIRE(second.checks_.size() == 1);
    CHECK(endCheck({}).answers_.size() == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "AnswerWithoutLength_WhenItsUpstreamIsNoLongerListed_IsVerifiedByItsAddress")
{
    begin("once");
    UpstreamsReceived change;
    change.rows_ = { makeRow("desk-1", "desk") };
    change.rows_[0].removed_ = true;
    GatewayInbox inbox;
    inbox.upstreams_.push_back(change);
    tick(std::move(inbox));
    const GatewayOutbox ended = receiveAnswerWithoutLength(false, "body");
    CHECK(ended.answers_.empty());
    REQUIRE(ended.checks_.size() == 1);
    CHECK(ended.checks_[0].address_ == "10.0.1.1:80");
    CHECK(endCheck({}).answers_.size() == 1);
}

TEST_CASE_FIXTURE(SilenceFixture, "AnswerWithoutLength_WhenItsCallerLeavesMeanwhile_IsDropped")
{
    begin("once");
    receiveAnswerWithoutLength(false, "body");
    GatewayInbox inbox;
    inbox.disconnects_.push_back({ ExchangeId{ 1 } });
    tick(std::move(inbox));
    CHECK(state_.calls_.size_ == 0);
    CHECK(endCheck({}).answers_.empty());
}
