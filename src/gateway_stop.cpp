/**
 * @file gateway_stop.cpp
 * @brief System that stops a gateway gracefully.
 *
 * A stopping gateway listens until the balancer sends it no more connections. It answers every call that it has
 * admitted before it exits, at the latest with a failure; calls that would probably end so are refused at once, since
 * their callers can still turn to another gateway.
 */
#include "gateway_func.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

/// Time from a stop request to the end of listening. The balancer stops sending after two failed checks, 1 s apart.
constexpr Milliseconds listenDrainTime{ 2600 };
constexpr Milliseconds killMargin{ 400 }; ///< Time before SIGKILL at which the process exits.
constexpr Milliseconds lastAnswerMargin{ 300 }; ///< Time before that at which all calls have been answered.
constexpr double durationDecay = 0.995; ///< Factor of a route's longest duration at each further answer.

TimePoint exitTime(const GatewayState &state)
{
    return state.stopAt_ + state.bounds_.grace_ - killMargin;
}

/// Brings the deadlines of all calls in progress forward to the last answers.
void limitDeadlines(GatewayState &state)
{
    forEachRow(state.calls_, [&state](CallId id, Call &call) {
        if (call.deadline_ > lastAnswerTime(state)) {
            call.deadline_ = lastAnswerTime(state);
            call.waitUntil_ = std::min(call.waitUntil_, call.deadline_);
            pushDeadline(state.deadlines_, nextCallCheck(call), id);
        }
    });
}

} // namespace

void runStop(GatewayState &state, TimePoint now, GatewayInbox &inbox, GatewayOutbox &outbox)
{
    if (inbox.stopRequested_ && !state.stopping_) {
        state.stopping_ = true;
        state.stopAt_ = now;
        limitDeadlines(state);
        outbox.decisions_.push_back({ "stopping", { { "calls", std::to_string(state.calls_.size_) } } });
    }
    if (!state.stopping_) {
        return;
    }
    if (state.listening_ && now - state.stopAt_ >= listenDrainTime) {
        state.listening_ = false;
        outbox.stopListening_ = true;
    }
    outbox.exit_ = !state.listening_ && state.calls_.size_ == 0;
    outbox.exitImmediately_ = now >= exitTime(state);
}

TimePoint nextStopDeadline(const GatewayState &state)
{
    if (!state.stopping_) {
        return noDeadline;
    }
    return state.listening_ ? state.stopAt_ + listenDrainTime : exitTime(state);
}

TimePoint lastAnswerTime(const GatewayState &state)
{
    return state.stopping_ ? exitTime(state) - lastAnswerMargin : noDeadline;
}

void recordDuration(GatewayState &state, TimePoint now, const Call &call)
{
    Duration &longest = state.longestDurationByRoute_[call.routeName_];
    longest = std::max(now - call.arrivedAt_, std::chrono::duration_cast<Duration>(longest * durationDecay));
}

bool canEndBeforeExit(const GatewayState &state, TimePoint now, const Call &call)
{
    const auto longest = state.longestDurationByRoute_.find(call.routeName_);
    const Duration likely = longest == state.longestDurationByRoute_.end() ? Duration(0) : longest->second;
    return !state.stopping_ || now + likely <= lastAnswerTime(state);
}

} // namespace Burdockfield::Gateway
