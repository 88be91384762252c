/**
 * @file gateway_suspects.cpp
 * @brief Finds requests that crash the upstreams that run them.
 *
 * A broken connection alone says little: upstreams reset single calls too. Calls that broke become suspects when their
 * upstream proves to be down right after. Other calls that ran there are counted with the culprit, but do not come up
 * at one crash after another. Every gateway counts what it has seen, and adds what its peers have.
 */
#include "gateway_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr uint32_t crashLimit = 3; ///< Crashes after which a request is not run again.
constexpr std::chrono::seconds suspectRetention{ 60 }; ///< Time for which crashes are remembered.
constexpr Milliseconds crashWindow{ 2000 }; ///< Time in which an upstream has to prove down after calls broke there.
constexpr size_t suspectLimit = 64; ///< Suspects told to peers, the latest first; 1.6 KB.

void trimBroken(Upstream &upstream, TimePoint now)
{
    std::erase_if(upstream.brokenCalls_, [now](const BrokenCall &call) { return now - call.at_ > crashWindow; });
}

} // namespace

void recordBrokenCall(Upstream &upstream, TimePoint now, uint64_t fingerprint)
{
    trimBroken(upstream, now);
    upstream.brokenCalls_.push_back({ fingerprint, now });
}

void recordUpstreamCrash(GatewayState &state, TimePoint now, Upstream &upstream, GatewayOutbox &outbox)
{
    trimBroken(upstream, now);
    if (upstream.brokenCalls_.empty()) {
        return;
    }
    for (const BrokenCall &call : upstream.brokenCalls_) {
        CrashSuspect &suspect = state.suspects_[call.fingerprint_];
        ++suspect.crashes_;
        suspect.lastAt_ = now;
    }
    outbox.decisions_.push_back({ "upstream-crashed",
        { { "upstream", upstream.id_ }, { "suspects", std::to_string(upstream.brokenCalls_.size()) } }, true });
    upstream.brokenCalls_.clear();
    std::erase_if(state.suspects_, [now](const auto &item) { return now - item.second.lastAt_ > suspectRetention; });
    state.lastFullUpdateAt_ = {}; // peers have to know before the request comes to them
}

std::map<uint64_t, uint32_t> recentCrashSuspects(const GatewayState &state, TimePoint now)
{
    std::vector<std::pair<TimePoint, uint64_t>> latest;
    for (const auto &[fingerprint, suspect] : state.suspects_) {
        if (now - suspect.lastAt_ <= suspectRetention) {
            latest.emplace_back(suspect.lastAt_, fingerprint);
        }
    }
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(std::min(latest.size(), suspectLimit));
    std::map<uint64_t, uint32_t> suspects;
    for (const auto &[at, fingerprint] : latest) {
        suspects[fingerprint] = state.suspects_.at(fingerprint).crashes_;
    }
    return suspects;
}

bool isCrashSuspect(const GatewayState &state, TimePoint now, uint64_t fingerprint)
{
    const auto own = state.suspects_.find(fingerprint);
    const bool recent = own != state.suspects_.end() && now - own->second.lastAt_ <= suspectRetention;
    uint32_t crashes = recent ? own->second.crashes_ : 0;
    forEachRow(state.peers_, [&](PeerId /*id*/, const Peer &peer) {
        const auto seen = peer.suspects_.find(fingerprint);
        crashes += seen == peer.suspects_.end() ? 0 : seen->second;
    });
    return crashes >= crashLimit;
}

} // namespace Burdockfield::Gateway
