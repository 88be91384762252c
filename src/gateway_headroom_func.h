/**
 * @file gateway_headroom_func.h
 * @brief Forecast of the slots that urgent calls will need, for which less urgent ones leave room.
 */
#pragma once

#include "gateway_headroom_type.h"

namespace Burdockfield::Gateway {

/// Records that a call of a rank needs a slot; a call that its caller retries counts again.
void recordArrival(ServiceHeadroom &headroom, size_t ranksBelow);

/// Records that a call of a rank has got a slot.
void recordPlacement(ServiceHeadroom &headroom, size_t ranksBelow);

/// Records for how long calls have held their slots.
void recordHolds(ServiceHeadroom &headroom, const HoldReports &holds);

/// Updates the averages. After a pause, as of a gateway that has become the broker again, they are learnt anew.
void updateDemand(ServiceHeadroom &headroom, TimePoint now);

/// Sets the free slots of all upstreams, and scales the estimates by rank to the calls in flight there.
void setPool(ServiceHeadroom &headroom, double freeSlots, double callsInFlight);

/// @return whether the demand has been observed for long enough for a forecast.
bool hasForecast(const ServiceHeadroom &headroom, TimePoint now);

/// @return the free slots that calls of a rank leave to more urgent ones, beyond those that these hold already.
double reservedSlots(const ServiceHeadroom &headroom, size_t ranksBelow);

/// @return whether a free slot is left for a call of a rank. The top rank may use every slot.
bool mayTakeSlot(const ServiceHeadroom &headroom, size_t ranksBelow);

} // namespace Burdockfield::Gateway
