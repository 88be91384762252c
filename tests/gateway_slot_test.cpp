/**
 * @file gateway_slot_test.cpp
 * @brief Tests of how a gateway requests slots at upstreams, and grants them as a broker.
 */
#include "gateway_fixture.h"

#include "gateway_slot_wire.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr const char *peerAddress = "10.0.0.2:7000";
constexpr const char *otherRegionPeer = "10.0.0.3:7000";

/// Gateway that has run for a second, with a peer in its region and one in another region.
struct SlotFixture : GatewayFixture
{
    SlotFixture()
    {
        now_ += std::chrono::seconds(1);
        GatewayInbox inbox;
        UpstreamsReceived list;
        list.rows_
            = { makeRow("engine-1", "engines"), makeRow("engine-9", "engines", "zone-2"), makeRow("desk-1", "desk") };
        list.fullList_ = true;
        list.version_ = { 0, 20 };
        inbox.upstreams_.push_back(list);
        tick(std::move(inbox));
    }

    /// Receives a full update of a peer that offers itself as a broker unless its weight is 0.
    GatewayOutbox receivePeer(const std::string &address, const std::string &region, uint32_t weight,
        std::unordered_map<std::string, uint32_t> inFlight = {}, uint64_t grantsReceived = 0)
    {
        PeerUpdate update;
        update.address_ = address;
        update.name_ = address;
        update.region_ = region;
        update.incarnation_ = 5;
        update.sequence_ = ++peerSequence_;
        update.brokerWeight_ = weight;
        update.inFlight_ = std::move(inFlight);
        update.grantsReceived_[state_.incarnation_] = grantsReceived;
        GatewayInbox inbox;
        inbox.peerUpdates_.push_back(update);
        return tick(std::move(inbox));
    }

    GatewayOutbox receiveSlots(const SlotMessage &message)
    {
        GatewayInbox inbox;
        inbox.slotMessages_.push_back(message);
        return tick(std::move(inbox));
    }

    GatewayOutbox receiveRequest(uint64_t number, uint32_t rank = 0)
    {
        SlotRequest request;
        request.number_ = number;
        request.service_ = "engines";
        request.zone_ = "zone-1";
        request.rank_ = rank;
        request.wait_ = Milliseconds(200);
        SlotMessage message;
        message.address_ = peerAddress;
        message.incarnation_ = 5;
        message.requests_.push_back(request);
        return receiveSlots(message);
    }

    GatewayOutbox receiveGrant(uint64_t number, const std::string &upstream)
    {
        SlotMessage message;
        message.address_ = peerAddress;
        message.incarnation_ = 5;
        message.replies_.push_back({ number, 1, upstream, 1 });
        return receiveSlots(message);
    }

    /// @return the message to a peer, or an empty one.
    static SlotMessage messageTo(const GatewayOutbox &outbox, const std::string &address)
    {
        for (const SendSlotMessage &command : outbox.slotMessages_) {
            if (command.address_ == address) {
                return command.message_;
            }
        }
        return {};
    }

    /// Fills the engine of the own region by the counts of a peer.
    void fillEngine()
    {
        receivePeer(peerAddress, "region-1", 1, { { "engine-1", 5 } });
    }
};

/// Gateway whose peer is the broker of their region.
struct RequesterFixture : SlotFixture
{
    RequesterFixture()
    {
        receivePeer(peerAddress, "region-1", 100000);
    }

    /// Receives a call and @return the request for a slot that it leads to.
    SlotRequest requestFor(uint64_t exchange)
    {
        return requestFor("read", exchange);
    }

    SlotRequest requestFor(const std::string &route, uint64_t exchange)
    {
        const SlotMessage message = messageTo(receiveCall(route, exchange), peerAddress);
        return message.requests_.empty() ? SlotRequest{} : message.requests_[0];
    }
};

} // namespace

TEST_CASE_FIXTURE(RequesterFixture, "Call_WhenAPeerIsTheBroker_WaitsForItsGrant")
{
    const SlotRequest request = requestFor(1);
    CHECK(request.service_ == "engines");
    const GatewayOutbox outbox = receiveGrant(request.number_, "engine-9");
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.instance_ == "engine-9");
}

