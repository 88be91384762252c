/**
 * @file promise_process_test.cpp
 * @brief Promises held by real processes under kills, freezes, cuts, silence and store trouble.
 */
#include "copying_agent.h"
#include "json_func.h"
#include "process_fixture.h"

#include <future>
#include <vector>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr const char *bookingAgent = "registration";
constexpr const char *bookingUpstream = "registration-upstream";

/// Two entries before one slow plain service and one engine.
FleetSpec makeBookingFleet(int serviceMs)
{
    FleetSpec spec;
    spec.entries_ = 2;
    spec.upstreams_ = {
        { bookingAgent, RouteKind::Service, "booking", "norte-a", 8, 0, 0, serviceMs },
        { "runner", RouteKind::Model, "itinerary", "norte-a", 4, 8000, 50, 0 },
    };
    spec.changes_ = makeDeploymentChanges();
    return spec;
}

/// Two like engines, and entries that reach the agents through links.
FleetSpec makeLinkedFleet()
{
    FleetSpec spec;
    spec.linked_ = true;
    spec.upstreams_ = {
        { "runner-a", RouteKind::Model, "itinerary", "norte-a", 4, 8000, 50, 0 },
        { "runner-b", RouteKind::Model, "itinerary", "norte-a", 4, 8000, 50, 0 },
    };
    spec.changes_ = makeDeploymentChanges();
    return spec;
}

CallSpec makeBooking(const std::string &body, const std::string &key, int waitSeconds = 8)
{
    CallSpec spec;
    spec.route_ = "booking";
    spec.prompt_ = body;
    spec.key_ = key;
    spec.waitSeconds_ = waitSeconds;
    return spec;
}

std::future<CallResult> callLater(const Fleet &fleet, const std::string &entry, const CallSpec &spec)
{
    return std::async(std::launch::async, [&fleet, entry, spec] { return call(fleet, entry, spec); });
}

bool hasStarted(const Fleet &fleet, const CallSpec &spec)
{
    return countEvents(readLedgers(fleet), "started", ledgerHash(spec)) > 0;
}

size_t starts(const Fleet &fleet, const CallSpec &spec)
{
    return countEvents(readLedgers(fleet), "started", ledgerHash(spec));
}

} // namespace

TEST_CASE_FIXTURE(ProcessFixture, "KeyedBooking_WhenItsEntryIsKilled_IsFoundByAResendThroughAnotherEntry")
{
    REQUIRE(startFleet(fleet_, makeBookingFleet(1500)));
    const CallSpec booking = makeBooking("seats for 40", "bus-40");
    auto first = callLater(fleet_, "entry-1", booking);
    REQUIRE(waitUntil([&] { return hasStarted(fleet_, booking); }));
    signalProcess(fleet_, "entry-1", SIGKILL);
    CHECK(first.get().status_ == 0);
    const CallResult resent = call(fleet_, "entry-2", booking);
    CHECK(resent.status_ == 201);
    CHECK(resent.text_.find("\"ticket\":1,") != std::string::npos);
    CHECK(starts(fleet_, booking) == 1);
}

TEST_CASE_FIXTURE(ProcessFixture, "KeyedBooking_WhenItsAgentIsKilled_EndsUnknownAndIsNeverRunAgain")
{
    REQUIRE(startFleet(fleet_, makeBookingFleet(1500)));
    const CallSpec booking = makeBooking("seats for 41", "bus-41", 4);
    auto first = callLater(fleet_, "entry-1", booking);
    REQUIRE(waitUntil([&] { return hasStarted(fleet_, booking); }));
    signalProcess(fleet_, bookingAgent, SIGKILL);
    startProcess(fleet_, bookingAgent);
    const CallResult result = first.get();
    CHECK(result.status_ >= 500);
    CHECK(result.outcome_ == "unknown");
    for (const char *entry : { "entry-1", "entry-2" }) {
        const CallResult resent = call(fleet_, entry, booking);
        CHECK(resent.status_ >= 500);
        CHECK(resent.outcome_ == "unknown");
    }
    CHECK(starts(fleet_, booking) == 1);
    CHECK(call(fleet_, "entry-1", makeBooking("seats for 42", "bus-42")).status_ == 201);
}

TEST_CASE_FIXTURE(ProcessFixture, "UnkeyedBooking_WhenItsAgentIsKilled_EndsUnknownAndIsNotRepeated")
{
    REQUIRE(startFleet(fleet_, makeBookingFleet(1500)));
    const CallSpec booking = makeBooking("seats for 43", "", 4);
    auto first = callLater(fleet_, "entry-1", booking);
    REQUIRE(waitUntil([&] { return hasStarted(fleet_, booking); }));
    signalProcess(fleet_, bookingAgent, SIGKILL);
    startProcess(fleet_, bookingAgent);
    CHECK(first.get().outcome_ == "unknown");
    CHECK(starts(fleet_, booking) == 1);
}

