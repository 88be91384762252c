/**
 * @file gateway_replacement_test.cpp
 * @brief Tests of upstreams that are replaced by another instance at the same address.
 */
#include "gateway_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr const char *place = "10.0.1.9:80"; ///< Address at which instances replace each other.

/// Gateway with a server "desk-2" that is listed at an address of its own.
struct ReplacementFixture : GatewayFixture
{
    ReplacementFixture()
    {
        listRow("desk-1", "desk", 1, true);
        listRow("desk-2", "desk", 20);
    }

    /// Lists an instance at the address, or removes its row.
    GatewayOutbox listRow(const std::string &id, const std::string &service, uint64_t rowVersion, bool removed = false)
    {
        UpstreamsReceived change;
        change.rows_ = { makeRow(id, service) };
        change.rows_[0].address_ = place;
        change.rows_[0].rowVersion_ = { 0, rowVersion };
        change.rows_[0].removed_ = removed;
        GatewayInbox inbox;
        inbox.upstreams_.push_back(change);
        return tick(std::move(inbox));
    }

    /// @return the instance that a new call is sent to, or an empty text.
    std::string choose(const std::string &route = "once")
    {
        const GatewayOutbox outbox = receiveCall(route, ++exchange_);
        return outbox.sends_.empty() ? std::string() : outbox.sends_[0].parameters_.instance_;
    }

    uint64_t exchange_ = 0; ///< Exchange of the latest call.
};

/// Gateway with one call in flight at an engine that is the only one at its address.
struct ReplacedEngineFixture : ReplacementFixture
{
    void begin(const std::string &route)
    {
        listRow("engine-1", "engines", 1, true);
        listRow("engine-2", "engines", 1, true);
        listRow("engine-3", "engines", 30);
        const GatewayOutbox sent = receiveCall(route, 1);
        send_ = sent.sends_.at(0).send_;
        REQUIRE(sent.sends_[0].parameters_.instance_ == "engine-3");
    }

