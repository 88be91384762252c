/**
 * @file gateway_dispatch.cpp
 * @brief System that sends waiting calls to upstreams with free slots, and grants such slots to other gateways.
 *
 * Calls wait in their gateway, where they can still be reordered or refused. The broker of a region orders those of all
 * its gateways. Answers the load pattern in which more urgent and less urgent calls want the same slots: whatever
 * becomes free goes to the most urgent of them, wherever it arrived.
 */
#include "gateway_hedging_func.h"
#include "gateway_placement_func.h"
#include "gateway_rollout_func.h"
#include "json_func.h"
#include "table/send_cause_names.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

/// @return how many of an upstream's connections this gateway may use, or 0 for no limit.
uint32_t connectionShareOf(const GatewayState &state, const std::string &service)
{
    const Service *rule = findService(state.configuration_, service);
    if (rule == nullptr || rule->connectionLimit_ == 0) {
        return 0;
    }
    return std::max(1U, rule->connectionLimit_ / static_cast<uint32_t>(1 + state.peers_.size_));
}

/// Removes calls from the queue that have ended or have been sent.
void removeNonWaitingCalls(GatewayState &state)
{
    std::erase_if(state.waiting_, [&state](CallId id) {
        const Call *call = findRow(state.calls_, id);
        return call == nullptr || call->stage_ != CallStage::Waiting;
    });
}

/// Call of this gateway, or slot request of another one, that waits for an upstream.
struct Bid
{
    CallId call_; ///< The call of this gateway; matches no row if it is a request.
    const QueuedSlotRequest *request_ = nullptr; ///< The request of another gateway, or nullptr.
    std::string service_; ///< Service that it needs.
    bool resumesStream_ = false; ///< Whether it is a stream that has started.
    uint32_t rank_ = 0; ///< See Call::rank_.
    uint32_t routeRank_ = 0; ///< See Call::routeRank_.
    bool callerRetry_ = false; ///< See Call::callerRetry_.
    TimePoint arrivedAt_{}; ///< When the call arrived at its gateway.
};

/**
 * Orders bids by: started stream, rank, route rank, first attempt before a caller's retry, arrival.
 * First attempts precede callers' retries because they can still be on time.
 */
bool hasPriorityOver(const Bid &left, const Bid &right)
{
    if (left.resumesStream_ != right.resumesStream_) {
        return left.resumesStream_;
    }
    if (left.rank_ != right.rank_) {
        return left.rank_ < right.rank_;
    }
    if (left.routeRank_ != right.routeRank_) {
        return left.routeRank_ < right.routeRank_;
    }
    if (left.callerRetry_ != right.callerRetry_) {
        return right.callerRetry_;
    }
    return left.arrivedAt_ < right.arrivedAt_;
}

/// @return the calls for which this gateway chooses the upstream, its own and those of others, by priority.
std::vector<Bid> collectBids(const GatewayState &state)
{
    std::vector<Bid> bids;
    if (assignsSlots(state, state.region_)) {
        for (const CallId id : state.waiting_) {
            if (const Call &call = *findRow(state.calls_, id); call.slot_.number_ == 0) {
                bids.push_back({ id, nullptr, call.service_, call.streamStarted_, call.rank_, call.routeRank_,
                    call.callerRetry_, call.arrivedAt_ });
            }
        }
    }
    for (const QueuedSlotRequest &queued : state.slotQueue_) {
        const SlotRequest &request = queued.request_;
        bids.push_back({ {}, &queued, request.service_, request.resumesStream_, request.rank_, request.routeRank_,
            request.callerRetry_, queued.arrivedAt_ });
    }
    std::stable_sort(bids.begin(), bids.end(), hasPriorityOver);
    return bids;
}

/// Sends the call of a bid to an upstream, or grants the slot there to the gateway that has the call.
void placeBid(GatewayState &state, TimePoint now, const Bid &bid, const SlotRequest &request, UpstreamId target,
    GatewayOutbox &outbox)
{
    Call *call = findRow(state.calls_, bid.call_);
    const bool first
        = bid.request_ != nullptr ? request.firstMessage_ : !std::exchange(call->countedForExposure_, true);
    countAssignment(state, *findRow(state.upstreams_, target), request.route_, first);
    ++state.slotFlows_[bid.service_].placed_;
    addBacklog(state, *findRow(state.upstreams_, target), now, request.promptTokens_);
    if (bid.request_ != nullptr) {
        grantSlot(state, now, *bid.request_, target, outbox);
        return;
    }
    const Upstream &upstream = *findRow(state.upstreams_, target);
    sendCall(state, now, bid.call_, target, upstream.ownInFlight_ + upstream.peerInFlight_ + 1, outbox);
}

