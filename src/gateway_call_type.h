/**
 * @file gateway_call_type.h
 * @brief Requests and answers as a gateway's decisions see them, independent of any encoding.
 */
#pragma once

#include "http_type.h"
#include "request_type.h"
#include "time_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace Burdockfield::Gateway {

/// Decoded request of a caller.
struct CallRequest
{
    std::string id_; ///< Id that the caller chose for this request, or this retry of it; upstreams echo it.
    std::string method_; ///< HTTP method.
    std::string target_; ///< Path with query.
    std::string path_; ///< Path without query.
    std::string host_; ///< Requested host.
    std::string key_; ///< API key, or empty.
    std::optional<Milliseconds> wait_; ///< How long the caller waits, from the arrival of the request.
    std::optional<uint64_t> tokens_; ///< Sum of the prompt tokens and the limit on output tokens.
    std::optional<uint64_t> promptTokens_; ///< Tokens of the prompt.
    std::optional<uint64_t> resumeAfter_; ///< Last event that the caller has, when it resumes a stream.
    std::vector<uint64_t> promptParts_; ///< Hashes of the parts of its prompt that other requests may have as well.
    HttpHeaders forwardedHeaders_; ///< Headers forwarded unchanged to the upstream.
    std::shared_ptr<const std::string> body_; ///< Shared with the sends of the call.
};

/// What a send adds to the caller's request.
struct SendParameters
{
    std::string instance_; ///< Id of the only upstream that may run it.
    std::string workspace_; ///< Name of the caller's workspace, or empty.
    Milliseconds wait_{ 0 }; ///< Time left until the call's deadline.
    std::optional<uint64_t> resumeAfter_; ///< Event after which the stream resumes.
};

/// Load that an upstream reports with its answers, as of a moment ago.
struct UpstreamLoad
{
    uint32_t running_ = 0; ///< Requests that it runs.
    uint32_t waiting_ = 0; ///< Requests that wait there.
    uint32_t slots_ = 1; ///< Requests that it can run at once.
    double slowdown_ = 1; ///< Time that work takes on its machine at this moment, as a multiple of the usual time.
};

/// Decoded header of an upstream's answer.
struct AnswerHead
{
    HttpReply reply_; ///< Status and headers to forward; the body is empty.
    bool notRun_ = false; ///< Whether the upstream states that it has not run the request.
    bool wrongInstance_ = false; ///< Whether another instance has the address; it has not run the request.
    bool authentic_ = false; ///< Whether the upstream signed it for this request, in a form that may be forwarded.
    bool upstreamLeaving_ = false; ///< Whether the upstream is going to stop and wants no further requests.
    Milliseconds upstreamPause_{ 0 }; ///< Time for which the upstream wants no requests from this gateway.
    std::optional<UpstreamLoad> load_; ///< Load that it reports, if valid.
    bool loadMalformed_ = false; ///< Whether the load that it reports is invalid.
    bool eventStream_ = false; ///< Whether the body is a stream of events.
    bool endsWithConnection_ = false; ///< Whether nothing but the end of its connection shows the end of the body.
};

/// Why the gateway itself answered a request.
enum class RefusalReason : uint8_t {
    NoConfiguration, ///< No configuration is known yet.
    NoRoute, ///< No route for host and path.
    UnknownKey, ///< The key belongs to no workspace.
    Malformed, ///< The request lacks a required part.
    ReadLate, ///< The request was read after its caller's wait had passed.
    OverQuota, ///< The workspace has used up its quota.
    Overloaded, ///< No upstream had free capacity in time, or request bodies take too much memory.
    Stopping, ///< This gateway stops, probably before the request would be answered.
    NoUpstream, ///< Several sends of the request reached no upstream.
    UpstreamRefused, ///< Upstreams refused, and no further attempt is allowed.
    Unsendable, ///< A value that goes to upstreams with it, as the workspace's name, can't stand in a header.
    CrashSuspect, ///< The request has crashed upstreams.
    ExceedsMemory, ///< The request takes more memory than any engine of its service has.
    Expired, ///< The deadline passed; the request may have run.
    UpstreamFailed, ///< The upstream failed; the request may have run.
};

} // namespace Burdockfield::Gateway
