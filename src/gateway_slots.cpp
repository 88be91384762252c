/**
 * @file gateway_slots.cpp
 * @brief Systems that request slots at upstreams from a region's broker, and that answer such requests.
 *
 * A gateway that is not the broker of its region asks the broker for a slot for each call. The broker has the counts of
 * all gateways, so that calls which arrive at many gateways at once are ordered together and don't meet at one
 * upstream. A grant is only a choice: it runs nothing, and one that is lost or not used is forgotten once the gateway's
 * next counts arrive. A broker that doesn't reply is replaced by the next candidate; without any, gateways choose
 * themselves.
 */
#include "gateway_hedging_func.h"
#include "gateway_placement_func.h"
#include "gateway_rollout_func.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

/// Time for a broker's first reply; a round trip takes up to 16 ms. After the first time-out, the same broker is asked
/// once more, since messages get lost.
constexpr Milliseconds replyTimeout{ 40 };
constexpr Milliseconds renewInterval{ 150 }; ///< Time after which a queued request is sent again, to notice a failure.
constexpr Milliseconds declineDelay{ 50 }; ///< Time after a grant that can't be used until the next request.
constexpr Milliseconds stallTime{ 30 }; ///< Lateness of a check from which replies may be waiting to be read.
constexpr Milliseconds freeSlotsInterval{ 50 }; ///< Time between messages of free slots to the other brokers.
constexpr Milliseconds freeSlotsValidity{ 500 }; ///< Age from which free slots reported by a broker are not used.
constexpr size_t maxQueuedRequests = 4096; ///< Requests that may wait at a broker; about 300 bytes each.

SlotMessage &messageTo(GatewayOutbox &outbox, const std::string &address)
{
    for (SendSlotMessage &command : outbox.slotMessages_) {
        if (command.address_ == address) {
            return command.message_;
        }
    }
    outbox.slotMessages_.push_back({ address, {} });
    return outbox.slotMessages_.back().message_;
}

Peer *findPeer(GatewayState &state, const std::string &address)
{
    const auto found = state.peerByAddress_.find(address);
    return found == state.peerByAddress_.end() ? nullptr : findRow(state.peers_, found->second);
}

void resetRequest(GatewayState &state, Call &call)
{
    state.callBySlotRequest_.erase(call.slot_.number_);
    call.slot_ = {};
}

/// Requests a slot for a call from a region's broker.
void requestSlot(GatewayState &state, TimePoint now, CallId id, Call &call, const std::string &region,
    const std::string &broker, GatewayOutbox &outbox)
{
    if (call.slot_.number_ == 0) {
        call.slot_.number_ = state.nextSlotRequest_++;
        state.callBySlotRequest_[call.slot_.number_] = id;
    }
    call.slot_.region_ = region;
    call.slot_.broker_ = broker;
    call.slot_.askedAt_ = now;
    call.slot_.queued_ = false;
    SlotRequest request = makeSlotRequest(state, now, call);
    request.firstMessage_ = !request.route_.empty() && !std::exchange(call.countedForExposure_, true);
    sendSlotRequest(state, broker, std::move(request), outbox);
}

/// @return when the request of a call has to be looked at again.
TimePoint nextRequestCheck(const Call &call)
{
    return call.slot_.askedAt_ + (call.slot_.queued_ ? renewInterval : replyTimeout);
}

/// Handles a request whose broker has changed or does not reply. @return whether the call needs a new request
bool reviewRequest(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox)
{
    const std::string *broker = findBroker(state, call.slot_.region_);
    if (broker == nullptr || *broker != call.slot_.broker_) {
        resetRequest(state, call);
        return true;
    }
    if (now < nextRequestCheck(call)) {
        return false;
    }
    if (call.slot_.queued_ || now - nextRequestCheck(call) >= stallTime) {
        call.slot_.repeated_ = false;
    } else if (!call.slot_.repeated_) {
        call.slot_.repeated_ = true;
    } else {
        avoidBroker(state, now, std::string(call.slot_.broker_), outbox);
        resetRequest(state, call);
    }
    return true;
}

