/**
 * @file soak_fixture.h
 * @brief Randomized soak of real gateways under faults from outside, and the promises that it checks.
 */
#pragma once

#include "gateway_fleet.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace Burdockfield::Testing {

/// What a soak consists of.
struct SoakSpec
{
    uint64_t seed_ = 1; ///< Seed of the schedule.
    std::chrono::seconds length_{ 12 }; ///< Time under faults.
    uint32_t gateways_ = 3; ///< Gateways.
    uint32_t engines_ = 3; ///< Engines.
    uint32_t desks_ = 2; ///< Plain servers.
    uint32_t callers_ = 8; ///< Callers, each with a connection of its own.
    uint32_t quietCallers_ = 0; ///< Further connections to each gateway, which idle or send requests slowly; with them,
                                ///< timeouts are short and gateways are paused while they stop.
    bool announcements_ = false; ///< Whether upstreams leave and ask for pauses by their answers, and configurations
                                 ///< grow large.
    bool answerFaults_ = false; ///< Whether upstreams refuse, copy refusals and answers, and answer without end, and
                                ///< callers come back after a refusal.
    bool replacements_ = false; ///< Whether upstreams are replaced at their addresses all the while, also under other
                                ///< faults, and copy their refusals, and calls have one attempt; with answer faults.
    std::string daemon_; ///< Gateways' program; empty for the one built with the soak.
    uint64_t memoryMib_ = 0; ///< Memory of each gateway in MiB; 0 for the default, or with answer faults and an even
                             ///< seed for that of the smallest machine.
};

/// What a caller saw of one call.
struct SoakCall
{
    std::string id_; ///< Id of the request, kept by a few of those that come back after a refusal.
    std::string task_; ///< Id that the request had before any refusal.
    std::string target_; ///< Path.
    int status_ = 0; ///< Status; 0 when none came.
    bool whole_ = false; ///< Whether the answer came to its end.
    std::string body_; ///< What came of the body.
    std::string dropped_; ///< How its connection ended without an answer, if its gateway had to give one.
    std::string gateway_; ///< Gateway and its start, if it ran all the while; else empty.
    std::string answeredId_; ///< Id that the answer names, if any.
    size_t excess_ = 0; ///< Bytes that came after the whole answer.
    std::string instance_; ///< Upstream that made the answer.
    bool leaving_ = false; ///< Whether that upstream said that it leaves.
    TimePoint sentAt_{}; ///< When the request was sent.
    TimePoint answeredAt_{}; ///< When the answer ended.
};

/// Time in which a gateway or anything else wasn't sound.
struct SoakDisturbance
{
    std::string gateway_; ///< Gateway that was paused or ended; empty for links, the store and upstreams.
    TimePoint from_{}; ///< When it began.
    TimePoint until_{}; ///< When it ended.
};

/// Broken promise.
struct SoakBreach
{
    std::string promise_; ///< Which.
    std::string request_; ///< Request, or what else it befell.
    std::string seen_; ///< What was seen.
};

/// Outcome of a soak.
struct SoakReport
{
    std::vector<SoakCall> calls_; ///< Calls under faults.
    std::vector<std::string> faults_; ///< What was done, in order.
    std::vector<SoakBreach> breaches_; ///< Promises that were broken.
    uint64_t peakMib_ = 0; ///< Greatest resident memory of a gateway, in MiB.
};

/// Runs a soak with a fleet of its own, and ends all that it started.
SoakReport runSoak(const SoakSpec &spec);

/// Checks that no gateway uses an upstream after it has passed on that the upstream leaves. @return the breaches
std::vector<SoakBreach> judgeLeaving(const std::vector<SoakCall> &calls);

/**
 * Checks that no stream is run by two upstreams at once for longer than a gateway may need to end the earlier run.
 * Runs that ended with their upstream's process, and streams within three seconds of a disturbance, aren't judged.
 * @return the breaches
 */
std::vector<SoakBreach> judgeStreams(const std::vector<SoakCall> &calls, const std::vector<LedgerLine> &ledger,
    const std::vector<SoakDisturbance> &disturbances);

/// @return whether an answer states that the request has not run and never will.
bool isRefused(const SoakCall &call);

/**
 * Checks what callers saw against what upstreams ran. Callers come back only after a refusal, so that of all sends of
 * an id or a task one at most may run.
 * @return the breaches
 */
std::vector<SoakBreach> judgeCalls(const std::vector<SoakCall> &calls, const std::vector<LedgerLine> &ledger);

} // namespace Burdockfield::Testing
