/**
 * @file gateway_hedging_func.h
 * @brief Decisions on hedged requests, and the system that makes them.
 */
#pragma once

#include "gateway_func.h"

namespace Burdockfield::Gateway {

/// @return the size class of a request: bodies of one class differ by less than a factor of four.
uint32_t sizeClassOf(size_t bodyBytes);

/// Adds the duration of an answered call to a profile.
void addDuration(LatencyProfile &profile, Duration duration);

/// Adds an event to a share.
void addEvent(DecayingShare &share, TimePoint now, bool hit);

/// @return the share as of @p now, with the weight that is left of its events.
DecayingShare shareAt(const DecayingShare &share, TimePoint now);

/// Credits a service's budget of hedged sends with one first send. @param share hedged sends allowed for each first
/// send
void creditHedging(ServiceHedging &hedging, double share);

/// @return why a slow call gets no hedged send; empty if it may get one when another upstream has a free slot.
std::optional<HedgeRefusal> findHedgeRefusal(const HedgeConditions &conditions);

/// Records an arrived call of a service.
void recordHedgingArrival(GatewayState &state, TimePoint now, const Call &call);

/// Credits the budget with a call's first send, and determines when the call counts as slow.
void prepareHedging(GatewayState &state, TimePoint now, CallId id, Call &call);

/// Learns from a call that was answered, before its other send is cancelled.
void recordHedgingAnswer(GatewayState &state, TimePoint now, const Call &call);

/// Makes hedged sends, or requests slots for them, for calls that have become slow.
void runHedging(GatewayState &state, TimePoint now, GatewayOutbox &outbox);

/// @return when hedging has to be run next.
TimePoint nextHedgingDeadline(const GatewayState &state);

/// Applies the reply to a slot request. @return false if the request was not made for a hedged send
bool applyHedgeReply(GatewayState &state, TimePoint now, const SlotReply &reply, GatewayOutbox &outbox);

/// Makes a call's hedged send, for which an upstream has a free slot. @param inFlight see sendCall()
void sendHedge(
    GatewayState &state, TimePoint now, HedgeId id, UpstreamId target, uint32_t inFlight, GatewayOutbox &outbox);

/// @return whether a call has two sends in flight.
bool hasTwoSends(const GatewayState &state, const Call &call);

/// Exchanges a call's own send for the other one, if @p send is the other. @return whether it has
bool takeUpSend(GatewayState &state, uint64_t send);

/// Undoes takeUpSend() if both sends are still in flight.
void putBackSend(GatewayState &state, uint64_t send);

/// Cancels that send of a call which is not its own one, or drops the request for its slot.
void cancelHedge(GatewayState &state, TimePoint now, Call &call, GatewayOutbox &outbox);

/// Makes the other send the call's only one after its own send has ended. @return false if there is no other
bool continueWithOtherSend(GatewayState &state, TimePoint now, CallId id, GatewayOutbox &outbox);

/// Removes a call's row from the table of hedges.
void eraseHedge(GatewayState &state, Call &call);

} // namespace Burdockfield::Gateway
