/**
 * @file rollout_test.cpp
 * @brief Tests of rollouts: which version gets calls, how many, and when a gateway stops sending to one.
 */
#include "crash_fleet_fixture.h"

#include "gateway_peer_wire.h"
#include "gateway_placement_func.h"
#include "gateway_rollout_func.h"
#include "gateway_slot_wire.h"
#include "rollout_func.h"
#include "rollout_wire.h"

using namespace Burdockfield;
using namespace Burdockfield::Platform;
using namespace Burdockfield::Testing;

namespace {

constexpr uint64_t orderRow = 20; ///< Version of the order's row.
constexpr uint64_t newRow = 30; ///< Version of the rows of upstreams of the ordered version.

RolloutOrder makeOrder(const std::string &version, uint64_t rowVersion)
{
    return { "engines", version, std::chrono::seconds(12), { 0, rowVersion } };
}

RolloutsReceived makeOrders(const std::vector<RolloutOrder> &orders, uint64_t operatorVersion)
{
    RolloutsReceived event;
    event.orders_ = orders;
    event.operatorVersion_ = { 0, operatorVersion };
    event.source_ = "test";
    return event;
}

UpstreamRow makeVersionRow(const std::string &id, const std::string &version, uint64_t rowVersion)
{
    UpstreamRow row = GatewayFixture::makeRow(id, "engines");
    row.address_ = id == "old" ? "10.0.1.2:80" : "10.0.1.3:80"; // upstreams that live have an address each
    row.version_ = version;
    row.rowVersion_ = { 0, rowVersion };
    return row;
}

/// Gateway with an upstream of each of two versions; the second appears with or before its order.
struct RolloutFixture : GatewayFixture
{
    RolloutFixture()
    {
        state_.configuration_.workspaces_[0].ratePerSecond_ = 0;
        receive(makeOrders({}, 5));
        listUpstreams({ makeVersionRow("old", "v1", 4) });
    }

    GatewayOutbox receive(const RolloutsReceived &event)
    {
        GatewayInbox inbox;
        inbox.rollouts_.push_back(event);
        return tick(std::move(inbox));
    }

    void listUpstreams(const std::vector<UpstreamRow> &rows)
    {
        GatewayInbox inbox;
        UpstreamsReceived list;
        list.rows_ = rows;
        list.fullList_ = true;
        list.version_ = { 0, ++listVersion_ };
        inbox.upstreams_.push_back(list);
        tick(std::move(inbox));
    }

    void listBoth()
    {
        listUpstreams({ makeVersionRow("old", "v1", 4), makeVersionRow("new", "v2", newRow) });
    }

    /// Makes calls one after the other, which are all answered. @return how many of them each upstream got
    std::map<std::string, size_t> call(size_t calls, int statusOfNew = 200)
    {
        std::map<std::string, size_t> sends;
        for (size_t index = 0; index < calls; ++index) {
            if (Upstream *tried = findUpstream(state_, "new"); tried != nullptr) {
                tried->failureRate_ = 0; // an idle service avoids an upstream that has failed, a loaded one does not
            }
            GatewayOutbox outbox = receiveCall("read", ++exchange_);
            while (!outbox.sends_.empty()) {
                const SendCall send = outbox.sends_[0];
                const std::string &id = send.parameters_.instance_;
                ++sends[id];
                outbox = receiveAnswer(send.send_, makeHead(id == "new" ? statusOfNew : 200), "body");
            }
            now_ += Milliseconds(20);
        }
        return sends;
    }

    /// Runs a tick that receives a status row.
    void receiveStatus(RolloutState status, const std::string &version, uint64_t rowVersion)
    {
        RolloutsReceived event;
        event.statuses_ = { { "engines", version, status, { 0, rowVersion } } };
        receive(event);
    }

