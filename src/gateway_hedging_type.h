/**
 * @file gateway_hedging_type.h
 * @brief Hedged requests: second sends of slow idempotent calls, and what decides whether one is made.
 */
#pragma once

#include "gateway_call_type.h"
#include "metrics_type.h"
#include "pool_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Burdockfield::Gateway {

struct Call;
struct Upstream;

/// Durations of the calls of one route and size class, from the first send to the complete answer.
struct LatencyProfile
{
    DurationStatistics current_ = makeDurationStatistics(); ///< Calls since threshold_ was last computed.
    std::optional<Duration> threshold_; ///< Duration that few calls exceed; empty until enough calls were answered.
};

/// Route and size class of calls, see sizeClassOf().
using LatencyKey = std::pair<std::string, uint32_t>;

/// Recent share of events with a property. Events count less the older they are.
struct DecayingShare
{
    double hits_ = 0; ///< Events with the property, as of at_.
    double total_ = 0; ///< All events, as of at_.
    TimePoint at_{}; ///< When an event was last added.
};

/// Reason for which a slow call gets no hedged send.
enum class HedgeRefusal : uint8_t {
    Attempts, ///< Its attempts are used up.
    Deadline, ///< Its deadline is too close.
    CrashSuspect, ///< It has a trait of a crash suspect.
    CallersRetry, ///< Many callers retry.
    SlowUpstreams, ///< Many of the service's upstreams are slow.
    RetryBudget, ///< Few retries are left in the service's retry budget.
    Budget, ///< The share of hedged sends that the operator allows is used up.
    NoSlot, ///< No other upstream has a free slot.
};

/// What decides whether a slow call gets a hedged send.
struct HedgeConditions
{
    uint32_t attemptsLeft_ = 0; ///< Upstreams that the call may still be sent to.
    Duration timeLeft_{}; ///< Time until its deadline.
    bool crashSuspect_ = false; ///< Whether it has a trait of a crash suspect.
    double callerRetries_ = 0; ///< Recent calls of the service that are callers' retries.
    double callerRetryShare_ = 0; ///< Their share of the recent calls of the service.
    size_t usedUpstreams_ = 0; ///< Upstreams of the service that recently answered calls, or were slow to.
    size_t slowUpstreams_ = 0; ///< Those of them that were slow for an unusual share of the calls.
    bool retryBudgetLow_ = false; ///< Whether the retries left are needed for calls that fail.
    double tokens_ = 0; ///< See ServiceHedging::tokens_.
};

/// Hedging of a service's calls.
struct ServiceHedging
{
    double tokens_ = 0; ///< Hedged sends that this gateway may still make.
    DecayingShare callerRetries_; ///< Calls that arrived, and those of them that are callers' retries.
    uint64_t refusedByBudget_ = 0; ///< Hedged sends refused because of tokens_ since the last log line.
    TimePoint refusalLoggedAt_{}; ///< When such refusals were last logged.
};

/**
 * Hedged send of a call, or the request for its slot. It holds the send of the call that is not the call's own one: the
 * call and the row exchange their sends when the hedged one ends first.
 */
struct Hedge
{
    PoolId<Call> call_; ///< The call.
    uint64_t slotRequest_ = 0; ///< Number of the slot request; 0 if this gateway has chosen the upstream.
    std::string broker_; ///< IP:PORT of the broker that it was sent to; empty if this gateway has chosen.
    TimePoint askedAt_{}; ///< When it was sent.

    uint64_t send_ = 0; ///< Number of the send; 0 while there is no slot.
    PoolId<Upstream> upstream_; ///< Upstream of the send.
    std::string upstreamAddress_; ///< IP:PORT of that upstream.
    TimePoint sentAt_{}; ///< Time of the send.
    TimePoint lastReceivedAt_{}; ///< See Call::lastReceivedAt_.
    AnswerHead head_; ///< Header of the answer.
    bool headReceived_ = false; ///< Whether head_ has been received.
    std::string body_; ///< Body of the answer so far.
};

using HedgeId = PoolId<Hedge>; ///< Index of a hedge.

/// What hedging knows of a call.
struct CallHedging
{
    std::optional<Duration> threshold_; ///< Time after which the call counts as slow; empty if it is never hedged.
    TimePoint firstSentAt_{}; ///< Time of the first send.
    bool slow_ = false; ///< Whether its first send took longer than threshold_.
    HedgeId hedge_; ///< Its row in the table of hedges; matches no row if it has none.
    bool ownSendIsHedge_ = false; ///< Whether the call's own send is the hedged one.
};

} // namespace Burdockfield::Gateway
