/**
 * @file platform_upstream_faults.h
 * @brief Stand-in for the faults of upstreams' answers: a relay in front of an upstream that refuses, copies and
 * floods.
 */
#pragma once

#include <cstdint>
#include <string>

namespace Burdockfield::Standin {

/// Where a faulty upstream listens and leads.
struct AnswerFaultPlace
{
    std::string listen_; ///< IP:PORT that it takes connections on.
    std::string target_; ///< IP:PORT of the upstream.
    std::string control_; ///< IP:PORT of its HTTP control.
    std::string name_; ///< Instance that its own answers name.
    uint64_t seed_ = 1; ///< Seed of its draws.
};

/// Shares of the requests that each fault befalls.
struct AnswerFaultShares
{
    double refused_ = 0; ///< Refused with 503 and not run.
    double replaced_ = 0; ///< Refused with 421 by another instance, and not run.
    double refusalCopies_ = 0; ///< Run, but a copy of an earlier refusal on the connection comes first.
    uint64_t copies_ = 1; ///< How often each copy of a refusal comes, one right behind the other.
    double idleCopies_ = 0; ///< Refused, and a copy of the refusal comes on the connection 0 to 100 ms later.
    double split_ = 0; ///< Of the copies of refusals: come in two parts, the first one cut within the head.
    double answerCopies_ = 0; ///< Run, but a copy of an earlier answer on the connection comes first.
    double endless_ = 0; ///< Run and answered with a head, chunk header, body or trailers that don't end.
};

/**
 * Runs the relay until it is told to stop. A POST to its control sets the shares, by the names `refused`, `replaced`,
 * `refusal_copies`, `copies`, `idle_copies`, `split`, `answer_copies` and `endless`; those left out become zero,
 * `copies` one. A copy of the refusal of the same request is preferred to that of another. Each fault is a line of its
 * standard output.
 * @return exit status of the process
 */
int runAnswerFaults(const AnswerFaultPlace &place);

} // namespace Burdockfield::Standin