    uint64_t exchange_ = 0; ///< Last exchange.
    uint64_t listVersion_ = 100; ///< Version of the last list.
};

/// Codecs of rows and messages about rollouts.
struct RolloutWireFixture
{
    static TableRow makeRow(const std::string &value, const std::string &key = "rollout/s")
    {
        return { "op", key, value, { 0, 7 } };
    }

    RolloutOrder order_; ///< The decoded order.
    RolloutStatus status_; ///< The decoded status row.
};

/// Sequential test of the failures of a version.
struct VersionTestFixture
{
    /// Draws outcomes until the version is found to be bad. @param score of the test, which begins at 0
    /// @return the answers until then, or @p most
    size_t answersUntilBad(double failureRate, size_t most, double score = 0)
    {
        std::bernoulli_distribution fails(failureRate);
        for (size_t answers = 1; answers <= most; ++answers) {
            if (addOutcomes(score, { 1, fails(random_) ? 1U : 0U }, { 10000, 200 })) {
                return answers;
            }
        }
        return most;
    }

    std::mt19937_64 random_{ 3 }; ///< Source of outcomes.
};

/// Simulated fleet in which a new version of the engines is rolled out, with drawn disturbances.
struct RolloutFleetFixture : CrashFleetFixture
{
    static constexpr size_t oldEngines = 7;
    static constexpr size_t newEngines = 3;
    static constexpr double callsPerSecond = 150;

    /// Starts a fleet whose last engines have a new version, of which each gateway reads the order at a drawn time.
    void startRollout(uint64_t seed)
    {
        random_.seed(seed);
        start({ 6, oldEngines + newEngines });
        for (size_t engine = 0; engine < engines_.size(); ++engine) {
            UpstreamRow &row = engines_[engine].row_;
            row.version_ = engine < oldEngines ? "v1" : "v2";
            row.rowVersion_ = { 0, engine < oldEngines ? 0 : newRow };
        }
        for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
            restartGateway(gateway);
        }
        decisions_.clear();
        counts_ = {};
        disturbance_ = { 1, Milliseconds(400), 0.1, Milliseconds(300) };
    }

    /// Runs the fleet for some seconds, with restarts and partitions at drawn times.
    void runDisturbed()
    {
        for (int round = 0; round < 12; ++round) {
            const size_t gateway = random_() % gateways_.size();
            switch (random_() % 4) {
            case 0:
                restartGateway(gateway);
                break;
            case 1:
                isolated_ = { gateway };
                break;
            case 2:
                isolated_.clear();
                break;
            default:
                inboxes_[gateway].rollouts_.push_back(makeOrders({ makeOrder("v2", orderRow) }, newRow));
                break;
            }
            run(Milliseconds(100 + static_cast<int64_t>(random_() % 900)), callsPerSecond, 0);
        }
    }

    /// @return the sends to engines of the new version.
    size_t countExposed() const
    {
        return static_cast<size_t>(std::count_if(decisions_.begin(), decisions_.end(), [&](const Decision &decision) {
            return decision.event_ == "sent"
                && std::any_of(engines_.begin() + oldEngines, engines_.end(), [&](const SimulatedEngine &engine) {
                       return std::find(decision.fields_.begin(), decision.fields_.end(),
                                  std::pair<std::string, std::string>("upstream", engine.row_.id_))
                           != decision.fields_.end();
                   });
        }));
    }
};

} // namespace

TEST_CASE_FIXTURE(RolloutWireFixture, "Order_WhenDecoded_HasTheRowsValues")
{
    REQUIRE_FALSE(parseOrder(makeRow(R"({"service":"s","to":"v2","durationS":12})"), order_));
    CHECK(order_.service_ == "s");
    CHECK(order_.version_ == "v2");
    CHECK(order_.duration_ == std::chrono::seconds(12));
    CHECK(order_.rowVersion_ == StoreVersion{ 0, 7 });
}

