/**
 * @file gateway_dispatch_test.cpp
 * @brief Tests of admission, queue order, choice of upstreams, quotas and the graceful stop of a gateway.
 */
#include "gateway_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway that is asked to stop, with a route whose calls may last longer than its grace period.
struct StopFixture : GatewayFixture
{
    StopFixture()
    {
        state_.configuration_.routes_[1].timeout_ = std::chrono::seconds(15);
    }

    void stop()
    {
        GatewayInbox inbox;
        inbox.stopRequested_ = true;
        tick(std::move(inbox));
    }

    CallArrived makeLongCall(uint64_t exchange)
    {
        CallArrived arrival = makeCall("once", exchange);
        arrival.request_.wait_ = std::chrono::seconds(15);
        return arrival;
    }
};

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenNoConfigurationIsKnown_IsRefusedAsNotRun")
{
    state_.configuration_ = {};
    CHECK(receiveCall("read", 1).refusals_.empty());
    const GatewayOutbox outbox = tickAfter(Milliseconds(200));
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::NoConfiguration);
    CHECK_FALSE(isReady(state_));
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenTheConfigurationArrivesInTime_IsSent")
{
    state_.configuration_ = {};
    receiveCall("read", 1);
    now_ += Milliseconds(50);
    GatewayInbox inbox;
    inbox.configurations_.push_back({ makeConfiguration(2), "text-2", "test" });
    CHECK(tick(std::move(inbox)).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenNoPrefixMatches_IsRefused")
{
    CHECK(receiveCall("unknown", 1).refusals_.at(0).reason_ == RefusalReason::NoRoute);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenTwoPrefixesMatch_UsesTheLonger")
{
    Configuration configuration = makeConfiguration(2);
    Route longerRoute = makeRoute("longer", CallKind::Idempotent, "desk");
    longerRoute.pathPrefix_ = "/read/x";
    configuration.routes_.push_back(longerRoute);
    GatewayInbox inbox;
    inbox.configurations_.push_back({ configuration, "text-2", "test" });
    tick(std::move(inbox));
    CHECK(receiveCall("read", 1).sends_.at(0).parameters_.instance_ == "desk-1");
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenKeyIsUnknown_IsRefused")
{
    CallArrived arrival = makeCall("read", 1);
    arrival.request_.key_ = "key-2";
    CHECK(receiveCall(arrival).refusals_.at(0).reason_ == RefusalReason::UnknownKey);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenAllSlotsAreTakenByPeers_WaitsUntilOneIsFree")
{
    receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    CHECK(receiveCall("read", 1).sends_.empty());
    CHECK(receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 } }).sends_.at(0).parameters_.instance_ == "engine-2");
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenNoSlotIsFreeInTime_IsRefusedAsNotRunWithARetryTime")
{
    receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    receiveCall("read", 1);
    GatewayOutbox outbox;
    for (int step = 0; step < 10 && outbox.refusals_.empty(); ++step) {
        now_ += Milliseconds(50);
        outbox = receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    }
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Overloaded);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(outbox.refusals_[0].retryAfter_ > Milliseconds(0));
    CHECK(outbox.refusals_[0].retryAfter_ <= Milliseconds(4000) / 3);
}

TEST_CASE_FIXTURE(GatewayFixture, "Dispatch_WhenOneSlotIsFree_SendsTheMoreUrgentCall")
{
    state_.configuration_.routes_[0].rank_ = 2;
    receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    receiveCall("stream", 1);
    receiveCall("read", 2);
    const GatewayOutbox outbox = receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 4 } });
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].request_.id_ == "request-2");
}

TEST_CASE_FIXTURE(GatewayFixture, "Upstream_WhenDraining_GetsNoNewCall")
{
    GatewayInbox inbox;
    UpstreamsReceived rows;
    rows.rows_ = { makeRow("engine-1", "engines") };
    rows.rows_[0].draining_ = true;
    inbox.upstreams_.push_back(rows);
    tick(std::move(inbox));
    for (uint64_t exchange = 1; exchange <= 3; ++exchange) {
        CHECK(receiveCall("read", exchange).sends_.at(0).parameters_.instance_ == "engine-2");
    }
}