/// Tells gateways whose requests have just been queued that they are.
void acknowledgeQueued(GatewayState &state, GatewayOutbox &outbox)
{
    for (QueuedSlotRequest &queued : state.slotQueue_) {
        if (!queued.acknowledged_) {
            queued.acknowledged_ = true;
            messageTo(outbox, queued.request_.origin_).replies_.push_back({ queued.request_.number_ });
        }
    }
}

/// Tells the brokers of other regions of the free slots here, and everybody who gets a message anyway.
void announceFreeSlots(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    if (findBroker(state, state.region_) == nullptr || !assignsSlots(state, state.region_)) {
        return;
    }
    if (now >= state.freeSlotsDueAt_) {
        state.freeSlotsDueAt_ = now + freeSlotsInterval;
        for (const auto &[region, candidates] : state.brokersByRegion_) {
            if (!candidates.empty() && candidates.front() != state.peerAddress_) {
                messageTo(outbox, candidates.front());
            }
        }
    }
    if (outbox.slotMessages_.empty()) {
        return;
    }
    std::map<std::string, FreeSlots> free = countFreeSlots(state, now, assignedRegions(state));
    for (const QueuedSlotRequest &queued : state.slotQueue_) { // they get what becomes free first
        free[queued.request_.service_] = {};
    }
    for (SendSlotMessage &command : outbox.slotMessages_) {
        command.message_.freeSlots_ = free;
    }
}

/**
 * Decides whether a request counts as one of its service's requests. The numbers of a gateway's requests rise, so that
 * a message that arrives twice, or at two brokers, counts at most once; one that was overtaken is not counted.
 */
void reviewCounting(const SlotMessage &message, Peer *sender, SlotRequest &request)
{
    const bool counts = request.firstMessage_ && request.origin_.empty() && sender != nullptr
        && sender->incarnation_ == message.incarnation_ && request.number_ > sender->newestCountedRequest_;
    if (counts) {
        sender->newestCountedRequest_ = request.number_;
    }
    request.firstMessage_ = counts;
}

/// Queues a request, or repeats the reply if it has been granted already.
void queueRequest(
    GatewayState &state, TimePoint now, const std::string &sender, SlotRequest &request, GatewayOutbox &outbox)
{
    const bool forwarded = !request.origin_.empty();
    request.origin_ = forwarded ? request.origin_ : sender;
    const Peer *origin = findPeer(state, request.origin_);
    // Without a reply the sender turns to another gateway.
    if (origin == nullptr || countedRegions(state).empty() || state.slotQueue_.size() >= maxQueuedRequests) {
        count(state.metrics_, "slot_requests", "not-accepted");
        return;
    }
    for (const PendingGrant &grant : origin->pendingGrants_) {
        if (grant.number_ == request.number_) {
            messageTo(outbox, request.origin_).replies_.push_back({ grant.number_, grant.grant_, grant.upstream_ });
            return;
        }
    }
    for (QueuedSlotRequest &queued : state.slotQueue_) {
        if (queued.request_.number_ == request.number_ && queued.request_.origin_ == request.origin_) {
            queued.acknowledged_ = false;
            return;
        }
    }
    QueuedSlotRequest queued;
    queued.arrivedAt_ = now - request.age_;
    queued.waitUntil_ = now + request.wait_;
    queued.forwarded_ = forwarded;
    queued.request_ = std::move(request);
    state.slotQueue_.push_back(std::move(queued));
    count(state.metrics_, "slot_requests", forwarded ? "received-forwarded" : "received");
}

