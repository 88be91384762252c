/**
 * @file endless_peer_test.cpp
 * @brief Tests of gateways whose peers or store name things without end, with the memory of the smallest machine.
 */
#include "gateway_fixture.h"

#include "base64_func.h"
#include "compression_func.h"
#include "gateway_peer_wire.h"
#include "heap_func.h"
#include "json_func.h"
#include "large_configuration_func.h"
#include "store_wire.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway that receives datagrams of peers.
struct EndlessPeerTableFixture : GatewayFixture
{
    PeerUpdate makeUpdate(const std::string &address = "10.0.0.2:7000")
    {
        PeerUpdate update;
        update.address_ = address;
        update.name_ = "gateway-2";
        update.region_ = "region-1";
        update.incarnation_ = 5;
        update.sequence_ = ++sequence_;
        return update;
    }

    void receive(PeerUpdate update)
    {
        GatewayInbox inbox;
        inbox.peerUpdates_.push_back(std::move(update));
        now_ += Milliseconds(1);
        tick(std::move(inbox));
    }

    static std::string makeAddress(size_t number)
    {
        return "10." + std::to_string(1 + number / 65536 % 250) + "." + std::to_string(number / 256 % 256) + "."
            + std::to_string(number % 256) + ":7000";
    }

    static std::string longName(size_t number)
    {
        return std::to_string(number) + std::string(20, 'x');
    }

    static constexpr size_t datagrams = 120; ///< Received within less than peers are kept.
    static constexpr size_t namesPerDatagram = 3500; ///< As many as a datagram of 60 KiB holds.
    uint64_t sequence_ = 0; ///< Of the last update.
};

std::string makeNumbers(size_t bytes)
{
    std::string text = "0";
    while (text.size() < bytes) {
        text += ",0";
    }
    return text;
}

} // namespace

TEST_CASE("Snapshot_WhenItsConfigurationUnpacksWithoutEnd_IsRefused")
{
    const std::string packed = compress(std::string(30U << 20U, 'a'));
    Snapshot snapshot;
    const std::error_code error
        = parseSnapshot(R"({"configuration_deflated":")" + encodeBase64(packed) + "\"}", snapshot);
    CHECK(error == make_error_code(WireErrc::OutOfRange));
    CHECK(snapshot.configurationText_.capacity() <= heldBound / 4);
}

TEST_CASE("Snapshot_WhenItsConfigurationIsTheLargest_IsDecoded")
{
    Snapshot sent;
    sent.configurationText_ = makeLargeConfiguration();
    Snapshot received;
    CHECK_FALSE(parseSnapshot(serializeSnapshot(sent), received));
    CHECK(received.configurationText_ == sent.configurationText_);
    Configuration configuration;
    CHECK_FALSE(Platform::parseConfiguration(received.configurationText_, configuration));
    CHECK(configuration.routes_.size() == largeConfigurationRoutes);
}

// The values take 16 bytes each, and their text two.
TEST_CASE("Json_WhenItsValuesTakeFarMoreMemoryThanItsText_IsRefused")
{
    for (const char *value : { "0", "[]", "[0]", "{}", R"({"":0})" }) {
        CAPTURE(value);
        std::string text = std::string(R"({"ver":1,"rows":[)") + value;
        while (text.size() < 2U << 20U) {
            text += std::string(",") + value;
        }
        Platform::TableRead read;
        CHECK(Platform::parseTableRead(text + "]}", read) == make_error_code(WireErrc::OutOfRange));
    }
}

TEST_CASE("Json_WhenItIsShort_IsParsedWhateverItsValuesTake")
{
    std::error_code error;
    const Json::value value = parseJson("[" + makeNumbers(4000) + "]", error);
    CHECK_FALSE(error);
    CHECK(value.is_array());
}
