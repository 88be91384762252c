/**
 * @file flood_process_test.cpp
 * @brief Tiers and shares across two entries while one kind of work floods in.
 */
#include "process_fixture.h"
#include "replay_func.h"

#include <algorithm>
#include <vector>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr uint64_t floodCount = 240;
constexpr uint64_t smallCount = 24;

/// Two entries before two engines that together work on six requests at once.
FleetSpec makeFloodFleet()
{
    FleetSpec spec;
    spec.entries_ = 2;
    spec.upstreams_ = {
        { "runner-a", RouteKind::Model, "itinerary", "norte-a", 4, 8000, 200, 0 },
        { "runner-b", RouteKind::Model, "itinerary", "norte-a", 2, 8000, 100, 0 },
    };
    spec.changes_ = makeDeploymentChanges();
    return spec;
}

TraceRecord makeRecord(uint64_t id, const std::string &workspace, const std::string &tier, const std::string &group)
{
    TraceRecord record;
    record.id_ = id;
    record.arrival_ = Milliseconds(group == "flood" ? id * 4 : id * 40);
    record.workspace_ = workspace;
    record.token_ = "token-" + workspace;
    record.tier_ = tier;
    record.route_ = "itinerary";
    record.promptTokens_ = 60;
    record.answerTokens_ = 60;
    record.wait_ = std::chrono::seconds(6);
    record.group_ = group;
    return record;
}

/// A flood of one workspace in one tier, beside a few requests of another.
Trace makeFlood(const std::string &floodTier, const std::string &smallTier)
{
    Trace trace;
    for (uint64_t id = 0; id < floodCount; ++id) {
        trace.records_.push_back(makeRecord(id, "agency-a", floodTier, "flood"));
    }
    for (uint64_t id = 0; id < smallCount; ++id) {
        trace.records_.push_back(makeRecord(id, "counsellor-a", smallTier, "small"));
        trace.records_.back().id_ += 10000;
    }
    std::stable_sort(trace.records_.begin(), trace.records_.end(),
        [](const auto &left, const auto &right) { return left.arrival_ < right.arrival_; });
    return trace;
}

ReplaySummary replayThroughBoth(const Fleet &fleet, const Trace &trace)
{
    ReplaySettings settings;
    for (const std::string &entry : fleet.entries_) {
        settings.entries_.push_back(fleet.processes_.at(entry).address_);
    }
    return summarize(replayTrace(trace, settings));
}

} // namespace

TEST_CASE_FIXTURE(ProcessFixture, "Tiers_WhenTheLeastUrgentFloodThroughTwoEntries_KeepEveryMoreUrgentRequest")
{
    REQUIRE(startFleet(fleet_, makeFloodFleet()));
    const ReplaySummary summary = replayThroughBoth(fleet_, makeFlood("background", "urgent"));
    INFO(formatSummary(summary));
    CHECK(summary.violations_ == 0);
    CHECK(summary.byGroup_.at("small").good_ == smallCount);
    CHECK(summary.byGroup_.at("flood").refused_ > 0);
}

TEST_CASE_FIXTURE(ProcessFixture, "Shares_WhenALargeCallerFloodsItsTierThroughTwoEntries_KeepTheSmallOnesRequests")
{
    REQUIRE(startFleet(fleet_, makeFloodFleet()));
    const ReplaySummary summary = replayThroughBoth(fleet_, makeFlood("standard", "standard"));
    INFO(formatSummary(summary));
    CHECK(summary.violations_ == 0);
    CHECK(summary.byGroup_.at("small").good_ == smallCount);
    CHECK(summary.byGroup_.at("flood").refused_ > 0);
}
