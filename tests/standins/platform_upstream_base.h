/**
 * @file platform_upstream_base.h
 * @brief State of the stand-in for an upstream of the platform, which gateways call directly.
 */
#pragma once

#include "deadline_type.h"
#include "pool_type.h"
#include "standin_func.h"

#include <string>

namespace Burdockfield::Standin {

constexpr uint64_t streamEvents = 5; ///< Default number of events of a stream.

/// How the upstream handles new requests.
enum class UpstreamMode : uint8_t {
    Normal, ///< Runs them and responds.
    Silent, ///< Runs them and never responds.
    Reset, ///< Runs them and closes the connection before or in the middle of the response.
    Failing, ///< Runs them and responds with status 500.
    Full, ///< Refuses them with status 503 without running them.
    Endless, ///< Runs them and responds with a body that never ends.
    MismatchedId, ///< Runs them and signs the response with the id of another request.
};

/// Part of a prompt that ends the process of an upstream that begins to answer it.
constexpr const char *deadlyPart = "dead";

/// Request that is being run.
struct UpstreamRun
{
    ExchangeId exchange_; ///< Where the response goes.
    std::string id_; ///< Request-Id of the request.
    std::string echo_; ///< Hash of target and body, which the response contains.
    bool streamed_ = false; ///< Whether the response is a stream of events.
    bool deadly_ = false; ///< Whether the process ends as soon as it has sent the header of the response.
    UpstreamMode mode_ = UpstreamMode::Normal; ///< Mode of the upstream when the request was received.
    uint64_t nextEvent_ = 1; ///< Number of the next event.
    TimePoint dueAt_{}; ///< When the response is due; zero once a stream has started.
};

/// All state of the upstream stand-in.
struct UpstreamStandinState
{
    std::string instance_ = "upstream-1"; ///< Instance name, compared with the Expect-Instance header.
    UpstreamMode mode_ = UpstreamMode::Normal; ///< How new requests are handled.
    Milliseconds stepDelay_{ 20 }; ///< Time until a plain response or the first event, and between events.
    uint64_t events_ = streamEvents; ///< Number of events of a stream.
    bool leaving_ = false; ///< Whether all responses say that it is going to stop.
    Milliseconds pause_{ 0 }; ///< Time for which a refusal asks for no requests; 0 for none.
    uint64_t refusals_ = 0; ///< Requests refused in the mode Full.
    uint64_t padding_ = 0; ///< Bytes that follow the echo in a plain response.
    Pool<UpstreamRun> runs_;
    DeadlineQueue<UpstreamRun> deadlines_; ///< When the next part of a response is due.
};

/// Handles new requests, closed connections and all deadlines that are due.
StandinOutbox tickUpstream(UpstreamStandinState &state, TimePoint now, StandinInbox inbox);

/// @return when the upstream next needs a tick.
TimePoint nextUpstreamDeadline(const UpstreamStandinState &state);

/// @return the body of the plain response to a request with this target and body, without padding.
std::string echoBody(const std::string &target, const std::string &body);

/// @return all events of a stream of the default length.
std::string streamBody(const std::string &target, const std::string &body);

/// @return event @p number of a stream, counted from 1.
std::string streamEvent(const std::string &target, const std::string &body, uint64_t number);

} // namespace Burdockfield::Standin