/// Sends a call to the upstream that a broker has chosen, unless that or the call is gone.
void applyReply(
    GatewayState &state, TimePoint now, const SlotMessage &message, const SlotReply &reply, GatewayOutbox &outbox)
{
    if (reply.grant_ > 0) {
        uint64_t &newest = state.grantsReceived_[message.incarnation_];
        newest = std::max(newest, reply.grant_);
    }
    if (applyHedgeReply(state, now, reply, outbox)) {
        return;
    }
    const auto found = state.callBySlotRequest_.find(reply.number_);
    const CallId id = found == state.callBySlotRequest_.end() ? CallId{} : found->second;
    Call *call = findRow(state.calls_, id);
    if (call == nullptr || call->stage_ != CallStage::Waiting) {
        markCountsPending(state); // the broker has to learn that the slot is not used
        return;
    }
    if (reply.infeasible_) {
        refuse(state, now, id, call->mayHaveRun_ ? RefusalReason::UpstreamFailed : RefusalReason::Overloaded, outbox);
        return;
    }
    if (reply.grant_ == 0) {
        call->slot_.queued_ = true;
        call->slot_.repeated_ = false;
        return;
    }
    const auto upstream = state.upstreamById_.find(reply.upstream_);
    const Upstream *row = upstream == state.upstreamById_.end() ? nullptr : findRow(state.upstreams_, upstream->second);
    if (row == nullptr || !isAvailable(*row, now) || !mayUse(state, *row)) {
        resetRequest(state, *call);
        call->slot_.notBefore_ = now + declineDelay;
        markCountsPending(state);
        count(state.metrics_, "slot_requests", "declined");
        return;
    }
    sendCall(state, now, id, upstream->second, reply.inFlight_, outbox);
}

} // namespace

SlotRequest makeSlotRequest(const GatewayState &state, TimePoint now, const Call &call)
{
    SlotRequest request;
    request.number_ = call.slot_.number_;
    request.service_ = call.service_;
    request.zone_ = state.zone_;
    request.rank_ = call.rank_;
    request.routeRank_ = call.routeRank_;
    request.resumesStream_ = call.streamStarted_;
    request.callerRetry_ = call.callerRetry_;
    request.route_ = countedRoute(state, call);
    request.promptTokens_ = call.request_.promptTokens_.value_or(0);
    request.memoryTokens_ = memoryTokensOf(state, call);
    request.age_ = std::chrono::duration_cast<Milliseconds>(now - call.arrivedAt_);
    request.wait_ = std::chrono::duration_cast<Milliseconds>(std::max(Duration(0), call.waitUntil_ - now));
    request.tried_ = call.triedInstances_;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.service_ == call.service_ && (!isAvailable(upstream, now) || !mayUse(state, upstream))) {
            request.excluded_.push_back(upstream.id_);
        }
    });
    return request;
}

void sendSlotRequest(GatewayState &state, const std::string &broker, SlotRequest request, GatewayOutbox &outbox)
{
    messageTo(outbox, broker).requests_.push_back(std::move(request));
    count(state.metrics_, "slot_requests", "sent");
}

void runSlots(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    for (SlotMessage &message : inbox.slotMessages_) {
        if (Peer *peer = findPeer(state, message.address_); peer != nullptr && !message.freeSlots_.empty()) {
            peer->freeSlots_ = std::move(message.freeSlots_);
            peer->freeSlotsAt_ = now;
        }
        for (SlotRequest &request : message.requests_) {
            reviewCounting(message, findPeer(state, message.address_), request);
            queueRequest(state, now, message.address_, request, outbox);
        }
        for (const SlotReply &reply : message.replies_) {
            applyReply(state, now, message, reply, outbox);
        }
    }
    std::erase_if(state.slotQueue_, [now](const QueuedSlotRequest &queued) { return queued.waitUntil_ <= now; });
}

void grantSlot(
    GatewayState &state, TimePoint now, const QueuedSlotRequest &queued, UpstreamId target, GatewayOutbox &outbox)
{
    Peer *origin = findPeer(state, queued.request_.origin_);
    if (origin == nullptr) {
        return;
    }
    Upstream &upstream = *findRow(state.upstreams_, target);
    ++upstream.peerInFlight_;
    upstream.peerTokens_ += queued.request_.memoryTokens_;
    origin->pendingGrants_.push_back(
        { ++origin->grantsSent_, queued.request_.number_, upstream.id_, now, queued.request_.memoryTokens_ });
    messageTo(outbox, origin->address_)
        .replies_.push_back({ queued.request_.number_, origin->grantsSent_, upstream.id_,
            upstream.ownInFlight_ + upstream.peerInFlight_ });
    count(state.metrics_, "slot_requests", "granted");
}

