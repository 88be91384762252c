/**
 * @file process_fixture.h
 * @brief Fixture of tests that start real daemons and stand-ins.
 */
#pragma once

#include "fleet_func.h"
#include "replay_func.h"

#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>

namespace Burdockfield::Testing {

/// What a caller asks for in a process test.
struct CallSpec
{
    std::string workspace_ = "counsellor-a"; ///< Customer.
    std::string route_ = "itinerary"; ///< Model or service.
    std::string prompt_ = "plan my day"; ///< Prompt, or body of a service call.
    uint32_t tokens_ = 10; ///< Answer length.
    std::string tier_; ///< Tier.
    std::string key_; ///< Idempotency key.
    int waitSeconds_ = 10; ///< Agreed wait.
    bool streamed_ = false; ///< Whether the answer is streamed.
};

/// What a caller got.
struct CallResult
{
    int status_ = 0; ///< HTTP status; 0 when there was none.
    std::string text_; ///< Text of the answer, or the body.
    std::string outcome_; ///< Truth of a refusal.
    std::string title_; ///< Title of a refusal.
    bool done_ = false; ///< Whether the answer is whole.
    std::string body_; ///< Body as it came.
};

/// Fleet of real processes, ended with the test.
struct ProcessFixture
{
    ProcessFixture() = default;
    ProcessFixture(const ProcessFixture &) = delete;
    ProcessFixture &operator=(const ProcessFixture &) = delete;

    ~ProcessFixture()
    {
        stopFleet(fleet_);
    }

    Fleet fleet_; ///< The fleet.
};

/// Sends a request to an entry and waits for its end.
CallResult call(const Fleet &fleet, const std::string &entry, const CallSpec &spec);

/// @return the prompt text as the engine stand-in sees it.
std::string engineView(const std::string &prompt);

/// @return the hash under which the ledgers keep the request.
std::string ledgerHash(const CallSpec &spec);

/// @return the answer that the engine stand-in gives.
std::string expectedAnswer(const CallSpec &spec);

} // namespace Burdockfield::Testing
