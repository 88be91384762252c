/**
 * @file crash_record_type.h
 * @brief Evidence of crashes as the store keeps it, so that it outlives all gateways.
 */
#pragma once

#include "crash_evidence_type.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Burdockfield {

/// Crash as one gateway has seen it. Only whole requests are named: parts of prompts are shared by sound requests, of
/// whose answers a gateway that starts knows nothing.
struct CrashRecord
{
    std::string gateway_; ///< Name of the gateway's node.
    CrashReport report_; ///< What was seen; without traits if the row is to be removed.
};

/// Verdict on a trait.
struct VerdictRecord
{
    Trait trait_ = 0;
    CrashVerdict verdict_; ///< Withdrawn if the row is to be removed.
};

/// Rows of evidence, read or to be written.
struct CrashRecords
{
    std::vector<CrashRecord> crashes_;
    std::vector<VerdictRecord> verdicts_;
};

/// What one gateway keeps in the store.
struct CrashStorage
{
    std::map<UpstreamStart, CrashReport> reports_; ///< Crashes that it has seen, with the suspects left.
    std::set<UpstreamStart> changedReports_; ///< Those whose rows have to be written or removed.
    std::map<Trait, CrashVerdict> verdicts_; ///< Verdicts as it has written them; withdrawn if their rows were removed.
    std::set<std::pair<std::string, UpstreamStart>> applied_; ///< Rows applied, by gateway and start.
    std::vector<CrashRecord> outdated_; ///< Rows of other gateways that have to be removed.
    CrashRecords inFlight_; ///< What is being written.
    bool writing_ = false; ///< Whether a write is under way.
    TimePoint writeAt_{ noDeadline }; ///< When the next write may begin; noDeadline if nothing has changed.
    TimePoint readAt_{}; ///< When the rows are read next; noDeadline if no read is due.
    uint64_t era_ = 0; ///< Era of the store in which the rows were written.
};

} // namespace Burdockfield
