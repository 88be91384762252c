/**
 * @file entry_reports.cpp
 * @brief System that takes in agents' reports and asks for the next ones.
 *
 * A report request is held by the agent until something that matters has changed, so a quiet upstream costs one
 * exchange for each reportHold and a busy one at most one for each reportInterval.
 */
#include "entry_func.h"
#include "error_type.h"
#include "request_func.h"
#include "suspect_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr Milliseconds reportHold{ 5000 }; ///< How long an agent may hold a report while nothing changes.
constexpr Milliseconds reportInterval{ 50 }; ///< Shortest time between two report requests.
constexpr Milliseconds reportRetryFirst{ 100 }; ///< Pause after the first missed report; doubles.
constexpr Milliseconds reportRetryLimit{ 2000 }; ///< Longest pause after missed reports.
constexpr uint32_t reportsMissedBound = 2; ///< Missed reports after which an upstream is taken for down.

void scheduleReport(EntryState &state, UpstreamId id, Upstream &upstream, TimePoint due)
{
    upstream.reportDue_ = due;
    pushDeadline(state.reportDeadlines_, due, id);
}

void handleMissedReport(EntryState &state, UpstreamId id, Upstream &upstream, TimePoint now)
{
    ++upstream.reportFailures_;
    if (upstream.reportFailures_ >= reportsMissedBound) {
        upstream.report_.reachable_ = false;
    }
    const uint32_t doublings = std::min(upstream.reportFailures_ - 1, 5U);
    const Milliseconds pause = std::min(reportRetryLimit, reportRetryFirst * (1 << doublings));
    scheduleReport(state, id, upstream, now + pause);
}

void handleReport(EntryState &state, const ReportReceived &event, TimePoint now)
{
    Upstream *upstream = findRow(state.upstreams_, event.upstream_);
    if (upstream == nullptr) {
        return;
    }
    upstream->reportPending_ = false;
    if (event.error_) {
        handleMissedReport(state, event.upstream_, *upstream, now);
        return;
    }
    upstream->reportFailures_ = 0;
    applyReport(state, event.upstream_, event.report_, now);
    scheduleReport(state, event.upstream_, *upstream, now + reportInterval);
}

void fetchReport(EntryState &state, UpstreamId id, Upstream &upstream, EntryOutbox &outbox)
{
    upstream.reportPending_ = true;
    const bool known = upstream.reported_ && upstream.reportFailures_ == 0;
    FetchReport fetch;
    fetch.upstream_ = id;
    fetch.address_ = upstream.address_;
    fetch.revision_ = state.configuration_.revision_;
    fetch.drained_ = upstream.drained_;
    fetch.knownVersion_ = known ? upstream.report_.version_ : 0;
    fetch.maxWait_ = reportHold;
    outbox.reportFetches_.push_back(std::move(fetch));
}

} // namespace

void applyReport(EntryState &state, UpstreamId id, const AgentReport &report, TimePoint /*now*/)
{
    Upstream *upstream = findRow(state.upstreams_, id);
    if (upstream == nullptr) {
        return;
    }
    upstream->reported_ = true;
    upstream->report_ = report;
    mergeSuspects(state.suspects_, report.suspects_);
    state.sync_.highestKnownRevision_ = std::max(state.sync_.highestKnownRevision_, report.revision_);
}

void runReports(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox)
{
    for (const ReportReceived &event : inbox.reports_) {
        handleReport(state, event, now);
    }
    for (const UpstreamId id : popDue(state.reportDeadlines_, now)) {
        Upstream *upstream = findRow(state.upstreams_, id);
        const bool due
            = upstream != nullptr && upstream->subscribed_ && !upstream->reportPending_ && upstream->reportDue_ <= now;
        if (!due) {
            continue;
        }
        if (const TimePoint allowed = takeToken(state.reportBucket_, now); allowed > now) {
            scheduleReport(state, id, *upstream, allowed);
        } else {
            fetchReport(state, id, *upstream, outbox);
        }
    }
}

} // namespace Burdockfield
