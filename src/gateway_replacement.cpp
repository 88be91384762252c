/**
 * @file gateway_replacement.cpp
 * @brief Upstreams that were replaced by another instance at the same address.
 */
#include "gateway_replacement_func.h"

namespace Burdockfield::Gateway {

namespace {

/// Time for which a replaced upstream gets no calls. Its row expires three heartbeats after its end, and upstreams
/// write about every second; a row that stays longer is that of a living process.
constexpr Milliseconds replacementValidity{ 5000 };

void logReplacement(const Upstream &upstream, const char *change, const std::string &source, GatewayOutbox &outbox)
{
    outbox.decisions_.push_back({ "upstream",
        { { "upstream", upstream.id_ }, { "change", change }, { "service", upstream.service_ },
            { "address", upstream.address_ }, { "source", source } } });
}

void takeBack(Upstream &upstream, const std::string &source, GatewayOutbox &outbox)
{
    if (upstream.replacedUntil_ != TimePoint{}) {
        upstream.replacedUntil_ = {};
        logReplacement(upstream, "taken-back", source, outbox);
    }
}

/// @return whether the first row of one upstream was written after that of another.
bool isListedAfter(const Upstream &upstream, const Upstream &other)
{
    return other.rowVersion_.version_ != 0 && upstream.rowVersion_ > other.rowVersion_;
}

void markReplaced(
    GatewayState &state, TimePoint now, Upstream &upstream, const Upstream &successor, GatewayOutbox &outbox)
{
    recordReplacedUpstream(state, now, upstream, outbox);
    upstream.replacedUntil_ = now + replacementValidity;
    upstream.replacedAtVersion_ = successor.rowVersion_;
    logReplacement(upstream, "replaced", successor.id_, outbox);
    count(state.metrics_, "upstreams_replaced", upstream.service_);
}

} // namespace

bool isReplaced(const Upstream &upstream, TimePoint now)
{
    return upstream.replacedUntil_ > now;
}

void recordAddress(GatewayState &state, TimePoint now, UpstreamId id, GatewayOutbox &outbox)
{
    Upstream &upstream = *findRow(state.upstreams_, id);
    if (upstream.rowVersion_.version_ == 0 || findService(state.configuration_, upstream.service_) == nullptr) {
        return;
    }
    UpstreamId &latest = state.latestUpstreamByAddress_.try_emplace(upstream.address_, id).first->second;
    Upstream &other = *findRow(state.upstreams_, latest);
    if (isListedAfter(upstream, other)) {
        latest = id;
        markReplaced(state, now, other, upstream, outbox);
        outbox.replacedAddresses_.push_back(upstream.address_);
    } else if (isListedAfter(other, upstream)) {
        markReplaced(state, now, upstream, other, outbox);
    }
}

void forgetAddress(GatewayState &state, const Upstream &upstream)
{
    const auto found = state.latestUpstreamByAddress_.find(upstream.address_);
    if (found != state.latestUpstreamByAddress_.end() && findRow(state.upstreams_, found->second) == &upstream) {
        state.latestUpstreamByAddress_.erase(found);
    }
}

void recordRowWritten(Upstream &upstream, const UpstreamRow &row, GatewayOutbox &outbox)
{
    if (row.rowVersion_ > upstream.replacedAtVersion_) {
        takeBack(upstream, "row", outbox);
    }
}

void recordSignOfLife(Upstream &upstream, GatewayOutbox &outbox)
{
    takeBack(upstream, "answer", outbox);
}

void recordWrongInstance(GatewayState &state, const Upstream &notThere, GatewayOutbox &outbox)
{
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, Upstream &upstream) {
        if (upstream.address_ == notThere.address_ && &upstream != &notThere) {
            takeBack(upstream, notThere.id_, outbox);
        }
    });
}

} // namespace Burdockfield::Gateway
