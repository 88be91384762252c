/**
 * @file gateway_hedging.cpp
 * @brief Decides which slow calls get a hedged send, and requests slots for those.
 *
 * Answers the load pattern of stragglers: a few calls that take several times as long as others of their route and
 * size while the upstreams as a whole have free capacity. In every other pattern in which calls are slow (overload,
 * retries of callers, requests that crash upstreams) a second send makes things worse, so none is made.
 */
#include "gateway_hedging_func.h"

#include "gateway_placement_func.h"
#include "gateway_rollout_func.h"
#include "json_func.h"
#include "table/hedge_refusal_names.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace Burdockfield::Gateway {

namespace {

/// Share of calls that are not slow. A hedge for one call in twenty is about what operators allow.
constexpr double slowQuantile = 0.95;
constexpr size_t profileCalls = 100; ///< Calls from which a threshold is computed: five of them are slower than it.
constexpr FractionalSeconds shareMemory{ 1 }; ///< Time after which an event counts 1/e; load patterns last seconds.
constexpr double hedgeBurst = 2; ///< Hedged sends that a gateway may make at once.
constexpr Milliseconds minHedgeTime{ 100 }; ///< A call is not hedged with less time left; the same holds for retries.
constexpr double manyRetries = 1.5; ///< Recent retries of callers from which they are many: two within half a second.
constexpr double manyRetriesShare
    = 0.1; ///< The same as a share: callers retry after refusals, one call in ten refused.
constexpr double leastEvents = 0.3; ///< Weight of the events below which an upstream is not counted: one 1.2 s old.
constexpr double slowCallShare = 0.25; ///< Share of slow calls from which an upstream is slow; usual is one in twenty.
constexpr size_t manySlowUpstreams = 2; ///< Slow upstreams that are no single straggler any more,
constexpr size_t slowUpstreamsDivisor = 3; ///< if they are also this part of the upstreams with recent calls.
constexpr Milliseconds hedgeReplyTimeout{ 40 }; ///< Time for a broker's reply; a round trip takes up to 16 ms.
constexpr Milliseconds hedgeSlotWait{ 1 }; ///< Time for which a request for a hedge waits: the broker's next dispatch.
constexpr std::chrono::seconds refusalLogInterval{ 1 }; ///< Minimum time between log lines of refusals by budget.

/// Counts the upstreams of a service with recent calls, and the slow ones among them.
void countSlowUpstreams(
    const GatewayState &state, TimePoint now, const std::string &service, HedgeConditions &conditions)
{
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        const DecayingShare share = shareAt(upstream.slowCalls_, now);
        if (upstream.service_ != service || share.total_ < leastEvents) {
            return;
        }
        ++conditions.usedUpstreams_;
        conditions.slowUpstreams_ += share.hits_ >= slowCallShare * share.total_ ? 1 : 0;
    });
}

bool hasSuspectTrait(const GatewayState &state, const Call &call)
{
    return isLikelyToCrash(state, call) || std::any_of(call.traits_.begin(), call.traits_.end(), [&state](Trait trait) {
        return state.crashEvidence_.suspects_.contains(trait);
    });
}

HedgeConditions collectConditions(const GatewayState &state, TimePoint now, const Call &call)
{
    HedgeConditions conditions;
    conditions.attemptsLeft_ = call.attemptLimit_ - std::min(call.attemptLimit_, call.attempts_);
    conditions.timeLeft_ = call.deadline_ - now;
    conditions.crashSuspect_ = hasSuspectTrait(state, call);
    conditions.retryBudgetLow_ = isRetryBudgetLow(state, call.service_);
    countSlowUpstreams(state, now, call.service_, conditions);
    if (const auto found = state.hedgingByService_.find(call.service_); found != state.hedgingByService_.end()) {
        const DecayingShare retries = shareAt(found->second.callerRetries_, now);
        conditions.callerRetries_ = retries.hits_;
        conditions.callerRetryShare_ = retries.total_ > 0 ? retries.hits_ / retries.total_ : 0;
        conditions.tokens_ = found->second.tokens_;
    }
    return conditions;
}