TEST_CASE_FIXTURE(RequesterFixture, "Request_WhenTheBrokerIsSilent_IsRepeatedThenTheCallIsSent")
{
    requestFor(1);
    CHECK(messageTo(tickAfter(Milliseconds(39)), peerAddress).requests_.empty());
    const SlotMessage repeated = messageTo(tickAfter(Milliseconds(2)), peerAddress);
    REQUIRE(repeated.requests_.size() == 1);
    CHECK(tickAfter(Milliseconds(39)).sends_.empty());
    tickAfter(Milliseconds(2));
    CHECK(*findBroker(state_, "region-1") == state_.peerAddress_);
    CHECK(tickAfter(Milliseconds(1)).sends_.size() == 1);
}

TEST_CASE_FIXTURE(RequesterFixture, "Request_WhenItsTicksStall_DoesNotBlameTheBroker")
{
    requestFor(1);
    const GatewayOutbox outbox = tickAfter(Milliseconds(150));
    CHECK(messageTo(outbox, peerAddress).requests_.size() == 1);
    CHECK(*findBroker(state_, "region-1") == peerAddress);
}

TEST_CASE_FIXTURE(RequesterFixture, "Grant_WhenItsUpstreamIsNotKnown_IsDeclined")
{
    const SlotRequest request = requestFor(1);
    now_ += Milliseconds(5);
    const GatewayOutbox outbox = receiveGrant(request.number_, "engine-unknown");
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.updates_.size() == 1);
    CHECK(outbox.updates_[0].update_.hasCounts_);
    CHECK(outbox.updates_[0].update_.grantsReceived_.at(5) == 1);
    CHECK(messageTo(tickAfter(Milliseconds(51)), peerAddress).requests_.size() == 1);
}

TEST_CASE_FIXTURE(RequesterFixture, "Grant_WhenItsCallHasEnded_IsReportedAsUnused")
{
    const SlotRequest request = requestFor(1);
    GatewayInbox inbox;
    inbox.disconnects_.push_back({ ExchangeId{ 1 }, false });
    tick(std::move(inbox));
    now_ += Milliseconds(5);
    const GatewayOutbox outbox = receiveGrant(request.number_, "engine-1");
    CHECK(outbox.sends_.empty());
    REQUIRE(outbox.updates_.size() == 1);
    CHECK(outbox.updates_[0].update_.grantsReceived_.at(5) == 1);
}

TEST_CASE_FIXTURE(RequesterFixture, "Grant_WhenItComesTwice_SendsItsCallOnce")
{
    const uint64_t number = requestFor("once", 1).number_;
    CHECK(receiveGrant(number, "desk-1").sends_.size() == 1);
    const GatewayOutbox again = receiveGrant(number, "desk-1");
    CHECK(again.sends_.empty());
    CHECK(state_.callBySend_.size() == 1);
}

TEST_CASE_FIXTURE(RequesterFixture, "Grants_WhenTwoForOneRequestComeInOneMessage_SendItsCallOnce")
{
    const uint64_t number = requestFor("once", 1).number_;
    SlotMessage message;
    message.address_ = peerAddress;
    message.incarnation_ = 5;
    message.replies_ = { { number, 1, "desk-1", 1 }, { number, 2, "desk-1", 1 } };
    CHECK(receiveSlots(message).sends_.size() == 1);
}

TEST_CASE_FIXTURE(RequesterFixture, "Grant_WhenItComesOnceItsCallIsRequeued_DoesNotSendIt")
{
    // A call that waits again after a refusal has a request of its own; two grants would make two sends.
    const uint64_t number = requestFor("once", 1).number_;
    const uint64_t send = receiveGrant(number, "desk-1").sends_.at(0).send_;
    AnswerHead refusal = makeHead(503);
    refusal.notRun_ = true;
    const SlotMessage renewed = messageTo(receiveAnswer(send, refusal, ""), peerAddress);
    REQUIRE(renewed.requests_.size() == 1);
    CHECK(renewed.requests_[0].number_ != number);
    CHECK(receiveGrant(number, "desk-1").sends_.empty());
    CHECK(receiveGrant(renewed.requests_[0].number_, "desk-1").sends_.size() == 1);
    CHECK(receiveGrant(number, "desk-1").sends_.empty());
}

TEST_CASE_FIXTURE(RequesterFixture, "Grant_WhenItComesOnceTheCallWasSentWithoutIt_DoesNotSendItAgain")
{
    const uint64_t number = requestFor("once", 1).number_;
    size_t sends = 0;
    for (int step = 0; step < 20 && sends == 0; ++step) { // the broker doesn't reply
        sends = tickAfter(Milliseconds(41)).sends_.size();
    }
    REQUIRE(sends == 1);
    CHECK(receiveGrant(number, "desk-1").sends_.empty());
}