TEST_CASE_FIXTURE(RolloutWireFixture, "Order_WhenItIsMalformed_IsRefused")
{
    CHECK(parseOrder(makeRow(R"({"service":"t","to":"v2","durationS":12})"), order_) == WireErrc::OutOfRange);
    CHECK(parseOrder(makeRow(R"({"service":"s","to":"","durationS":12})"), order_) == WireErrc::OutOfRange);
    CHECK(parseOrder(makeRow(R"({"service":"s","to":"v2","durationS":-1})"), order_) == WireErrc::OutOfRange);
    CHECK(parseOrder(makeRow(R"({"service":"s"})"), order_) == WireErrc::MissingField);
    CHECK(parseOrder(makeRow("x"), order_) == WireErrc::MalformedJson);
    CHECK_FALSE(isRolloutRow(makeRow("", "config")));
    CHECK_FALSE(isRolloutRow(makeRow("", "rollout/")));
}

TEST_CASE_FIXTURE(RolloutWireFixture, "Status_WhenEncodedAndDecoded_IsTheSame")
{
    for (const RolloutState state : { RolloutState::Watching, RolloutState::Completed, RolloutState::RolledBack }) {
        REQUIRE_FALSE(parseStatus(makeRow(serializeStatus({ "s", "v2", state, 0 })), status_));
        CHECK(status_.service_ == "s");
        CHECK(status_.version_ == "v2");
        CHECK(status_.state_ == state);
    }
    CHECK(parseStatus(makeRow(R"({"state":"other","to":"v2"})"), status_) == WireErrc::UnknownValue);
}

// A gateway that does not learn of a rollout, or of what a peer has found, would send too much to a bad version.
TEST_CASE_FIXTURE(RolloutFixture, "PeerUpdate_WhenItHasARollout_BringsTheOrderItsStateAndItsOutcomes")
{
    PeerUpdate update;
    update.rollouts_
        = { { makeOrder("v2", orderRow), RolloutState::Watching, { { "read", { { 40, 1 }, { 900, 9 } } } } } };
    update.operatorVersion_ = { 0, newRow };
    PeerUpdate decoded;
    REQUIRE_FALSE(parsePeerUpdate(serializePeerUpdate(update), decoded));
    REQUIRE(decoded.rollouts_.size() == 1);
    CHECK(decoded.rollouts_[0].order_.version_ == "v2");
    CHECK(decoded.rollouts_[0].order_.rowVersion_ == StoreVersion{ 0, orderRow });
    CHECK(decoded.rollouts_[0].evidence_ == update.rollouts_[0].evidence_);
    CHECK(decoded.operatorVersion_ == StoreVersion{ 0, newRow });
}

TEST_CASE_FIXTURE(RolloutFixture, "Snapshot_WhenDecoded_HasVersionsAndRollouts")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    Snapshot decoded;
    REQUIRE_FALSE(parseSnapshot(serializeSnapshot(makeSnapshot(state_)), decoded));
    REQUIRE(decoded.rollouts_);
    CHECK(decoded.rollouts_->operatorVersion_ == StoreVersion{ 0, newRow });
    REQUIRE(decoded.rollouts_->peerRollouts_.size() == 1);
    CHECK(decoded.rollouts_->peerRollouts_[0].order_.version_ == "v2");
    for (const UpstreamRow &row : decoded.upstreams_->rows_) {
        CHECK(row.version_ == (row.id_ == "new" ? "v2" : "v1"));
        CHECK(row.rowVersion_ == StoreVersion{ 0, (row.id_ == "new" ? newRow : 4) });
    }
}

// The upstreams of a new version may be listed before the order is read; calls to them then would not be limited.
TEST_CASE_FIXTURE(RolloutFixture, "NewVersion_WhenItsOrderMayBeUnread_GetsNoCall")
{
    listBoth();
    CHECK(call(100)["new"] == 0);
    receive(makeOrders({}, newRow - 1));
    CHECK(call(100)["new"] == 0);
}

TEST_CASE_FIXTURE(RolloutFixture, "NewVersion_WhenItHasNoOrder_GetsCallsLikeOthers")
{
    listBoth();
    receive(makeOrders({}, newRow));
    CHECK(call(100)["new"] > 25);
}

