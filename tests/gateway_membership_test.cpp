/**
 * @file gateway_membership_test.cpp
 * @brief Tests of updates to a gateway's configuration and list of upstreams.
 */
#include "gateway_fixture.h"

#include "gateway_peer_wire.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway that receives upstream rows and changes of the store's reachability.
struct MembershipFixture : GatewayFixture
{
    GatewayOutbox receiveRows(
        std::vector<UpstreamRow> rows, bool fullList = false, uint64_t version = 0, bool fromPeer = false)
    {
        return receiveList(std::move(rows), fullList, { 0, version }, fromPeer);
    }

    GatewayOutbox receiveList(std::vector<UpstreamRow> rows, bool fullList, StoreVersion version, bool fromPeer)
    {
        UpstreamsReceived event;
        event.rows_ = std::move(rows);
        event.fullList_ = fullList;
        event.version_ = version;
        event.fromPeer_ = fromPeer;
        GatewayInbox inbox;
        inbox.upstreams_.push_back(event);
        return tick(std::move(inbox));
    }

    GatewayOutbox setStoreReachable(bool reachable)
    {
        GatewayInbox inbox;
        inbox.storeOutcomes_.push_back({ reachable, {}, "servers", {} });
        return tick(std::move(inbox));
    }

    /// Makes a call to the only upstream of "desk" and answers it with a header. @return what the next call gets
    GatewayOutbox callAfterAnswer(const AnswerHead &head)
    {
        const uint64_t send = receiveCall("once", ++exchange_).sends_.at(0).send_;
        receiveAnswer(send, head, "");
        return receiveCall("once", ++exchange_);
    }

    static AnswerHead makePause(Milliseconds time)
    {
        AnswerHead head = makeHead(503);
        head.authentic_ = false;
        head.upstreamPause_ = time;
        return head;
    }

    uint64_t exchange_ = 0; ///< Last exchange.

    static UpstreamRow makeRemovedRow(const std::string &id)
    {
        UpstreamRow row;
        row.id_ = id;
        row.removed_ = true;
        return row;
    }
};

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "Call_WhenItsUpstreamIsNoLongerListed_IsKeptAndAnswered")
{
    const SendCall sent = receiveCall("once", 1).sends_.at(0);
    GatewayInbox inbox;
    UpstreamsReceived change;
    change.rows_ = { makeRow("desk-1", "desk") };
    change.rows_[0].removed_ = true;
    inbox.upstreams_.push_back(change);
    const GatewayOutbox removed = tick(std::move(inbox));
    CHECK(removed.cancels_.empty());
    CHECK(tickAfter(Milliseconds(3000)).cancels_.empty());
    CHECK(receiveAnswer(sent.send_, makeHead(200), "done").answers_.size() == 1);
}

TEST_CASE_FIXTURE(MembershipFixture, "Configuration_WhenOlder_IsNotApplied")
{
    GatewayInbox inbox;
    inbox.configurations_.push_back({ makeConfiguration(5), "text-5", "store" });
    inbox.configurations_.push_back({ makeConfiguration(3), "text-3", "peer" });
    tick(std::move(inbox));
    CHECK(state_.configuration_.version_ == 5);
    CHECK(state_.configurationText_ == "text-5");
}

