/**
 * @file where.cpp
 * @brief Decision of where a request would be sent, without sending it.
 */
#include "where_func.h"

#include "crash_evidence_func.h"

#include <algorithm>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

constexpr size_t maxUpstreams = 200; ///< Upstreams in a report, which then takes about 60 KB.

std::optional<Milliseconds> ageOf(TimePoint at, TimePoint now)
{
    return at == TimePoint{} ? std::nullopt : std::optional(std::chrono::duration_cast<Milliseconds>(now - at));
}

/// @return the call that the request would become, as far as dispatch looks at it.
Call makeProbe(const Route &route, const RouteTarget &target, const WorkspaceRule *workspace, TimePoint now,
    const WhereQuery &query)
{
    Call call;
    call.request_.promptTokens_ = query.promptTokens_;
    call.routeName_ = route.name_;
    call.service_ = target.service_;
    call.rank_ = rankOf(route, workspace);
    call.routeRank_ = route.rank_;
    call.arrivedAt_ = now;
    call.waitUntil_ = now + queueWaitOf(route);
    return call;
}

WhereCandidate makeCandidate(const GatewayState &state, TimePoint now, const SlotRequest &request,
    const std::set<std::string> &regions, const Upstream &upstream)
{
    WhereCandidate candidate;
    candidate.id_ = upstream.id_;
    candidate.zone_ = upstream.zone_;
    candidate.inFlight_ = upstream.ownInFlight_ + upstream.peerInFlight_;
    candidate.slots_ = upstream.slots_;
    candidate.available_ = isAvailable(upstream, now);
    candidate.candidate_ = isCandidate(state, now, request, regions, upstream);
    candidate.cost_ = upstreamCost(state, upstream, request, now);
    candidate.failureAge_ = ageOf(upstream.failureAt_, now);
    candidate.loadAge_ = ageOf(upstream.reportedLoad_.at_, now);
    candidate.backlogAge_ = ageOf(upstream.backlogAt_, now);
    return candidate;
}

bool isBetter(const WhereCandidate &left, const WhereCandidate &right)
{
    if (left.candidate_ != right.candidate_) {
        return left.candidate_;
    }
    return sumOf(left.cost_) < sumOf(right.cost_);
}

WhereTarget makeTarget(const GatewayState &state, TimePoint now, const RouteTarget &target, const Call &probe)
{
    const bool assigns = assignsSlots(state, state.region_);
    const std::set<std::string> regions = assigns ? assignedRegions(state) : std::set{ state.region_ };
    const SlotRequest request = makeSlotRequest(state, now, probe);
    WhereTarget result;
    result.service_ = target.service_;
    result.weight_ = target.weight_;
    result.waitingAhead_ = countWaitingAhead(state, now, probe);
    if (const auto forecast = forecastSlotWait(state, target.service_, result.waitingAhead_); forecast) {
        result.forecastWait_ = std::chrono::duration_cast<Milliseconds>(*forecast);
    }
    result.refusedByForecast_
        = cannotGetSlotInTime(state, target.service_, result.waitingAhead_, probe.waitUntil_ - now);
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &upstream) {
        if (upstream.service_ == target.service_) {
            result.upstreams_.push_back(makeCandidate(state, now, request, regions, upstream));
        }
    });
    std::stable_sort(result.upstreams_.begin(), result.upstreams_.end(), isBetter);
    if (!result.upstreams_.empty() && result.upstreams_.front().candidate_) {
        result.choice_ = result.upstreams_.front().id_;
    }
    if (result.upstreams_.size() > maxUpstreams) {
        result.omitted_ = result.upstreams_.size() - maxUpstreams;
        result.upstreams_.resize(maxUpstreams);
    }
    return result;
}

} // namespace

WhereReport findWhere(const GatewayState &state, TimePoint now, const WhereQuery &query)
{
    const Configuration &configuration = state.configuration_;
    WhereReport report;
    report.gateway_ = state.name_;
    report.configuration_ = configuration.version_;
    for (const auto &[trait, verdict] : state.crashEvidence_.verdicts_) {
        report.condemnedTraits_ += isCondemned(state.crashEvidence_, trait) ? 1 : 0;
    }
    const Route *route = findRoute(configuration, query.host_, query.path_);
    if (route == nullptr) {
        report.refusals_.push_back(
            configuration.version_ == 0 ? RefusalReason::NoConfiguration : RefusalReason::NoRoute);
        return report;
    }
    const WorkspaceRule *workspace = findWorkspaceByName(configuration, query.workspace_);
    if (workspace == nullptr && !configuration.workspaces_.empty() && !route->anonymous_) {
        report.refusals_.push_back(RefusalReason::UnknownKey);
    }
    report.route_ = route->name_;
    report.rank_ = rankOf(*route, workspace);
    report.routeRank_ = route->rank_;
    report.longestWait_ = queueWaitOf(*route);
    report.broker_ = assignsSlots(state, state.region_) ? std::string() : *findBroker(state, state.region_);
    if (workspace != nullptr) {
        CallRequest request;
        request.tokens_ = query.tokens_;
        report.workspace_ = workspace->name_;
        report.charge_ = quotaCharge(workspace, request);
        if (workspace->ratePerSecond_ > 0) {
            report.quotaLeft_ = quotaLevelAt(state, now, *workspace);
        }
        if (report.charge_ > 0 && !isWithinQuota(state, *report.quotaLeft_, report.charge_)) {
            report.refusals_.push_back(RefusalReason::OverQuota);
        }
    }
    for (const RouteTarget &target : route->targets_) {
        const Call probe = makeProbe(*route, target, workspace, now, query);
        if (report.targets_.empty() && !canEndBeforeExit(state, now, probe)) {
            report.refusals_.push_back(RefusalReason::Stopping);
        }
        report.targets_.push_back(makeTarget(state, now, target, probe));
    }
    return report;
}

} // namespace Burdockfield::Gateway
