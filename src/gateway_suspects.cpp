/**
 * @file gateway_suspects.cpp
 * @brief Detects requests that crash the upstreams that run them.
 *
 * A broken connection alone is no evidence, because upstreams also reset single calls. Calls whose connection broke
 * become suspects when their upstream turns out to be unreachable shortly after. Other calls whose connection to
 * that upstream broke are counted as well, but only the request that causes the crashes is present at one crash after
 * another. Every gateway counts the crashes that it has seen and adds the counts of its peers.
 */
#include "gateway_func.h"

#include "digest_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

constexpr uint32_t crashLimit = 3; ///< Crashes after which a request is refused.
constexpr std::chrono::seconds suspectRetention{ 60 }; ///< Time after the last crash for which a suspect is kept.
constexpr Milliseconds crashWindow{ 2000 }; ///< Longest time from a broken call to a crash that it may have caused.
constexpr size_t maxSentSuspects = 64; ///< Suspects sent to peers, the latest first; takes 1.6 KB.

void removeExpiredBrokenCalls(Upstream &upstream, TimePoint now)
{
    std::erase_if(upstream.brokenCalls_, [now](const BrokenCall &call) { return now - call.at_ > crashWindow; });
}

/// Logs a call that was at an upstream when it crashed, how far its answer had come, and the parts of its prompt.
void logBrokenCall(const Upstream &upstream, const BrokenCall &call, GatewayOutbox &outbox)
{
    std::string parts;
    for (const uint64_t part : call.promptParts_) {
        parts += (parts.empty() ? "" : ",") + toHex(part);
    }
    outbox.decisions_.push_back({ "crash-suspect",
        { { "request", call.request_ }, { "upstream", upstream.id_ }, { "head", call.headReceived_ ? "yes" : "no" },
            { "events", std::to_string(call.events_) }, { "parts", parts } },
        true });
}

} // namespace

void recordBrokenCall(Upstream &upstream, TimePoint now, const Call &call)
{
    removeExpiredBrokenCalls(upstream, now);
    upstream.brokenCalls_.push_back(
        { call.request_.id_, call.fingerprint_, call.request_.promptParts_, call.headReceived_, call.events_, now });
}

void recordUpstreamCrash(GatewayState &state, TimePoint now, Upstream &upstream, GatewayOutbox &outbox)
{
    removeExpiredBrokenCalls(upstream, now);
    if (upstream.brokenCalls_.empty()) {
        return;
    }
    for (const BrokenCall &call : upstream.brokenCalls_) {
        CrashSuspect &suspect = state.suspects_[call.fingerprint_];
        ++suspect.crashes_;
        suspect.lastAt_ = now;
        logBrokenCall(upstream, call, outbox);
    }
    outbox.decisions_.push_back({ "upstream-crashed",
        { { "upstream", upstream.id_ }, { "suspects", std::to_string(upstream.brokenCalls_.size()) } }, true });
    upstream.brokenCalls_.clear();
    std::erase_if(state.suspects_, [now](const auto &item) { return now - item.second.lastAt_ > suspectRetention; });
    state.lastFullUpdateAt_ = {}; // makes a full update due: peers need the suspects before the request reaches them
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
    latest.resize(std::min(latest.size(), maxSentSuspects));
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
        const auto found = peer.suspects_.find(fingerprint);
        crashes += found == peer.suspects_.end() ? 0 : found->second;
    });
    return crashes >= crashLimit;
}

} // namespace Burdockfield::Gateway
