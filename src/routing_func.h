/**
 * @file routing_func.h
 * @brief Selection of the upstream for a request.
 */
#pragma once

#include "entry_base.h"

#include <optional>

namespace Burdockfield {

/// Assumed round-trip time to an agent in the same availability zone.
constexpr FractionalSeconds sameZoneRoundTrip{ 0.001 };

/// Assumed round-trip time to an agent in another availability zone of the region.
constexpr FractionalSeconds sameRegionRoundTrip{ 0.002 };

/// Assumed round-trip time to an agent in another region, plus a penalty because cross-region traffic is charged.
constexpr FractionalSeconds otherRegionRoundTrip{ 0.25 };

/// Penalty for pausing a run of a lower tier, because its prefill may have to be repeated.
constexpr FractionalSeconds preemptionPenalty{ 1.0 };

/// Prompt tokens per second assumed for an upstream that has not reported a rate.
constexpr double assumedPrefillRate = 2000;

/// Generated tokens per second of one run assumed for an upstream that has not reported a rate.
constexpr double assumedDecodeRate = 40;

/// Selected upstream, with the candidates for the decision log.
struct RoutingChoice
{
    std::optional<UpstreamId> upstream_; ///< Empty if no upstream has capacity.
    std::vector<DecisionCandidate> candidates_; ///< Upstreams that were considered.
};

/// @return whether the upstream may be sent runs of the route, regardless of its capacity.
bool isEligible(const Upstream &upstream, const std::string &route, TimePoint now);

/// @return how many more runs of the tier this entry may send to the upstream.
uint32_t freeOrderCapacity(const Upstream &upstream, TierRank rank);

/// @return the expected time until the answer is complete if the run is sent now, penalties included.
FractionalSeconds expectedFinish(const EntryState &state, const Upstream &upstream, const Request &request);

/// @return the expected time to process the part of the prompt that the upstream has not cached.
FractionalSeconds expectedPrefill(const EntryState &state, const Upstream &upstream, const Request &request);

/// @return the expected time to generate @p tokens tokens of one answer.
FractionalSeconds expectedDecode(const Upstream &upstream, uint32_t tokens);

/// Selects an upstream for a waiting request according to the entry's policy.
RoutingChoice chooseUpstream(EntryState &state, Route &route, const Request &request, TimePoint now);

} // namespace Burdockfield
