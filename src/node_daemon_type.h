/**
 * @file node_daemon_type.h
 * @brief Shared by the entry and agent daemons: calls to the platform, start and stop.
 *
 * A daemon is a struct with the members settings_, io_, loop_ and client_, and the types Event and Outbox.
 */
#pragma once

#include "daemon_func.h"
#include "entry_command_type.h"
#include "log_func.h"
#include "node_loop_type.h"
#include "store_client.h"

#include <boost/asio/signal_set.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace Burdockfield {

/// @return a callback that posts the store's reply to a call as an event.
template<typename Daemon>
std::function<void(StoreResult)> postStoreReply(Daemon &daemon, uint64_t call)
{
    return [&daemon, call](StoreResult result) {
        postEvent(daemon.loop_, typename Daemon::Event(StoreReplied{ call, std::move(result) }));
    };
}

template<typename Daemon>
void execute(Daemon &daemon, const StoreRead &command)
{
    Platform::readStoreRow(
        daemon.client_, daemon.settings_.platformAddress_, command.key_, postStoreReply(daemon, command.call_));
}

template<typename Daemon>
void execute(Daemon &daemon, const StoreWrite &command)
{
    Platform::runStoreTransaction(
        daemon.client_, daemon.settings_.platformAddress_, command.transaction_, postStoreReply(daemon, command.call_));
}

template<typename Daemon>
void execute(Daemon &daemon, const FetchVms & /*command*/)
{
    fetchVms(daemon.client_, daemon.settings_.platformAddress_,
        [&daemon](VmsListed event) { postEvent(daemon.loop_, typename Daemon::Event(std::move(event))); });
}

/// Executes commands of one kind, in order.
template<typename Daemon, typename Command>
void executeAll(Daemon &daemon, const std::vector<Command> &commands)
{
    for (const Command &command : commands) {
        execute(daemon, command);
    }
}

/// Sets up the loop to log the decisions of each tick and to execute the rest of its outbox on the network thread, and
/// the client to pass on the replies that it drops.
template<typename Daemon>
void setUpLoop(Daemon &daemon, void (*executeOutbox)(Daemon &, const typename Daemon::Outbox &))
{
    daemon.client_.onExtraReply_ = [&daemon](const ExtraReply &reply) {
        postEvent(daemon.loop_, typename Daemon::Event(reply));
    };
    daemon.loop_.execute_ = [&daemon, executeOutbox](typename Daemon::Outbox outbox) {
        for (const auto &decision : outbox.decisions_) {
            logDecision(decision);
        }
        Asio::post(daemon.io_, [&daemon, executeOutbox, outbox = std::move(outbox)] { executeOutbox(daemon, outbox); });
    };
}

/// Runs a daemon, whose servers listen already, until io_ stops. @return exit status of the process
template<typename Daemon>
int runDaemon(Daemon &daemon, const std::string &role)
{
    Asio::signal_set signals(daemon.io_, SIGTERM, SIGINT);
    signals.async_wait([&daemon](const boost::system::error_code &error, int /*signal*/) {
        if (!error) {
            logLine(LogLevel::Info, "stopping");
            postEvent(daemon.loop_, typename Daemon::Event(StopRequested{}));
        }
    });
    logLine(LogLevel::Info, "started", { { "role", role }, { "listen", daemon.settings_.listenAddress_ } });
    std::thread tickThread([&daemon] { runLoop(daemon.loop_); });
    daemon.io_.run();
    daemon.loop_.io_.stop();
    tickThread.join();
    logLine(LogLevel::Info, "stopped");
    return 0;
}

/// Logs why a daemon can't listen on its address. @return exit status of the process
inline int logListenFailure(const Settings &settings, std::error_code error)
{
    logLine(LogLevel::Error, "cannot-listen", { { "address", settings.listenAddress_ }, { "error", error.message() } });
    return startFailureStatus;
}

} // namespace Burdockfield
