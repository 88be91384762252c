/**
 * @file route_type.h
 * @brief Kinds of routes, and whether their requests may be retried.
 */
#pragma once

#include <cstdint>

namespace Burdockfield {

/// Kind of upstream that serves a route.
enum class RouteKind : uint8_t {
    Model, ///< Model engine that streams tokens.
    Service, ///< Plain HTTP service.
};

/// Whether a request may be sent again if it is unknown whether it ran.
enum class RetryPolicy : uint8_t {
    Retryable, ///< A lost run may be retried or resumed on another upstream.
    AtMostOnce, ///< Never sent again once a run may have started.
};

/// Whether a request that ended without its answer has run.
enum class RunOutcome : uint8_t {
    NotRun, ///< No upstream has run it and none will.
    Ran, ///< An upstream has run it.
    Unknown, ///< An upstream may have run it.
};

} // namespace Burdockfield
