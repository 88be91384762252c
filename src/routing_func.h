/**
 * @file routing_func.h
 * @brief Choice of the upstream for a request.
 */
#pragma once

#include "entry_base.h"

#include <optional>

namespace Burdockfield {

/// Round trip to an agent in the same availability zone.
constexpr FractionalSeconds sameZoneRoundTrip{ 0.001 };

/// Round trip to an agent in another availability zone of the region.
constexpr FractionalSeconds sameRegionRoundTrip{ 0.002 };

/// Round trip to an agent in another region, with a surcharge for paid cross traffic.
constexpr FractionalSeconds otherRegionRoundTrip{ 0.25 };

/// Surcharge for pausing a run of a lower tier, whose prefill may have to be done again.
constexpr FractionalSeconds preemptionPenalty{ 1.0 };

/// Speeds assumed of an upstream that has not reported any.
constexpr double assumedPrefillRate = 2000;
constexpr double assumedDecodeRate = 40; ///< Tokens a second of one run.

/// Chosen upstream, with what the log says of it.
struct RoutingChoice
{
    std::optional<UpstreamId> upstream_; ///< The choice, or none when no upstream has room.
    std::vector<DecisionCandidate> candidates_; ///< Upstreams considered.
};

/// @return whether the upstream may be given runs of the route at all.
bool isEligible(const Upstream &upstream, const std::string &route, TimePoint now);

/// @return how many more runs of the tier this entry may order.
uint32_t freeOrderCapacity(const Upstream &upstream, TierRank rank);

/// @return the expected time until the answer is complete, if the run were ordered now.
FractionalSeconds expectedFinish(const EntryState &state, const Upstream &upstream, const Request &request);

/// @return the expected time that the upstream works on the request's prompt.
FractionalSeconds expectedPrefill(const EntryState &state, const Upstream &upstream, const Request &request);

/// @return the expected time that the upstream takes to generate @p tokens tokens of one answer.
FractionalSeconds expectedDecode(const Upstream &upstream, uint32_t tokens);

/// Chooses an upstream for a waiting request under the entry's policy.
RoutingChoice chooseUpstream(EntryState &state, Route &route, const Request &request, TimePoint now);

} // namespace Burdockfield
