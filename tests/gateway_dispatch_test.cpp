/**
 * @file gateway_dispatch_test.cpp
 * @brief Admission, order and choice of upstreams at a gateway.
 */
#include "gateway_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenNoConfigurationIsKnown_IsRefusedAsNotRun")
{
    state_.configuration_ = {};
    CHECK(arrive("read", 1).refusals_.empty());
    const GatewayOutbox outbox = tickAfter(Milliseconds(200));
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::NoConfiguration);
    CHECK_FALSE(isReady(state_));
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenTheConfigurationComesSoon_IsServed")
{
    state_.configuration_ = {};
    arrive("read", 1);
    now_ += Milliseconds(50);
    GatewayInbox inbox;
    inbox.configurations_.push_back({ makeConfiguration(2), "text-2", "test" });
    CHECK(tick(std::move(inbox)).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenNoPrefixMatches_IsRefused")
{
    CHECK(arrive("unknown", 1).refusals_.at(0).reason_ == RefusalReason::NoRoute);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenTwoPrefixesMatch_TakesTheLonger")
{
    Configuration configuration = makeConfiguration(2);
    Route longer = makeRoute("longer", CallKind::Idempotent, "desk");
    longer.pathPrefix_ = "/read/x";
    configuration.routes_.push_back(longer);
    GatewayInbox inbox;
    inbox.configurations_.push_back({ configuration, "text-2", "test" });
    tick(std::move(inbox));
    CHECK(arrive("read", 1).sends_.at(0).parameters_.instance_ == "desk-1");
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenKeyIsUnknown_IsRefused")
{
    CallArrived arrival = makeCall("read", 1);
    arrival.request_.key_ = "key-2";
    CHECK(arrive(arrival).refusals_.at(0).reason_ == RefusalReason::UnknownKey);
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenAllSlotsAreTakenByPeers_WaitsUntilOneIsFree")
{
    hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    CHECK(arrive("read", 1).sends_.empty());
    CHECK(hearPeer("10.0.0.2:7000", { { "engine-1", 5 } }).sends_.at(0).parameters_.instance_ == "engine-2");
}

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenNoRoomComesInTime_IsRefusedAsNotRunWithATimeToComeBack")
{
    hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    arrive("read", 1);
    GatewayOutbox outbox;
    for (int step = 0; step < 10 && outbox.refusals_.empty(); ++step) {
        now_ += Milliseconds(50);
        outbox = hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    }
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Overloaded);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(outbox.refusals_[0].retryAfter_ > Milliseconds(0));
    CHECK(outbox.refusals_[0].retryAfter_ <= Milliseconds(4000) / 3);
}

TEST_CASE_FIXTURE(GatewayFixture, "Dispatch_WhenOneSlotIsFree_TakesTheMoreUrgentCallFirst")
{
    state_.configuration_.routes_[0].rank_ = 2;
    hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    arrive("stream", 1);
    arrive("read", 2);
    const GatewayOutbox outbox = hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 4 } });
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
        CHECK(arrive("read", exchange).sends_.at(0).parameters_.instance_ == "engine-2");
    }
}

TEST_CASE_FIXTURE(GatewayFixture, "Upstream_WhenInAnotherRegion_IsUsedOnceTheOwnRegionIsBusier")
{
    GatewayInbox inbox;
    UpstreamsReceived rows;
    rows.rows_ = { makeRow("engine-2", "engines", "zone-2") };
    rows.rows_[0].startedAtMs_ = 2;
    inbox.upstreams_.push_back(rows);
    tick(std::move(inbox));
    CHECK(arrive("read", 1).sends_.at(0).parameters_.instance_ == "engine-1");
    hearPeer("10.0.0.2:7000", { { "engine-1", 3 } });
    CHECK(arrive("read", 2).sends_.at(0).parameters_.instance_ == "engine-2");
}

TEST_CASE_FIXTURE(GatewayFixture, "Upstream_WhenItFailedLately_IsPutBack")
{
    recordOutcome(upstream("engine-1"), now_, true);
    CHECK(arrive("read", 1).sends_.at(0).parameters_.instance_ == "engine-2");
}

