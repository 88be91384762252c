/**
 * @file foreign_rows_process_test.cpp
 * @brief Tests of real gateway processes beside rows that other programs wrote into the list of upstreams.
 */
#include "gateway_base.h"
#include "gateway_process_fixture.h"
#include "heap_func.h"
#include "process_usage_func.h"

#include <cstdlib>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr Milliseconds startTime{ 10000 }; ///< Time within which a gateway has to be ready.

/// Rows that another program writes.
struct ForeignRows
{
    std::string name_;
    uint64_t count_ = 0;
    uint64_t bytes_ = 0; ///< Of each value.
    bool pagesBounded_ = true; ///< Whether the store returns them page by page.
};

const std::array<ForeignRows, 3> allForeignRows{ {
    { "large, in pages", 150, 60000, true },
    { "large, at once", 150, 60000, false },
    { "small, many", 30000, 200, true },
} };

/// Gateways with the memory of the smallest machine.
struct ForeignRowsFixture : ProcessFixture
{
    ForeignRowsFixture()
    {
        GatewayFleetSpec spec;
        const char *gateways = std::getenv("BURDOCKFIELD_FOREIGN_ROWS_GATEWAYS");
        spec.gateways_ = gateways == nullptr ? 2 : static_cast<uint32_t>(std::strtoul(gateways, nullptr, 10));
        spec.desks_ = 2;
        spec.settings_ = "memory: " + std::to_string(smallestMemory) + "\n";
        REQUIRE(startGatewayFleet(fleet_, spec));
    }

    void write(const ForeignRows &rows, const std::string &table = "servers")
    {
        controlStandin(
            fleet_, "platform", std::string(R"({"pages_bounded":)") + (rows.pagesBounded_ ? "true}" : "false}"));
        callNode(fleet_.processes_.at("platform").address_, "POST", "/control/fill",
            R"({"table":")" + table + R"(","prefix":"backup-","count":)" + std::to_string(rows.count_) + R"(,"bytes":)"
                + std::to_string(rows.bytes_) + "}",
            {}, Milliseconds(10000));
    }

    bool lists(const std::string &gateway, const std::string &upstream) const
    {
        return readStatusField(fleet_, gateway, "upstreams").find(upstream) != std::string::npos;
    }

    /// @return whether in time every gateway lists an upstream, or none does.
    bool followed(const std::string &upstream, bool listed, Milliseconds time) const
    {
        return waitUntil(
            [&] {
                return std::all_of(fleet_.entries_.begin(), fleet_.entries_.end(),
                    [&](const std::string &gateway) { return lists(gateway, upstream) == listed; });
            },
            time);
    }

    size_t peakMemory() const
    {
        size_t peak = 0;
        for (const std::string &gateway : fleet_.entries_) {
            peak = std::max(peak, readPeakMemory(fleet_.processes_.at(gateway).pid_));
        }
        return peak;
    }

    std::chrono::duration<double> processorTime() const
    {
        std::chrono::duration<double> sum{};
        for (const std::string &gateway : fleet_.entries_) {
            sum += readProcessorTime(fleet_.processes_.at(gateway).pid_);
        }
        return sum;
    }

    void startAgain()
    {
        for (const std::string &gateway : fleet_.entries_) {
            signalProcess(fleet_, gateway, SIGKILL);
        }
        for (const std::string &gateway : fleet_.entries_) {
            startProcess(fleet_, gateway);
        }
    }

    bool allReady() const
    {
        return std::all_of(fleet_.entries_.begin(), fleet_.entries_.end(),
            [this](const std::string &gateway) { return isGatewayReady(fleet_, gateway); });
    }

    const Milliseconds drainTime_ = Gateway::Bounds().drainDelay_; ///< Time within which a change has to be followed.
};

} // namespace

// Review case 13: the list was no longer followed once it had foreign rows of some megabytes.
TEST_CASE_FIXTURE(ForeignRowsFixture, "UpstreamList_WhenForeignRowsAreWritten_IsFollowed")
{
    for (const ForeignRows &rows : allForeignRows) {
        CAPTURE(rows.name_);
        write(rows);
        writeUpstreamRow(fleet_, "engines-1", "ready", 4, true);
        CHECK(followed("engines-1", false, drainTime_));
        writeUpstreamRow(fleet_, "engines-1", "ready", 4);
        CHECK(followed("engines-1", true, drainTime_));
    }
    MESSAGE("peak of resident memory: ", peakMemory() >> 10U, " KiB");
    CHECK(peakMemory() < smallestMemory);
}

// The links of the smallest machines take 10 s for these rows. No peer can tell of the change.
TEST_CASE_FIXTURE(ForeignRowsFixture, "UpstreamList_WhenForeignRowsFillASlowLink_FollowsAnUpstreamThatLeaves")
{
    signalProcess(fleet_, "gateway-2", SIGKILL);
    for (const bool bounded : { false, true }) {
        CAPTURE(bounded);
        controlStoreLink(fleet_, "gateway-1", "/thin");
        ForeignRows rows = allForeignRows[0];
        rows.pagesBounded_ = bounded;
        write(rows);
        std::this_thread::sleep_for(Milliseconds(500)); // by then they arrive
        writeUpstreamRow(fleet_, "engines-1", "draining", 4);
        const auto drains = [this] {
            return readStatusField(fleet_, "gateway-1", "upstreams").find(R"("draining":true)") != std::string::npos;
        };
        CHECK(waitUntil(drains, drainTime_));
        controlStoreLink(fleet_, "gateway-1", "/mend");
        writeUpstreamRow(fleet_, "engines-1", "ready", 4);
        CHECK(waitUntil([&] { return !drains(); }, startTime));
    }
}

// A restart of all gateways left none that served.
TEST_CASE_FIXTURE(ForeignRowsFixture, "Gateways_WhenStartedBesideForeignRows_AreReady")
{
    for (const ForeignRows &rows : allForeignRows) {
        CAPTURE(rows.name_);
        write(rows);
        startAgain();
        const TimePoint start = Clock::now();
        CHECK(waitUntil([this] { return allReady(); }, startTime));
        CHECK(followed("desk-1", true, drainTime_));
        MESSAGE(rows.name_, ": ", fleet_.entries_.size(), " gateways ready after ",
            std::chrono::duration<double>(Clock::now() - start).count(), " s, processor time ",
            processorTime().count() / static_cast<double>(fleet_.entries_.size()), " s each, peak of memory ",
            peakMemory() >> 10U, " KiB");
        CHECK(peakMemory() < smallestMemory);
    }
}

TEST_CASE_FIXTURE(ForeignRowsFixture, "Gateways_WhenEveryTableHasForeignRows_AreReadyAndFollowConfigurations")
{
    for (const char *table : { "op", "gateways", "crash-evidence", "status" }) {
        write(allForeignRows[0], table);
    }
    startAgain();
    CHECK(waitUntil([this] { return allReady(); }, startTime));
    writeConfiguration(fleet_, 2, { "key-2" });
    const auto serves = [this] {
        return std::all_of(fleet_.entries_.begin(), fleet_.entries_.end(), [this](const std::string &gateway) {
            return callGateway(fleet_, gateway, { "r-" + gateway, "/once/x", "body", "key-2", Milliseconds(4000), {} })
                       .status_
                == 200;
        });
    };
    CHECK(waitUntil(serves, Gateway::Bounds().configurationDelay_));
    CHECK(peakMemory() < smallestMemory);
}
