/**
 * @file gateway_suspect_test.cpp
 * @brief Tests of which calls a gateway counts as suspects of a crash, and of crashes that its peers report.
 */
#include "gateway_fixture.h"

#include "crash_evidence_func.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway that receives reports of crashes from peers.
struct CrashReportFixture : GatewayFixture
{
    /// Runs a tick that receives crashes from the peer with a number.
    void receiveCrashes(uint64_t peer, const std::vector<PeerCrash> &crashes)
    {
        PeerUpdate update;
        update.address_ = "10.0.0." + std::to_string(peer) + ":7000";
        update.name_ = "gateway-" + std::to_string(peer);
        update.incarnation_ = 5;
        update.sequence_ = ++peerSequence_;
        update.crashes_ = crashes;
        GatewayInbox inbox;
        inbox.peerUpdates_.push_back(update);
        tick(std::move(inbox));
    }
};

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "Suspect_WhenThreeUpstreamsCrashedWithIt_IsRefusedWithTheTimeOfTheNextTrial")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    for (uint64_t exchange = 1; exchange <= 3; ++exchange) {
        CHECK(crashUpstream(receiveCall("read", exchange), TransportErrc::ConnectionRefused));
    }
    const GatewayOutbox outbox = receiveCall("read", 50);
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::CrashSuspect);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(outbox.refusals_[0].retryAfter_ > Milliseconds(9000));
    CHECK(outbox.refusals_[0].retryAfter_ <= Milliseconds(15000));
}

TEST_CASE_FIXTURE(GatewayFixture, "Suspect_WhenItsCallerLeftRightBeforeTheCrash_IsRecorded")
{
    upstream("engine-2").draining_ = true;
    CallArrived deadly = makeCall("read", 1);
    deadly.request_.promptParts_ = { 666 };
    receiveCall(deadly);
    const GatewayOutbox other = receiveCall("read", 2);
    GatewayInbox inbox;
    inbox.disconnects_.push_back({ ExchangeId{ 1 } });
    tick(std::move(inbox));
    now_ += Milliseconds(50);
    CHECK(crashUpstream(other, TransportErrc::ConnectionRefused));
    CHECK(state_.crashEvidence_.suspects_.contains(666));
}

TEST_CASE_FIXTURE(GatewayFixture, "Suspect_WhenItsUpstreamsAreSilentOrCutOff_IsStillSent")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    for (uint64_t exchange = 1; exchange <= 5; ++exchange) {
        CHECK(crashUpstream(receiveCall("read", exchange), TransportErrc::NotSent));
    }
    CHECK(receiveCall("read", 50).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Suspect_WhenItsUpstreamsWereLeaving_IsStillSent")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    for (uint64_t exchange = 1; exchange <= 5; ++exchange) {
        const GatewayOutbox sent = receiveCall("read", exchange);
        for (const char *engine : { "engine-1", "engine-2" }) {
            upstream(engine).draining_ = true;
        }
        CHECK(crashUpstream(sent, TransportErrc::ConnectionRefused));
    }
    CHECK(receiveCall("read", 50).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Suspect_WhenItsConnectionsAreOnlyReset_IsStillSent")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    for (uint64_t exchange = 1; exchange <= 5; ++exchange) {
        endSend(receiveCall("read", exchange).sends_.at(0).send_, TransportErrc::Lost);
    }
    CHECK(receiveCall("read", 50).sends_.size() == 1);
}

TEST_CASE_FIXTURE(CrashReportFixture, "Suspect_WhenGatewaysReportDifferentCrashes_AddsThemUp")
{
    constexpr Trait trait = 42;
    for (const uint64_t crash : { 1, 2, 3 }) {
        CHECK_FALSE(isCondemned(state_.crashEvidence_, trait));
        receiveCrashes(1 + crash, { { { "engine-1", crash }, Milliseconds(0), { { trait, 0 } } } });
        tickAfter(Milliseconds(300));
    }
    CHECK(isCondemned(state_.crashEvidence_, trait));
}

TEST_CASE_FIXTURE(CrashReportFixture, "Suspect_WhenSeveralGatewaysReportTheSameCrash_CountsItOnce")
{
    constexpr Trait trait = 42;
    for (const uint64_t peer : { 2, 3, 4, 5 }) {
        receiveCrashes(peer,
            { { { "engine-1", 1 }, Milliseconds(0), { { trait, 0 } } },
                { { "engine-2", 1 }, Milliseconds(200), { { trait, 0 } } } });
        tickAfter(Milliseconds(300));
    }
    CHECK_FALSE(isCondemned(state_.crashEvidence_, trait));
}

TEST_CASE_FIXTURE(GatewayFixture, "Crash_WhenTheEndingUpstreamAcceptsTheFirstChecks_IsRecorded")
{
    const GatewayOutbox sent = receiveCall("read", 1);
    const std::string engine = sent.sends_.at(0).parameters_.instance_;
    endSend(sent.sends_[0].send_, TransportErrc::Lost);
    for (const Milliseconds interval : { Milliseconds(50), Milliseconds(100) }) {
        CHECK(reportCheck(engine, {}).checks_.empty());
        CHECK(tickAfter(interval).checks_.size() == 1);
    }
    reportCheck(engine, TransportErrc::ConnectionRefused);
    CHECK(state_.crashEvidence_.crashes_.size() == 1);
    CHECK(tickAfter(Milliseconds(1000)).checks_.empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "Check_WhenTheUpstreamAnswersALaterCall_IsNotRepeated")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    upstream("engine-2").draining_ = true;
    endSend(receiveCall("read", 1).sends_.at(0).send_, TransportErrc::Lost);
    reportCheck("engine-1", {});
    now_ += Milliseconds(10);
    const GatewayOutbox later = receiveCall("read", 2);
    receiveAnswer(later.sends_.at(0).send_, makeHead(200), "body");
    CHECK(tickAfter(Milliseconds(1000)).checks_.empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "Check_WhenTheUpstreamAcceptsItForTwoSeconds_IsNotRepeated")
{
    state_.configuration_.routes_[2].attempts_ = 1;
    upstream("engine-2").draining_ = true;
    endSend(receiveCall("read", 1).sends_.at(0).send_, TransportErrc::Lost);
    tickAfter(Milliseconds(2000));
    reportCheck("engine-1", {});
    CHECK(tickAfter(Milliseconds(4000)).checks_.empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "Crash_WhenANewStartTakesThePlaceOfTheUpstream_IsRecorded")
{
    const GatewayOutbox sent = receiveCall("read", 1);
    const std::string engine = sent.sends_.at(0).parameters_.instance_;
    endSend(sent.sends_[0].send_, TransportErrc::Lost);
    reportCheck(engine, {});
    UpstreamsReceived change;
    change.rows_ = { makeRow(engine, "engines") };
    change.rows_[0].startedAtMs_ = 99;
    GatewayInbox listed;
    listed.upstreams_.push_back(change);
    tick(std::move(listed));
    CHECK(state_.crashEvidence_.crashes_.contains({ engine, 1 }));
}
