/**
 * @file service_base.h
 * @brief Tables of the plain service stand-in, whose POST calls may not be repeated.
 */
#pragma once

#include "deadline_type.h"
#include "pool_type.h"
#include "standin_func.h"

#include <map>

namespace Burdockfield::Standin {

/// Call in progress.
struct ServiceCall
{
    ExchangeId exchange_; ///< Where its answer goes.
    std::string id_; ///< Request id that the caller gave.
    std::string body_; ///< Body.
    uint64_t ticket_ = 0; ///< Ticket that it was given.
    TimePoint doneAt_{}; ///< When it ends.
};

/// All state of the service.
struct ServiceState
{
    Milliseconds duration_{ 50 }; ///< Time that a call takes.
    uint64_t nextTicket_ = 1; ///< Number of the next ticket.
    Pool<ServiceCall> calls_; ///< Calls in progress.
    DeadlineQueue<ServiceCall> deadlines_; ///< When calls end.
};

/// Runs the service once.
StandinOutbox tickService(ServiceState &state, TimePoint now, StandinInbox inbox);

/// @return when the service next needs a tick.
TimePoint nextServiceDeadline(const ServiceState &state);

} // namespace Burdockfield::Standin
