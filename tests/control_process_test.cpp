/**
 * @file control_process_test.cpp
 * @brief Configuration changes, drains and leaving upstreams, tested with real processes.
 */
#include "json_func.h"
#include "process_fixture.h"

#include <future>
#include <vector>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

FleetSpec makeTwoUpstreamFleet()
{
    FleetSpec spec;
    spec.entries_ = 2;
    spec.upstreams_ = {
        { "runner-a", RouteKind::Model, "itinerary", "norte-a", 4, 8000, 100, 0 },
        { "runner-b", RouteKind::Model, "itinerary", "norte-a", 4, 8000, 100, 0 },
    };
    spec.changes_ = makeDeploymentChanges();
    return spec;
}

uint64_t revisionAt(const Fleet &fleet, const std::string &node)
{
    const HttpReply reply = callNode(fleet.processes_.at(node).control_, "GET", "/v1/status");
    std::error_code error;
    const Json::value status = parseJson(reply.body_, error);
    return error || !status.is_object() ? 0 : status.at("revision").to_number<uint64_t>();
}

bool allNodesReached(const Fleet &fleet, uint64_t revision)
{
    bool reached = true;
    for (const auto &names : { fleet.entries_, fleet.agents_ }) {
        for (const std::string &name : names) {
            reached = reached && revisionAt(fleet, name) >= revision;
        }
    }
    return reached;
}

size_t countStartedRuns(const Fleet &fleet, const std::string &upstream)
{
    size_t count = 0;
    for (const LedgerLine &line : readLedgers(fleet)) {
        count += line.upstream_ == upstream && line.event_ == "started" ? 1 : 0;
    }
    return count;
}

/// Sends 8 requests in sequence, alternating between the entries. @return whether all were answered
bool sendRequests(const Fleet &fleet, const std::string &name)
{
    bool done = true;
    for (int index = 0; index < 8; ++index) {
        CallSpec spec;
        spec.prompt_ = name + std::to_string(index);
        done = call(fleet, "entry-" + std::to_string(1 + index % 2), spec).done_ && done;
    }
    return done;
}

} // namespace

TEST_CASE_FIXTURE(ProcessFixture, "Upstream_WhenTheVmListMarksItAsLeaving_GetsNoNewRuns")
{
    REQUIRE(startFleet(fleet_, makeTwoUpstreamFleet()));
    CallSpec running;
    running.prompt_ = "in progress";
    running.tokens_ = 300;
    auto answer = std::async(std::launch::async, [&] { return call(fleet_, "entry-1", running); });
    REQUIRE(waitUntil([&] { return !readLedgers(fleet_).empty(); }));
    const std::string leaving = readLedgers(fleet_).front().upstream_ == "runner-a-upstream" ? "runner-a" : "runner-b";
    publishVms(fleet_, { leaving });
    const std::string &agent = fleet_.processes_[leaving].address_;
    REQUIRE(waitUntil(
        [&] { return callNode(agent, "GET", "/v1/status").body_.find("\"leaving\":true") != std::string::npos; }));
    const size_t before = countStartedRuns(fleet_, leaving + "-upstream");
    CHECK(sendRequests(fleet_, "after "));
    CHECK(countStartedRuns(fleet_, leaving + "-upstream") == before);
    CHECK(answer.get().done_);
}

TEST_CASE_FIXTURE(ProcessFixture, "Upstream_WhenDrainedByAConfirmedPlan_GetsNoNewRunsUntilTheDrainEnds")
{
    REQUIRE(startFleet(fleet_, makeTwoUpstreamFleet()));
    REQUIRE(confirmChanges(fleet_, "entry-1", { SetDrain{ DrainKind::Upstream, "runner-a", true } }) == 200);
    REQUIRE(waitUntil([&] { return allNodesReached(fleet_, 2); }));
    const size_t before = countStartedRuns(fleet_, "runner-a-upstream");
    CHECK(sendRequests(fleet_, "drained "));
    CHECK(countStartedRuns(fleet_, "runner-a-upstream") == before);
    REQUIRE(confirmChanges(fleet_, "entry-2", { SetDrain{ DrainKind::Upstream, "runner-a", false } }) == 200);
    REQUIRE(confirmChanges(fleet_, "entry-2", { SetDrain{ DrainKind::Upstream, "runner-b", true } }) == 200);
    REQUIRE(waitUntil([&] { return allNodesReached(fleet_, 4); }));
    CHECK(sendRequests(fleet_, "undrained "));
    CHECK(countStartedRuns(fleet_, "runner-a-upstream") == before + 8);
}