TEST_CASE_FIXTURE(SlotFixture, "Request_WhenASlotIsFree_IsGrantedAndCounted")
{
    receivePeer(peerAddress, "region-1", 1);
    const SlotMessage reply = messageTo(receiveRequest(7), peerAddress);
    REQUIRE(reply.replies_.size() == 1);
    CHECK(reply.replies_[0].number_ == 7);
    CHECK(reply.replies_[0].upstream_ == "engine-1");
    CHECK(upstream("engine-1").peerInFlight_ == 1);
}

TEST_CASE_FIXTURE(SlotFixture, "Request_WhenRepeated_GetsTheSameGrant")
{
    receivePeer(peerAddress, "region-1", 1);
    const SlotMessage first = messageTo(receiveRequest(7), peerAddress);
    const SlotMessage second = messageTo(receiveRequest(7), peerAddress);
    REQUIRE(second.replies_.size() == 1);
    CHECK(second.replies_[0].grant_ == first.replies_.at(0).grant_);
    CHECK(upstream("engine-1").peerInFlight_ == 1);
}

TEST_CASE_FIXTURE(SlotFixture, "Grant_WhenTheCountsOfItsReceiverCoverIt_IsCountedOnce")
{
    receivePeer(peerAddress, "region-1", 1);
    receiveRequest(7);
    receivePeer(peerAddress, "region-1", 1, { { "engine-1", 1 } }, 1);
    CHECK(upstream("engine-1").peerInFlight_ == 1);
    receivePeer(peerAddress, "region-1", 1, {}, 1);
    CHECK(upstream("engine-1").peerInFlight_ == 0);
}

TEST_CASE_FIXTURE(SlotFixture, "Grant_WhenItIsLost_IsForgottenAfterATime")
{
    receivePeer(peerAddress, "region-1", 1);
    receiveRequest(7);
    now_ += Milliseconds(100);
    receivePeer(peerAddress, "region-1", 1);
    CHECK(upstream("engine-1").peerInFlight_ == 1);
    now_ += Milliseconds(450);
    receivePeer(peerAddress, "region-1", 1);
    CHECK(upstream("engine-1").peerInFlight_ == 0);
}

TEST_CASE_FIXTURE(SlotFixture, "Slot_WhenAnotherGatewayHasTheMoreUrgentCall_IsGrantedToIt")
{
    state_.configuration_.routes_[2].rank_ = 1;
    receivePeer(otherRegionPeer, "region-2", 1);
    fillEngine();
    CHECK(receiveCall("read", 1).sends_.empty());
    const GatewayOutbox queued = receiveRequest(7, 0);
    REQUIRE(messageTo(queued, peerAddress).replies_.size() == 1);
    CHECK(messageTo(queued, peerAddress).replies_[0].upstream_.empty());
    const GatewayOutbox outbox = receivePeer(peerAddress, "region-1", 1, { { "engine-1", 4 } });
    CHECK(outbox.sends_.empty());
    REQUIRE(messageTo(outbox, peerAddress).replies_.size() == 1);
    CHECK(messageTo(outbox, peerAddress).replies_[0].upstream_ == "engine-1");
}

TEST_CASE_FIXTURE(SlotFixture, "Request_WhenItsRegionIsFull_IsPassedOnToABrokerWithAFreeSlot")
{
    receivePeer(otherRegionPeer, "region-2", 1);
    fillEngine();
    SlotMessage news;
    news.address_ = otherRegionPeer;
    news.freeSlots_["engines"] = { 1, 1, 1 };
    receiveSlots(news);
    const SlotMessage first = messageTo(receiveRequest(7), otherRegionPeer);
    REQUIRE(first.requests_.size() == 1);
    CHECK(first.requests_[0].origin_ == peerAddress);
    CHECK(messageTo(receiveRequest(8), otherRegionPeer).requests_.empty()); // that slot has been counted as taken
}

TEST_CASE_FIXTURE(SlotFixture, "Request_WhenTooManyAreAheadOfItForItsWait_IsDeniedAtOnce")
{
    receivePeer(otherRegionPeer, "region-2", 1);
    fillEngine();
    state_.slotFlows_["engines"] = { 6, 5, 5, 0, now_ }; // six slots a second; a request waits 200 ms
    const SlotMessage first = messageTo(receiveRequest(7), peerAddress);
    REQUIRE(first.replies_.size() == 1);
    CHECK_FALSE(first.replies_[0].infeasible_);
    const SlotMessage second = messageTo(receiveRequest(8), peerAddress);
    REQUIRE(second.replies_.size() == 1);
    CHECK(second.replies_[0].infeasible_);
    CHECK(state_.slotQueue_.size() == 1);
}