TEST_CASE_FIXTURE(ProcessFixture, "UnkeyedBooking_WhenItsAgentRestartsBeforeTheLossOfItsOrderIsNoticed_IsNotRunAgain")
{
    FleetSpec spec = makeBookingFleet(100);
    spec.entries_ = 1;
    spec.linked_ = true;
    REQUIRE(startFleet(fleet_, spec));
    std::vector<std::future<CallResult>> earlier; // leave connections to the agent
    for (int number = 0; number < 4; ++number) {
        earlier.push_back(callLater(fleet_, "entry-1", makeBooking("earlier " + std::to_string(number), "")));
    }
    for (auto &result : earlier) {
        REQUIRE(result.get().status_ == 201);
    }
    controlLink(fleet_, bookingAgent, "/deafen");
    const CallSpec booking = makeBooking("seats for 47", "", 4);
    auto result = callLater(fleet_, "entry-1", booking);
    REQUIRE(waitUntil([&] { return hasStarted(fleet_, booking); }));
    signalProcess(fleet_, bookingAgent, SIGKILL);
    startProcess(fleet_, bookingAgent);
    const std::string &address = fleet_.processes_.at(bookingAgent).address_;
    REQUIRE(waitUntil([&] { return callNode(address, "GET", "/healthz").status_ == 200; }));
    controlLink(fleet_, bookingAgent, "/reset");
    CHECK(result.get().outcome_ == "unknown");
    CHECK(starts(fleet_, booking) == 1);
}

TEST_CASE_FIXTURE(ProcessFixture, "UnkeyedBooking_WhenTheRefusalOfItsFirstOrderIsCopied_RunsOnce")
{
    FleetSpec spec = makeBookingFleet(300);
    spec.entries_ = 1;
    spec.linked_ = true;
    REQUIRE(startFleet(fleet_, spec));
    const std::string link = std::string(bookingAgent) + "-link";
    signalProcess(fleet_, link, SIGKILL);
    CopyingAgent agent(fleet_.processes_.at(link).address_, fleet_.processes_.at(bookingAgent).address_);
    const CallSpec booking = makeBooking("seats for 48", "");
    CHECK(call(fleet_, "entry-1", booking).status_ == 201);
    CHECK(agent.copies_ == 1);
    CHECK(starts(fleet_, booking) == 1);
    const std::string metrics = callNode(fleet_.processes_.at("entry-1").control_, "GET", "/metrics").body_;
    CHECK(metrics.find("extra_replies{kind=\"before-answer\"} 1\n") != std::string::npos);
}

TEST_CASE_FIXTURE(ProcessFixture, "Key_WhenUsedAgain_GivesTheKeptAnswerAndRefusesAnotherPayload")
{
    REQUIRE(startFleet(fleet_, makeBookingFleet(20)));
    const CallSpec booking = makeBooking("seats for 44", "bus-44");
    const CallResult first = call(fleet_, "entry-1", booking);
    const CallResult second = call(fleet_, "entry-2", booking);
    CHECK(first.status_ == 201);
    CHECK(second.text_ == first.text_);
    const CallResult other = call(fleet_, "entry-2", makeBooking("seats for 45", "bus-44"));
    CHECK(other.status_ == 422);
    CHECK(other.title_ == "key-reused");
    CHECK(other.outcome_ == "not_run");
    CHECK(readLedgers(fleet_).size() == 2);
}

TEST_CASE_FIXTURE(ProcessFixture, "Key_WhenSentTwiceAtOnceThroughTwoEntries_RunsOnce")
{
    REQUIRE(startFleet(fleet_, makeBookingFleet(300)));
    for (int round = 0; round < 5; ++round) {
        const std::string name = "race-" + std::to_string(round);
        const CallSpec booking = makeBooking(name, name);
        auto first = callLater(fleet_, "entry-1", booking);
        auto second = callLater(fleet_, "entry-2", booking);
        const CallResult left = first.get();
        const CallResult right = second.get();
        CHECK(left.status_ == 201);
        CHECK(left.text_ == right.text_);
        CHECK(starts(fleet_, booking) == 1);
    }
}

TEST_CASE_FIXTURE(ProcessFixture, "Store_WhenDown_RefusesKeyedRequestsTruthfullyAndLetsOthersThrough")
{
    REQUIRE(startFleet(fleet_, makeBookingFleet(20)));
    controlStandin(fleet_, "platform", R"({"mode":"down"})");
    const CallSpec keyed = makeBooking("seats for 46", "bus-46", 2);
    const CallResult refused = call(fleet_, "entry-1", keyed);
    CHECK(refused.status_ >= 500);
    CHECK(refused.outcome_ == "not_run");
    CHECK(starts(fleet_, keyed) == 0);
    CHECK(call(fleet_, "entry-1", makeBooking("seats for 47", "")).status_ == 201);
    CHECK(call(fleet_, "entry-1", CallSpec{}).done_);
    controlStandin(fleet_, "platform", R"({"mode":"up"})");
    CHECK(call(fleet_, "entry-2", keyed).status_ == 201);
    CHECK(starts(fleet_, keyed) == 1);
}

