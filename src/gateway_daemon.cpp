/**
 * @file gateway_daemon.cpp
 * @brief I/O of a gateway: decodes input into events for the tick, and executes the commands that the tick returns.
 *
 * One thread runs both the I/O and the ticks: a gateway's VM has a fraction of one core, and passing events to another
 * thread would cost one wake-up for each event.
 */
#include "gateway_daemon_func.h"

#include "address_func.h"
#include "error_type.h"
#include "json_func.h"
#include "log_func.h"
#include "settings_func.h"
#include "socket_func.h"
#include "table/extra_answer_names.h"

#include "call_wire.h"
#include "crash_record_store.h"

#include <algorithm>
#include <filesystem>

namespace Burdockfield::Gateway {

namespace {

/// Time between checks of the settings file and of idle connections.
constexpr std::chrono::seconds housekeepingInterval{ 1 };
constexpr Milliseconds longDelay{ 200 }; ///< Delay of the event loop from which it is logged.
constexpr Milliseconds exitDelay{ 60 }; ///< Time for the last answers to be transmitted before exit.
constexpr size_t maxReplyBytes = 8U << 20U; ///< 8 MiB: longest reply of the store or a peer.
constexpr size_t maxLoggedIdLength = 128; ///< Most bytes of an upstream's id of a request that are logged.
constexpr size_t maxBadRowLines = 20; ///< Log lines about malformed rows between two runs of the housekeeping.
constexpr size_t maxLoggedKey = 200; ///< Bytes of a malformed row's key that are logged.
constexpr double bodyMemoryShare = 0.25; ///< Share of the memory setting that request bodies may take.
constexpr double answerMemoryShare = 0.2; ///< Share of the memory setting that buffered answers may take.

void execute(GatewayDaemon &daemon, SendCall &command)
{
    LinkCall call;
    call.send_ = command.send_;
    call.requestId_ = command.request_.id_;
    call.address_ = std::move(command.address_);
    call.head_ = Platform::makeUpstreamRequest(command.request_, command.parameters_);
    call.body_ = command.request_.body_;
    call.retryable_ = command.retryable_;
    if (command.connectionShare_ > 0) {
        call.idleLimit_ = std::min<size_t>(call.idleLimit_, command.connectionShare_ / 2);
    }
    call.isMismatched_ = [id = command.request_.id_](const HttpReply &reply) {
        return Platform::hasMismatchedRequestId(reply, id);
    };
    call.namesRequest_ = [id = command.request_.id_](const HttpReply &reply) {
        return Platform::namesRequest(reply, id);
    };
    startCall(daemon.link_, std::move(call));
}

/// @return whether the machine at an address acknowledges what is sent on a connection with a call.
bool hasAcknowledgedCall(const UpstreamLink &link, const std::string &address)
{
    return std::any_of(link.busy_.begin(), link.busy_.end(), [&address](const auto &item) {
        LinkConnection &connection = *item.second;
        return connection.connected_ && connection.call_.address_ == address && isAcknowledged(connection.socket_);
    });
}

void execute(GatewayDaemon &daemon, const CheckUpstream &command)
{
    checkAddress(daemon.link_, command.address_,
        [&daemon, id = command.upstream_, address = command.address_](std::error_code error) {
            daemon.inbox_.checks_.push_back({ id, error, error && hasAcknowledgedCall(daemon.link_, address) });
            scheduleTick(daemon);
        });
}

void applyLimits(GatewayDaemon &daemon)
{
    const CallerLimits &limits = daemon.state_.configuration_.limits_;
    daemon.callerServer_.limits_.headerBytes_ = limits.headerBytes_;
    daemon.callerServer_.limits_.bodyBytes_ = limits.bodyBytes_;
    daemon.callerServer_.limits_.readTimeout_
        = std::max(limits.headerTimeout_, daemon.callerServer_.limits_.readTimeout_);
    daemon.callerServer_.limits_.idleTimeout_ = limits.idleTimeout_;
}

/// Ends the process after the time that the last answers need to be transmitted, unless a request arrives meanwhile.
void scheduleExit(GatewayDaemon &daemon)
{
    if (daemon.exiting_) {
        return;
    }
    daemon.exiting_ = true;
    daemon.exitTimer_.expires_after(exitDelay);
    daemon.exitTimer_.async_wait([&daemon](const boost::system::error_code & /*error*/) {
        daemon.exiting_ = false;
        if (daemon.exitsImmediately_ || isIdle(daemon.callerServer_)) {
            daemon.io_.stop();
        }
    });
}

void executeAnswers(GatewayDaemon &daemon, GatewayOutbox &outbox)
{
    for (StartStream &command : outbox.streamStarts_) {
        startStream(daemon.callerServer_, command.exchange_, std::move(command.head_));
    }
    for (SendEvents &command : outbox.events_) {
        sendChunk(daemon.callerServer_, command.exchange_, std::move(command.bytes_));
    }
    for (const ExchangeId exchange : outbox.streamEnds_) {
        endStream(daemon.callerServer_, exchange);
    }
    for (const ExchangeId exchange : outbox.abortedExchanges_) {
        abortExchange(daemon.callerServer_, exchange);
    }
    for (ForwardAnswer &command : outbox.answers_) {
        respond(daemon.callerServer_, command.exchange_, std::move(command.reply_));
    }
    for (const RefuseCall &command : outbox.refusals_) {
        respond(daemon.callerServer_, command.exchange_, Platform::makeRefusal(command));
    }
}

void executeCrashRecords(GatewayDaemon &daemon, const GatewayOutbox &outbox)
{
    for (const CrashRecords &records : outbox.crashRecords_) {
        Platform::writeCrashRecords(daemon.follower_, records, [&daemon](bool written) {
            count(daemon.state_.metrics_, "crash_record_writes", written ? "ok" : "failed");
            daemon.inbox_.crashRecordsWritten_ = written;
            scheduleTick(daemon);
        });
    }
    if (outbox.readCrashRecords_) {
        Platform::readCrashRecords(daemon.follower_, [&daemon](std::error_code error, CrashRecords records) {
            count(daemon.state_.metrics_, "crash_record_reads", error ? error.message() : "ok");
            if (error) {
                daemon.inbox_.crashRecordsUnread_ = true;
            } else {
                daemon.inbox_.crashRecords_.push_back(std::move(records));
            }
            scheduleTick(daemon);
        });
    }
}

void executeOutbox(GatewayDaemon &daemon, GatewayOutbox outbox)
{
    for (const Decision &decision : outbox.decisions_) {
        logLine(decision.failure_ ? LogLevel::Warning : LogLevel::Info, decision.event_, decision.fields_);
    }
    executeAnswers(daemon, outbox);
    for (const std::string &address : outbox.replacedAddresses_) {
        closeIdleConnections(daemon.link_, address);
    }
    for (const uint64_t send : outbox.cancels_) {
        cancelCall(daemon.link_, send);
    }
    for (SendCall &command : outbox.sends_) {
        if (isPeerConnected(daemon.callerServer_, command.exchange_)) {
            execute(daemon, command);
        } else {
            daemon.inbox_.disconnects_.push_back({ command.exchange_, true });
            scheduleTick(daemon);
        }
    }
    for (const CheckUpstream &command : outbox.checks_) {
        execute(daemon, command);
    }
    for (const SendUpdate &command : outbox.updates_) {
        sendPeerUpdate(daemon, command);
    }
    for (const SendSlotMessage &command : outbox.slotMessages_) {
        sendSlotMessage(daemon, command);
    }
    for (const FetchSnapshot &command : outbox.snapshotFetches_) {
        fetchSnapshot(daemon, command);
    }
    for (const WriteRolloutStatus &command : outbox.rolloutStatuses_) {
        Platform::writeStatus(daemon.follower_, command.status_, command.expectedVersion_);
    }
    executeCrashRecords(daemon, outbox);
    if (outbox.limitsChanged_) {
        applyLimits(daemon);
    }
    daemon.callerServer_.announceClose_ = daemon.state_.stopping_;
    if (outbox.stopListening_) {
        stopListening(daemon.callerServer_);
        closeIdleConnections(daemon.callerServer_);
    }
    daemon.exitsImmediately_ = outbox.exitImmediately_;
    if (outbox.exitImmediately_ || (outbox.exit_ && isIdle(daemon.callerServer_))) {
        scheduleExit(daemon);
    }
}

/// Records how late the event loop is: the timer of the tick should have expired when it was due.
void recordLoopDelay(GatewayDaemon &daemon, TimePoint now)
{
    const Duration delay = now - std::min(daemon.tickDueAt_, now);
    observe(daemon.state_.metrics_, "loop_delay_seconds", "tick", delay);
    if (delay >= longDelay) {
        logLine(LogLevel::Warning, "loop-delayed",
            { { "delay_ms", millisecondsText(delay) }, { "calls", std::to_string(daemon.state_.calls_.size_) },
                { "arrivals", std::to_string(daemon.inbox_.arrivals_.size()) },
                { "configurations", std::to_string(daemon.inbox_.configurations_.size()) } });
    }
}

/// Counts what is held of upstreams' answers; gives up sends if the process holds too much.
void limitAnswerMemory(GatewayDaemon &daemon, TimePoint now)
{
    MemoryBudget &budget = daemon.budget_->table_;
    budget.otherBytes_
        = daemon.state_.answerBytes_ + *daemon.link_.heldBytes_ + daemon.client_.replies_->budget_.heldBytes_;
    if (!exceedsLimits(budget)) {
        return;
    }
    std::vector<SendHolding> sends = listHoldings(daemon.link_);
    for (SendHolding &send : sends) {
        const Call *call = findRow(daemon.state_.calls_, findCallBySend(daemon.state_, send.send_));
        send.bytes_ += call != nullptr && call->send_ == send.send_ ? call->body_.capacity() : 0;
    }
    for (const SendHolding &send : chooseSendsToGiveUp(budget, now, sends)) {
        logLine(LogLevel::Warning, "send-given-up",
            { { "held_bytes", std::to_string(send.bytes_) },
                { "inactive_ms", millisecondsText(now - send.activeAt_) } });
        count(daemon.state_.metrics_, "sends_given_up", "no-memory");
        giveUpCall(daemon.link_, send.send_);
    }
}

void runTick(GatewayDaemon &daemon)
{
    daemon.tickPosted_ = false;
    recordLoopDelay(daemon, Clock::now());
    GatewayInbox inbox = std::move(daemon.inbox_);
    daemon.inbox_ = {};
    executeOutbox(daemon, tickGateway(daemon.state_, Clock::now(), std::move(inbox)));
    limitAnswerMemory(daemon, Clock::now());
    enforceLimits(daemon.budget_);
    daemon.tickDueAt_ = nextGatewayDeadline(daemon.state_);
    daemon.tickTimer_.expires_at(daemon.tickDueAt_);
    daemon.tickTimer_.async_wait([&daemon](const boost::system::error_code &error) {
        if (!error) {
            scheduleTick(daemon);
        }
    });
}

void handleRequest(GatewayDaemon &daemon, ExchangeId exchange, HttpRequest request)
{
    CallArrived event{ exchange, {}, request.age_ };
    if (const std::error_code error = Platform::parseCall(std::move(request), event.request_); error) {
        respond(daemon.callerServer_, exchange, answerBadRequest(error));
        return;
    }
    daemon.inbox_.arrivals_.push_back(std::move(event));
    scheduleTick(daemon);
}

ServerHandlers callerHandlers(GatewayDaemon &daemon)
{
    ServerHandlers handlers;
    handlers.onRequest_ = [&daemon](ExchangeId exchange, HttpRequest request) {
        handleRequest(daemon, exchange, std::move(request));
    };
    handlers.onDisconnect_ = [&daemon](ExchangeId exchange) {
        daemon.inbox_.disconnects_.push_back({ exchange });
        scheduleTick(daemon);
    };
    handlers.onBadRequest_ = answerBadRequest;
    handlers.onIdle_ = [&daemon] {
        scheduleTick(daemon);
    };
    return handlers;
}

void recordExtraAnswer(GatewayDaemon &daemon, const ExtraAnswer &answer)
{
    const std::string place(nameOf(answer.place_, extraAnswerNames));
    const std::string received = Platform::receivedRequestId(answer.head_);
    const AnswerHead head = Platform::parseAnswerHead(answer.head_, received);
    count(daemon.state_.metrics_, "extra_answers", place);
    logLine(LogLevel::Warning, "extra-answer",
        { { "address", answer.address_ }, { "connection", std::to_string(answer.use_.number_) },
            { "calls_before", std::to_string(answer.use_.callsBefore_) }, { "place", place },
            { "request", answer.requestId_ }, { "received", received.substr(0, maxLoggedIdLength) },
            { "status", std::to_string(answer.head_.status_) },
            { "not_run", head.notRun_ || head.wrongInstance_ ? "yes" : "no" } });
}

LinkHandlers linkHandlers(GatewayDaemon &daemon)
{
    LinkHandlers handlers;
    handlers.onHead_ = [&daemon](uint64_t send, HttpReply reply) {
        if (const Call *call = findRow(daemon.state_.calls_, findCallBySend(daemon.state_, send)); call != nullptr) {
            daemon.inbox_.heads_.push_back({ send, Platform::parseAnswerHead(std::move(reply), call->request_.id_) });
            scheduleTick(daemon);
        }
    };
    handlers.onBytes_ = [&daemon](uint64_t send, std::string bytes) {
        daemon.budget_->table_.otherBytes_ += bytes.capacity(); // until the tick
        daemon.inbox_.bytes_.push_back({ send, std::move(bytes) });
        scheduleTick(daemon);
    };
    handlers.onEnd_ = [&daemon](uint64_t send, std::error_code error, const LinkUse &use) {
        daemon.inbox_.ends_.push_back({ send, error, use });
        scheduleTick(daemon);
    };
    handlers.onExtraAnswer_ = [&daemon](const ExtraAnswer &answer) {
        recordExtraAnswer(daemon, answer);
    };
    return handlers;
}

Platform::FollowerHandlers followerHandlers(GatewayDaemon &daemon)
{
    Platform::FollowerHandlers handlers;
    handlers.onConfiguration_ = [&daemon](ConfigurationReceived event) {
        daemon.inbox_.configurations_.push_back(std::move(event));
        scheduleTick(daemon);
    };
    handlers.countReachablePeers_ = [&daemon] {
        return countReachablePeers(daemon.state_, Clock::now());
    };
    handlers.isInForce_ = [&daemon](const std::string &text) {
        return text == daemon.state_.configurationText_;
    };
    handlers.listUpstreams_ = [&daemon] {
        std::set<std::string> ids;
        for (const auto &[id, row] : daemon.state_.upstreamById_) {
            ids.insert(id);
        }
        for (const UpstreamsReceived &event : daemon.inbox_.upstreams_) {
            for (const UpstreamRow &row : event.rows_) {
                ids.insert(row.id_);
            }
        }
        return std::vector<std::string>(ids.begin(), ids.end());
    };
    handlers.onRollouts_ = [&daemon](RolloutsReceived event) {
        daemon.inbox_.rollouts_.push_back(std::move(event));
        scheduleTick(daemon);
    };
    handlers.onUpstreams_ = [&daemon](UpstreamsReceived event) {
        daemon.inbox_.upstreams_.push_back(std::move(event));
        scheduleTick(daemon);
    };
    handlers.onReachability_ = [&daemon](const StoreCallOutcome &event) {
        count(daemon.state_.metrics_, "store_calls", event.reachable_ ? "ok" : event.error_.message());
        daemon.inbox_.storeOutcomes_.push_back(event);
        scheduleTick(daemon);
    };
    handlers.onGateways_ = [&daemon](std::vector<std::string> addresses) {
        std::move(addresses.begin(), addresses.end(), std::back_inserter(daemon.inbox_.peerAddresses_));
        scheduleTick(daemon);
    };
    handlers.onMalformedRow_ = [&daemon](const std::string &table, const std::string &key, std::error_code error) {
        count(daemon.state_.metrics_, "bad_rows", error.message());
        if (daemon.badRowLines_ < maxBadRowLines) {
            ++daemon.badRowLines_;
            logLine(LogLevel::Warning, "bad-row",
                { { "table", table }, { "key", key.substr(0, maxLoggedKey) }, { "error", error.message() } });
        }
    };
    return handlers;
}

void applyBounds(GatewayDaemon &daemon)
{
    daemon.state_.bounds_ = daemon.settings_.gateway_.bounds_;
    const auto memory = static_cast<double>(daemon.settings_.gateway_.memoryBytes_);
    daemon.state_.bounds_.bodyBytes_ = static_cast<size_t>(memory * bodyMemoryShare);
    daemon.state_.bounds_.answerBytes_ = static_cast<size_t>(memory * answerMemoryShare);
    setReplyMemory(daemon.client_, daemon.settings_.gateway_.memoryBytes_, maxReplyBytes);
    setBudgetMemory(*daemon.budget_, daemon.settings_.gateway_.memoryBytes_, daemon.settings_.gateway_.descriptors_);
    daemon.follower_.updateDelay_
        = std::min(daemon.state_.bounds_.configurationDelay_, daemon.state_.bounds_.drainDelay_);
}

/// Reads the settings file again and applies its bounds and memory size. Address changes need a restart.
void reload(GatewayDaemon &daemon, const char *cause)
{
    Settings settings;
    if (const SettingsError error = loadSettings(daemon.file_, settings); error.error_) {
        logLine(LogLevel::Error, "reload-failed", { { "cause", cause }, { "error", describe(error) } });
        return;
    }
    const bool restartNeeded = settings.listenAddress_ != daemon.settings_.listenAddress_
        || settings.platformAddress_ != daemon.settings_.platformAddress_;
    daemon.settings_.gateway_.bounds_ = settings.gateway_.bounds_;
    daemon.settings_.gateway_.memoryBytes_ = settings.gateway_.memoryBytes_;
    daemon.settings_.gateway_.descriptors_ = settings.gateway_.descriptors_;
    applyBounds(daemon);
    logLine(LogLevel::Info, "reloaded", { { "cause", cause }, { "restart_needed", restartNeeded ? "yes" : "no" } });
}

std::filesystem::file_time_type modificationTimeOf(const std::string &file)
{
    std::error_code missing;
    const auto time = std::filesystem::last_write_time(file, missing);
    return missing ? std::filesystem::file_time_type() : time;
}

void runHousekeeping(GatewayDaemon &daemon)
{
    closeStaleConnections(daemon.link_, Clock::now());
    daemon.badRowLines_ = 0;
    if (const auto time = modificationTimeOf(daemon.file_); time != daemon.fileTime_) {
        daemon.fileTime_ = time;
        reload(daemon, "file-changed");
    }
    daemon.housekeepingTimer_.expires_after(housekeepingInterval);
    daemon.housekeepingTimer_.async_wait([&daemon](const boost::system::error_code &error) {
        if (!error) {
            runHousekeeping(daemon);
        }
    });
}

void waitForSignal(GatewayDaemon &daemon)
{
    daemon.signals_.async_wait([&daemon](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload(daemon, "signal");
        } else {
            daemon.inbox_.stopRequested_ = true;
            scheduleTick(daemon);
        }
        waitForSignal(daemon);
    });
}

/// Lets all servers use the budget of the process.
void shareBudget(GatewayDaemon &daemon)
{
    for (HttpServer *server :
        { &daemon.callerServer_, &daemon.readyServer_, &daemon.peerServer_, &daemon.metricsServer_ }) {
        server->budget_ = daemon.budget_;
    }
    daemon.budget_->onDecision_ = [&daemon](const BudgetDecision &decision) {
        count(daemon.state_.metrics_, "connections_refused", budgetReasonName(decision.reason_));
    };
}

void initializeState(GatewayDaemon &daemon)
{
    const Settings &settings = daemon.settings_;
    GatewayState &state = daemon.state_;
    state.name_ = settings.identity_.name_;
    state.zone_ = settings.identity_.zone_;
    state.region_ = settings.identity_.region_;
    state.regionByZone_ = settings.gateway_.regionByZone_;
    state.peerAddress_ = settings.gateway_.peerAddress_;
    state.firstStart_ = settings.gateway_.firstStart_;
    state.processorShare_ = settings.gateway_.processorShare_;
    state.random_.seed(chooseSeed(settings));
    state.incarnation_ = state.random_();
    state.nextSlotRequest_ = state.random_() >> 16U; // so that a request of an earlier process is not taken for one
    state.startedAt_ = Clock::now();
    state.lastPeerDisruptionAt_ = state.startedAt_;
    applyBounds(daemon);
}

std::error_code openListeners(GatewayDaemon &daemon)
{
    const GatewaySettings &settings = daemon.settings_.gateway_;
    if (const std::error_code error = listen(daemon.readyServer_, settings.readyAddress_); error) {
        return error;
    }
    if (const std::error_code error = listen(daemon.peerServer_, settings.peerAddress_); error) {
        return error;
    }
    if (const std::error_code error = listen(daemon.metricsServer_, settings.metrics_); error) {
        return error;
    }
    if (const std::error_code error = openUpdateSocket(daemon); error) {
        return error;
    }
    return listen(daemon.callerServer_, daemon.settings_.listenAddress_);
}

} // namespace

