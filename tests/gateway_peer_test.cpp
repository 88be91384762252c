/**
 * @file gateway_peer_test.cpp
 * @brief What gateways tell each other.
 */
#include "gateway_fixture.h"

#include "gateway_peer_wire.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway with one peer that tells of its use of quotas.
struct PeerFixture : GatewayFixture
{
    PeerUpdate makeUpdate()
    {
        PeerUpdate update;
        update.address_ = "10.0.0.2:7000";
        update.name_ = "gateway-2";
        update.region_ = "region-1";
        update.incarnation_ = 5;
        update.sequence_ = ++peerSequence_;
        return update;
    }

    GatewayOutbox hear(const PeerUpdate &update)
    {
        GatewayInbox inbox;
        inbox.peerUpdates_.push_back(update);
        return tick(std::move(inbox));
    }
};

} // namespace

TEST_CASE_FIXTURE(PeerFixture, "Counts_WhenAnOlderUpdateComesLate_Stay")
{
    PeerUpdate first = makeUpdate();
    PeerUpdate second = makeUpdate();
    second.inFlight_ = { { "engine-1", 2 } };
    first.inFlight_ = { { "engine-1", 3 } };
    hear(second);
    hear(first);
    CHECK(upstream("engine-1").peerInFlight_ == 2);
}

TEST_CASE_FIXTURE(PeerFixture, "Counts_WhenThePeerFallsSilent_NoLongerHold")
{
    PeerUpdate update = makeUpdate();
    update.inFlight_ = { { "engine-1", 2 } };
    hear(update);
    tickAfter(Milliseconds(1100));
    CHECK(upstream("engine-1").peerInFlight_ == 0);
}

TEST_CASE_FIXTURE(PeerFixture, "Counts_WhenTheyComeBeforeTheUpstream_HoldOnceItIsListed")
{
    PeerUpdate update = makeUpdate();
    update.inFlight_ = { { "engine-9", 2 } };
    hear(update);
    GatewayInbox inbox;
    UpstreamsReceived rows;
    rows.rows_ = { makeRow("engine-9", "engines") };
    inbox.upstreams_.push_back(rows);
    tick(std::move(inbox));
    CHECK(upstream("engine-9").peerInFlight_ == 2);
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenAPeerUsesAWorkspaceForTheFirstTime_IsCharged")
{
    arrive("read", 1);
    hear(makeUpdate());
    const double before = state_.workspaces_["workspace-1"].level_;
    PeerUpdate update = makeUpdate();
    update.used_ = { { "workspace-1", 700 } };
    hear(update);
    CHECK(state_.workspaces_["workspace-1"].level_ == doctest::Approx(before - 700));
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenAFreshProcessHearsAPeersLevels_TakesThem")
{
    state_.firstStart_ = false;
    GatewayInbox inbox;
    inbox.quotaLevels_.push_back({ { "workspace-1", 123 } });
    tick(std::move(inbox));
    CHECK(state_.workspaces_["workspace-1"].level_ == doctest::Approx(123));
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenAPeerIsAheadForLong_IsFetched")
{
    PeerUpdate update = makeUpdate();
    update.configurationVersion_ = 9;
    CHECK(hear(update).snapshotFetches_.empty());
    now_ += Milliseconds(250);
    CHECK(hear(update).snapshotFetches_.size() == 1);
    CHECK(tick().snapshotFetches_.empty());
}

TEST_CASE_FIXTURE(PeerFixture, "Peer_WhenSilentForLong_IsForgotten")
{
    hear(makeUpdate());
    tickAfter(std::chrono::seconds(31));
    CHECK(state_.peers_.size_ == 0);
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenACountChanges_GoesToPeersOfThatRegionOnly")
{
    hear(makeUpdate());
    PeerUpdate far = makeUpdate();
    far.address_ = "10.0.0.3:7000";
    far.region_ = "region-2";
    hear(far);
    tickAfter(Milliseconds(300));
    now_ += Milliseconds(50);
    const GatewayOutbox outbox = arrive("read", 1);
    REQUIRE(outbox.updates_.size() == 1);
    CHECK(outbox.updates_[0].addresses_ == std::vector<std::string>{ "10.0.0.2:7000" });
}

TEST_CASE_FIXTURE(PeerFixture, "Suspect_WhenCrashesWereSeenByDifferentGateways_IsTheirSum")
{
    PeerUpdate update = makeUpdate();
    update.suspects_ = { { 42, 2 } };
    hear(update);
    CHECK_FALSE(isCrashSuspect(state_, now_, 42));
    state_.suspects_[42] = { 1, now_ };
    CHECK(isCrashSuspect(state_, now_, 42));
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenWrittenAndRead_IsTheSame")
{
    PeerUpdate update = makeUpdate();
    update.inFlight_ = { { "engine-1", 2 } };
    update.used_ = { { "workspace-1", 700 } };
    update.suspects_ = { { UINT64_MAX, 2 } };
    update.peers_ = { "10.0.0.3:7000" };
    PeerUpdate read;
    REQUIRE_FALSE(parsePeerUpdate(serializePeerUpdate(update), read));
    CHECK(read.inFlight_ == update.inFlight_);
    CHECK(read.used_ == update.used_);
    CHECK(read.suspects_ == update.suspects_);
    CHECK(read.peers_ == update.peers_);
    CHECK(read.sequence_ == update.sequence_);
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenWrittenAndRead_IsTheSame")
{
    Snapshot read;
    REQUIRE_FALSE(parseSnapshot(serializeSnapshot(makeSnapshot(state_)), read));
    CHECK(read.configurationText_ == "text-1");
    CHECK(read.upstreams_.rows_.size() == 3);
    CHECK(read.upstreams_.version_ == 10);
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenMalformed_IsRefusedWithAType")
{
    PeerUpdate read;
    CHECK(parsePeerUpdate("{\"i\":1", read) == WireErrc::MalformedJson);
    CHECK(parsePeerUpdate("{\"i\":\"x\"}", read) == WireErrc::WrongType);
    CHECK(parsePeerUpdate("{}", read) == WireErrc::MissingField);
}
