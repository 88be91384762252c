/**
 * @file platform_upstream_base.h
 * @brief Tables of the stand-in of an upstream of the users' platform, called straight by gateways.
 */
#pragma once

#include "deadline_type.h"
#include "pool_type.h"
#include "standin_func.h"

#include <string>

namespace Burdockfield::Standin {

constexpr uint64_t streamEvents = 5; ///< Events of a stream, unless told otherwise.

/// How the upstream behaves towards new requests.
enum class UpstreamMode : uint8_t {
    Good, ///< As it should.
    Mute, ///< Runs them and never answers.
    Reset, ///< Runs them and breaks off before, or in the middle of, the answer.
    Failing, ///< Runs them and answers 500.
    Full, ///< Refuses them without running them.
    Crossed, ///< Runs them and signs the answer for another request.
};

/// Request that runs.
struct UpstreamRun
{
    ExchangeId exchange_; ///< Where the answer goes.
    std::string id_; ///< Name of the request.
    std::string text_; ///< What the answer echoes.
    bool streamed_ = false; ///< Whether it is answered by events.
    UpstreamMode mode_ = UpstreamMode::Good; ///< How it ends.
    uint64_t nextEvent_ = 1; ///< Next event.
    TimePoint dueAt_{}; ///< When its next step is due.
};

/// All state of the upstream.
struct UpstreamStandinState
{
    std::string instance_ = "upstream-1"; ///< Name of this start.
    UpstreamMode mode_ = UpstreamMode::Good; ///< Behaviour towards new requests.
    Milliseconds step_{ 20 }; ///< Time to a plain answer, and between events.
    uint64_t events_ = streamEvents; ///< Events of a stream.
    uint64_t padding_ = 0; ///< Bytes that follow the echo in a plain answer.
    Pool<UpstreamRun> runs_; ///< Requests that run.
    DeadlineQueue<UpstreamRun> deadlines_; ///< When their steps are due.
};

/// Runs the upstream once.
StandinOutbox tickUpstream(UpstreamStandinState &state, TimePoint now, StandinInbox inbox);

/// @return when the upstream next needs a tick.
TimePoint nextUpstreamDeadline(const UpstreamStandinState &state);

/// @return the body that a plain call with this target and body is answered with.
std::string echoBody(const std::string &target, const std::string &body);

/// @return all events of a stream of the default length.
std::string streamBody(const std::string &target, const std::string &body);

/// @return event @p number of a stream.
std::string streamEvent(const std::string &target, const std::string &body, uint64_t number);

} // namespace Burdockfield::Standin