void scheduleTick(GatewayDaemon &daemon)
{
    if (!daemon.tickPosted_) {
        daemon.tickPosted_ = true;
        Asio::post(daemon.io_, [&daemon] { runTick(daemon); });
    }
}

GatewayDaemon::GatewayDaemon(Settings settings, std::string file)
    : settings_(std::move(settings))
    , file_(std::move(file))
    , callerServer_(io_, {}, callerHandlers(*this))
    , readyServer_(io_, {}, internalHandlers(*this, readyServer_))
    , peerServer_(io_, {}, internalHandlers(*this, peerServer_))
    , metricsServer_(io_, {}, internalHandlers(*this, metricsServer_))
    , link_(io_, linkHandlers(*this))
    , follower_(client_, settings_.platformAddress_, followerHandlers(*this))
{
    peerServer_.servesNodes_ = true;
    client_.onExtraReply_ = [this](const ExtraReply &reply) {
        count(state_.metrics_, "extra_replies", std::string(nameOf(reply.place_, extraAnswerNames)));
    };
}

int runGatewayDaemon(const Settings &settings, const std::string &file)
{
    GatewayDaemon daemon(settings, file);
    initializeState(daemon);
    shareBudget(daemon);
    if (const std::error_code error = openListeners(daemon); error) {
        logLine(
            LogLevel::Error, "cannot-listen", { { "address", settings.listenAddress_ }, { "error", error.message() } });
        return startFailureStatus;
    }
    logLine(LogLevel::Info, "started",
        { { "role", "gateway" }, { "listen", settings.listenAddress_ }, { "platform", settings.platformAddress_ },
            { "incarnation", std::to_string(daemon.state_.incarnation_) } });
    daemon.fileTime_ = modificationTimeOf(file);
    addSeedPeers(daemon);
    waitForSignal(daemon);
    receiveUpdates(daemon);
    daemon.follower_.name_ = settings.identity_.name_;
    daemon.follower_.peerAddress_ = settings.gateway_.peerAddress_;
    Platform::startFollowing(daemon.follower_);
    runHousekeeping(daemon);
    scheduleTick(daemon);
    daemon.io_.run();
    logLine(LogLevel::Info, "stopped",
        { { "calls", std::to_string(daemon.state_.calls_.size_) },
            { "busy_connections", std::to_string(daemon.callerServer_.busy_.size()) } });
    return 0;
}

} // namespace Burdockfield::Gateway
