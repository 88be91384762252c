/**
 * @file entry_intake.cpp
 * @brief System that admits new requests to the queues or refuses them.
 */
#include "digest_func.h"
#include "entry_func.h"
#include "error_type.h"
#include "fair_queue_func.h"
#include "request_func.h"
#include "suspect_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr size_t bytesPerToken = 4; ///< Estimate of prompt bytes per token.
constexpr uint32_t defaultAnswerTokens = 256; ///< Estimated answer length before any answer was observed.

/// Result of the checks on a new request.
struct AdmissionCheck
{
    std::error_code error_; ///< Reason for a refusal, or success.
    WorkspaceId workspace_;
    RouteId route_; ///< Model or service.
    TierRank rank_ = 0; ///< Rank of the tier.
    TierSettings tier_;
};

void refuseNewRequest(
    EntryState &state, const CallerRequest &caller, std::error_code error, EntryOutbox &outbox, uint32_t timesRun = 0)
{
    CallerOutput output;
    output.exchange_ = caller.exchange_;
    output.path_ = caller.path_;
    output.kind_ = caller.kind_;
    output.route_ = caller.route_;
    Refusal refusal{ error, RunOutcome::NotRun, Milliseconds(0), timesRun };
    const bool temporary = error == RefusalErrc::NotReady || error == RefusalErrc::Stopping
        || error == RefusalErrc::WorkspaceLimit || error == RefusalErrc::Overloaded;
    refusal.retryAfter_ = temporary ? overloadRetryAfter : Milliseconds(0);
    output.body_ = refusal;
    outbox.callerOutputs_.push_back(std::move(output));
    count(state.metrics_, "refused_total", error.message());
}

std::error_code findWorkspace(const EntryState &state, const CallerRequest &caller, AdmissionCheck &admission)
{
    const auto found = state.workspaceByToken_.find(caller.tokenDigest_);
    if (found == state.workspaceByToken_.end()) {
        return RefusalErrc::UnknownToken;
    }
    admission.workspace_ = found->second;
    const Workspace &workspace = *findRow(state.workspaces_, found->second);
    return workspace.inProgress_ >= workspace.maxInProgress_ ? RefusalErrc::WorkspaceLimit : std::error_code{};
}

std::error_code findRoute(const EntryState &state, const CallerRequest &caller, AdmissionCheck &admission)
{
    const auto found = state.routeByName_.find(caller.route_);
    if (found == state.routeByName_.end() || findRow(state.routes_, found->second)->kind_ != caller.kind_) {
        return RefusalErrc::UnknownRoute;
    }
    admission.route_ = found->second;
    return {};
}

std::error_code findTier(const EntryState &state, const CallerRequest &caller, AdmissionCheck &admission)
{
    const Workspace &workspace = *findRow(state.workspaces_, admission.workspace_);
    const std::string &name = caller.tier_.empty() ? workspace.defaultTier_ : caller.tier_;
    const auto found = state.configuration_.tiers_.find(name);
    if (found == state.configuration_.tiers_.end() || found->second.rank_ > workspace.highestRank_) {
        return RefusalErrc::TierNotAllowed;
    }
    admission.tier_ = found->second;
    admission.rank_ = found->second.rank_;
    return {};
}

AdmissionCheck checkAdmission(const EntryState &state, const CallerRequest &caller)
{
    AdmissionCheck admission;
    if (state.stopping_) {
        admission.error_ = RefusalErrc::Stopping;
    } else if (!isReady(state)) {
        admission.error_ = RefusalErrc::NotReady;
    } else if (admission.error_ = findWorkspace(state, caller, admission); !admission.error_) {
        if (admission.error_ = findRoute(state, caller, admission); !admission.error_) {
            admission.error_ = findTier(state, caller, admission);
        }
    }
    return admission;
}

uint32_t estimateAnswerTokens(const Route &route, const CallerRequest &caller)
{
    const auto observedMean = static_cast<uint32_t>(route.meanAnswerTokens_);
    if (caller.maxTokens_ == 0) {
        return observedMean > 0 ? observedMean : defaultAnswerTokens;
    }
    return observedMean > 0 ? std::min(observedMean, caller.maxTokens_) : caller.maxTokens_;
}

/// @return a length that few answers to such a request exceed; 0 before any answer was observed.
uint32_t estimateMaxAnswerTokens(const Route &route, const CallerRequest &caller)
{
    constexpr double deviations = 2;
    const double lengthBound = route.meanAnswerTokens_ + deviations * route.answerDeviation_;
    const auto likely = static_cast<uint32_t>(lengthBound);
    return caller.maxTokens_ > 0 ? std::min(likely, caller.maxTokens_) : likely;
}