// After a crash of all upstreams their rows are newer than what was read of the operator's table.
TEST_CASE_FIXTURE(RolloutFixture, "EstablishedVersion_WhenAllItsUpstreamsStartAgain_GetsCallsAtOnce")
{
    listUpstreams({ makeVersionRow("old-again", "v1", 50) });
    CHECK(call(10)["old-again"] == 10);
}

TEST_CASE_FIXTURE(RolloutFixture, "NewVersion_WhenItIsWatched_GetsHalfOfTheExposureShare")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    const size_t exposed = call(1000)["new"];
    CHECK(exposed <= 50);
    CHECK(exposed >= 45);
}

TEST_CASE_FIXTURE(RolloutFixture, "FreeSlots_WhenAVersionIsLimited_CountOnlyTheCallsThatItMayGet")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    const uint32_t slotsOfOld = countFreeSlots(state_, now_, { "region-1" })["engines"][1];
    CHECK(slotsOfOld == 4);
    call(19);
    state_.rollouts_["engines"].exposure_["read"].total_ = 40;
    CHECK(countFreeSlots(state_, now_, { "region-1" })["engines"][1] == slotsOfOld + 2);
}

TEST_CASE_FIXTURE(RolloutFixture, "BadVersion_WhenItFails_IsStoppedByTheGatewaysOwnEvidence")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    call(400);
    const size_t failed = call(1000, 500)["new"];
    CHECK(failed < 10);
    CHECK(state_.rollouts_["engines"].state_ == RolloutState::Stopped);
    CHECK(call(200)["new"] == 0);
}

// Each gateway of a large fleet sees few failures; together they show that the version is bad.
TEST_CASE_FIXTURE(RolloutFixture, "BadVersion_WhenPeersReportFailures_IsStoppedAndRepetitionsCountOnce")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    PeerUpdate update;
    update.name_ = "gateway-2";
    update.address_ = "10.0.0.2:7000";
    update.rollouts_
        = { { makeOrder("v2", orderRow), RolloutState::Watching, { { "read", { { 3, 3 }, { 90, 0 } } } } } };
    GatewayOutbox outbox;
    for (int repetition = 0; repetition < 10; ++repetition) {
        applyPeerRollouts(state_, update, outbox);
    }
    CHECK(state_.rollouts_["engines"].state_ == RolloutState::Watching);
    update.address_ = "10.0.0.3:7000";
    applyPeerRollouts(state_, update, outbox);
    CHECK(state_.rollouts_["engines"].state_ == RolloutState::Stopped);
}

TEST_CASE_FIXTURE(RolloutFixture, "Version_WhenItsRolloutIsRolledBack_GetsNoCallUntilAnotherOrder")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    receiveStatus(RolloutState::RolledBack, "v2", newRow + 1);
    CHECK(call(200)["new"] == 0);
    receiveStatus(RolloutState::Completed, "v2", newRow + 2); // a final state stays
    CHECK(call(200)["new"] == 0);
    receive(makeOrders({ makeOrder("v3", newRow + 3) }, newRow + 3));
    CHECK(call(200)["new"] == 0);
    receive(makeOrders({ makeOrder("v2", newRow + 4) }, newRow + 4));
    CHECK(call(200)["new"] > 0);
}