TEST_CASE_FIXTURE(GatewayFixture, "Upstream_WhenInAnotherRegion_IsUsedOnceTheLocalRegionIsBusier")
{
    GatewayInbox inbox;
    UpstreamsReceived rows;
    rows.rows_ = { makeRow("engine-2", "engines", "zone-2") };
    rows.rows_[0].startedAtMs_ = 2;
    inbox.upstreams_.push_back(rows);
    tick(std::move(inbox));
    CHECK(receiveCall("read", 1).sends_.at(0).parameters_.instance_ == "engine-1");
    receivePeerCounts("10.0.0.2:7000", { { "engine-1", 3 } });
    CHECK(receiveCall("read", 2).sends_.at(0).parameters_.instance_ == "engine-2");
}

TEST_CASE_FIXTURE(GatewayFixture, "Upstream_WhenItFailedRecently_IsChosenAfterOthers")
{
    recordOutcome(upstream("engine-1"), now_, true);
    CHECK(receiveCall("read", 1).sends_.at(0).parameters_.instance_ == "engine-2");
}

TEST_CASE_FIXTURE(GatewayFixture, "Upstream_WhenUnreachable_IsNotUsedForATime")
{
    const GatewayOutbox first = receiveCall("read", 1);
    const std::string unreachable = first.sends_.at(0).parameters_.instance_;
    endSend(first.sends_[0].send_, TransportErrc::NotSent);
    for (uint64_t exchange = 2; exchange <= 4; ++exchange) {
        CHECK(receiveCall("read", exchange).sends_.at(0).parameters_.instance_ != unreachable);
    }
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenUsedUp_RefusesCallsUntilItRefills")
{
    CallArrived largeCall = makeCall("read", 1);
    largeCall.request_.tokens_ = 3500; // the bucket holds 3200
    CHECK(receiveCall(largeCall).sends_.size() == 1);
    largeCall.exchange_ = ExchangeId{ 2 };
    CHECK(receiveCall(largeCall).refusals_.at(0).reason_ == RefusalReason::OverQuota);
    now_ += std::chrono::seconds(4);
    largeCall.exchange_ = ExchangeId{ 3 };
    CHECK(receiveCall(largeCall).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenAPeerIsUnreachable_ShrinksToTheReachableShare")
{
    receivePeerCounts("10.0.0.2:7000", {});
    now_ += Milliseconds(600);
    tick();
    CallArrived largeCall = makeCall("read", 1);
    largeCall.request_.tokens_ = 1700; // the bucket shrank from 3200 to half of it
    CHECK(receiveCall(largeCall).sends_.size() == 1);
    largeCall.exchange_ = ExchangeId{ 2 };
    CHECK(receiveCall(largeCall).refusals_.at(0).reason_ == RefusalReason::OverQuota);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenLittleIsLeft_AdmitsALargeCallAndThenRefusesUntilRefilled")
{
    CallArrived call = makeCall("read", 1);
    call.request_.tokens_ = 3000; // leaves 200 of 3200
    receiveCall(call);
    call.exchange_ = ExchangeId{ 2 };
    CHECK(receiveCall(call).sends_.size() == 1);
    call.exchange_ = ExchangeId{ 3 };
    call.request_.tokens_ = 1;
    CHECK(receiveCall(call).refusals_.at(0).reason_ == RefusalReason::OverQuota);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenThereAreManyPeers_IsNotOverdrawn")
{
    for (int peer = 2; peer <= 10; ++peer) {
        receivePeerCounts("10.0.0." + std::to_string(peer) + ":7000", {});
    }
    CallArrived call = makeCall("read", 1);
    call.request_.tokens_ = 3000; // leaves 200 of 3200
    receiveCall(call);
    call.exchange_ = ExchangeId{ 2 };
    CHECK(receiveCall(call).refusals_.at(0).reason_ == RefusalReason::OverQuota);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenACallHasNotRun_IsRefunded")
{
    receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    CallArrived largeCall = makeCall("read", 1);
    largeCall.request_.tokens_ = 3000;
    receiveCall(largeCall);
    const double before = state_.quotaByWorkspace_["workspace-1"].level_;
    now_ += Milliseconds(300);
    const GatewayOutbox outbox = receivePeerCounts("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(state_.quotaByWorkspace_["workspace-1"].level_ >= before + 3000);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenItsBodyExceedsTheMemoryLimit_IsRefused")
{
    state_.bounds_.bodyBytes_ = 3;
    CHECK(receiveCall("read", 1).refusals_.at(0).reason_ == RefusalReason::Overloaded);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stop_WhenRequested_IsUnreadyAtOnceAndExitsAfterItsCalls")
{
    const uint64_t send = receiveCall("once", 1).sends_.at(0).send_;
    GatewayInbox inbox;
    inbox.stopRequested_ = true;
    CHECK_FALSE(tick(std::move(inbox)).exit_);
    CHECK_FALSE(isReady(state_));
    CHECK(receiveCall("once", 2).sends_.size() == 1);
    const GatewayOutbox afterDrain = tickAfter(Milliseconds(2600));
    CHECK(afterDrain.stopListening_);
    CHECK_FALSE(afterDrain.exit_);
    receiveAnswer(send, makeHead(200), "done");
    CHECK(receiveAnswer(send + 1, makeHead(200), "done").answers_.size() == 1);
    CHECK(tick().exit_);
    CHECK_FALSE(tick().exitImmediately_);
}

TEST_CASE_FIXTURE(StopFixture, "Stop_WhenACallLastsLongerThanTheGracePeriod_AnswersItBeforeTheExit")
{
    receiveCall(makeLongCall(1));
    stop();
    GatewayOutbox outbox;
    while (outbox.refusals_.empty() && !outbox.exitImmediately_) {
        outbox = tickAfter(Milliseconds(10));
    }
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Expired);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
    CHECK_FALSE(outbox.exitImmediately_);
}

TEST_CASE_FIXTURE(StopFixture, "Stop_WhenACallArrivesMeanwhile_SendsItWithTheTimeThatIsLeft")
{
    stop();
    now_ += Milliseconds(2000);
    const GatewayOutbox outbox = receiveCall(makeLongCall(1));
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.wait_ < state_.bounds_.grace_ - Milliseconds(2000));
}

TEST_CASE_FIXTURE(StopFixture, "Stop_WhenACallArrivesThatLikelyLastsLonger_RefusesItAsNotRun")
{
    const uint64_t send = receiveCall(makeLongCall(1)).sends_.at(0).send_;
    now_ += Milliseconds(6000);
    receiveAnswer(send, makeHead(200), "done");
    stop();
    now_ += Milliseconds(1000);
    CHECK(receiveCall(makeLongCall(2)).sends_.size() == 1);
    now_ += Milliseconds(1000);
    const GatewayOutbox outbox = receiveCall(makeLongCall(3));
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Stopping);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(outbox.refusals_[0].retryAfter_ > Milliseconds(0));
    CHECK(outbox.refusals_[0].retryAfter_ <= Milliseconds(100));
}

TEST_CASE_FIXTURE(StopFixture, "Stop_WhenACallArrivesAtItsEnd_RefusesItAsNotRun")
{
    stop();
    now_ += state_.bounds_.grace_ - Milliseconds(600);
    const GatewayOutbox outbox = receiveCall("once", 1);
    CHECK(outbox.sends_.empty());
    CHECK(outbox.refusals_.at(0).reason_ == RefusalReason::Stopping);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stop_WhenTheGracePeriodIsNearlyOver_ExitsImmediately")
{
    receiveCall("once", 1);
    GatewayInbox inbox;
    inbox.stopRequested_ = true;
    tick(std::move(inbox));
    CHECK_FALSE(tickAfter(state_.bounds_.grace_ - Milliseconds(500)).exitImmediately_);
    CHECK(tickAfter(Milliseconds(100)).exitImmediately_);
}