/// Counts a refusal; those by budget are logged, too, as the operator sets that limit.
void recordRefusal(GatewayState &state, TimePoint now, const Call &call, HedgeRefusal refusal, GatewayOutbox &outbox)
{
    count(state.metrics_, "hedges_refused", std::string(nameOf(refusal, hedgeRefusalNames)));
    if (refusal != HedgeRefusal::Budget) {
        return;
    }
    ServiceHedging &hedging = state.hedgingByService_[call.service_];
    ++hedging.refusedByBudget_;
    if (now - hedging.refusalLoggedAt_ >= refusalLogInterval) {
        hedging.refusalLoggedAt_ = now;
        outbox.decisions_.push_back({ "hedge-refused",
            { { "request", call.request_.id_ }, { "service", call.service_ }, { "reason", "budget" },
                { "refused", std::to_string(std::exchange(hedging.refusedByBudget_, 0)) } } });
    }
}

/// @return whether a call or a request of another gateway waits for a slot of a service here.
bool isServiceAwaited(const GatewayState &state, const std::string &service)
{
    return std::any_of(state.waiting_.begin(), state.waiting_.end(), [&](CallId id) {
        const Call *call = findRow(state.calls_, id);
        return call != nullptr && call->stage_ == CallStage::Waiting && call->service_ == service;
    }) || std::any_of(state.slotQueue_.begin(), state.slotQueue_.end(), [&](const QueuedSlotRequest &queued) {
        return queued.request_.service_ == service;
    });
}

/// @return the request for a slot of a hedged send: last of all, and not kept if there is no slot at once.
SlotRequest makeHedgeRequest(const GatewayState &state, TimePoint now, const Call &call)
{
    SlotRequest request = makeSlotRequest(state, now, call);
    request.rank_ = std::numeric_limits<uint32_t>::max();
    request.callerRetry_ = true;
    request.wait_ = hedgeSlotWait;
    if (const Upstream *first = findRow(state.upstreams_, call.upstream_); first != nullptr) {
        request.excluded_.push_back(first->id_);
    }
    return request;
}

HedgeId insertHedge(GatewayState &state, CallId id, Call &call)
{
    Hedge hedge;
    hedge.call_ = id;
    call.hedging_.hedge_ = insertRow(state.hedges_, std::move(hedge));
    return call.hedging_.hedge_;
}

/// Makes a hedged send at an upstream that this gateway chooses, or requests a slot from the broker.
void obtainSlot(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    SlotRequest request = makeHedgeRequest(state, now, call);
    if (!assignsSlots(state, state.region_)) {
        Hedge &hedge = *findRow(state.hedges_, insertHedge(state, id, call));
        hedge.slotRequest_ = state.nextSlotRequest_++;
        hedge.broker_ = *findBroker(state, state.region_);
        hedge.askedAt_ = now;
        request.number_ = hedge.slotRequest_;
        state.hedgeBySlotRequest_[hedge.slotRequest_] = call.hedging_.hedge_;
        sendSlotRequest(state, hedge.broker_, std::move(request), outbox);
        return;
    }
    const UpstreamId target = isServiceAwaited(state, call.service_)
        ? UpstreamId{}
        : chooseUpstream(state, now, request, assignedRegions(state));
    Upstream *upstream = findRow(state.upstreams_, target);
    if (upstream == nullptr) {
        recordRefusal(state, now, call, HedgeRefusal::NoSlot, outbox);
        return;
    }
    ++state.slotFlows_[call.service_].placed_;
    countAssignment(state, *upstream, request.route_, false);
    addBacklog(state, *upstream, now, request.promptTokens_);
    sendHedge(
        state, now, insertHedge(state, id, call), target, upstream->ownInFlight_ + upstream->peerInFlight_ + 1, outbox);
}