// The operator stops the upstreams of a bad version only once the status row says so; replies may be lost.
TEST_CASE_FIXTURE(RolloutFixture, "StoppedVersion_WhenItsStatusIsNotWritten_IsWrittenAgainUntilTheRowIsKnown")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    receiveStatus(RolloutState::Completed, "v1", orderRow - 1);
    CHECK(tick().rolloutStatuses_.empty());
    CHECK(nextRolloutDeadline(state_) == noDeadline);
    advanceState(state_.rollouts_["engines"], RolloutState::Stopped);
    CHECK(nextRolloutDeadline(state_) <= now_);
    const GatewayOutbox first = tick();
    REQUIRE(first.rolloutStatuses_.size() == 1);
    CHECK(first.rolloutStatuses_[0].status_.state_ == RolloutState::RolledBack);
    CHECK(first.rolloutStatuses_[0].status_.version_ == "v2");
    CHECK(first.rolloutStatuses_[0].expectedVersion_ == orderRow - 1);
    CHECK(tick().rolloutStatuses_.empty());
    CHECK(nextRolloutDeadline(state_) > now_);
    CHECK(tickAfter(std::chrono::seconds(1)).rolloutStatuses_.size() == 1);
    receiveStatus(RolloutState::RolledBack, "v2", newRow + 1);
    CHECK(state_.rollouts_["engines"].state_ == RolloutState::RolledBack);
    CHECK(tickAfter(std::chrono::seconds(1)).rolloutStatuses_.empty());
    CHECK(nextRolloutDeadline(state_) == noDeadline);
}

// Brokers write at the same time; a status of an earlier order must be replaced, a newer one must not.
TEST_CASE_FIXTURE(RolloutWireFixture, "StatusTransaction_WhenMade_HasTheExpectedVersion")
{
    const StoreTransaction transaction = makeStatusTransaction({ "s", "v2", RolloutState::RolledBack, 0 }, 9);
    REQUIRE(transaction.checks_.size() == 1);
    CHECK(transaction.checks_[0].key_ == StoreKey{ "status", "rollout/s" });
    CHECK(transaction.checks_[0].version_ == 9);
    CHECK(transaction.rowWrites_.at(0).value_ == R"({"state":"rolled_back","to":"v2"})");
}

TEST_CASE_FIXTURE(RolloutFixture, "OldVersion_WhenTheRolloutIsCompleted_GetsNoCall")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    receiveStatus(RolloutState::Completed, "v2", newRow + 1);
    std::map<std::string, size_t> sends = call(100);
    CHECK(sends["old"] == 0);
    CHECK(sends["new"] == 100);
    receive(makeOrders({ makeOrder("v3", newRow + 2) }, newRow + 2));
    CHECK(call(100)["old"] == 0);
}

TEST_CASE_FIXTURE(RolloutFixture, "Status_WhenItIsOlderThanTheOrder_IsIgnoredUnlessTheVersionIsCompleted")
{
    receiveStatus(RolloutState::RolledBack, "v2", orderRow - 1);
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    CHECK(state_.rollouts_["engines"].state_ == RolloutState::Watching);
    receiveStatus(RolloutState::Completed, "v3", orderRow + 1);
    receive(makeOrders({ makeOrder("v3", orderRow + 2) }, newRow));
    CHECK(state_.rollouts_["engines"].state_ == RolloutState::Completed);
}

// The limit would refuse nearly all calls of a service that has no other version.
TEST_CASE_FIXTURE(RolloutFixture, "Order_WhenItNamesTheOnlyVersion_LimitsNothing")
{
    receive(makeOrders({ makeOrder("v1", orderRow) }, orderRow));
    CHECK(call(100)["old"] == 100);
    CHECK(collectRollouts(state_).at(0).state_ == RolloutState::Watching); // peers judge by their own lists
}

TEST_CASE_FIXTURE(RolloutFixture, "Grant_WhenItsVersionIsNotAllowedHere_IsDeclined")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    receiveStatus(RolloutState::RolledBack, "v2", newRow + 1);
    const Upstream &upstream = *findUpstream(state_, "new");
    CHECK_FALSE(mayUse(state_, upstream));
    CHECK_FALSE(mayAssign(state_, upstream, "read"));
    CHECK(assignableCalls(state_, upstream) == 0);
}