    uint64_t send_ = 0; ///< Number of the call's send.
};

} // namespace

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenAnotherInstanceIsListedAtItsAddress_GetsNoMoreCalls")
{
    // Guards against calls to an ended instance, which each cost a refusal and a second send.
    REQUIRE(choose() == "desk-2");
    const GatewayOutbox outbox = listRow("desk-3", "desk", 21);
    CHECK(findField(outbox, "upstream", "change") == "listed");
    CHECK(outbox.replacedAddresses_ == std::vector<std::string>{ place });
    for (int call = 0; call < 4; ++call) {
        CHECK(choose() == "desk-3");
    }
    CHECK(state_.metrics_.counters_["upstreams_replaced"]["desk"] == 1);
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenTheInstanceItReplacedIsListedLater_GetsTheCalls")
{
    listRow("desk-0", "desk", 5);
    for (int call = 0; call < 4; ++call) {
        CHECK(choose() == "desk-2");
    }
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenItsRowIsWrittenAgainAfterTheOthers_GetsCallsAgain")
{
    listRow("desk-3", "desk", 21);
    listRow("desk-2", "desk", 22);
    listRow("desk-3", "desk", 23, true);
    CHECK(choose() == "desk-2");
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenTheInstanceThatReplacedItIsRemoved_GetsNoCalls")
{
    listRow("desk-3", "desk", 21);
    listRow("desk-3", "desk", 22, true);
    CHECK(choose().empty());
    listRow("desk-4", "desk", 23);
    CHECK(choose() == "desk-4");
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenARowOfAnUnknownServiceNamesItsAddress_GetsCalls")
{
    listRow("other-1", "other", 21);
    CHECK(choose() == "desk-2");
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenAPeerListsAnInstanceOfUnknownRowVersionAtItsAddress_GetsCalls")
{
    listRow("desk-3", "desk", 0);
    listRow("desk-3", "desk", 0, true);
    CHECK(choose() == "desk-2");
}

TEST_CASE_FIXTURE(ReplacedEngineFixture, "Stream_WhenItsUpstreamIsReplacedAtItsAddress_IsKeptUntilItsConnectionEnds")
{
    // Guards against a second run that nothing but the list speaks for.
    begin("stream");
    receiveStreamBytes(send_, "id: 1\ndata: a\n\n");
    listRow("engine-4", "engines", 31);
    for (int step = 0; step < 20; ++step) {
        const GatewayOutbox outbox = tickAfter(Milliseconds(100));
        CHECK(outbox.sends_.empty());
        if (!outbox.checks_.empty()) {
            reportCheck("engine-3", {});
        }
    }
    const GatewayOutbox outbox = endSend(send_, TransportErrc::Lost);
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.instance_ == "engine-4");
    CHECK(outbox.sends_[0].parameters_.resumeAfter_ == 1);
}

TEST_CASE_FIXTURE(ReplacedEngineFixture, "Upstream_WhenAnotherInstanceAnswersForIt_IsNotReached")
{
    // Guards against streams that wait for an ended upstream because another process refuses what is meant for it.
    begin("read");
    const TimePoint reachedAt = upstream("engine-3").reachedAt_;
    AnswerHead head = makeHead(421);
    head.wrongInstance_ = true;
    now_ += Milliseconds(10);
    receiveAnswer(send_, head, "not here");
    CHECK(upstream("engine-3").reachedAt_ == reachedAt);
}

TEST_CASE_FIXTURE(ReplacedEngineFixture, "Upstream_WhenItAnswersAfterItWasReplaced_GetsCallsAgain")
{
    begin("stream");
    listRow("engine-4", "engines", 31);
    receiveStreamBytes(send_, "id: 1\ndata: a\n\n");
    listRow("engine-4", "engines", 32, true);
    CHECK(choose("read") == "engine-3");
}

TEST_CASE_FIXTURE(ReplacedEngineFixture, "AnswerWithoutLength_WhenItsUpstreamIsReplacedAtItsAddress_IsNotComplete")
{
    // Guards against an answer cut by a crash that is given out as complete, since another process lives there.
    begin("read");
    AnswerHead head = makeHead(200);
    head.endsWithConnection_ = true;
    CHECK(receiveAnswer(send_, head, "cut").answers_.empty());
    listRow("engine-4", "engines", 31);
    const GatewayOutbox outbox = reportCheck("engine-3", {});
    CHECK(outbox.answers_.empty());
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.instance_ == "engine-4");
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenItAnswersForTheInstanceListedAfterIt_GetsCallsAgain")
{
    // Guards against an upstream that a row of another writer takes out of use: the refusal shows that it listens
    // there.
    listRow("desk-3", "desk", 21);
    const GatewayOutbox sent = receiveCall("once", 1);
    REQUIRE(sent.sends_.size() == 1);
    REQUIRE(sent.sends_[0].parameters_.instance_ == "desk-3");
    AnswerHead misdirected = makeHead(421);
    misdirected.authentic_ = false;
    misdirected.wrongInstance_ = true;
    const GatewayOutbox outbox = receiveAnswer(sent.sends_[0].send_, misdirected, "");
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.instance_ == "desk-2");
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenItStaysListedLongAfterTheInstanceThatReplacedIt_GetsCalls")
{
    // Guards against an upstream that is never used again: an ended instance's row expires after three heartbeats.
    listRow("desk-3", "desk", 21);
    listRow("desk-3", "desk", 22, true);
    tickAfter(std::chrono::minutes(2));
    CHECK(choose() == "desk-2");
}

TEST_CASE_FIXTURE(ReplacementFixture, "Upstream_WhenTheInstanceItReplacedIsListedLater_KeepsItsConnections")
{
    REQUIRE(choose() == "desk-2");
    CHECK(listRow("desk-0", "desk", 5).replacedAddresses_.empty());
}

TEST_CASE_FIXTURE(
    ReplacementFixture, "Upstream_WhenAnInstanceOfUnknownRowVersionIsListedBeforeIt_IsReplacedByALaterOne")
{
    listRow("desk-2", "desk", 22, true);
    listRow("desk-old", "desk", 0);
    listRow("desk-5", "desk", 30);
    listRow("desk-6", "desk", 31);
    listRow("desk-old", "desk", 0, true);
    for (int call = 0; call < 4; ++call) {
        CHECK(choose() == "desk-6");
    }
}

TEST_CASE_FIXTURE(ReplacedEngineFixture, "Stream_WhenItsUpstreamIsHeardAfterItWasReplaced_StaysThere")
{
    // Guards against a second run beside the first: an upstream that pauses does not notice the close of its
    // connection.
    begin("stream");
    receiveStreamBytes(send_, "id: 1\ndata: a\n\n");
    const GatewayOutbox other = receiveCall("stream", 2);
    REQUIRE(other.sends_.at(0).parameters_.instance_ == "engine-3");
    listRow("engine-4", "engines", 31);
    tickAfter(Milliseconds(300));
    receiveStreamBytes(other.sends_[0].send_, "id: 1\ndata: b\n\n");
    uint64_t event = 1;
    for (int step = 0; step < 20; ++step) {
        const GatewayOutbox outbox = tickAfter(Milliseconds(100));
        CHECK(outbox.sends_.empty());
        if (!outbox.checks_.empty()) {
            reportCheck("engine-3", {});
        }
        ++event;
        receiveBytes(other.sends_[0].send_, "id: " + std::to_string(event) + "\ndata: b\n\n");
    }
}

TEST_CASE_FIXTURE(ReplacedEngineFixture, "AnswerWithoutLength_WhenAnotherServiceHasItsUpstreamsAddress_IsNotComplete")
{
    // Guards against an answer cut by a crash that is given out as complete, since another process lives there.
    begin("read");
    AnswerHead head = makeHead(200);
    head.endsWithConnection_ = true;
    CHECK(receiveAnswer(send_, head, "cut").answers_.empty());
    listRow("desk-9", "desk", 31);
    CHECK(reportCheck("engine-3", {}).answers_.empty());
}