/// Notes whether a call has become slow. @return whether it has now
bool noteSlowCall(GatewayState &state, TimePoint now, Call &call)
{
    const bool onFirstSend = call.stage_ == CallStage::Sent && call.attempts_ == 1 && !call.hedging_.slow_;
    if (state.bounds_.hedgingShare_ <= 0 || !onFirstSend || now - call.sentAt_ < call.hedging_.threshold_) {
        return false;
    }
    call.hedging_.slow_ = true;
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr) {
        addEvent(upstream->slowCalls_, now, true);
    }
    return true;
}

/// Hedges a slow call unless something speaks against that.
void hedgeSlowCall(GatewayState &state, TimePoint now, CallId id, Call &call, GatewayOutbox &outbox)
{
    if (const auto refusal = findHedgeRefusal(collectConditions(state, now, call)); refusal) {
        recordRefusal(state, now, call, *refusal, outbox);
        return;
    }
    obtainSlot(state, now, id, call, outbox);
}

/// Drops the requests for slots to which the broker has not replied.
void expireSlotRequests(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    forEachRow(state.hedges_, [&](HedgeId /*id*/, Hedge &hedge) {
        if (hedge.send_ == 0 && now - hedge.askedAt_ >= hedgeReplyTimeout) {
            Call &call = *findRow(state.calls_, hedge.call_);
            recordRefusal(state, now, call, HedgeRefusal::NoSlot, outbox);
            eraseHedge(state, call);
        }
    });
}

} // namespace

uint32_t sizeClassOf(size_t bodyBytes)
{
    constexpr uint32_t bitsPerClass = 2; // a factor of four
    return static_cast<uint32_t>(std::bit_width(bodyBytes)) / bitsPerClass;
}

void addDuration(LatencyProfile &profile, Duration duration)
{
    profile.current_(FractionalSeconds(duration).count());
    if (Accumulators::count(profile.current_) >= profileCalls) {
        const FractionalSeconds threshold(
            Accumulators::quantile(profile.current_, Accumulators::quantile_probability = slowQuantile));
        profile.threshold_ = std::chrono::duration_cast<Duration>(threshold);
        profile.current_ = makeDurationStatistics();
    }
}

DecayingShare shareAt(const DecayingShare &share, TimePoint now)
{
    const double weight = std::exp(-(FractionalSeconds(now - share.at_) / shareMemory));
    return { share.hits_ * weight, share.total_ * weight, now };
}

void addEvent(DecayingShare &share, TimePoint now, bool hit)
{
    share = shareAt(share, now);
    share.hits_ += hit ? 1 : 0;
    share.total_ += 1;
}

void creditHedging(ServiceHedging &hedging, double share)
{
    hedging.tokens_ = std::min(hedgeBurst, hedging.tokens_ + share);
}

std::optional<HedgeRefusal> findHedgeRefusal(const HedgeConditions &conditions)
{
    if (conditions.attemptsLeft_ == 0) {
        return HedgeRefusal::Attempts;
    }
    if (conditions.timeLeft_ <= minHedgeTime) {
        return HedgeRefusal::Deadline;
    }
    if (conditions.crashSuspect_) {
        return HedgeRefusal::CrashSuspect;
    }
    if (conditions.callerRetries_ >= manyRetries && conditions.callerRetryShare_ >= manyRetriesShare) {
        return HedgeRefusal::CallersRetry;
    }
    if (conditions.slowUpstreams_ >= manySlowUpstreams
        && conditions.slowUpstreams_ * slowUpstreamsDivisor >= conditions.usedUpstreams_) {
        return HedgeRefusal::SlowUpstreams;
    }
    if (conditions.retryBudgetLow_) {
        return HedgeRefusal::RetryBudget;
    }
    return conditions.tokens_ < 1 ? std::optional(HedgeRefusal::Budget) : std::nullopt;
}

void recordHedgingArrival(GatewayState &state, TimePoint now, const Call &call)
{
    if (state.bounds_.hedgingShare_ > 0) {
        addEvent(state.hedgingByService_[call.service_].callerRetries_, now, call.callerRetry_);
    }
}