TEST_CASE_FIXTURE(MembershipFixture, "Configuration_WhenItsHeaderLimitIsTooLarge_IsAppliedWithAWarning")
{
    Configuration configuration = makeConfiguration(5);
    configuration.limits_.headerBytes_ = size_t{ 1 } << 32U;
    GatewayInbox inbox;
    inbox.configurations_.push_back({ configuration, "text-5", "store" });
    const GatewayOutbox outbox = tick(std::move(inbox));
    CHECK(state_.configuration_.version_ == 5);
    CHECK(std::any_of(outbox.decisions_.begin(), outbox.decisions_.end(),
        [](const Decision &decision) { return decision.failure_ && decision.event_ == "header-limit-bounded"; }));
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenRemovedWithoutAnOutage_IsRemovedAtOnce")
{
    receiveRows({ makeRemovedRow("engine-1") });
    CHECK_FALSE(state_.upstreamById_.contains("engine-1"));
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenMissingRightAfterAnOutage_IsKeptUntilTheRowReturnTimeout")
{
    setStoreReachable(false);
    now_ += std::chrono::seconds(5);
    setStoreReachable(true);
    receiveRows({ makeRow("engine-2", "engines"), makeRow("desk-1", "desk") }, true, 11);
    CHECK(state_.upstreamById_.contains("engine-1"));
    now_ += Milliseconds(2100);
    tick();
    CHECK_FALSE(state_.upstreamById_.contains("engine-1"));
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenItsRowIsRestoredAfterAnOutage_IsKept")
{
    setStoreReachable(false);
    setStoreReachable(true);
    receiveRows({ makeRemovedRow("engine-1") });
    receiveRows({ makeRow("engine-1", "engines") });
    now_ += Milliseconds(2100);
    tick();
    CHECK(state_.upstreamById_.contains("engine-1"));
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenRestartedUnderTheSameId_HasNoFailureRate")
{
    recordOutcome(upstream("engine-1"), now_, true);
    UpstreamRow row = makeRow("engine-1", "engines");
    row.startedAtMs_ = 2;
    receiveRows({ row });
    CHECK(upstream("engine-1").failureRate_ == 0);
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenAnAnswerSaysThatItLeaves_GetsNoMoreCalls")
{
    AnswerHead head = makeHead(200);
    head.upstreamLeaving_ = true;
    CHECK(callAfterAnswer(head).sends_.empty());
    receiveRows({ makeRow("desk-1", "desk") }); // an older row that says "ready"
    CHECK(receiveCall("once", ++exchange_).sends_.empty());
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenItHasLeftTheListAndReturnsWhileLeaving_GetsNoMoreCalls")
{
    AnswerHead head = makeHead(200);
    head.upstreamLeaving_ = true;
    callAfterAnswer(head);
    receiveRows({ makeRemovedRow("desk-1") });
    CHECK_FALSE(state_.upstreamById_.contains("desk-1"));
    receiveRows({ makeRow("desk-1", "desk") });
    CHECK(receiveCall("once", ++exchange_).sends_.empty());
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenItSaysThatItLeavesOnceItsRowIsGone_GetsNoCallsWhenTheRowReturns")
{
    const uint64_t send = receiveCall("once", ++exchange_).sends_.at(0).send_;
    receiveRows({ makeRemovedRow("desk-1") });
    AnswerHead head = makeHead(200);
    head.upstreamLeaving_ = true;
    receiveAnswer(send, head, "");
    receiveRows({ makeRow("desk-1", "desk") });
    CHECK(receiveCall("once", ++exchange_).sends_.empty());
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenItStartsAgainAfterItLeft_GetsCalls")
{
    AnswerHead head = makeHead(200);
    head.upstreamLeaving_ = true;
    callAfterAnswer(head);
    tickAfter(std::chrono::seconds(5));
    UpstreamRow row = makeRow("desk-1", "desk");
    row.startedAtMs_ = 2;
    receiveRows({ row });
    CHECK(receiveCall("once", ++exchange_).sends_.size() == 1);
}

TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenItAsksForAPause_GetsNoCallsUntilItIsOver")
{
    CHECK(callAfterAnswer(makePause(Milliseconds(2000))).sends_.empty());
    receiveRows({ makeRow("desk-1", "desk") });
    now_ += Milliseconds(1990);
    CHECK(receiveCall("once", ++exchange_).sends_.empty());
    now_ += Milliseconds(20);
    CHECK_FALSE(receiveCall("once", ++exchange_).sends_.empty());
}

TEST_CASE_FIXTURE(MembershipFixture, "Pause_WhenAShorterOneOrAFailureFollows_IsNotShortened")
{
    const uint64_t first = receiveCall("once", ++exchange_).sends_.at(0).send_;
    const uint64_t second = receiveCall("once", ++exchange_).sends_.at(0).send_;
    const uint64_t third = receiveCall("once", ++exchange_).sends_.at(0).send_;
    receiveAnswer(first, makePause(Milliseconds(2000)), "");
    receiveAnswer(second, makePause(Milliseconds(100)), "");
    endSend(third, TransportErrc::NotSent);
    now_ += Milliseconds(1500);
    CHECK(receiveCall("once", ++exchange_).sends_.empty());
}

TEST_CASE_FIXTURE(MembershipFixture, "PeerList_WhenOlderThanTheStoresInTheSameTick_IsNotApplied")
{
    UpstreamRow drainingRow = makeRow("engine-1", "engines");
    drainingRow.draining_ = true;
    GatewayInbox inbox;
    UpstreamsReceived store;
    store.rows_ = { drainingRow };
    store.version_ = { 0, 12 };
    UpstreamsReceived peer;
    peer.rows_ = { makeRow("engine-1", "engines") };
    peer.fullList_ = true;
    peer.version_ = { 0, 11 };
    peer.fromPeer_ = true;
    inbox.upstreams_ = { store, peer };
    tick(std::move(inbox));
    CHECK(upstream("engine-1").draining_);
    CHECK(state_.upstreamById_.contains("desk-1"));
}

// A reply of the store may be overtaken by the list of a peer that read the store later.
TEST_CASE_FIXTURE(MembershipFixture, "StoreChange_WhenOlderThanAPeersList_DoesNotBringAnUpstreamBack")
{
    receiveRows({ makeRow("engine-1", "engines") }, true, 20, true);
    receiveRows({ makeRow("engine-2", "engines") }, false, 15);
    CHECK(findUpstream(state_, "engine-2") == nullptr);
    receiveRows({ makeRow("engine-2", "engines") }, false, 21);
    CHECK(findUpstream(state_, "engine-2") != nullptr);
}

// The store gives versions out again after it came back from a copy, so that they don't order lists of two eras.
TEST_CASE_FIXTURE(MembershipFixture, "PeerList_WhenOfAnOlderEra_IsNotAppliedWhateverItsVersion")
{
    receiveList({ makeRow("engine-1", "engines") }, true, { 1, 3 }, false);
    tickAfter(Milliseconds(2100));
    receiveList({ makeRow("engine-1", "engines"), makeRow("engine-2", "engines") }, true, { 0, 400 }, true);
    CHECK(findUpstream(state_, "engine-2") == nullptr);
}

TEST_CASE_FIXTURE(MembershipFixture, "PeerList_WhenOfANewerEra_IsAppliedWhateverItsVersion")
{
    receiveRows({}, false, 400);
    receiveList({ makeRow("engine-7", "engines") }, true, { 1, 3 }, true);
    CHECK(findUpstream(state_, "engine-7") != nullptr);
    CHECK(state_.upstreamsVersion_ == StoreVersion{ 1, 3 });
}

// Upstreams write their rows again when the store has come back without them.
TEST_CASE_FIXTURE(MembershipFixture, "Upstream_WhenMissingInANewEra_IsKeptUntilTheRowReturnTimeout")
{
    const GatewayOutbox outbox = receiveList({ makeRow("desk-1", "desk") }, true, { 1, 3 }, false);
    CHECK(findField(outbox, "store-era", "era") == "1");
    CHECK(findUpstream(state_, "engine-1") != nullptr);
    tickAfter(Milliseconds(2100));
    CHECK(findUpstream(state_, "engine-1") == nullptr);
}

TEST_CASE_FIXTURE(MembershipFixture, "Configuration_WhenOfAnOlderEra_IsNotApplied")
{
    const auto receive = [this](uint64_t version, const std::string &text, uint64_t era) {
        GatewayInbox inbox;
        inbox.configurations_.push_back({ makeConfiguration(version), text, "store", {}, era });
        tick(std::move(inbox));
    };
    receive(5, "text-5", 1);
    receive(7, "text-7", 0);
    CHECK(state_.configuration_.version_ == 5);
    receive(4, "text-4", 2); // of the copy; a gateway doesn't go back to it
    CHECK(state_.configuration_.version_ == 5);
    receive(5, "text-5-again", 2);
    CHECK(state_.configurationText_ == "text-5-again");
    CHECK(state_.configurationEra_ == 2);
}

TEST_CASE_FIXTURE(MembershipFixture, "PeerList_WhenNewer_ReplacesTheList")
{
    receiveRows({ makeRow("engine-1", "engines") }, true, 20, true);
    CHECK(state_.upstreamById_.size() == 1);
    CHECK(state_.upstreamsVersion_ == StoreVersion{ 0, 20 });
}

TEST_CASE_FIXTURE(MembershipFixture, "PeerList_WhenItsRowIsMissingSinceAnOutageThere_DoesNotBringTheUpstreamBack")
{
    receiveRows({ makeRemovedRow("engine-1") }, false, 11);
    REQUIRE(findUpstream(state_, "engine-1") == nullptr);
    UpstreamRow missing = makeRow("engine-1", "engines");
    missing.missing_ = true;
    receiveRows({ missing, makeRow("engine-2", "engines"), makeRow("desk-1", "desk") }, true, 12, true);
    CHECK(findUpstream(state_, "engine-1") == nullptr);
}

TEST_CASE_FIXTURE(MembershipFixture, "PeerList_WhenItsRowIsMissingAndNoListIsKnown_IsUsedUntilTheStoresListArrives")
{
    state_ = GatewayState{};
    state_.startedAt_ = now_;
    UpstreamRow missing = makeRow("engine-1", "engines");
    missing.missing_ = true;
    receiveRows({ missing }, true, 12, true);
    CHECK(findUpstream(state_, "engine-1") != nullptr);
    receiveRows({ makeRow("engine-2", "engines") }, true, 13);
    CHECK(findUpstream(state_, "engine-1") == nullptr);
}

// A row that is missing after an outage may return; one that is there and can't be read is none.
TEST_CASE_FIXTURE(MembershipFixture, "UpstreamRow_WhenItTurnsUnreadableAfterAnOutage_NamesNoUpstreamAtOnce")
{
    setStoreReachable(false);
    setStoreReachable(true);
    UpstreamRow row = makeRemovedRow("desk-1");
    receiveRows({ row });
    REQUIRE(state_.upstreamById_.contains("desk-1"));
    row.unusable_ = true;
    receiveRows({ row });
    CHECK_FALSE(state_.upstreamById_.contains("desk-1"));
}

// Guards against rows of another writer that take the places of upstreams, and each zone of which counts as a region.
TEST_CASE_FIXTURE(MembershipFixture, "UpstreamRows_WhenTheirServicesAreNotConfigured_LeaveRoomAndAddNoRegions")
{
    constexpr size_t maxUnnamedUpstreams = 4096;
    std::vector<UpstreamRow> rows;
    for (int row = 0; row < 10000; ++row) {
        rows.push_back(makeRow("backup-" + std::to_string(row), "backup", "zone-of-backup-" + std::to_string(row)));
    }
    rows.push_back(makeRow("desk-2", "desk", "zone-of-desk-2"));
    receiveRows(rows);
    CHECK(state_.upstreams_.size_ <= maxUnnamedUpstreams + 1);
    CHECK(upstream("desk-2").service_ == "desk");
    tickAfter(Milliseconds(100));
    CHECK(state_.brokersByRegion_.contains("zone-of-desk-2"));
    CHECK(state_.brokersByRegion_.size() == 3); // with those of the settings
}

TEST_CASE_FIXTURE(MembershipFixture, "Snapshot_WhenARowIsMissingSinceAnOutage_SaysSo")
{
    setStoreReachable(false);
    setStoreReachable(true);
    receiveRows({ makeRemovedRow("engine-1") });
    Snapshot snapshot;
    REQUIRE_FALSE(parseSnapshot(serializeSnapshot(makeSnapshot(state_, SnapshotPart::Upstreams)), snapshot));
    for (const UpstreamRow &row : snapshot.upstreams_->rows_) {
        CHECK(row.missing_ == (row.id_ == "engine-1"));
    }
}
