/**
 * @file crash_evidence_type.h
 * @brief What is known of requests that crash the upstreams that answer them.
 *
 * Requests are compared by traits: the hash of a whole request, and of each part of its prompt that others may have as
 * well. A trait that causes crashes is at one crash after another and is never answered. Sound traits may be at many
 * crashes, too, but are also answered.
 */
#pragma once

#include "time_type.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Burdockfield {

using Trait = uint64_t; ///< Hash of something that requests may have in common.

/// How few requests have a trait: the position of a part in the prompt, which only requests with the parts before
/// share.
using TraitDepth = uint32_t;
constexpr TraitDepth wholeRequestDepth = 255; ///< Depth of the hash of a whole request.
using TraitDepths = std::map<Trait, TraitDepth>; ///< Traits with their depths.

/// Start of an upstream, which crashes at most once. Gateways that see the same crash name it by this.
struct UpstreamStart
{
    std::string id_; ///< Id of the upstream.
    uint64_t startedAtMs_ = 0; ///< Its start in Unix milliseconds, as an id may be used again.

    auto operator<=>(const UpstreamStart &) const = default;
};

/// Crash as one gateway has seen it.
struct CrashReport
{
    UpstreamStart upstream_; ///< What crashed.
    TimePoint at_{}; ///< When the first connection to it broke.
    TraitDepths traits_; ///< Traits of the calls that were there and whose answer was not complete.
};

/// Trait that was at crashes and has not been answered.
struct CrashSuspect
{
    TraitDepth depth_ = 0; ///< How few requests have it.
    std::set<UpstreamStart> crashes_; ///< Crashes at which it was.
};

/// Decision that a trait causes crashes. Gateways exchange verdicts; the higher number, then a withdrawal, prevails.
struct CrashVerdict
{
    uint32_t number_ = 0; ///< How often the trait has been condemned.
    bool withdrawn_ = false; ///< Whether the trait has been answered since.
    /// Requests that were sent all the same, to find out whether the verdict still holds. Those that crashed upstreams
    /// long after the third one, before the verdict, count among them.
    uint32_t trials_ = 0;
    TimePoint nextTrialAt_{ noDeadline }; ///< When the next such request may be sent.
    TimePoint usedAt_{}; ///< When the verdict last changed, or a request with the trait last arrived.
};

/// Crashes, the traits that were at them, and the verdicts on traits.
struct CrashEvidence
{
    std::map<UpstreamStart, TimePoint> crashes_; ///< Recent crashes of all gateways, with their times.
    std::unordered_map<Trait, CrashSuspect> suspects_; ///< Traits that were at them, as long as they are not answered.
    std::unordered_map<Trait, TimePoint> answeredAt_; ///< When a trait was last answered, if that was recently.
    std::map<Trait, CrashVerdict> verdicts_; ///< Verdicts, withdrawn ones included.
    TimePoint reviewAt_{ noDeadline }; ///< When the suspects have to be reviewed next.
    TimePoint expireAt_{}; ///< When outdated entries are removed next.
};

} // namespace Burdockfield
