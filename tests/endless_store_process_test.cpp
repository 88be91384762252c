/**
 * @file endless_store_process_test.cpp
 * @brief Tests of a real gateway process whose store replies without end, with the memory of the smallest machine.
 */
#include "gateway_process_fixture.h"
#include "heap_func.h"
#include "process_usage_func.h"

#include <thread>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr size_t descriptorBound = 100; ///< A gateway with two engines and a desk has some 30 open.
constexpr Milliseconds floodTime{ 4000 }; ///< Time for which the store replies without end.

/// A gateway with the memory of the smallest machine.
struct EndlessStoreProcessFixture : ProcessFixture
{
    EndlessStoreProcessFixture()
    {
        GatewayFleetSpec spec;
        spec.gateways_ = 1;
        spec.settings_ = "memory: " + std::to_string(smallestMemory) + "\n";
        REQUIRE(startGatewayFleet(fleet_, spec));
    }

    pid_t gatewayProcess() const
    {
        return fleet_.processes_.at("gateway-1").pid_;
    }

    int call(const std::string &id, const std::string &key = "key-1")
    {
        const GatewayCall ordinary{ id, "/once/x", "body", key, Milliseconds(4000), {} };
        return callGateway(fleet_, "gateway-1", ordinary).status_;
    }

    /// Lets the store reply without end for a time, and checks what has to hold then and after it.
    void checkFlood(const std::string &mode)
    {
        controlStandin(fleet_, "platform", R"({"mode":")" + mode + "\"}");
        std::this_thread::sleep_for(floodTime);
        const int during = call("during");
        const size_t peak = readPeakMemory(gatewayProcess());
        const size_t descriptors = countDescriptors(gatewayProcess());
        MESSAGE("peak of resident memory: ", peak >> 10U, " KiB, descriptors: ", descriptors);
        CHECK(during == 200);
        CHECK(peak > 0);
        CHECK(peak < smallestMemory);
        CHECK(descriptors <= descriptorBound);
        controlStandin(fleet_, "platform", R"({"mode":"up"})");
        writeConfiguration(fleet_, 2, { "key-2" });
        CHECK(waitUntil([this] { return call("after", "key-2") == 200; }, Milliseconds(8000)));
    }
};

} // namespace

TEST_CASE_FIXTURE(EndlessStoreProcessFixture, "Gateway_WhenTheStoresPagesNeverEnd_StaysWithinItsMemory")
{
    checkFlood("endless-pages");
}

TEST_CASE_FIXTURE(
    EndlessStoreProcessFixture, "Gateway_WhenTheStoresValuesTakeFarMoreThanTheirText_StaysWithinItsMemory")
{
    checkFlood("endless-values");
}

TEST_CASE_FIXTURE(EndlessStoreProcessFixture, "Gateway_WhenAConfigurationHas2500RoutesMore_AppliesItWithinItsMemory")
{
    writeConfiguration(fleet_, 2, { "key-2" }, {}, 2500);
    CHECK(waitUntil([this] { return call("large", "key-2") == 200; }, Milliseconds(8000)));
    const size_t peak = readPeakMemory(gatewayProcess());
    MESSAGE("peak of resident memory: ", peak >> 10U, " KiB");
    CHECK(peak < smallestMemory);
}
