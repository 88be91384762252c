/**
 * @file refusal_status.h
 * @brief HTTP status of each refusal, indexed by the value of RefusalErrc.
 */
#pragma once

#include <array>

namespace Burdockfield {

constexpr std::array<int, 19> refusalStatus{
    200, // ok
    401, // unknown-token
    404, // unknown-route
    400, // bad-request
    413, // body-too-large
    431, // header-too-large
    408, // slow-request
    403, // tier-not-allowed
    429, // workspace-limit
    503, // overloaded
    504, // wait-expired
    503, // not-ready
    503, // stopping
    422, // key-reused
    422, // crash-suspect
    503, // store-unavailable
    502, // upstream-lost
    502, // upstream-error
    502, // answer-damaged
};

} // namespace Burdockfield
