/**
 * @file gateway_endless_answer_test.cpp
 * @brief Tests of answers that never end.
 */
#include "gateway_fixture.h"

#include "error_type.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr size_t pieceBytes = 16U << 10U; ///< Bytes received at once.
constexpr size_t maxUselessBytes = 1U << 20U; ///< Bytes of no use after which an upstream has to be given up.
constexpr size_t maxAnswerBytes = 17U << 20U; ///< Bytes of a plain answer after which the same holds.

/// Gateway with a call whose upstream sends bytes without end.
struct EndlessAnswerFixture : GatewayFixture
{
    GatewayOutbox receiveHead(uint64_t send, const AnswerHead &head)
    {
        GatewayInbox inbox;
        inbox.heads_.push_back({ send, head });
        return tick(std::move(inbox));
    }

    GatewayOutbox receiveBytes(uint64_t send, const std::string &bytes)
    {
        GatewayInbox inbox;
        inbox.bytes_.push_back({ send, bytes });
        return tick(std::move(inbox));
    }

    /// Receives bytes until the send is cancelled. @return the commands of the tick that cancelled it
    GatewayOutbox flood(uint64_t send, size_t most)
    {
        GatewayOutbox outbox;
        size_t received = 0;
        while (outbox.cancels_.empty() && received < most) {
            outbox = receiveBytes(send, std::string(pieceBytes, 'a'));
            received += pieceBytes;
        }
        CHECK(outbox.cancels_ == std::vector<uint64_t>{ send });
        return outbox;
    }

    /// Receives a byte now and then until the send is cancelled. @return the commands of the tick that cancelled it
    GatewayOutbox trickle(uint64_t send, Milliseconds most)
    {
        GatewayOutbox outbox;
        const TimePoint end = now_ + most;
        while (outbox.cancels_.empty() && now_ < end) {
            now_ += Milliseconds(50);
            outbox = receiveBytes(send, "a");
        }
        CHECK(outbox.cancels_ == std::vector<uint64_t>{ send });
        return outbox;
    }

