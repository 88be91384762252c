/**
 * @file gateway_call_type.h
 * @brief Requests and answers as a gateway's decisions see them, free of any encoding.
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

namespace Burdockfield::Gateway {

/// Request of a caller, decoded.
struct CallRequest
{
    std::string id_; ///< Name of this attempt of the caller; echoed by upstreams.
    std::string method_; ///< HTTP method.
    std::string target_; ///< Path with query.
    std::string path_; ///< Path alone.
    std::string host_; ///< Host asked for.
    std::string key_; ///< Key of the caller, or empty.
    std::optional<Milliseconds> wait_; ///< How long the caller waits, from now.
    std::optional<uint64_t> tokens_; ///< Prompt tokens and the bound on output tokens, together.
    std::optional<uint64_t> resumeAfter_; ///< Last event that the caller has, when it resumes a stream.
    HttpHeaders forwardedHeaders_; ///< Headers that go to the upstream as they came.
    std::shared_ptr<const std::string> body_; ///< Body.
};

/// What a send adds to the caller's request.
struct SendParameters
{
    std::string instance_; ///< The only instance that may run it.
    std::string workspace_; ///< Workspace of the caller, or empty.
    Milliseconds wait_{ 0 }; ///< Time left.
    std::optional<uint64_t> resumeAfter_; ///< Event after which a stream goes on.
};

/// Header of an upstream's answer, decoded.
struct AnswerHead
{
    HttpReply reply_; ///< Status and headers to pass on; the body is empty.
    bool notRun_ = false; ///< The upstream promises that it has not run the request.
    bool wrongInstance_ = false; ///< Another instance has the address; it has not run the request.
    bool authentic_ = false; ///< Signed by the upstream for this request, in a form that may be passed on.
    bool eventStream_ = false; ///< Whether the body is a stream of events.
};

/// Why a request was answered by the gateway itself.
enum class RefusalReason : uint8_t {
    NoConfiguration, ///< No configuration is known yet.
    NoRoute, ///< No route for host and path.
    UnknownKey, ///< The key belongs to no workspace.
    Malformed, ///< The request lacks what it needs.
    OverQuota, ///< The workspace has used up its quota.
    Overloaded, ///< No upstream had room in time.
    NoUpstream, ///< The service has no upstream that can be reached.
    UpstreamRefused, ///< Upstreams refused, and no further attempt is allowed.
    CrashSuspect, ///< The request has crashed upstreams.
    Expired, ///< The time ran out; the request may have run.
    UpstreamFailed, ///< The upstream failed; the request may have run.
};

} // namespace Burdockfield::Gateway
