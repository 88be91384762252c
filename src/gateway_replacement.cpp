/**
 * @file gateway_replacement.cpp
 * @brief Upstreams that were replaced by another instance of their service at the same address.
 */
#include "gateway_replacement_func.h"

namespace Burdockfield::Gateway {

namespace {

void logReplacement(const Upstream &upstream, const char *change, const std::string &other, GatewayOutbox &outbox)
{
    outbox.decisions_.push_back({ "upstream",
        { { "upstream", upstream.id_ }, { "change", change }, { "service", upstream.service_ },
            { "address", upstream.address_ }, { "source", other } } });
}

/// @return whether the first row of one upstream was written after that of another.
bool isListedAfter(const Upstream &upstream, const Upstream &other)
{
    return other.rowVersion_ != 0 && upstream.rowVersion_ > other.rowVersion_;
}

void markReplaced(
    GatewayState &state, TimePoint now, Upstream &upstream, const Upstream &successor, GatewayOutbox &outbox)
{
    if (isReplaced(upstream)) {
        return;
    }
    upstream.replacedAtVersion_ = successor.rowVersion_;
    recordReplacedUpstream(state, now, upstream, outbox);
    outbox.replacedAddresses_.push_back(upstream.address_);
    logReplacement(upstream, "replaced", successor.id_, outbox);
    count(state.metrics_, "upstreams_replaced", upstream.service_);
}

} // namespace

bool isReplaced(const Upstream &upstream)
{
    return upstream.replacedAtVersion_ != 0;
}

void recordAddress(GatewayState &state, TimePoint now, UpstreamId id, GatewayOutbox &outbox)
{
    Upstream &upstream = *findRow(state.upstreams_, id);
    const std::pair place(upstream.service_, upstream.address_);
    UpstreamId &latest = state.latestUpstreamByPlace_.try_emplace(place, id).first->second;
    Upstream *other = findRow(state.upstreams_, latest);
    if (isListedAfter(upstream, *other)) {
        latest = id;
        markReplaced(state, now, *other, upstream, outbox);
    } else if (isListedAfter(*other, upstream)) {
        markReplaced(state, now, upstream, *other, outbox);
    }
}

void forgetAddress(GatewayState &state, const Upstream &upstream)
{
    const auto found = state.latestUpstreamByPlace_.find({ upstream.service_, upstream.address_ });
    if (found != state.latestUpstreamByPlace_.end() && findRow(state.upstreams_, found->second) == &upstream) {
        state.latestUpstreamByPlace_.erase(found);
    }
}

void recordRowWritten(Upstream &upstream, const UpstreamRow &row, GatewayOutbox &outbox)
{
    if (isReplaced(upstream) && row.rowVersion_ > upstream.replacedAtVersion_) {
        upstream.replacedAtVersion_ = 0;
        logReplacement(upstream, "written-again", "store", outbox);
    }
}

} // namespace Burdockfield::Gateway