TEST_CASE_FIXTURE(ProcessFixture, "Confirmations_WhenTwoStartFromOneRevision_OneSucceedsAndTheOtherIsRefused")
{
    REQUIRE(startFleet(fleet_, makeTwoUpstreamFleet()));
    for (uint64_t round = 0; round < 5; ++round) {
        const bool drain = round % 2 == 0;
        const auto confirm = [&](const std::string &entry, const std::string &upstream) {
            return confirmChanges(fleet_, entry, { SetDrain{ DrainKind::Upstream, upstream, drain } });
        };
        auto first = std::async(std::launch::async, confirm, "entry-1", "x");
        auto second = std::async(std::launch::async, confirm, "entry-2", "x");
        const int statuses[] = { first.get(), second.get() };
        const int confirmed = (statuses[0] == 200 ? 1 : 0) + (statuses[1] == 200 ? 1 : 0);
        const bool conflicted = statuses[0] == 409 || statuses[1] == 409;
        const bool rejected = statuses[0] == 422 || statuses[1] == 422;
        CHECK(confirmed == 1);
        CHECK((conflicted || rejected));
        REQUIRE(waitUntil([&] { return allNodesReached(fleet_, 2 + round); }));
        CHECK(revisionAt(fleet_, "entry-1") == 2 + round);
    }
}

TEST_CASE_FIXTURE(ProcessFixture, "Configuration_WhenTheStoresReplyToAConfirmationIsLost_IsAppliedOnce")
{
    REQUIRE(startFleet(fleet_, makeTwoUpstreamFleet()));
    controlStandin(fleet_, "platform", R"({"mode":"lose-answers"})");
    CHECK(confirmChanges(fleet_, "entry-1", { SetDrain{ DrainKind::Upstream, "y", true } }) == 200);
    CHECK(waitUntil([&] { return allNodesReached(fleet_, 2); }));
    CHECK(revisionAt(fleet_, "entry-1") == 2);
}

TEST_CASE_FIXTURE(
    ProcessFixture, "Configuration_WhenTheStoreGoesDownAfterAConfirmation_IsFetchedFromPeersAlsoAfterARestart")
{
    REQUIRE(startFleet(fleet_, makeTwoUpstreamFleet()));
    REQUIRE(confirmChanges(fleet_, "entry-1", { SetDrain{ DrainKind::Upstream, "z", true } }) == 200);
    controlStandin(fleet_, "platform", R"({"mode":"down"})");
    CHECK(waitUntil([&] { return allNodesReached(fleet_, 2); }));
    signalProcess(fleet_, "entry-2", SIGKILL);
    startProcess(fleet_, "entry-2");
    const std::string &control = fleet_.processes_["entry-2"].control_;
    CHECK(waitUntil([&] { return callNode(control, "GET", "/readyz").status_ == 200; }));
    CHECK(revisionAt(fleet_, "entry-2") == 2);
    const int refused = confirmChanges(fleet_, "entry-1", { SetDrain{ DrainKind::Upstream, "w", true } });
    CHECK(refused == 503);
    CHECK(revisionAt(fleet_, "entry-1") == 2);
}

TEST_CASE_FIXTURE(ProcessFixture, "Entry_WhenItHasNoSourceOfConfiguration_IsNotReadyAndRefusesNotRun")
{
    FleetSpec spec = makeTwoUpstreamFleet();
    spec.entries_ = 1;
    REQUIRE(startFleet(fleet_, spec));
    controlStandin(fleet_, "platform", R"({"mode":"down"})");
    signalProcess(fleet_, "entry-1", SIGKILL);
    startProcess(fleet_, "entry-1");
    const std::string &control = fleet_.processes_["entry-1"].control_;
    REQUIRE(waitUntil([&] { return callNode(control, "GET", "/healthz").status_ == 200; }));
    CHECK(callNode(control, "GET", "/readyz").status_ == 503);
    CHECK(call(fleet_, "entry-1", CallSpec{}).outcome_ == "not_run");
    controlStandin(fleet_, "platform", R"({"mode":"up"})");
    CHECK(waitUntil([&] { return callNode(control, "GET", "/readyz").status_ == 200; }));
}
