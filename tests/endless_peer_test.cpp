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
#include "row_decoder.h"
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

TEST_CASE_FIXTURE(EndlessPeerTableFixture, "Peers_WhenAPeerNamesAddressesWithoutEnd_StayWithinTheMemory")
{
    const size_t before = heapBytes();
    for (size_t datagram = 0; datagram < datagrams; ++datagram) {
        PeerUpdate update = makeUpdate();
        for (size_t name = 0; name < namesPerDatagram; ++name) {
            update.peers_.push_back(makeAddress(datagram * namesPerDatagram + name));
        }
        receive(std::move(update));
    }
    CHECK(heapGrowth(before) <= heldBound);
    CHECK(state_.peerByAddress_.contains("10.0.0.2:7000"));
    receive(makeUpdate("10.0.0.3:7000"));
    REQUIRE(state_.peerByAddress_.contains("10.0.0.3:7000"));
    CHECK(findRow(state_.peers_, state_.peerByAddress_.at("10.0.0.3:7000"))->name_ == "gateway-2");
}

TEST_CASE_FIXTURE(EndlessPeerTableFixture, "Peers_WhenAnAddressIsNone_AreNotAdded")
{
    PeerUpdate update = makeUpdate();
    update.peers_ = { "no address", "10.0.0.4", "10.0.0.4:7000" };
    receive(std::move(update));
    CHECK(state_.peers_.size_ == 2);
    CHECK(state_.peerByAddress_.contains("10.0.0.4:7000"));
}

TEST_CASE_FIXTURE(EndlessPeerTableFixture, "Peers_WhenAPeerNamesWorkspacesWithoutEnd_StayWithinTheMemory")
{
    const size_t before = heapBytes();
    for (size_t datagram = 0; datagram < 4 * datagrams; ++datagram) {
        PeerUpdate update = makeUpdate();
        for (size_t name = 0; name < namesPerDatagram / 2; ++name) {
            update.chargedUnits_[longName(datagram * namesPerDatagram + name)] = 1;
        }
        receive(std::move(update));
    }
    CHECK(heapGrowth(before) <= heldBound);
    PeerUpdate update = makeUpdate();
    update.chargedUnits_["workspace-1"] = 700;
    const double level = state_.quotaByWorkspace_["workspace-1"].level_;
    receive(std::move(update));
    CHECK(state_.quotaByWorkspace_["workspace-1"].peerChargedUnits_ >= 0);
    CHECK(findRow(state_.peers_, state_.peerByAddress_.at("10.0.0.2:7000"))->chargedUnits_.contains("workspace-1"));
    CHECK(level >= 0);
}

TEST_CASE_FIXTURE(EndlessPeerTableFixture, "Peers_WhenManyPeersNameUpstreamsWithoutEnd_StayWithinTheMemory")
{
    const size_t before = heapBytes();
    for (size_t peer = 0; peer < datagrams; ++peer) {
        PeerUpdate update = makeUpdate(makeAddress(peer));
        update.hasCounts_ = true;
        for (size_t name = 0; name < namesPerDatagram; ++name) {
            update.inFlight_[longName(name)] = 1;
            update.memoryTokens_[longName(name)] = 1;
        }
        receive(std::move(update));
    }
    CHECK(heapGrowth(before) <= heldBound);
    PeerUpdate update = makeUpdate();
    update.hasCounts_ = true;
    update.inFlight_["engine-1"] = 2;
    receive(std::move(update));
    CHECK(findUpstream(state_, "engine-1")->peerInFlight_ == 2);
}

TEST_CASE_FIXTURE(EndlessPeerTableFixture, "Rollouts_WhenAPeerNamesServicesWithoutEnd_StayWithinTheMemory")
{
    const size_t before = heapBytes();
    for (size_t datagram = 0; datagram < 4 * datagrams; ++datagram) {
        PeerUpdate update = makeUpdate();
        for (size_t name = 0; name < 500; ++name) {
            PeerRollout rollout;
            rollout.order_.service_ = longName(datagram * 500 + name);
            rollout.order_.version_ = "v2";
            rollout.order_.rowVersion_ = { 0, 1 };
            update.rollouts_.push_back(rollout);
        }
        receive(std::move(update));
    }
    CHECK(heapGrowth(before) <= heldBound);
}

TEST_CASE_FIXTURE(EndlessPeerTableFixture, "Upstreams_WhenTheStoreListsThemWithoutEnd_StayWithinTheMemory")
{
    const size_t before = heapBytes();
    for (size_t reply = 0; reply < datagrams; ++reply) {
        UpstreamsReceived event;
        event.version_ = { 0, 11 + reply };
        for (size_t row = 0; row < 1000; ++row) {
            event.rows_.push_back(makeRow(longName(reply * 1000 + row), "engines"));
        }
        GatewayInbox inbox;
        inbox.upstreams_.push_back(std::move(event));
        tick(std::move(inbox));
    }
    CHECK(heapGrowth(before) <= heldBound);
    CHECK(findUpstream(state_, "engine-1") != nullptr);
}

TEST_CASE_FIXTURE(EndlessPeerTableFixture, "Upstreams_WhenTheStoreReplacesThemWithoutEnd_StayWithinTheMemory")
{
    const size_t before = heapBytes();
    for (size_t reply = 0; reply < 4 * datagrams; ++reply) {
        UpstreamsReceived event;
        event.version_ = { 0, 11 + reply };
        event.fullList_ = true;
        event.rows_ = { makeRow("engine-1", "engines") };
        for (size_t row = 0; row < 1000; ++row) {
            event.rows_.push_back(makeRow(longName(reply * 1000 + row), "engines"));
        }
        GatewayInbox inbox;
        inbox.upstreams_.push_back(std::move(event));
        tick(std::move(inbox));
    }
    CHECK(heapGrowth(before) <= heldBound);
    CHECK(findUpstream(state_, "engine-1") != nullptr);
}

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
        text += "]}";
        std::error_code error;
        parseJson(text, error);
        CHECK(error == make_error_code(WireErrc::OutOfRange));
    }
}

// Rows of the store are decoded without values that are not used, whatever their number.
TEST_CASE("TableRead_WhenItsValuesTakeFarMoreMemoryThanItsText_IsDecodedInLittle")
{
    constexpr size_t partBytes = 16U << 10U;
    for (const std::string_view value : { "0", "[]", "[0]", "{}", R"({"":0})", R"({"value":"QUJD","note":[[],{}]})" }) {
        CAPTURE(value);
        Platform::RowDecoder decoder(0, {}, [](const Platform::TableRow & /*row*/) { return std::error_code(); });
        std::string part = R"({"ver":1,"rows":[0)";
        const size_t before = heapBytes();
        for (size_t decoded = 0; decoded < 2U << 20U; decoded += partBytes) {
            while (part.size() < partBytes) {
                part.append(",").append(value);
            }
            REQUIRE_FALSE(Platform::decodeBytes(decoder, part));
            part.clear();
        }
        CHECK(heapGrowth(before) <= 2 * partBytes);
        REQUIRE_FALSE(Platform::decodeBytes(decoder, "]}"));
        Platform::TableRead read;
        CHECK_FALSE(Platform::finishDecoding(decoder, read));
        CHECK(read.malformedRows_ >= (1U << 20U) / (value.size() + 1));
    }
}

TEST_CASE("Json_WhenItIsShort_IsParsedWhateverItsValuesTake")
{
    std::error_code error;
    const Json::value value = parseJson("[" + makeNumbers(4000) + "]", error);
    CHECK_FALSE(error);
    CHECK(value.is_array());
}
