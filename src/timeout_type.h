/**
 * @file timeout_type.h
 * @brief One-shot timeout.
 *
 * Cancelling an Asio timer does not recall a handler that is queued already: it still runs, without an error, after
 * whatever it was to end. The callback of a Timeout does not run once the timeout has been cancelled, started again or
 * destroyed, so it may hold references to the owner of the timeout.
 */
#pragma once

#include "time_type.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace Burdockfield {

/// One-shot timeout. Use it only from the thread that runs its executor.
struct Timeout
{
    /// @param executor runs the callback, or an io_context of it
    template<typename Executor>
    explicit Timeout(Executor &&executor)
        : timer_(std::forward<Executor>(executor))
    {
    }

    boost::asio::steady_timer timer_;
    std::shared_ptr<std::function<void()>> callback_; ///< Empty unless started.
};

/// Cancels the timeout; its callback does not run any more.
inline void cancelTimeout(Timeout &timeout)
{
    timeout.callback_.reset();
    timeout.timer_.cancel();
}

/// Starts the timeout; a start before it is cancelled. @param callback called once at @p deadline
inline void startTimeoutAt(Timeout &timeout, TimePoint deadline, std::function<void()> callback)
{
    timeout.callback_ = std::make_shared<std::function<void()>>(std::move(callback));
    timeout.timer_.expires_at(deadline);
    timeout.timer_.async_wait([current = std::weak_ptr(timeout.callback_)](const boost::system::error_code &error) {
        if (const auto call = current.lock(); !error && call != nullptr) {
            (*call)();
        }
    });
}

/// Starts the timeout; a start before it is cancelled. @param callback called once after @p wait
inline void startTimeout(Timeout &timeout, Duration wait, std::function<void()> callback)
{
    startTimeoutAt(timeout, Clock::now() + wait, std::move(callback));
}

} // namespace Burdockfield
