/**
 * @file gateway_brokers.cpp
 * @brief System that chooses the broker of each region: the gateway that assigns the slots of the region's upstreams.
 *
 * Every gateway computes the brokers by itself from what its peers say of themselves, so that nothing has to be agreed
 * on. The best candidate assigns slots; the second one receives the same counts of calls and can take over at once.
 * While gateways disagree for a moment, two of them assign slots by the same counts.
 */
#include "gateway_func.h"

#include "digest_func.h"

#include <algorithm>
#include <tuple>

namespace Burdockfield::Gateway {

namespace {

constexpr size_t candidatesPerRegion = 2; ///< The broker, and the one that takes over from it.
constexpr Milliseconds reviewInterval{ 20 }; ///< Time between computations; a failure is noticed after 60 ms or more.
/// Time after its start from which a gateway offers itself as a broker; it has the counts of its peers by then.
constexpr Milliseconds offerDelay{ 500 };
constexpr Milliseconds serveDelay{ 700 }; ///< The same until it acts as one: the peers have received its offer.

/// Gateway that may be the broker of a region.
struct Candidate
{
    bool sameRegion_ = false; ///< Whether it is in that region.
    uint32_t weight_ = 0; ///< How much processor time it has, see Peer::brokerWeight_.
    uint64_t hash_ = 0; ///< Rendezvous hash, which decides between equal gateways.
    std::string address_; ///< IP:PORT.
};

Candidate makeCandidate(
    const std::string &address, const std::string &ownRegion, uint32_t weight, const std::string &region)
{
    return { ownRegion == region, weight, fastHash(address, fastHash(region)), address };
}

/// @return the best candidates for a region in order.
std::vector<std::string> findCandidates(const GatewayState &state, TimePoint now, const std::string &region)
{
    std::vector<Candidate> candidates;
    if (const uint32_t weight = brokerWeight(state, now); weight > 0 && now - state.startedAt_ >= serveDelay) {
        candidates.push_back(makeCandidate(state.peerAddress_, state.region_, weight, region));
    }
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        if (peer.brokerWeight_ > 0 && isReachable(peer, now) && peer.avoidAsBrokerUntil_ <= now) {
            candidates.push_back(makeCandidate(peer.address_, peer.region_, peer.brokerWeight_, region));
        }
    });
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.sameRegion_, left.weight_, left.hash_)
            > std::tie(right.sameRegion_, right.weight_, right.hash_);
    });
    std::vector<std::string> addresses;
    for (const Candidate &candidate : candidates) {
        if (addresses.size() < candidatesPerRegion) {
            addresses.push_back(candidate.address_);
        }
    }
    return addresses;
}

/// Has the counts of calls sent to a peer that has become a candidate.
void announceCounts(GatewayState &state, const std::string &address)
{
    if (const auto found = state.peerByAddress_.find(address); found != state.peerByAddress_.end()) {
        findRow(state.peers_, found->second)->countsPending_ = true;
    }
}

} // namespace

uint32_t brokerWeight(const GatewayState &state, TimePoint now)
{
    const bool canServe = isReady(state) && now - state.startedAt_ >= offerDelay;
    constexpr double weightOfACore = 1000;
    return canServe ? std::max(1U, static_cast<uint32_t>(state.processorShare_ * weightOfACore)) : 0;
}

void runBrokers(GatewayState &state, TimePoint now, GatewayOutbox &outbox)
{
    if (now < state.brokersReviewAt_) {
        return;
    }
    state.brokersReviewAt_ = now + reviewInterval;
    if (const uint32_t weight = brokerWeight(state, now); weight != state.announcedBrokerWeight_) {
        state.announcedBrokerWeight_ = weight;
        state.lastFullUpdateAt_ = {}; // makes a full update due
    }
    updateSpeedMeans(state);
    updateSlotFlows(state, now);
    std::set<std::string> regions{ state.region_ };
    for (const auto &[zone, region] : state.regionByZone_) {
        regions.insert(region);
    }
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (findService(state.configuration_, upstream.service_) != nullptr) { // others get no calls
            regions.insert(upstream.region_);
        }
    });
    for (const std::string &region : regions) {
        std::vector<std::string> candidates = findCandidates(state, now, region);
        std::vector<std::string> &current = state.brokersByRegion_[region];
        if (candidates == current) {
            continue;
        }
        const std::string none = "none";
        outbox.decisions_.push_back({ "broker",
            { { "region", region }, { "broker", candidates.empty() ? none : candidates.front() },
                { "before", current.empty() ? none : current.front() },
                { "standby", candidates.size() < candidatesPerRegion ? none : candidates.back() } } });
        current = std::move(candidates);
        for (const std::string &address : current) {
            announceCounts(state, address);
        }
    }
}

const std::string *findBroker(const GatewayState &state, const std::string &region)
{
    const auto found = state.brokersByRegion_.find(region);
    return found == state.brokersByRegion_.end() || found->second.empty() ? nullptr : &found->second.front();
}

bool assignsSlots(const GatewayState &state, const std::string &region)
{
    const std::string *broker = findBroker(state, region);
    return broker == nullptr || *broker == state.peerAddress_;
}

void avoidBroker(GatewayState &state, TimePoint now, const std::string &address, GatewayOutbox &outbox)
{
    constexpr std::chrono::seconds avoidance{ 1 }; // a process that stalls or is cut off is replaced at once
    if (const auto found = state.peerByAddress_.find(address); found != state.peerByAddress_.end()) {
        findRow(state.peers_, found->second)->avoidAsBrokerUntil_ = now + avoidance;
        outbox.decisions_.push_back({ "broker-timeout", { { "peer", address } }, true });
        count(state.metrics_, "brokers_avoided", "silent");
        state.brokersReviewAt_ = now;
        runBrokers(state, now, outbox);
    }
}

std::set<std::string> findCountReceivers(const GatewayState &state)
{
    std::set<std::string> regions{ state.region_ };
    for (const auto &[region, at] : state.countedRegions_) {
        regions.insert(region);
    }
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.ownInFlight_ > 0) {
            regions.insert(upstream.region_);
        }
    });
    std::set<std::string> receivers;
    for (const std::string &region : regions) {
        if (const auto found = state.brokersByRegion_.find(region); found != state.brokersByRegion_.end()) {
            receivers.insert(found->second.begin(), found->second.end());
        }
    }
    return receivers;
}

} // namespace Burdockfield::Gateway
