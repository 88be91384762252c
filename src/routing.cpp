/**
 * @file routing.cpp
 * @brief Choice of the upstream for a request.
 */
#include "routing_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr double bytesPerToken = 4; ///< Estimate for cached prefix blocks.

FractionalSeconds roundTrip(const NodeIdentity &place, const Upstream &upstream)
{
    if (upstream.region_ != place.region_) {
        return otherRegionRoundTrip;
    }
    return upstream.zone_ == place.zone_ ? sameZoneRoundTrip : sameRegionRoundTrip;
}

/// @return prompt tokens that the upstream has to work through.
double uncachedPromptTokens(const EntryState &state, const Upstream &upstream, const Request &request)
{
    const double known = state.policy_.prefixAffinity_
        ? static_cast<double>(countCachedBlocks(upstream.prefixes_, request.prefixes_) * prefixBlockBytes)
        : 0;
    return std::max(1.0, static_cast<double>(request.promptTokens_) - known / bytesPerToken);
}

RoutingChoice chooseInTurn(const EntryState &state, Route &route, const Request &request, TimePoint now)
{
    RoutingChoice choice;
    for (size_t tried = 0; tried < route.candidates_.size(); ++tried) {
        const UpstreamId id = route.candidates_[route.nextCandidate_ % route.candidates_.size()];
        ++route.nextCandidate_;
        const Upstream *upstream = findRow(state.upstreams_, id);
        if (upstream == nullptr || !isEligible(*upstream, route.name_, now)) {
            continue;
        }
        if (state.policy_.lateBinding_ && freeOrderCapacity(*upstream, request.tier_) == 0) {
            continue;
        }
        choice.candidates_.push_back({ upstream->name_, FractionalSeconds(0) });
        choice.upstream_ = id;
        return choice;
    }
    return choice;
}

RoutingChoice chooseEarliest(const EntryState &state, const Route &route, const Request &request, TimePoint now)
{
    RoutingChoice choice;
    FractionalSeconds best{ 0 };
    for (const UpstreamId id : route.candidates_) {
        const Upstream *upstream = findRow(state.upstreams_, id);
        if (upstream == nullptr || !isEligible(*upstream, route.name_, now)) {
            continue;
        }
        if (state.policy_.lateBinding_ && freeOrderCapacity(*upstream, request.tier_) == 0) {
            continue;
        }
        const FractionalSeconds expected = expectedFinish(state, *upstream, request);
        choice.candidates_.push_back({ upstream->name_, expected });
        if (!choice.upstream_ || expected < best) {
            best = expected;
            choice.upstream_ = id;
        }
    }
    return choice;
}

} // namespace

bool isEligible(const Upstream &upstream, const std::string &route, TimePoint now)
{
    if (now < upstream.backoffUntil_ || !upstream.reported_ || !upstream.report_.reachable_ || upstream.leaving_
        || upstream.drained_) {
        return false;
    }
    const auto &routes = upstream.report_.routes_;
    return !upstream.report_.leaving_ && std::find(routes.begin(), routes.end(), route) != routes.end();
}

uint32_t freeOrderCapacity(const Upstream &upstream, TierRank rank)
{
    const uint32_t room = freeCapacity(upstream.report_, rank);
    const uint32_t ordered = countAtOrAbove(upstream.pendingOrders_, rank);
    return ordered < room ? room - ordered : 0;
}

FractionalSeconds expectedFinish(const EntryState &state, const Upstream &upstream, const Request &request)
{
    const AgentReport &report = upstream.report_;
    const FractionalSeconds prefill = expectedPrefill(state, upstream, request);
    const FractionalSeconds decode = expectedDecode(upstream, request.answerTokens_);
    const uint32_t before
        = countAtOrAbove(report.occupied_, request.tier_) + countAtOrAbove(upstream.pendingOrders_, request.tier_);
    const double slots = std::max(1U, report.slots_);
    const double rounds = std::max(0.0, (static_cast<double>(before) + 1 - slots) / slots);
    const uint32_t all = countAtOrAbove(report.occupied_, 0) + countAtOrAbove(upstream.pendingOrders_, 0);
    const bool pauses = all >= report.slots_ && before < report.slots_;
    const FractionalSeconds pause = pauses ? preemptionPenalty : FractionalSeconds(0);
    return roundTrip(state.identity_, upstream) + (prefill + decode) * (1 + rounds) + pause;
}

FractionalSeconds expectedDecode(const Upstream &upstream, uint32_t tokens)
{
    const double reported = upstream.report_.decodeRate_;
    return FractionalSeconds(tokens / (reported > 0 ? reported : assumedDecodeRate));
}

FractionalSeconds expectedPrefill(const EntryState &state, const Upstream &upstream, const Request &request)
{
    const double reported = upstream.report_.prefillRate_;
    const double rate = reported > 0 ? reported : assumedPrefillRate;
    return FractionalSeconds(uncachedPromptTokens(state, upstream, request) / rate);
}

RoutingChoice chooseUpstream(EntryState &state, Route &route, const Request &request, TimePoint now)
{
    if (state.policy_.routing_ == RoutingRule::RoundRobin) {
        return chooseInTurn(state, route, request, now);
    }
    return chooseEarliest(state, route, request, now);
}

} // namespace Burdockfield