TEST_CASE_FIXTURE(GatewayFixture, "Upstream_WhenItCannotBeReached_IsAvoidedForATime")
{
    const GatewayOutbox first = arrive("read", 1);
    const std::string gone = first.sends_.at(0).parameters_.instance_;
    end(first.sends_[0].send_, TransportErrc::NotSent);
    for (uint64_t exchange = 2; exchange <= 4; ++exchange) {
        CHECK(arrive("read", exchange).sends_.at(0).parameters_.instance_ != gone);
    }
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenUsedUp_RefusesUntilItFills")
{
    CallArrived large = makeCall("read", 1);
    large.request_.tokens_ = 3500; // the bucket holds 3200
    CHECK(arrive(large).sends_.size() == 1);
    large.exchange_ = ExchangeId{ 2 };
    CHECK(arrive(large).refusals_.at(0).reason_ == RefusalReason::OverQuota);
    now_ += std::chrono::seconds(4);
    large.exchange_ = ExchangeId{ 3 };
    CHECK(arrive(large).sends_.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenAPeerIsNotHeard_ShrinksToTheOwnShare")
{
    hearPeer("10.0.0.2:7000", {});
    now_ += Milliseconds(600);
    tick();
    CallArrived large = makeCall("read", 1);
    large.request_.tokens_ = 1700; // the bucket held 3200 and holds half of it now
    CHECK(arrive(large).sends_.size() == 1);
    large.exchange_ = ExchangeId{ 2 };
    CHECK(arrive(large).refusals_.at(0).reason_ == RefusalReason::OverQuota);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenLittleIsLeft_ServesALargeCallAndPaysBackFirst")
{
    CallArrived call = makeCall("read", 1);
    call.request_.tokens_ = 3000; // leaves 200 of 3200
    arrive(call);
    call.exchange_ = ExchangeId{ 2 };
    CHECK(arrive(call).sends_.size() == 1);
    call.exchange_ = ExchangeId{ 3 };
    call.request_.tokens_ = 1;
    CHECK(arrive(call).refusals_.at(0).reason_ == RefusalReason::OverQuota);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenManyGatewaysMightOverdraw_AsksForTheWholeCharge")
{
    for (int peer = 2; peer <= 10; ++peer) {
        hearPeer("10.0.0." + std::to_string(peer) + ":7000", {});
    }
    CallArrived call = makeCall("read", 1);
    call.request_.tokens_ = 3000; // leaves 200 of 3200
    arrive(call);
    call.exchange_ = ExchangeId{ 2 };
    CHECK(arrive(call).refusals_.at(0).reason_ == RefusalReason::OverQuota);
}

TEST_CASE_FIXTURE(GatewayFixture, "Quota_WhenACallHasNotRun_IsGivenBack")
{
    hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    CallArrived large = makeCall("read", 1);
    large.request_.tokens_ = 3000;
    arrive(large);
    const double before = state_.workspaces_["workspace-1"].level_;
    now_ += Milliseconds(300);
    const GatewayOutbox outbox = hearPeer("10.0.0.2:7000", { { "engine-1", 5 }, { "engine-2", 5 } });
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(state_.workspaces_["workspace-1"].level_ >= before + 3000);
}

TEST_CASE_FIXTURE(GatewayFixture, "Bodies_WhenTheyFillTheMemoryAllowed_AreRefused")
{
    state_.bounds_.bodyBytes_ = 3;
    CHECK(arrive("read", 1).refusals_.at(0).reason_ == RefusalReason::Overloaded);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stop_WhenAsked_IsNotReadyAtOnceAndEndsAfterItsCalls")
{
    const uint64_t send = arrive("once", 1).sends_.at(0).send_;
    GatewayInbox inbox;
    inbox.stopRequested_ = true;
    CHECK_FALSE(tick(std::move(inbox)).exit_);
    CHECK_FALSE(isReady(state_));
    CHECK(arrive("once", 2).sends_.size() == 1);
    const GatewayOutbox later = tickAfter(Milliseconds(2600));
    CHECK(later.stopListening_);
    CHECK_FALSE(later.exit_);
    answer(send, makeHead(200), "done");
    CHECK(answer(send + 1, makeHead(200), "done").answers_.size() == 1);
    CHECK(tick().exit_);
    CHECK_FALSE(tick().exitImmediately_);
}

TEST_CASE_FIXTURE(GatewayFixture, "Stop_WhenTheGraceIsNearlyOver_EndsWhateverIsNotWritten")
{
    arrive("once", 1);
    GatewayInbox inbox;
    inbox.stopRequested_ = true;
    tick(std::move(inbox));
    CHECK_FALSE(tickAfter(state_.bounds_.grace_ - Milliseconds(500)).exitImmediately_);
    CHECK(tickAfter(Milliseconds(100)).exitImmediately_);
}
