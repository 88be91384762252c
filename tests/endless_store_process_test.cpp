/**
 * @file endless_store_process_test.cpp
 * @brief Tests of a real gateway process whose store replies without end, with the memory of the smallest machine.
 */
#include "gateway_process_fixture.h"
#include "heap_func.h"

#include <filesystem>
#include <fstream>
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

    /// @return the peak of the gateway's resident memory in bytes, or 0 if the process has ended.
    size_t peakMemory() const
    {
        std::ifstream file("/proc/" + std::to_string(fleet_.processes_.at("gateway-1").pid_) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(line.find_first_of("0123456789"))) << 10U;
            }
        }
        return 0;
    }

    size_t openDescriptors() const
    {
        const std::string folder = "/proc/" + std::to_string(fleet_.processes_.at("gateway-1").pid_) + "/fd";
        std::error_code error;
        const std::filesystem::directory_iterator items(folder, error);
        return static_cast<size_t>(std::distance(begin(items), end(items)));
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
        const size_t peak = peakMemory();
        const size_t descriptors = openDescriptors();
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
    const size_t peak = peakMemory();
    MESSAGE("peak of resident memory: ", peak >> 10U, " KiB");
    CHECK(peak < smallestMemory);
}