// A message that the network repeats must not raise the number of requests, of which the exposure is a share.
TEST_CASE_FIXTURE(RolloutFixture, "SlotRequest_WhenItsFirstMessageArrivesAgain_IsCountedOnce")
{
    receive(makeOrders({ makeOrder("v2", orderRow) }, newRow));
    listBoth();
    receivePeerCounts("10.0.0.2:7000", {});
    SlotRequest request;
    request.service_ = "engines";
    request.zone_ = "zone-1";
    request.wait_ = Milliseconds(1000);
    request.route_ = "read";
    request.firstMessage_ = true;
    for (const uint64_t number : { 7, 7, 6, 8 }) {
        request.number_ = number;
        GatewayInbox inbox;
        inbox.slotMessages_.push_back({ "10.0.0.2:7000", 5, { request }, {}, {} });
        tick(std::move(inbox));
        findRow(state_.peers_, state_.peerByAddress_.at("10.0.0.2:7000"))->pendingGrants_.clear();
    }
    CHECK(state_.rollouts_["engines"].exposure_["read"].total_ == 2);
}

TEST_CASE_FIXTURE(VersionTestFixture, "VersionTest_WhenVersionsAreDrawn_KeepsItsErrorRates")
{
    size_t falseAlarms = 0;
    size_t missed = 0;
    size_t slowest = 0;
    for (int version = 0; version < 1000; ++version) {
        falseAlarms += answersUntilBad(0.02, 600) < 600 ? 1 : 0;
        const size_t answers = answersUntilBad(0.3, 600);
        missed += answers == 600 ? 1 : 0;
        slowest = std::max(slowest, answers);
    }
    MESSAGE("false alarms ", falseAlarms, ", missed ", missed, ", slowest ", slowest, " answers");
    CHECK(falseAlarms <= 5);
    CHECK(missed == 0);
    CHECK(slowest < 150);
}

TEST_CASE_FIXTURE(VersionTestFixture, "VersionTest_WhenAVersionTurnsBadLate_FindsItAsSoonAsOneThatIsBadAtOnce")
{
    size_t slowest = 0;
    for (int version = 0; version < 1000; ++version) {
        double score = 0;
        std::bernoulli_distribution fails(0.02);
        for (int answer = 0; answer < 400; ++answer) {
            addOutcomes(score, { 1, fails(random_) ? 1U : 0U }, { 10000, 200 });
        }
        slowest = std::max(slowest, answersUntilBad(0.3, 600, score));
    }
    MESSAGE("slowest ", slowest, " answers");
    CHECK(slowest < 150);
}

// Failures on one route must not be hidden by the answers of all others.
TEST_CASE_FIXTURE(RolloutFixture, "BadVersion_WhenItFailsOnOneRouteOnly_IsStopped")
{
    Rollout rollout;
    applyOrder(rollout, makeOrder("v2", orderRow));
    for (int round = 0; round < 30 && rollout.state_ == RolloutState::Watching; ++round) {
        addEvidence(rollout, "stream", { { 40, 0 }, { 800, 8 } });
        addEvidence(rollout, "read", { { 1, 1 }, { 20, 0 } });
    }
    CHECK(rollout.state_ == RolloutState::Stopped);
    CHECK(rollout.evidence_["read"].newVersion_.failures_ < 10);
}

// R1 over drawn deaths, partitions, lost and late messages: the sum over all gateways keeps the share.
TEST_CASE_FIXTURE(RolloutFleetFixture, "Exposure_WhenGatewaysDieAndMessagesAreLost_StaysBelowTheShare")
{
    size_t calls = 0;
    size_t exposed = 0;
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        startRollout(seed);
        runDisturbed();
        const size_t sent = countExposed();
        const double share = gateways_[0].bounds_.exposureShare_;
        CHECK(static_cast<double>(sent) <= share / 2 * static_cast<double>(counts_.soundCalls_));
        calls += counts_.soundCalls_;
        exposed += sent;
    }
    MESSAGE("sends to the new version ", exposed, " of ", calls, " requests");
    CHECK(exposed > calls / 100); // else the test has drawn nothing
}