TEST_CASE_FIXTURE(ProcessFixture, "Store_WhenItLosesAnswersOfWrites_StillLetsAKeyedRequestRunOnce")
{
    REQUIRE(startFleet(fleet_, makeBookingFleet(20)));
    controlStandin(fleet_, "platform", R"({"mode":"lose-answers"})");
    const CallSpec booking = makeBooking("seats for 48", "bus-48");
    const CallResult first = call(fleet_, "entry-1", booking);
    CHECK(first.status_ == 201);
    CHECK(call(fleet_, "entry-2", booking).text_ == first.text_);
    CHECK(starts(fleet_, booking) == 1);
}

TEST_CASE_FIXTURE(ProcessFixture, "Answer_WhenItsConnectionGoesSilent_IsReadOnOverANewOne")
{
    REQUIRE(startFleet(fleet_, makeLinkedFleet()));
    CallSpec spec;
    spec.tokens_ = 100;
    spec.streamed_ = true;
    spec.waitSeconds_ = 15;
    auto answer = callLater(fleet_, "entry-1", spec);
    REQUIRE(waitUntil([&] { return hasStarted(fleet_, spec); }));
    controlLink(fleet_, "runner-a", "/silence");
    controlLink(fleet_, "runner-b", "/silence");
    const CallResult result = answer.get();
    CHECK(result.done_);
    CHECK(result.text_ == expectedAnswer(spec));
    CHECK(starts(fleet_, spec) == 1);
}

TEST_CASE_FIXTURE(ProcessFixture, "Answer_WhenItsAgentIsCutOff_IsResumedElsewhereWithoutALostOrDoubledPiece")
{
    REQUIRE(startFleet(fleet_, makeLinkedFleet()));
    CallSpec spec;
    spec.tokens_ = 120;
    spec.streamed_ = true;
    spec.waitSeconds_ = 20;
    auto answer = callLater(fleet_, "entry-1", spec);
    REQUIRE(waitUntil([&] { return hasStarted(fleet_, spec); }));
    const std::vector<LedgerLine> ledger = readLedgers(fleet_);
    const bool onA = ledger.front().upstream_ == "runner-a-upstream";
    controlLink(fleet_, onA ? "runner-a" : "runner-b", "/cut");
    const CallResult result = answer.get();
    CHECK(result.done_);
    CHECK(result.text_ == expectedAnswer(spec));
}

TEST_CASE_FIXTURE(ProcessFixture, "Answer_WhenItsAgentIsFrozen_IsResumedElsewhereAndTheLateOneIsDropped")
{
    REQUIRE(startFleet(fleet_, makeLinkedFleet()));
    CallSpec spec;
    spec.tokens_ = 150;
    spec.streamed_ = true;
    spec.waitSeconds_ = 25;
    auto answer = callLater(fleet_, "entry-1", spec);
    REQUIRE(waitUntil([&] { return hasStarted(fleet_, spec); }));
    const std::string agent = readLedgers(fleet_).front().upstream_ == "runner-a-upstream" ? "runner-a" : "runner-b";
    signalProcess(fleet_, agent, SIGSTOP);
    CHECK(waitUntil([&] { return starts(fleet_, spec) == 2; }));
    signalProcess(fleet_, agent, SIGCONT);
    const CallResult result = answer.get();
    CHECK(result.done_);
    CHECK(result.text_ == expectedAnswer(spec));
}

TEST_CASE_FIXTURE(ProcessFixture, "CrashingRequest_WhenSentAgain_IsRefusedTruthfullyWhileItsNeighboursAreAnswered")
{
    FleetSpec spec = makeLinkedFleet();
    spec.entries_ = 2;
    REQUIRE(startFleet(fleet_, spec));
    std::vector<std::future<CallResult>> neighbours;
    for (int index = 0; index < 4; ++index) {
        CallSpec neighbour;
        neighbour.prompt_ = "neighbour " + std::to_string(index);
        neighbour.tokens_ = 100;
        neighbour.waitSeconds_ = 25;
        neighbours.push_back(callLater(fleet_, "entry-1", neighbour));
    }
    REQUIRE(waitUntil([&] { return readLedgers(fleet_).size() >= 4; }));
    CallSpec crashing;
    crashing.prompt_ = "draw me a <crash>";
    crashing.waitSeconds_ = 20;
    const CallResult first = call(fleet_, "entry-1", crashing);
    CHECK(first.status_ >= 400);
    CHECK(first.outcome_ != "not_run");
    CHECK(waitUntil([&] { return call(fleet_, "entry-2", crashing).title_ == "crash-suspect"; }));
    const size_t crashes = starts(fleet_, crashing);
    CHECK(crashes <= 4);
    CHECK(call(fleet_, "entry-1", crashing).title_ == "crash-suspect");
    CHECK(call(fleet_, "entry-2", crashing).title_ == "crash-suspect");
    CHECK(starts(fleet_, crashing) == crashes);
    for (auto &neighbour : neighbours) {
        CHECK(neighbour.get().done_);
    }
}
