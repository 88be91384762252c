/**
 * @file node_loop_type.h
 * @brief Event loop that runs a node's ticks on one thread.
 *
 * Events arrive through a concurrent queue. The first event after a tick posts a wake-up to the thread; later events
 * share it. Without events the thread sleeps until the next deadline in the tables.
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
 * Event loop of one node.
 * @tparam State tables of the node
 * @tparam Event variant of all inputs
 * @tparam Inbox inputs of one tick, by kind
 * @tparam Outbox commands that result from one tick
 */
template<typename State, typename Event, typename Inbox, typename Outbox>
struct NodeLoop
{
    State state_;
    Outbox (*tick_)(State &, TimePoint, Inbox) = nullptr; ///< Runs the systems over the tables.
    TimePoint (*nextDeadline_)(const State &) = nullptr; ///< Time of the next tick if no event arrives.
    std::function<void(Outbox)> execute_; ///< Executes the commands of a tick.
    boost::asio::io_context io_{ 1 }; ///< Runs the ticks; posting to it wakes the thread.
    boost::asio::steady_timer timer_{ io_ }; ///< Expires at the next deadline.
    tbb::concurrent_queue<Event> events_; ///< Inputs of the next tick.
    std::atomic<bool> wakePosted_ = false; ///< Whether a wake-up has been posted that has not run yet.
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

/// Queues an event for the next tick; may be called from any thread.
template<typename State, typename Event, typename Inbox, typename Outbox>
void postEvent(NodeLoop<State, Event, Inbox, Outbox> &loop, Event event)
{
    loop.events_.push(std::move(event));
    if (!loop.wakePosted_.exchange(true)) {
        boost::asio::post(loop.io_, [&loop] { runTick(loop); });
    }
}

/// Runs the loop on the calling thread until its io_context is stopped.
template<typename State, typename Event, typename Inbox, typename Outbox>
void runLoop(NodeLoop<State, Event, Inbox, Outbox> &loop)
{
    const auto work = boost::asio::make_work_guard(loop.io_);
    boost::asio::post(loop.io_, [&loop] { runTick(loop); });
    loop.io_.run();
}

} // namespace Burdockfield