void denySlot(const QueuedSlotRequest &queued, GatewayOutbox &outbox)
{
    messageTo(outbox, queued.request_.origin_).replies_.push_back({ queued.request_.number_, 0, {}, 0, true });
}

const Peer *takeFreeSlotElsewhere(GatewayState &state, TimePoint now, const SlotRequest &request)
{
    Peer *chosen = nullptr;
    uint32_t *most = nullptr;
    for (const auto &[region, candidates] : state.brokersByRegion_) {
        Peer *broker = candidates.empty() ? nullptr : findPeer(state, candidates.front());
        if (broker == nullptr || now - broker->freeSlotsAt_ > freeSlotsValidity) {
            continue;
        }
        uint32_t *free = findFreeSlots(state, *broker, request.service_, request.routeRank_);
        if (free != nullptr && *free > (most == nullptr ? 0 : *most)) {
            chosen = broker;
            most = free;
        }
    }
    if (most != nullptr) {
        --*most;
    }
    return chosen;
}

void forwardRequest(GatewayState &state, const Peer &broker, const SlotRequest &request, GatewayOutbox &outbox)
{
    SlotRequest forwarded = request;
    forwarded.firstMessage_ = false; // it may reach the other broker twice
    messageTo(outbox, broker.address_).requests_.push_back(std::move(forwarded));
    count(state.metrics_, "slot_requests", "forwarded");
}

void requestSlotElsewhere(
    GatewayState &state, TimePoint now, CallId id, Call &call, const Peer &broker, GatewayOutbox &outbox)
{
    const auto region = std::find_if(state.brokersByRegion_.begin(), state.brokersByRegion_.end(),
        [&](const auto &item) { return !item.second.empty() && item.second.front() == broker.address_; });
    requestSlot(state, now, id, call, region->first, broker.address_, outbox);
}

void runSlotRequests(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    state.slotCheckAt_ = noDeadline;
    for (const CallId id : state.waiting_) {
        Call &call = *findRow(state.calls_, id);
        if (call.stage_ != CallStage::Waiting) {
            continue;
        }
        const bool wasRequested = call.slot_.number_ != 0;
        if (wasRequested && !reviewRequest(state, now, call, outbox)) {
            state.slotCheckAt_ = std::min(state.slotCheckAt_, nextRequestCheck(call));
            continue;
        }
        const std::string region = call.slot_.number_ == 0 ? state.region_ : call.slot_.region_;
        if (assignsSlots(state, region)) {
            if (wasRequested) { // now this gateway chooses itself, in its next tick
                resetRequest(state, call);
                state.slotCheckAt_ = std::min(state.slotCheckAt_, now + Milliseconds(1));
            }
            continue;
        }
        if (now >= call.slot_.notBefore_) {
            requestSlot(state, now, id, call, region, *findBroker(state, region), outbox);
        }
        const TimePoint check = call.slot_.number_ == 0 ? call.slot_.notBefore_ : nextRequestCheck(call);
        state.slotCheckAt_ = std::min(state.slotCheckAt_, check);
    }
    acknowledgeQueued(state, outbox);
    announceFreeSlots(state, now, outbox);
    for (SendSlotMessage &command : outbox.slotMessages_) {
        command.message_.incarnation_ = state.incarnation_;
    }
}

std::set<std::string> assignedRegions(const GatewayState &state)
{
    std::set<std::string> regions;
    for (const auto &[region, candidates] : state.brokersByRegion_) {
        if (assignsSlots(state, region)) {
            regions.insert(region);
        }
    }
    return regions;
}

std::set<std::string> countedRegions(const GatewayState &state)
{
    std::set<std::string> regions;
    for (const auto &[region, candidates] : state.brokersByRegion_) {
        if (candidates.empty()
            || std::find(candidates.begin(), candidates.end(), state.peerAddress_) != candidates.end()) {
            regions.insert(region);
        }
    }
    return regions;
}

} // namespace Burdockfield::Gateway
