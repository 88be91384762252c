/**
 * @file gateway_memory_test.cpp
 * @brief Tests of the memory of engines as a capacity beside their slots.
 */
#include "gateway_fixture.h"

#include "gateway_placement_func.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway before two engines with four slots and memory for 10,000 tokens each.
struct EngineMemoryFixture : GatewayFixture
{
    static constexpr uint64_t capacity = 10000;
    static constexpr const char *peer = "10.0.0.2:7000";

    EngineMemoryFixture()
    {
        state_.configuration_.services_[0].kvCapacityTokens_ = capacity;
        state_.configuration_.workspaces_[0].ratePerSecond_ = 0;
    }

    GatewayOutbox place(uint64_t tokens)
    {
        CallArrived arrival = makeCall("read", ++exchange_);
        arrival.request_.tokens_ = tokens;
        return receiveCall(arrival);
    }

    /// Lets this gateway, as the broker, get a request for a slot from a peer. @return the commands of the tick
    GatewayOutbox requestSlot(uint64_t number, uint64_t tokens)
    {
        SlotRequest request;
        request.number_ = number;
        request.service_ = "engines";
        request.zone_ = "zone-1";
        request.memoryTokens_ = tokens;
        request.wait_ = Milliseconds(200);
        SlotMessage message;
        message.address_ = peer;
        message.requests_ = { request };
        GatewayInbox inbox;
        inbox.slotMessages_ = { message };
        return tick(std::move(inbox));
    }

    static size_t countGrants(const GatewayOutbox &outbox)
    {
        size_t grants = 0;
        for (const SendSlotMessage &command : outbox.slotMessages_) {
            for (const SlotReply &reply : command.message_.replies_) {
                grants += reply.grant_ > 0 ? 1 : 0;
            }
        }
        return grants;
    }

    uint32_t freeSlots() const
    {
        return countFreeSlots(state_, now_, { "region-1" }).at("engines")[0];
    }

    uint64_t exchange_ = 0; ///< Last exchange.
};

} // namespace

// Guards against engines that crash because the requests that they hold exceed their memory.
TEST_CASE_FIXTURE(EngineMemoryFixture, "Call_WhenNoEngineHasMemoryLeft_WaitsUntilACallEnds")
{
    const GatewayOutbox first = place(6000);
    REQUIRE(first.sends_.size() == 1);
    REQUIRE(place(6000).sends_.size() == 1);
    CHECK(place(6000).sends_.empty());
    CHECK(place(4000).sends_.size() == 1); // a smaller one behind it uses the rest
    CHECK(receiveAnswer(first.sends_[0].send_, makeHead(200), "ok").sends_.size() == 1);
}

TEST_CASE_FIXTURE(EngineMemoryFixture, "Call_WhenLargerThanEveryEngine_IsRefusedAtOnceAsNotRun")
{
    const GatewayOutbox outbox = place(capacity + 1);
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::ExceedsMemory);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(place(capacity).sends_.size() == 1);
}

// Guards against a broker that counts the slots of its grants but not their memory.
TEST_CASE_FIXTURE(EngineMemoryFixture, "SlotRequests_WhenGrantedOrCountedByPeers_TakeMemory")
{
    now_ += std::chrono::seconds(1);
    receivePeerCounts(peer, {});
    CHECK(countGrants(requestSlot(1, 9000)) == 1);
    CHECK(countGrants(requestSlot(2, 9000)) == 1);
    CHECK(countGrants(requestSlot(3, 9000)) == 0);
    CHECK(freeSlots() == 2); // as many as there is memory for, rounded up for each engine
    PeerUpdate update;
    update.address_ = peer;
    update.incarnation_ = 5;
    update.sequence_ = ++peerSequence_;
    update.inFlight_ = { { "engine-1", 1 }, { "engine-2", 1 } };
    update.memoryTokens_ = { { "engine-1", 10000 }, { "engine-2", 10000 } };
    update.grantsReceived_[state_.incarnation_] = 2;
    GatewayInbox inbox;
    inbox.peerUpdates_ = { update };
    tick(std::move(inbox));
    CHECK(upstream("engine-1").peerTokens_ == 10000);
    CHECK(freeSlots() == 0);
}

TEST_CASE_FIXTURE(EngineMemoryFixture, "Calls_WhenNoMemoryIsConfigured_OnlyTakeSlots")
{
    state_.configuration_.services_[0].kvCapacityTokens_ = 0;
    for (int call = 0; call < 8; ++call) {
        CHECK(place(1000000).sends_.size() == 1);
    }
}