/**
 * Leaves a bid waiting, or refuses it if it is not expected to get a slot in time.
 * @param waiting bids of the same service that wait before it; counts this one, too, if it is left waiting
 */
void keepWaiting(GatewayState &state, TimePoint now, const Bid &bid, size_t &waiting,
    std::set<std::pair<std::string, uint64_t>> &settled, GatewayOutbox &outbox)
{
    const Call *call = findRow(state.calls_, bid.call_);
    const TimePoint waitUntil = bid.request_ != nullptr ? bid.request_->waitUntil_ : call->waitUntil_;
    if (bid.resumesStream_ || !cannotGetSlotInTime(state, bid.service_, waiting, waitUntil - now)) {
        ++waiting;
        return;
    }
    count(state.metrics_, "slot_requests", "infeasible");
    if (bid.request_ != nullptr) {
        denySlot(*bid.request_, outbox);
        settled.emplace(bid.request_->request_.origin_, bid.request_->request_.number_);
        return;
    }
    refuse(
        state, now, bid.call_, call->mayHaveRun_ ? RefusalReason::UpstreamFailed : RefusalReason::Overloaded, outbox);
}

/// @return whether calls with less tokens than a request that found no upstream may find one now.
bool hasSlotForSmallerCall(
    GatewayState &state, TimePoint now, SlotRequest request, const std::set<std::string> &regions)
{
    if (request.memoryTokens_ == 0) {
        return false;
    }
    request.memoryTokens_ = 0;
    return findRow(state.upstreams_, chooseUpstream(state, now, request, regions)) != nullptr;
}

/// Passes a bid on to the broker of another region that has a free slot. @return whether there is one
bool passOn(GatewayState &state, TimePoint now, const Bid &bid, const SlotRequest &request, GatewayOutbox &outbox)
{
    if (bid.request_ != nullptr && bid.request_->forwarded_) {
        return false;
    }
    const Peer *broker = takeFreeSlotElsewhere(state, now, request);
    if (broker == nullptr) {
        return false;
    }
    if (bid.request_ != nullptr) {
        SlotRequest forwarded = request;
        forwarded.age_ = std::chrono::duration_cast<Milliseconds>(now - bid.request_->arrivedAt_);
        forwarded.wait_ = std::chrono::duration_cast<Milliseconds>(bid.request_->waitUntil_ - now);
        forwardRequest(state, *broker, forwarded, outbox);
    } else {
        requestSlotElsewhere(state, now, bid.call_, *findRow(state.calls_, bid.call_), *broker, outbox);
    }
    return true;
}

} // namespace

size_t countWaitingAhead(const GatewayState &state, TimePoint now, const Call &call)
{
    const Bid own{ {}, nullptr, call.service_, call.streamStarted_, call.rank_, call.routeRank_, call.callerRetry_,
        now };
    const std::vector<Bid> bids = collectBids(state);
    return static_cast<size_t>(std::count_if(bids.begin(), bids.end(),
        [&own](const Bid &bid) { return bid.service_ == own.service_ && hasPriorityOver(bid, own); }));
}

SendCall makeSendCommand(
    const GatewayState &state, TimePoint now, const Call &call, const Upstream &upstream, uint64_t send)
{
    SendCall command;
    command.send_ = send;
    command.exchange_ = call.exchange_;
    command.address_ = upstream.address_;
    command.request_ = call.request_;
    command.parameters_.instance_ = upstream.id_;
    command.parameters_.workspace_ = call.workspace_;
    command.parameters_.wait_ = std::chrono::duration_cast<Milliseconds>(call.deadline_ - now);
    command.parameters_.resumeAfter_ = call.lastEvent_;
    command.retryable_ = call.retryable_;
    command.connectionShare_ = connectionShareOf(state, call.service_);
    return command;
}