TEST_CASE_FIXTURE(RequesterFixture, "Call_WhenTheBrokerExpectsNoSlotInTime_IsRefusedAsNotRun")
{
    const SlotRequest request = requestFor(1);
    SlotMessage message;
    message.address_ = peerAddress;
    message.replies_.push_back({ request.number_, 0, {}, 0, true });
    const GatewayOutbox outbox = receiveSlots(message);
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].reason_ == RefusalReason::Overloaded);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(outbox.refusals_[0].retryAfter_ > Milliseconds(0));
}

TEST_CASE_FIXTURE(SlotFixture, "Request_WhenItsWaitIsOver_IsNotGrantedAnyMore")
{
    fillEngine();
    receiveRequest(7);
    now_ += Milliseconds(201);
    const GatewayOutbox outbox = receivePeer(peerAddress, "region-1", 1);
    CHECK(messageTo(outbox, peerAddress).replies_.empty());
}

TEST_CASE_FIXTURE(SlotFixture, "Broker_WhenItStops_OffersItselfNoMore")
{
    receivePeer(peerAddress, "region-1", 1);
    REQUIRE(*findBroker(state_, "region-1") == state_.peerAddress_);
    GatewayInbox inbox;
    inbox.stopRequested_ = true;
    tick(std::move(inbox));
    const GatewayOutbox outbox = tickAfter(Milliseconds(20));
    CHECK(*findBroker(state_, "region-1") == peerAddress);
    REQUIRE_FALSE(outbox.updates_.empty());
    CHECK(outbox.updates_[0].update_.brokerWeight_ == 0);
}

TEST_CASE("SlotMessage_WhenEncodedAndParsed_IsUnchanged")
{
    SlotMessage message;
    message.incarnation_ = UINT64_MAX;
    SlotRequest request;
    request.number_ = 7;
    request.origin_ = "10.0.0.9:7000";
    request.service_ = "engines";
    request.zone_ = "zone-1";
    request.rank_ = 2;
    request.routeRank_ = 3;
    request.resumesStream_ = true;
    request.callerRetry_ = true;
    request.promptTokens_ = 2890;
    request.memoryTokens_ = 5390;
    request.age_ = Milliseconds(4);
    request.wait_ = Milliseconds(240);
    request.excluded_ = { "engine-1" };
    request.tried_ = { "engine-2" };
    message.requests_ = { request };
    message.replies_ = { { 8, 3, "engine-3", 4 }, { 9, 0, {}, 0, true } };
    message.freeSlots_["engines"] = { 3, 2, 1 };
    const std::string text = serializeSlotMessage(message);
    REQUIRE(isSlotMessage(text));
    SlotMessage parsed;
    REQUIRE_FALSE(parseSlotMessage(text, parsed));
    CHECK(parsed.incarnation_ == message.incarnation_);
    REQUIRE(parsed.requests_.size() == 1);
    CHECK(parsed.requests_[0].origin_ == request.origin_);
    CHECK(parsed.requests_[0].routeRank_ == 3);
    CHECK(parsed.requests_[0].resumesStream_);
    CHECK(parsed.requests_[0].callerRetry_);
    CHECK(parsed.requests_[0].promptTokens_ == 2890);
    CHECK(parsed.requests_[0].memoryTokens_ == 5390);
    CHECK(parsed.requests_[0].wait_ == Milliseconds(240));
    CHECK(parsed.requests_[0].excluded_ == request.excluded_);
    CHECK(parsed.requests_[0].tried_ == request.tried_);
    REQUIRE(parsed.replies_.size() == 2);
    CHECK(parsed.replies_[1].infeasible_);
    CHECK(parsed.replies_[0].upstream_ == "engine-3");
    CHECK(parsed.replies_[0].inFlight_ == 4);
    CHECK(parsed.freeSlots_ == message.freeSlots_);
}

TEST_CASE("SlotMessage_WhenMalformed_IsRefused")
{
    for (const char *text : { "", "S", "S{}", "{}", R"(S{"i":1,"q":7})", R"(S{"i":1,"q":[{"n":"x"}]})",
             R"(S{"i":1,"g":[7]})", R"(S{"i":1,"l":{"s":[1,2]}})", R"(S{"i":1,"l":{"s":[1,2,-3]}})" }) {
        CAPTURE(text);
        SlotMessage message;
        CHECK(parseSlotMessage(text, message));
    }
}
