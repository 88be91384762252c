/**
 * @file node_loop_type.h
 * @brief Thread that runs a node's ticks.
 *
 * Events come in through a concurrent queue; the first one after a tick posts a wake-up to the thread, those that
 * follow share it. Without events the thread sleeps until the next deadline in the tables.
 */
#pragma once

#include "time_type.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <oneapi/tbb/concurrent_queue.h>
#include <utility>

namespace Burdockfield {

/**
 * Loop of one node.
 * @tparam State tables
 * @tparam Event any input
 * @tparam Inbox inputs of one tick
 * @tparam Outbox effects of one tick
 */
template<typename State, typename Event, typename Inbox, typename Outbox>
struct NodeLoop
{
    State state_; ///< Tables.
    Outbox (*tick_)(State &, TimePoint, Inbox) = nullptr; ///< Runs the systems.
    TimePoint (*nextDeadline_)(const State &) = nullptr; ///< When to tick without events.
    std::function<void(Outbox)> execute_; ///< Carries the effects out.
    boost::asio::io_context io_{ 1 }; ///< What the thread runs.
    boost::asio::steady_timer timer_{ io_ }; ///< Next deadline.
    tbb::concurrent_queue<Event> events_; ///< Inputs that wait.
    std::atomic<bool> wakePosted_ = false; ///< Whether a wake-up is on its way.
};

template<typename State, typename Event, typename Inbox, typename Outbox>
void runTick(NodeLoop<State, Event, Inbox, Outbox> &loop)
{
    loop.wakePosted_ = false;
    Inbox inbox;
    Event event;
    while (loop.events_.try_pop(event)) {
        addEvent(inbox, std::move(event));
    }
    loop.execute_(loop.tick_(loop.state_, Clock::now(), std::move(inbox)));
    const TimePoint next = loop.nextDeadline_(loop.state_);
    loop.timer_.expires_at(next);
    if (next == noDeadline) {
        return;
    }
    loop.timer_.async_wait([&loop](const boost::system::error_code &error) {
        if (!error) {
            runTick(loop);
        }
    });
}

/// Hands an event to the loop; may be called from any thread.
template<typename State, typename Event, typename Inbox, typename Outbox>
void postEvent(NodeLoop<State, Event, Inbox, Outbox> &loop, Event event)
{
    loop.events_.push(std::move(event));
    if (!loop.wakePosted_.exchange(true)) {
        boost::asio::post(loop.io_, [&loop] { runTick(loop); });
    }
}

/// Runs the loop in the calling thread until its io_context is stopped.
template<typename State, typename Event, typename Inbox, typename Outbox>
void runLoop(NodeLoop<State, Event, Inbox, Outbox> &loop)
{
    const auto work = boost::asio::make_work_guard(loop.io_);
    boost::asio::post(loop.io_, [&loop] { runTick(loop); });
    loop.io_.run();
}

} // namespace Burdockfield
