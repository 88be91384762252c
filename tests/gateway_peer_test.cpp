/**
 * @file gateway_peer_test.cpp
 * @brief Tests of the messages between gateways and of the state that they share.
 */
#include "gateway_fixture.h"

#include "gateway_peer_wire.h"

#include <algorithm>
#include <numeric>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway with one peer that reports its quota usage.
struct PeerFixture : GatewayFixture
{
    PeerUpdate makeUpdate()
    {
        PeerUpdate update;
        update.address_ = "10.0.0.2:7000";
        update.name_ = "gateway-2";
        update.region_ = "region-1";
        update.incarnation_ = peerIncarnation_;
        update.sequence_ = ++peerSequence_;
        return update;
    }

    GatewayOutbox receiveUpdate(const PeerUpdate &update)
    {
        GatewayInbox inbox;
        inbox.peerUpdates_.push_back(update);
        return tick(std::move(inbox));
    }

    /// Requests far more than the quota while the peer sends updates. @return units granted in each step
    std::vector<double> exhaustQuotaFor(Milliseconds time)
    {
        std::vector<double> used;
        for (Milliseconds passed{ 0 }; passed < time; passed += step) {
            now_ += step;
            receiveUpdate(makeUpdate());
            const WorkspaceRule &rule = state_.configuration_.workspaces_.at(0);
            double granted = 0;
            while (granted < rule.ratePerSecond_ && chargeQuota(state_, now_, rule, 1)) {
                ++granted;
            }
            used.push_back(granted);
        }
        return used;
    }

    double rateInWindow() const
    {
        const FractionalSeconds window = state_.bounds_.quotaWindow_;
        return state_.configuration_.workspaces_.at(0).ratePerSecond_ * window.count();
    }

    double allowedInWindow() const
    {
        const double quota = rateInWindow() + state_.configuration_.workspaces_.at(0).burst_;
        return quota * (1 + state_.bounds_.quotaOvershoot_) + state_.bounds_.quotaTokenSlack_;
    }

    static constexpr Milliseconds step{ 100 }; ///< Time between two rounds of requests.
    static constexpr size_t stepsPerWindow = 80; ///< Steps in the default window of 8 s.
    uint64_t peerIncarnation_ = 5; ///< Incarnation of the peer; changes when it restarts.
};

/// Gateway whose peer has a newer configuration.
struct SnapshotFixture : PeerFixture
{
    /// Runs a tick that receives an update of the peer. @return the fetches that the tick starts
    size_t fetchesAfter(Milliseconds time)
    {
        now_ += time;
        PeerUpdate update = makeUpdate();
        update.configurationVersion_ = 9;
        return receiveUpdate(update).snapshotFetches_.size();
    }
};

} // namespace

TEST_CASE_FIXTURE(SnapshotFixture, "Snapshot_WhileItIsBeingFetched_IsNotFetchedAgain")
{
    size_t fetches = 0;
    for (int update = 0; update < 30; ++update) {
        fetches += fetchesAfter(Milliseconds(100));
    }
    CHECK(fetches == 1);
}

TEST_CASE_FIXTURE(SnapshotFixture, "Snapshot_WhenItsFetchHasEnded_IsFetchedAgain")
{
    fetchesAfter(Milliseconds(100));
    CHECK(fetchesAfter(Milliseconds(250)) == 1);
    GatewayInbox inbox;
    inbox.endedSnapshots_.push_back(SnapshotPart::Configuration);
    tick(std::move(inbox));
    CHECK(fetchesAfter(Milliseconds(450)) == 1);
}

TEST_CASE_FIXTURE(SnapshotFixture, "Snapshot_WhenThePeerHasNewUpstreamsToo_IsFetchedInTwoParts")
{
    PeerUpdate update = makeUpdate();
    update.configurationVersion_ = 9;
    update.upstreamsVersion_ = { 0, 11 };
    receiveUpdate(update);
    const std::vector<FetchSnapshot> fetches = tickAfter(Milliseconds(250)).snapshotFetches_;
    REQUIRE(fetches.size() == 2);
    CHECK(fetches[0].part_ == SnapshotPart::Configuration);
    CHECK(fetches[1].part_ == SnapshotPart::Upstreams);
}