void prepareHedging(GatewayState &state, TimePoint now, CallId id, Call &call)
{
    if (state.bounds_.hedgingShare_ <= 0 || call.attempts_ != 1) {
        return;
    }
    if (call.triedInstances_.size() == 1) { // a send that reached no upstream is credited once
        creditHedging(state.hedgingByService_[call.service_], state.bounds_.hedgingShare_);
    }
    if (call.kind_ != CallKind::Idempotent) {
        return;
    }
    call.hedging_.firstSentAt_ = now;
    const auto profile = state.latencyProfiles_.find({ call.routeName_, sizeClassOf(call.request_.body_->size()) });
    if (profile != state.latencyProfiles_.end() && profile->second.threshold_) {
        call.hedging_.threshold_ = profile->second.threshold_;
        pushDeadline(state.hedgeChecks_, now + *call.hedging_.threshold_, id);
    }
}

void recordHedgingAnswer(GatewayState &state, TimePoint now, const Call &call)
{
    // The duration of a call whose first send was cancelled or failed is not that of an answer. One that is still in
    // flight when the hedged send is answered would take longer than until now; leaving it out would lower the
    // threshold with each hedge.
    const bool firstSendLasted = call.attempts_ == 1 || hasTwoSends(state, call);
    const bool hedgeable = call.kind_ == CallKind::Idempotent && call.hedging_.firstSentAt_ != TimePoint{};
    if (state.bounds_.hedgingShare_ <= 0 || !hedgeable || !firstSendLasted || call.mayHaveRun_) {
        return;
    }
    const LatencyKey key(call.routeName_, sizeClassOf(call.request_.body_->size()));
    addDuration(state.latencyProfiles_[key], now - call.hedging_.firstSentAt_);
    if (Upstream *upstream = findRow(state.upstreams_, call.upstream_); upstream != nullptr && !call.hedging_.slow_) {
        addEvent(upstream->slowCalls_, now, false);
    }
}

void runHedging(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    expireSlotRequests(state, now, outbox);
    std::vector<CallId> slow = popDue(state.hedgeChecks_, now);
    std::erase_if(slow, [&](CallId id) {
        Call *call = findRow(state.calls_, id);
        return call == nullptr || !noteSlowCall(state, now, *call);
    });
    for (const CallId id : slow) { // all are noted before: those that become slow together are no stragglers
        hedgeSlowCall(state, now, id, *findRow(state.calls_, id), outbox);
    }
}

TimePoint nextHedgingDeadline(const GatewayState &state)
{
    TimePoint next = nextDeadline(state.hedgeChecks_);
    forEachRow(state.hedges_, [&next](HedgeId /*id*/, const Hedge &hedge) {
        next = hedge.send_ == 0 ? std::min(next, hedge.askedAt_ + hedgeReplyTimeout) : next;
    });
    return next;
}

bool applyHedgeReply(GatewayState &state, TimePoint now, const SlotReply &reply, GatewayOutbox &outbox)
{
    const auto found = state.hedgeBySlotRequest_.find(reply.number_);
    if (found == state.hedgeBySlotRequest_.end()) {
        return false;
    }
    const HedgeId id = found->second;
    Call &call = *findRow(state.calls_, findRow(state.hedges_, id)->call_);
    const auto target = state.upstreamById_.find(reply.upstream_);
    const UpstreamId upstreamId = target == state.upstreamById_.end() ? UpstreamId{} : target->second;
    const Upstream *upstream = findRow(state.upstreams_, upstreamId);
    const bool granted = reply.grant_ > 0 && !reply.infeasible_;
    const bool usable = granted && call.stage_ == CallStage::Sent && upstream != nullptr && isAvailable(*upstream, now)
        && upstreamId != call.upstream_;
    // Budgets and verdicts may have changed since the request.
    const auto refusal = usable ? findHedgeRefusal(collectConditions(state, now, call)) : HedgeRefusal::NoSlot;
    if (!refusal) {
        sendHedge(state, now, id, upstreamId, reply.inFlight_, outbox);
        return true;
    }
    recordRefusal(state, now, call, *refusal, outbox);
    eraseHedge(state, call);
    if (granted) {
        markCountsPending(state); // the broker has to learn that the slot is not used
    }
    return true;
}

} // namespace Burdockfield::Gateway
