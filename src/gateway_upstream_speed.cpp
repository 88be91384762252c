/**
 * @file gateway_upstream_speed.cpp
 * @brief What gateways learn of upstreams from their answers: failures, speed, and the load that upstreams report.
 *
 * Upstreams of one service differ in speed by a factor of three and more, and share their machines with others. Speed
 * is learnt from the time that prompts take to be read. Their own reports only ever count against them:
 * one that claims to be idle gets no more calls than its counts allow.
 */
#include "gateway_func.h"

#include <algorithm>
#include <cmath>

namespace Burdockfield::Gateway {

namespace {

constexpr std::chrono::duration<double> failureHalfLife{ 1.5 }; ///< Time after which a failure counts half as much.
constexpr double newestOutcomeWeight = 0.3; ///< Weight of the newest outcome in the failure rate, 0 to 1.
constexpr uint64_t longPrompt = 1000; ///< Tokens from which the time to the first event is mostly that of the prompt.
constexpr double tokensOfFullWeight = 20000; ///< Tokens after which the average has mostly forgotten what was before.
constexpr double mostPromptWeight = 0.3; ///< Weight of one report at the most.
constexpr std::chrono::minutes malformedLogInterval{ 1 }; ///< Time between log lines of an upstream's malformed load.

void addPrompts(Upstream &upstream, uint64_t tokens, Duration time)
{
    if (tokens == 0 || time <= Duration(0)) {
        return;
    }
    const double speed = static_cast<double>(tokens) / FractionalSeconds(time).count();
    const bool first = upstream.promptTokensPerSecond_ == 0;
    const double weight = first ? 1 : std::min(mostPromptWeight, static_cast<double>(tokens) / tokensOfFullWeight);
    upstream.promptTokensPerSecond_ += (speed - upstream.promptTokensPerSecond_) * weight;
}

} // namespace

double failureRateAt(const Upstream &upstream, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - upstream.failureAt_) / failureHalfLife;
    return upstream.failureRate_ * std::exp2(-halfLives);
}

void recordOutcome(Upstream &upstream, TimePoint now, bool failed)
{
    upstream.failureRate_
        = failureRateAt(upstream, now) * (1 - newestOutcomeWeight) + (failed ? newestOutcomeWeight : 0);
    upstream.failureAt_ = now;
}

void reportOutcome(GatewayState &state, Upstream &upstream, TimePoint now, bool failed)
{
    recordOutcome(upstream, now, failed);
    UpstreamReport &report = state.upstreamReports_[upstream.id_];
    ++(failed ? report.failed_ : report.succeeded_);
}

void applyReport(Upstream &upstream, TimePoint now, const UpstreamReport &report)
{
    constexpr uint32_t mostOutcomes = 20; // more don't change the rate
    for (uint32_t index = 0; index < std::min(report.succeeded_, mostOutcomes); ++index) {
        recordOutcome(upstream, now, false);
    }
    for (uint32_t index = 0; index < std::min(report.failed_, mostOutcomes); ++index) {
        recordOutcome(upstream, now, true);
    }
    addPrompts(upstream, report.promptTokens_, report.promptTime_);
}

void recordFirstEvent(GatewayState &state, TimePoint now, const Call &call)
{
    Upstream *upstream = findRow(state.upstreams_, call.upstream_);
    const uint64_t tokens = call.request_.promptTokens_.value_or(0);
    if (upstream == nullptr || tokens < longPrompt) {
        return;
    }
    addPrompts(*upstream, tokens, now - call.sentAt_);
    UpstreamReport &report = state.upstreamReports_[upstream->id_];
    report.promptTokens_ += tokens;
    report.promptTime_ += std::chrono::duration_cast<Milliseconds>(now - call.sentAt_);
}

void recordReportedLoad(
    GatewayState &state, TimePoint now, const AnswerHead &head, Upstream &upstream, GatewayOutbox &outbox)
{
    if (head.loadMalformed_) {
        count(state.metrics_, "upstream_loads", "malformed");
        if (now - upstream.reportedLoad_.malformedLoggedAt_ > malformedLogInterval) {
            upstream.reportedLoad_.malformedLoggedAt_ = now;
            outbox.decisions_.push_back({ "load-malformed", { { "upstream", upstream.id_ } }, true });
        }
    }
    if (!head.load_) {
        return;
    }
    const double reported = static_cast<double>(head.load_->running_) + head.load_->waiting_;
    const double counted = static_cast<double>(upstream.ownInFlight_) + upstream.peerInFlight_;
    upstream.reportedLoad_.excess_ = std::max(0.0, reported - counted);
    upstream.reportedLoad_.slowdown_ = head.load_->slowdown_;
    upstream.reportedLoad_.at_ = now;
}

void updateSpeedMeans(GatewayState &state)
{
    std::unordered_map<std::string, std::pair<double, size_t>> sums;
    forEachRow(state.upstreams_, [&sums](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.promptTokensPerSecond_ > 0) {
            auto &[sum, known] = sums[upstream.service_];
            sum += upstream.promptTokensPerSecond_;
            ++known;
        }
    });
    for (const auto &[service, item] : sums) {
        state.meanPromptSpeeds_[service] = item.first / static_cast<double>(item.second);
    }
}

double promptSpeed(const GatewayState &state, const Upstream &upstream)
{
    if (upstream.promptTokensPerSecond_ > 0) {
        return upstream.promptTokensPerSecond_;
    }
    const auto mean = state.meanPromptSpeeds_.find(upstream.service_);
    return mean == state.meanPromptSpeeds_.end() ? 0 : mean->second;
}

double backlogTokens(const GatewayState &state, const Upstream &upstream, TimePoint now)
{
    const double read = promptSpeed(state, upstream) * FractionalSeconds(now - upstream.backlogAt_).count();
    return std::max(0.0, upstream.backlogTokens_ - read);
}

void addBacklog(const GatewayState &state, Upstream &upstream, TimePoint now, uint64_t tokens)
{
    upstream.backlogTokens_ = backlogTokens(state, upstream, now) + static_cast<double>(tokens);
    upstream.backlogAt_ = now;
}

} // namespace Burdockfield::Gateway
