/**
 * @file replay_func.h
 * @brief Replay of a trace against a running system, and its statistics.
 */
#pragma once

#include "http_func.h"
#include "metrics_type.h"
#include "trace_type.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Burdockfield {

/// Outcome of a request as its caller saw it.
enum class ReplayOutcome : uint8_t {
    Pending, ///< The request is in progress.
    Answered, ///< The complete answer was received.
    NotRun, ///< Refused; the request has not run.
    Ran, ///< Refused; the request has run.
    Unknown, ///< Refused; the request may have run.
    Broken, ///< The connection broke, or the answer was malformed or had the wrong length.
};

/// State and result of one replayed request.
struct ReplayRow
{
    TraceRecord record_; ///< Request as the trace gives it.
    ReplayOutcome outcome_ = ReplayOutcome::Pending; ///< Outcome so far.
    int status_ = 0; ///< HTTP status; 0 before a reply.
    std::string reason_; ///< Title of the refusal, or the error that broke the request.
    std::string text_; ///< Text of the answer; for a refused stream, the body of the refusal.
    uint32_t tokens_ = 0; ///< Length of the answer in tokens, as its usage member reports it.
    bool doneReceived_ = false; ///< Whether the stream's [DONE] event was received.
    TextSplitter splitter_; ///< Splits the stream into events.
    TimePoint sentAt_{}; ///< When the request was sent.
    Duration timeToFirstToken_{}; ///< Time to the first bytes of the answer; to its end if it is not streamed.
    Duration totalTime_{}; ///< Time to the end of the answer.
};

/// Parameters of a replay.
struct ReplaySettings
{
    std::vector<std::string> entries_; ///< IP:PORT of the entries; requests are distributed round-robin.
    double speed_ = 1; ///< Factor that divides the arrival times; 2 replays twice as fast.
    bool progress_ = false; ///< Whether progress is written to standard error.
};

/// Statistics of a group of requests.
struct ReplayGroup
{
    uint64_t offered_ = 0; ///< All requests of the group.
    uint64_t good_ = 0; ///< Completely answered within the agreed wait.
    uint64_t late_ = 0; ///< Completely answered after the agreed wait.
    uint64_t refused_ = 0; ///< Refused with a run outcome.
    uint64_t broken_ = 0; ///< Failed, or without a well-formed answer or refusal.
    uint64_t goodTokens_ = 0; ///< Sum of the tokens of good answers.
    DurationStatistics timeToFirstToken_ = makeDurationStatistics(); ///< Time to the first bytes of good answers.
    DurationStatistics totalTime_ = makeDurationStatistics(); ///< Time to the end of good answers.
};

/// Statistics of a replay.
struct ReplaySummary
{
    std::map<std::string, ReplayGroup> byTier_; ///< Requests of the workspaces' default tiers are under "default".
    std::map<std::string, ReplayGroup> byGroup_; ///< By the group label of the trace.
    std::map<std::string, ReplayGroup> byWorkspace_;
    uint64_t violations_ = 0; ///< Requests that did not have their expected outcome.
    std::vector<std::string> violationTexts_; ///< Descriptions of the first few violations.
    double wastedPrefill_ = -1; ///< Share of prefilled tokens whose answers were not used; negative if unknown.
};

/// Sends every request of a trace and waits until all have ended. @return a row for each request, in trace order
std::vector<ReplayRow> replayTrace(const Trace &trace, const ReplaySettings &settings);

/// @return statistics by tier, group and workspace, and the violations.
ReplaySummary summarize(const std::vector<ReplayRow> &rows);

/// @return whether the request had the outcome that its trace expects.
bool hasExpectedOutcome(const ReplayRow &row);

/// @return whether the complete answer arrived within the agreed wait.
bool isGood(const ReplayRow &row);

/// @return the statistics as a table for a terminal.
std::string formatSummary(const ReplaySummary &summary);

/// @return the statistics as JSON.
std::string serializeSummary(const ReplaySummary &summary);

/// @return an HTML page with plots over time: goodput and longest total time by tier, token share by workspace.
std::string formatReport(const std::vector<ReplayRow> &rows, const ReplaySummary &summary);

/// Adds up the prefill counters of the agents' metrics pages. @return the wasted share; -1 without any prefill
double wastedPrefillShare(const std::vector<std::string> &pages);

} // namespace Burdockfield