TEST_CASE_FIXTURE(SnapshotFixture, "Snapshot_WhenAPeerOfTheSameRegionIsAheadToo_IsFetchedFromIt")
{
    PeerUpdate other = makeUpdate();
    other.address_ = "10.0.0.3:7000";
    other.region_ = "region-2";
    other.configurationVersion_ = 9;
    receiveUpdate(other);
    fetchesAfter(Milliseconds(0));
    const std::vector<FetchSnapshot> fetches = tickAfter(Milliseconds(250)).snapshotFetches_;
    REQUIRE(fetches.size() == 1);
    CHECK(fetches[0].address_ == "10.0.0.2:7000");
}

// Gateways read the store at different times; a fetch for each difference of their versions would never end.
TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenThePeerReadTheSameListLater_IsNotFetched")
{
    const auto fetchesFor = [this](uint32_t digest) {
        PeerUpdate update = makeUpdate();
        update.upstreamsVersion_ = { 0, 11 };
        update.upstreamsDigest_ = digest;
        receiveUpdate(update);
        return tickAfter(Milliseconds(250)).snapshotFetches_.size();
    };
    CHECK(fetchesFor(state_.upstreamsDigest_) == 0);
    CHECK(fetchesFor(state_.upstreamsDigest_ + 1) == 1);
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenThePeerIsOfAnOlderEra_IsNotFetched")
{
    GatewayInbox inbox;
    UpstreamsReceived list;
    list.rows_ = { makeRow("engine-1", "engines") };
    list.version_ = { 2, 3 };
    inbox.upstreams_.push_back(list);
    tick(std::move(inbox));
    PeerUpdate update = makeUpdate();
    update.upstreamsVersion_ = { 1, 400 };
    receiveUpdate(update);
    CHECK(tickAfter(Milliseconds(250)).snapshotFetches_.empty());
    update = makeUpdate();
    update.upstreamsVersion_ = { 3, 1 };
    receiveUpdate(update);
    CHECK(tickAfter(Milliseconds(250)).snapshotFetches_.size() == 1);
}

TEST_CASE("PeerUpdate_WhenItNamesErasAndADigest_KeepsThem")
{
    PeerUpdate update;
    update.configurationEra_ = 2;
    update.upstreamsVersion_ = { 3, 40 };
    update.upstreamsDigest_ = 77;
    PeerUpdate decoded;
    REQUIRE_FALSE(parsePeerUpdate(serializePeerUpdate(update), decoded));
    CHECK(decoded.configurationEra_ == 2);
    CHECK(decoded.upstreamsVersion_ == StoreVersion{ 3, 40 });
    CHECK(decoded.upstreamsDigest_ == 77);
}

TEST_CASE_FIXTURE(PeerFixture, "Counts_WhenAnOlderUpdateArrivesLate_AreUnchanged")
{
    PeerUpdate first = makeUpdate();
    PeerUpdate second = makeUpdate();
    second.inFlight_ = { { "engine-1", 2 } };
    first.inFlight_ = { { "engine-1", 3 } };
    receiveUpdate(second);
    receiveUpdate(first);
    CHECK(upstream("engine-1").peerInFlight_ == 2);
}

TEST_CASE_FIXTURE(PeerFixture, "Counts_WhenThePeerTimesOut_AreRemoved")
{
    PeerUpdate update = makeUpdate();
    update.inFlight_ = { { "engine-1", 2 } };
    receiveUpdate(update);
    tickAfter(Milliseconds(1100));
    CHECK(upstream("engine-1").peerInFlight_ == 0);
}

TEST_CASE_FIXTURE(PeerFixture, "Counts_WhenReceivedBeforeTheUpstream_ApplyOnceItIsListed")
{
    PeerUpdate update = makeUpdate();
    update.inFlight_ = { { "engine-9", 2 } };
    receiveUpdate(update);
    GatewayInbox inbox;
    UpstreamsReceived rows;
    rows.rows_ = { makeRow("engine-9", "engines") };
    inbox.upstreams_.push_back(rows);
    tick(std::move(inbox));
    CHECK(upstream("engine-9").peerInFlight_ == 2);
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenAPeerUsesAWorkspaceForTheFirstTime_IsCharged")
{
    receiveCall("read", 1);
    receiveUpdate(makeUpdate());
    const double before = state_.quotaByWorkspace_["workspace-1"].level_;
    PeerUpdate update = makeUpdate();
    update.chargedUnits_ = { { "workspace-1", 700 } };
    receiveUpdate(update);
    CHECK(state_.quotaByWorkspace_["workspace-1"].level_ == doctest::Approx(before - 700));
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenAPeerThatStartedLaterIsHeardFirst_IsChargedItsWholeUsage")
{
    receiveCall("read", 1);
    const double before = state_.quotaByWorkspace_["workspace-1"].level_;
    now_ += Milliseconds(400);
    PeerUpdate update = makeUpdate();
    update.uptime_ = Milliseconds(300);
    update.chargedUnits_ = { { "workspace-1", 700 } };
    receiveUpdate(update);
    CHECK(state_.quotaByWorkspace_["workspace-1"].peerChargedUnits_ == 700);
    CHECK(state_.quotaByWorkspace_["workspace-1"].level_ < before);
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenAPeerThatStartedEarlierIsHeardFirst_IsChargedTheShareSinceTheOwnStart")
{
    now_ += Milliseconds(400);
    PeerUpdate update = makeUpdate();
    update.uptime_ = Milliseconds(1600);
    update.chargedUnits_ = { { "workspace-1", 800 } };
    receiveUpdate(update);
    CHECK(state_.quotaByWorkspace_["workspace-1"].peerChargedUnits_ == 200);
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenAPeerThatHasRunForLongIsHeardFirst_IsNotCharged")
{
    now_ += Milliseconds(400);
    PeerUpdate update = makeUpdate();
    update.chargedUnits_ = { { "workspace-1", 800 } };
    receiveUpdate(update);
    CHECK(state_.quotaByWorkspace_["workspace-1"].peerChargedUnits_ == 0);
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenARestartedProcessReceivesAPeersLevels_AppliesThem")
{
    state_.firstStart_ = false;
    GatewayInbox inbox;
    inbox.quotaLevels_.push_back({ { "workspace-1", 123 } });
    tick(std::move(inbox));
    CHECK(state_.quotaByWorkspace_["workspace-1"].level_ == doctest::Approx(123));
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenExhaustedWhilePeersAreStable_StaysWithinEveryWindowAndUsesMost")
{
    state_.bounds_.quotaTokenSlack_ = 6000;
    const std::vector<double> used = exhaustQuotaFor(std::chrono::seconds(30));
    double largest = 0;
    for (size_t first = 0; first + stepsPerWindow <= used.size(); ++first) {
        const double inWindow = std::accumulate(used.begin() + first, used.begin() + first + stepsPerWindow, 0.0);
        CHECK(inWindow <= allowedInWindow());
        largest = std::max(largest, inWindow);
    }
    CHECK(largest > rateInWindow() + 0.6 * (allowedInWindow() - rateInWindow()));
}

TEST_CASE_FIXTURE(PeerFixture, "Quota_WhenAPeerHasRestarted_UsesLessOfTheOvershoot")
{
    state_.bounds_.quotaTokenSlack_ = 6000;
    exhaustQuotaFor(std::chrono::seconds(20));
    const std::vector<double> stable = exhaustQuotaFor(std::chrono::seconds(4));
    peerIncarnation_ = 6;
    const std::vector<double> afterRestart = exhaustQuotaFor(std::chrono::seconds(4));
    const auto sum = [](const std::vector<double> &values) {
        return std::accumulate(values.begin(), values.end(), 0.0);
    };
    CHECK(sum(afterRestart) < 0.97 * sum(stable));
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenAPeerStaysNewer_IsFetched")
{
    PeerUpdate update = makeUpdate();
    update.configurationVersion_ = 9;
    CHECK(receiveUpdate(update).snapshotFetches_.empty());
    now_ += Milliseconds(250);
    CHECK(receiveUpdate(update).snapshotFetches_.size() == 1);
    CHECK(tick().snapshotFetches_.empty());
}

TEST_CASE_FIXTURE(PeerFixture, "Peer_WhenItTimesOut_IsRemoved")
{
    receiveUpdate(makeUpdate());
    tickAfter(std::chrono::seconds(31));
    CHECK(state_.peers_.size_ == 0);
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenACountChanges_IsSentToPeersOfThatRegionOnly")
{
    receiveUpdate(makeUpdate());
    PeerUpdate otherRegion = makeUpdate();
    otherRegion.address_ = "10.0.0.3:7000";
    otherRegion.region_ = "region-2";
    receiveUpdate(otherRegion);
    tickAfter(Milliseconds(300));
    now_ += Milliseconds(50);
    const GatewayOutbox outbox = receiveCall("read", 1);
    REQUIRE(outbox.updates_.size() == 1);
    CHECK(outbox.updates_[0].addresses_ == std::vector<std::string>{ "10.0.0.2:7000" });
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenAPeerIsNew_AnnouncesItBeforeTheNextFullUpdate")
{
    receiveUpdate(makeUpdate());
    tickAfter(Milliseconds(300));
    PeerUpdate update = makeUpdate();
    update.address_ = "10.0.0.3:7000";
    const GatewayOutbox outbox = receiveUpdate(update);
    REQUIRE(outbox.updates_.size() == 1);
    CHECK(outbox.updates_[0].update_.peers_.size() == 2);
    CHECK(outbox.updates_[0].addresses_.size() == 2);
}

TEST_CASE_FIXTURE(PeerFixture, "Upstream_WhenAPeerKnowsThatItLeaves_GetsNoCallsFromARestartedGateway")
{
    PeerUpdate update = makeUpdate();
    update.leaving_ = { { "engine-1", 1 }, { "engine-2", 99 } }; // the latter was an earlier start of that id
    receiveUpdate(update);
    for (uint64_t exchange = 1; exchange <= 4; ++exchange) {
        CHECK(receiveCall("read", exchange).sends_.at(0).parameters_.instance_ == "engine-2");
    }
    now_ += std::chrono::seconds(2);
    receiveUpdate(makeUpdate());
    const GatewayOutbox outbox = tickAfter(Milliseconds(1100));
    REQUIRE(outbox.updates_.size() == 1);
    CHECK(outbox.updates_[0].update_.leaving_.size() == 1);
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenSerializedAndParsed_IsTheSame")
{
    PeerUpdate update = makeUpdate();
    update.inFlight_ = { { "engine-1", 2 } };
    update.memoryTokens_ = { { "engine-1", 9000 } };
    update.chargedUnits_ = { { "workspace-1", 700 } };
    update.uptime_ = Milliseconds(300);
    update.leaving_ = { { "engine-2", 7 } };
    update.crashes_ = { { { "engine-1", 5 }, Milliseconds(40), { { UINT64_MAX, 255 }, { 7, 1 } } } };
    update.answered_ = { { 7, Milliseconds(9000) } };
    update.verdicts_ = { { UINT64_MAX, { 2, true, 1 } } };
    update.peers_ = { "10.0.0.3:7000" };
    PeerUpdate read;
    REQUIRE_FALSE(parsePeerUpdate(serializePeerUpdate(update), read));
    CHECK(read.inFlight_ == update.inFlight_);
    CHECK(read.memoryTokens_ == update.memoryTokens_);
    CHECK(read.chargedUnits_ == update.chargedUnits_);
    CHECK(read.uptime_ == update.uptime_);
    CHECK(read.leaving_ == update.leaving_);
    REQUIRE(read.crashes_.size() == 1);
    CHECK(read.crashes_[0].upstream_ == update.crashes_[0].upstream_);
    CHECK(read.crashes_[0].age_ == update.crashes_[0].age_);
    CHECK(read.crashes_[0].traits_ == update.crashes_[0].traits_);
    CHECK(read.answered_ == update.answered_);
    CHECK(read.verdicts_ == update.verdicts_);
    CHECK(read.peers_ == update.peers_);
    CHECK(read.sequence_ == update.sequence_);
}

// Guards against an id with a line break from a gateway of a release that lists such rows.
TEST_CASE("Snapshot_WhenItListsAnIdThatNoUpstreamCanHave_LeavesItOut")
{
    Snapshot sent;
    sent.rollouts_.emplace();
    UpstreamsReceived &list = sent.upstreams_.emplace();
    for (const char *id : { "i-1\r\nX: y", "i-2" }) {
        list.rows_.emplace_back().id_ = id;
    }
    Snapshot received;
    REQUIRE_FALSE(parseSnapshot(serializeSnapshot(sent), received));
    REQUIRE(received.upstreams_->rows_.size() == 1);
    CHECK(received.upstreams_->rows_[0].id_ == "i-2");
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenSerializedAndParsed_IsTheSame")
{
    Snapshot read;
    REQUIRE_FALSE(parseSnapshot(serializeSnapshot(makeSnapshot(state_)), read));
    CHECK(read.configurationText_ == "text-1");
    REQUIRE(read.upstreams_);
    CHECK(read.upstreams_->rows_.size() == 3);
    CHECK(read.upstreams_->version_ == StoreVersion{ 0, 10 });
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenTheConfigurationIsLarge_IsMuchSmaller")
{
    for (int route = 0; route < 1400; ++route) {
        state_.configurationText_ += R"({"name":"r-)" + std::to_string(route) + R"(","host":"h)" + std::to_string(route)
            + R"(.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":300,"priority":1},)";
    }
    const std::string text = serializeSnapshot(makeSnapshot(state_, SnapshotPart::Configuration));
    CHECK(text.size() < state_.configurationText_.size() / 5);
    Snapshot read;
    REQUIRE_FALSE(parseSnapshot(text, read));
    CHECK(read.configurationText_ == state_.configurationText_);
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenItIsWhole_IsReadableByTheReleaseBefore")
{
    state_.configurationText_ = std::string(10000, 'a');
    const std::string text = serializeSnapshot(makeSnapshot(state_));
    CHECK(text.find(R"("configuration":")" + state_.configurationText_) != std::string::npos);
    Snapshot read;
    REQUIRE_FALSE(parseSnapshot(R"({"configuration":"text","version":3,"upstreams":[],"quotas":{}})", read));
    CHECK(read.configurationText_ == "text");
    CHECK(read.upstreams_->version_ == StoreVersion{ 0, 3 });
}

TEST_CASE_FIXTURE(PeerFixture, "Snapshot_WhenOnlyAPartIsAskedFor_HasNothingElse")
{
    Snapshot configuration;
    REQUIRE_FALSE(parseSnapshot(serializeSnapshot(makeSnapshot(state_, SnapshotPart::Configuration)), configuration));
    CHECK(configuration.configurationText_ == "text-1");
    CHECK_FALSE(configuration.upstreams_);
    Snapshot upstreams;
    REQUIRE_FALSE(parseSnapshot(serializeSnapshot(makeSnapshot(state_, SnapshotPart::Upstreams)), upstreams));
    CHECK(upstreams.configurationText_.empty());
    CHECK_FALSE(upstreams.configurationVersion_);
    CHECK(upstreams.upstreams_->rows_.size() == 3);
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenMalformed_IsRejectedWithAnError")
{
    PeerUpdate read;
    CHECK(parsePeerUpdate("{\"i\":1", read) == WireErrc::MalformedJson);
    CHECK(parsePeerUpdate("{\"i\":\"x\"}", read) == WireErrc::WrongType);
    CHECK(parsePeerUpdate("{}", read) == WireErrc::MissingField);
}

TEST_CASE_FIXTURE(PeerFixture, "Usage_WhenAnUpdateHoldsRecentChangesOnly_IsChargedOnce")
{
    PeerUpdate full = makeUpdate();
    full.chargedUnits_ = { { "workspace-1", 100 } };
    full.uptime_ = Milliseconds(0);
    receiveUpdate(full);
    const double before = state_.quotaByWorkspace_["workspace-1"].level_;
    PeerUpdate without = makeUpdate();
    without.name_.clear();
    receiveUpdate(without);
    PeerUpdate with = makeUpdate();
    with.name_.clear();
    with.chargedUnits_ = { { "workspace-1", 130 } };
    receiveUpdate(with);
    CHECK(state_.quotaByWorkspace_["workspace-1"].level_ == doctest::Approx(before - 30));
}

TEST_CASE_FIXTURE(PeerFixture, "Usage_WhenTheFirstUpdateOfARunningPeerIsNotFull_IsNotTakenForNew")
{
    PeerUpdate first = makeUpdate();
    first.name_.clear();
    receiveUpdate(first);
    PeerUpdate full = makeUpdate();
    full.chargedUnits_ = { { "workspace-1", 1000000 } };
    receiveUpdate(full);
    CHECK(state_.quotaByWorkspace_["workspace-1"].level_ >= 0);
}

TEST_CASE_FIXTURE(PeerFixture, "Update_WhenUsageHasNotChangedForAWhile_LeavesItOutUntilTheFullOne")
{
    receiveUpdate(makeUpdate());
    receiveCall("read", 1);
    size_t withUsage = 0;
    size_t fullUpdates = 0;
    for (int tick = 0; tick < 300; ++tick) {
        for (const SendUpdate &command : tickAfter(Milliseconds(10)).updates_) {
            const bool isFull = !command.update_.name_.empty();
            CHECK((!isFull || command.update_.chargedUnits_.contains("workspace-1")));
            fullUpdates += isFull ? 1 : 0;
            withUsage += !isFull && command.update_.chargedUnits_.contains("workspace-1") ? 1 : 0;
        }
    }
    CHECK(fullUpdates >= 3);
    CHECK(withUsage >= 2);
    CHECK(withUsage <= 6);
}
