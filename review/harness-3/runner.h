/**
 * @file runner.h
 * @brief Stand-in for a runner of a plain service.
 */
#pragma once

#include "http_text.h"
#include "record.h"

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Review {

constexpr const char *deadlyBody = "plan=4711"; ///< Body of the request that crashes mortal runners.

/// What a runner is called and how it answers.
struct RunnerSpec
{
    Address address_;
    std::string id_;
    Milliseconds work_{ 20 }; ///< Time from the request to the end of the answer.
    bool mortal_ = false; ///< Whether the process ends as it begins to run a request with deadlyBody.
};

/// Request that a runner has run.
struct Run
{
    std::string id_; ///< Request-Id.
    std::string tenant_; ///< Tenant-Id.
    std::string body_;
    Clock::time_point at_; ///< When it began.
};

/// Runner that answers each connection on a thread of its own.
struct Runner
{
    RunnerSpec spec_;
    Record *record_ = nullptr;
    Socket listener_;
    std::mutex mutex_;
    std::vector<Run> runs_;
};

/// Starts a runner; its threads keep it until the process ends. @return whether it listens
bool startRunner(const std::shared_ptr<Runner> &runner);

/// @return the runs so far.
std::vector<Run> runsOf(Runner &runner);

/// @return the body of the answer to a request.
std::string answerBody(const std::string &requestId);

/// @return the entry that a runner writes into the store. @param bornMs the Unix millisecond of its start
std::string entryOf(const RunnerSpec &spec, const std::string &state, uint64_t bornMs);

} // namespace Review