Request makeRequest(EntryState &state, CallerRequest caller, const AdmissionCheck &admission, TimePoint now)
{
    const Workspace &workspace = *findRow(state.workspaces_, admission.workspace_);
    const Route &route = *findRow(state.routes_, admission.route_);
    Request request;
    request.name_
        = state.identity_.name_ + "-" + toHex(state.incarnation_) + "-" + std::to_string(state.nextSequence_++);
    request.workspace_ = admission.workspace_;
    request.route_ = admission.route_;
    request.tier_ = admission.rank_;
    request.retryPolicy_ = caller.retryable_ ? RetryPolicy::Retryable : route.retryPolicy_;
    request.digest_ = sha256Hex(workspace.name_ + "\n" + route.name_ + "\n" + caller.path_ + "\n" + caller.payload_);
    request.prefixes_ = hashPrefixes(caller.prompt_);
    request.promptTokens_ = static_cast<uint32_t>(caller.prompt_.size() / bytesPerToken) + 1;
    request.answerTokens_ = estimateAnswerTokens(route, caller);
    request.estimatedMaxTokens_ = estimateMaxAnswerTokens(route, caller);
    request.cost_ = static_cast<double>(request.promptTokens_ + request.answerTokens_) / workspace.weight_;
    request.arrivedAt_ = now;
    const bool callerSetWait = caller.wait_.count() > 0;
    request.deadline_
        = now + (callerSetWait ? std::min(caller.wait_, admission.tier_.maxWait_) : admission.tier_.defaultWait_);
    request.caller_ = std::move(caller);
    request.caller_.prompt_ = std::string(); // only its prefix hashes and its length are needed
    return request;
}

/// @return number of requests waiting for the route.
uint32_t countWaiting(const Route &route)
{
    return countAtOrAbove(route.waiting_, 0);
}

/// @return lowest rank that has waiting requests, or the highest rank when none has.
TierRank lowestWaitingRank(const Route &route)
{
    TierRank rank = 0;
    while (rank + 1U < tierRankCount && route.waiting_[rank] == 0) {
        ++rank;
    }
    return rank;
}

/**
 * Sheds a waiting request from a full queue: one of the lowest tier, from the workspace furthest ahead of its share.
 * @return whether the new request may be queued.
 */
bool shedWaitingRequest(EntryState &state, Route &route, TierRank rank, WorkspaceId workspace, EntryOutbox &outbox)
{
    if (state.policy_.queue_ == QueueRule::FirstCome) {
        return false;
    }
    const TierRank lowest = lowestWaitingRank(route);
    if (lowest > rank) {
        return false;
    }
    const auto stillWaiting = [&state](RequestId id) {
        return isWaiting(state, id);
    };
    const auto shedCandidate = findShedCandidate(route.queue_.tiers_[lowest], stillWaiting);
    if (!shedCandidate || (lowest == rank && shedCandidate->workspace_ == workspace)) {
        return false;
    }
    refuseRequest(state, shedCandidate->request_, RefusalErrc::Overloaded, RunOutcome::NotRun, outbox);
    return true;
}

void admitRequest(EntryState &state, CallerRequest caller, TimePoint now, EntryOutbox &outbox)
{
    const AdmissionCheck admission = checkAdmission(state, caller);
    if (admission.error_) {
        refuseNewRequest(state, caller, admission.error_, outbox);
        return;
    }
    Route &route = *findRow(state.routes_, admission.route_);
    const bool full = countWaiting(route) >= state.policy_.queueLimit_;
    if (full && !shedWaitingRequest(state, route, admission.rank_, admission.workspace_, outbox)) {
        refuseNewRequest(state, caller, RefusalErrc::Overloaded, outbox);
        return;
    }
    Request request = makeRequest(state, std::move(caller), admission, now);
    if (const uint32_t crashes = crashCountIfRefused(state.suspects_, request.digest_); crashes > 0) {
        refuseNewRequest(state, request.caller_, RefusalErrc::CrashSuspect, outbox, crashes);
        return;
    }
    ++findRow(state.workspaces_, admission.workspace_)->inProgress_;
    state.retryBudget_ = std::min(retryBudgetLimit, state.retryBudget_ + retryBudgetRatio);
    const RequestId id = insertRow(state.requests_, std::move(request));
    const Request &row = *findRow(state.requests_, id);
    state.requestByExchange_[row.caller_.exchange_] = id;
    pushDeadline(state.requestDeadlines_, row.deadline_, id);
    enqueueRequest(state, id);
    count(state.metrics_, "accepted_total", std::to_string(row.tier_));
}

} // namespace

void runIntake(EntryState &state, TimePoint now, EntryInbox &inbox, EntryOutbox &outbox)
{
    for (CallerRequest &caller : inbox.arrivals_) {
        admitRequest(state, std::move(caller), now, outbox);
    }
}

} // namespace Burdockfield