void sendCall(
    GatewayState &state, TimePoint now, CallId id, UpstreamId target, uint32_t inFlight, GatewayOutbox &outbox)
{
    Call &call = *findRow(state.calls_, id);
    const CallSlotRequest slot = std::exchange(call.slot_, {});
    state.callBySlotRequest_.erase(slot.number_);
    Upstream &upstream = *findRow(state.upstreams_, target);
    ++upstream.ownInFlight_;
    upstream.ownTokens_ += memoryTokensOf(call.request_);
    markPeerUpdatesPending(state, upstream.region_);
    if (slot.number_ == 0) { // then nobody else knows of the call
        markCountsPending(state);
    }
    call.stage_ = CallStage::Sent;
    call.send_ = state.nextSend_++;
    call.upstream_ = target;
    call.upstreamAddress_ = upstream.address_;
    call.use_ = {};
    call.sentAt_ = now;
    call.lastReceivedAt_ = now;
    call.lastBytesAt_ = {};
    call.headReceived_ = false;
    call.answerBegunAt_ = noDeadline;
    call.sendEvents_ = 0;
    clearAnswer(state, call);
    ++call.attempts_;
    state.callBySend_[call.send_] = id;
    SendCall command = makeSendCommand(state, now, call, upstream, call.send_);
    call.triedInstances_.push_back(upstream.id_);
    const std::string cause(nameOf(call.sendCause_, sendCauseNames));
    if (call.sendCause_ != SendCause::First) {
        count(state.metrics_, "sends_repeated", cause);
    }
    outbox.decisions_.push_back({ "sent",
        { { "request", call.request_.id_ }, { "upstream", upstream.id_ }, { "address", upstream.address_ },
            { "cause", cause }, { "attempt", std::to_string(call.attempts_) }, { "route", call.routeName_ },
            { "repeatable", call.retryable_ ? "yes" : "no" }, { "rank", std::to_string(call.rank_) },
            { "in_flight", std::to_string(inFlight) }, { "own", std::to_string(upstream.ownInFlight_) },
            { "slots", std::to_string(upstream.slots_) }, { "broker", slot.number_ == 0 ? "self" : slot.broker_ },
            { "reply_ms", slot.number_ == 0 ? "0" : millisecondsText(now - slot.askedAt_) },
            { "waited_ms", millisecondsText(now - call.arrivedAt_) },
            { "left_ms", std::to_string(command.parameters_.wait_.count()) } } });
    outbox.sends_.push_back(std::move(command));
    pushDeadline(state.deadlines_, nextCallCheck(call), id);
    prepareHedging(state, now, id, call);
}

void runDispatch(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    removeNonWaitingCalls(state);
    const std::set<std::string> assigned = assignedRegions(state);
    // A standby is asked by gateways that can't reach the broker; it has the same counts.
    const std::set<std::string> forOthers = assigned.empty() ? countedRegions(state) : assigned;
    // Services and route ranks for which this tick found no free slot, here and in other regions.
    std::set<std::pair<std::string, uint32_t>> fullHere;
    std::set<std::pair<std::string, uint32_t>> fullElsewhere;
    std::set<std::pair<std::string, uint64_t>> settled; // requests that need no further reply
    std::map<std::string, size_t> waitingByService;
    for (const Bid &bid : collectBids(state)) {
        const std::pair key(bid.service_, bid.routeRank_);
        if (fullHere.contains(key) && fullElsewhere.contains(key)) {
            keepWaiting(state, now, bid, waitingByService[bid.service_], settled, outbox);
            continue;
        }
        const SlotRequest request = bid.request_ != nullptr
            ? bid.request_->request_
            : makeSlotRequest(state, now, *findRow(state.calls_, bid.call_));
        const std::set<std::string> &regions = bid.request_ != nullptr ? forOthers : assigned;
        const UpstreamId target = fullHere.contains(key) ? UpstreamId{} : chooseUpstream(state, now, request, regions);
        const bool placed = findRow(state.upstreams_, target) != nullptr;
        if (!placed && !hasSlotForSmallerCall(state, now, request, regions)) {
            fullHere.insert(key);
        }
        if (placed) {
            placeBid(state, now, bid, request, target, outbox);
        } else if (!passOn(state, now, bid, request, outbox)) {
            fullElsewhere.insert(key);
            keepWaiting(state, now, bid, waitingByService[bid.service_], settled, outbox);
            continue;
        }
        if (bid.request_ != nullptr) {
            settled.emplace(request.origin_, request.number_);
        }
    }
    std::erase_if(state.slotQueue_, [&settled](const QueuedSlotRequest &queued) {
        return settled.contains({ queued.request_.origin_, queued.request_.number_ });
    });
    removeNonWaitingCalls(state);
}

bool hasCapacityElsewhere(const GatewayState &state, TimePoint now, const Call &call)
{
    if (!mayHaveFreeSlot(state, now, call.service_, call.routeRank_)) {
        return false;
    }
    const uint64_t memoryTokens = memoryTokensOf(state, call);
    bool found = false;
    forEachRow(state.upstreams_, [&](UpstreamId id, const Upstream &upstream) {
        found = found
            || (id != call.upstream_ && upstream.service_ == call.service_
                && hasFreeSlot(state, now, upstream, { call.routeRank_, memoryTokens })
                && mayAssign(state, upstream, countedRoute(state, call)));
    });
    return found;
}

} // namespace Burdockfield::Gateway
