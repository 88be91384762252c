/**
 * @file route_type.h
 * @brief Kinds of upstream that a route leads to, and how often its requests may be dispatched.
 */
#pragma once

#include <cstdint>

namespace Burdockfield {

/// What stands behind a route.
enum class RouteKind : uint8_t {
    Model, ///< A model engine that streams tokens.
    Service, ///< A plain HTTP service.
};

/// Whether a request whose fate is not known may be dispatched again.
enum class RetryPolicy : uint8_t {
    Retryable, ///< A lost run may be repeated or resumed elsewhere.
    AtMostOnce, ///< Never dispatched again once a run may have begun.
};

/// What is known of a request that ended without its answer.
enum class RunOutcome : uint8_t {
    NotRun, ///< No upstream has run it and none will.
    Ran, ///< An upstream has run it.
    Unknown, ///< An upstream may have run it.
};

} // namespace Burdockfield