    static AnswerHead makeUnsignedHead()
    {
        AnswerHead head = makeHead(200);
        head.authentic_ = false;
        return head;
    }
};

} // namespace

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Stream_WhenAnEventNeverEnds_ResumesElsewhere")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\nid: 2\ndata: ");
    const GatewayOutbox outbox = flood(send, maxUselessBytes);
    CHECK(outbox.events_.empty());
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Stream_WhenAnEventTricklesInForEver_ResumesElsewhere")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: a\n\nid: 2\ndata: ");
    const GatewayOutbox outbox = trickle(send, Milliseconds(2000));
    CHECK(outbox.events_.empty());
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Stream_WhenALongEventArrivesInPieces_IsForwardedOnce")
{
    const uint64_t send = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(send, "id: 1\ndata: ");
    receiveBytes(send, std::string(pieceBytes, 'a') + "\n");
    const GatewayOutbox outbox = receiveBytes(send, "\nid: 2\n");
    REQUIRE(outbox.events_.size() == 1);
    CHECK(outbox.events_[0].bytes_ == "id: 1\ndata: " + std::string(pieceBytes, 'a') + "\n\n");
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answer_WhenItNeverEnds_IsReplacedByAFailureThatMayHaveRun")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    receiveHead(send, makeHead(200));
    const GatewayOutbox outbox = flood(send, maxAnswerBytes);
    CHECK(outbox.answers_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamFailed);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answer_WhenItTricklesInForEver_IsRefusedAtTheDeadline")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    receiveHead(send, makeHead(200));
    const GatewayOutbox outbox = trickle(send, Milliseconds(4050));
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Expired);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answer_WhenItTricklesInAndTheCallMayBeRepeated_IsFetchedElsewhere")
{
    const SendCall first = receiveCall("read", 1).sends_.at(0);
    receiveHead(first.send_, makeHead(200));
    const GatewayOutbox outbox = trickle(first.send_, Milliseconds(2000));
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.instance_ != first.parameters_.instance_);
    CHECK(outbox.refusals_.empty());
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answer_WhenItTricklesInAndNoOtherUpstreamHasAFreeSlot_IsKept")
{
    const SendCall first = receiveCall("read", 1).sends_.at(0);
    receiveHead(first.send_, makeHead(200));
    const char *other = first.parameters_.instance_ == "engine-1" ? "engine-2" : "engine-1";
    receivePeerCounts("10.0.0.9:7000", { { other, 5 } });
    for (int step = 0; step < 40; ++step) {
        now_ += Milliseconds(50);
        receivePeerCounts("10.0.0.9:7000", { { other, 5 } });
        CHECK(receiveBytes(first.send_, "a").cancels_.empty());
    }
    const GatewayOutbox end = endSend(first.send_, {});
    REQUIRE(end.answers_.size() == 1);
    CHECK(end.answers_[0].reply_.body_ == std::string(40, 'a'));
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answer_WhenItIsLongAndItsLinkIsSlow_IsKept")
{
    constexpr size_t stepBytes = 4U << 10U; // a step of 800 ms: 40 kbit/s, far below any link
    const uint64_t send = receiveCall("read", 1).sends_.at(0).send_;
    receiveHead(send, makeHead(200));
    for (int step = 0; step < 4; ++step) {
        now_ += Milliseconds(800);
        CHECK(tick().cancels_.empty());
        CHECK(receiveBytes(send, std::string(stepBytes, 'a')).cancels_.empty());
    }
    CHECK(endSend(send, {}).answers_.size() == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "UnsignedAnswer_WhenItNeverEnds_IsRetriedElsewhere")
{
    const uint64_t send = receiveCall("read", 1).sends_.at(0).send_;
    receiveHead(send, makeUnsignedHead());
    CHECK(flood(send, maxUselessBytes).sends_.size() == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "UnsignedAnswer_WhenItTricklesInForEver_IsRetriedElsewhere")
{
    const uint64_t send = receiveCall("read", 1).sends_.at(0).send_;
    receiveHead(send, makeUnsignedHead());
    CHECK(trickle(send, Milliseconds(2000)).sends_.size() == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "UnsignedAnswer_WhenItNeverEndsAndTheCallMayNotBeRetried_IsReplacedByAFailure")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    receiveHead(send, makeUnsignedHead());
    const GatewayOutbox outbox = flood(send, maxUselessBytes);
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamFailed);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "UpstreamRefusal_WhenItNeverEnds_IsReplacedByAFailureThatMayHaveRun")
{
    state_.configuration_.routes_[1].attempts_ = 1;
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    AnswerHead head = makeHead(503);
    head.authentic_ = false;
    head.notRun_ = true;
    receiveHead(send, head);
    const GatewayOutbox outbox = flood(send, maxUselessBytes);
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::UpstreamFailed);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answers_WhenTheyTakeTooMuchMemoryTogether_EndsTheLongest")
{
    state_.bounds_.answerBytes_ = 10 * pieceBytes;
    const uint64_t endless = receiveCall("once", 1).sends_.at(0).send_;
    const uint64_t other = receiveCall("read", 2).sends_.at(0).send_;
    receiveHead(endless, makeHead(200));
    receiveHead(other, makeHead(200));
    receiveBytes(endless, std::string(9 * pieceBytes, 'a'));
    const GatewayOutbox outbox = receiveBytes(other, std::string(2 * pieceBytes, 'a'));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ endless });
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].exchange_ == ExchangeId{ 1 });
    const GatewayOutbox end = endSend(other, {});
    REQUIRE(end.answers_.size() == 1);
    CHECK(end.answers_[0].reply_.body_.size() == 2 * pieceBytes);
    CHECK(state_.answerBytes_ == 0);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answers_WhenTheyTakeTooMuchMemoryTogether_KeepsALongOneThatMakesProgress")
{
    state_.bounds_.answerBytes_ = 10 * pieceBytes;
    const uint64_t steady = receiveCall("once", 1).sends_.at(0).send_;
    const uint64_t stalled = receiveCall("read", 2).sends_.at(0).send_;
    receiveHead(steady, makeHead(200));
    receiveHead(stalled, makeHead(200));
    receiveBytes(stalled, std::string(4 * pieceBytes, 'a'));
    for (int piece = 0; piece < 6; ++piece) {
        now_ += Milliseconds(50);
        CHECK(receiveBytes(steady, std::string(pieceBytes, 'a')).cancels_.empty());
    }
    const GatewayOutbox outbox = receiveBytes(steady, std::string(pieceBytes, 'a'));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ stalled });
    CHECK(outbox.sends_.size() == 1);
    CHECK(endSend(steady, {}).answers_.size() == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Answers_WhenSendsFailOrCallersLeave_TakeNoMemory")
{
    const uint64_t broken = receiveCall("read", 1).sends_.at(0).send_;
    const uint64_t failed = receiveCall("read", 2).sends_.at(0).send_;
    const uint64_t stream = receiveCall("stream", 3).sends_.at(0).send_;
    receiveHead(broken, makeHead(200));
    receiveBytes(broken, "a");
    CHECK(state_.answerBytes_ == 1);
    endSend(broken, TransportErrc::Lost);
    receiveAnswer(failed, makeHead(500), "oops");
    CHECK(state_.answerBytes_ == 0);
    receiveStreamBytes(stream, "id: 1\ndata: a\n\nid: 2");
    CHECK(state_.answerBytes_ == 5);
    GatewayInbox inbox;
    inbox.disconnects_.push_back({ ExchangeId{ 3 } });
    tick(std::move(inbox));
    CHECK(state_.answerBytes_ == 0);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Stream_WhenItsUnfinishedEventTakesTheMemoryOfOthers_IsNotSentElsewhere")
{
    // Guards against a second run: an upstream that pauses doesn't notice the close, and goes on with the stream.
    state_.bounds_.answerBytes_ = 10 * pieceBytes;
    const uint64_t paused = receiveCall("stream", 1).sends_.at(0).send_;
    const uint64_t other = receiveCall("read", 2).sends_.at(0).send_;
    receiveStreamBytes(paused, "id: 1\ndata: a\n\n");
    receiveBytes(paused, std::string(9 * pieceBytes, 'a'));
    receiveHead(other, makeHead(200));
    now_ += Milliseconds(300);
    const GatewayOutbox outbox = receiveBytes(other, std::string(2 * pieceBytes, 'a'));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ paused });
    CHECK(outbox.sends_.empty());
    CHECK(outbox.abortedExchanges_ == std::vector<ExchangeId>{ ExchangeId{ 1 } });
    CHECK(endSend(other, {}).answers_.size() == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Stream_WhenItsSendIsGivenUpForMemoryWhileItPauses_IsNotSentElsewhere")
{
    const uint64_t paused = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(paused, "id: 1\ndata: a\n\n");
    now_ += Milliseconds(300);
    const GatewayOutbox outbox = endSend(paused, TransportErrc::NoMemory);
    CHECK(outbox.sends_.empty());
    CHECK(outbox.abortedExchanges_ == std::vector<ExchangeId>{ ExchangeId{ 1 } });
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Stream_WhenItsSendIsGivenUpBeforeItBegins_IsRefusedAsPossiblyRun")
{
    const uint64_t paused = receiveCall("stream", 1).sends_.at(0).send_;
    now_ += Milliseconds(300);
    const GatewayOutbox outbox = endSend(paused, TransportErrc::NoMemory);
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "Stream_WhenItsSendIsGivenUpWhileItsUpstreamSends_ResumesElsewhere")
{
    const uint64_t writing = receiveCall("stream", 1).sends_.at(0).send_;
    receiveStreamBytes(writing, "id: 1\ndata: a\n\n");
    now_ += Milliseconds(100);
    CHECK(endSend(writing, TransportErrc::NoMemory).sends_.size() == 1);
}

TEST_CASE_FIXTURE(EndlessAnswerFixture, "IdempotentCall_WhenItsSendIsGivenUpForMemory_IsSentElsewhere")
{
    const uint64_t send = receiveCall("read", 1).sends_.at(0).send_;
    now_ += Milliseconds(300);
    CHECK(endSend(send, TransportErrc::NoMemory).sends_.size() == 1);
}
