/**
 * @file entry_daemon.cpp
 * @brief I/O of an entry: turns bytes into events and commands into bytes.
 */
#include "caller_wire.h"
#include "configuration_wire.h"
#include "daemon_func.h"
#include "entry_func.h"
#include "error_type.h"
#include "http_func.h"
#include "node_daemon_type.h"
#include "run_wire.h"
#include "status_wire.h"

namespace Burdockfield {

namespace {

constexpr Milliseconds orderTimeout{ 1500 }; ///< Longest wait for the answer to an order.
constexpr Milliseconds cancelTimeout{ 1000 }; ///< Longest wait for the answer to a cancellation.
constexpr Milliseconds answerSilence{ 1500 }; ///< Longest silence of an agent's answer stream.
constexpr Milliseconds reportGrace{ 2000 }; ///< Time beyond the agreed hold that a report may take.
constexpr Milliseconds peerTimeout{ 2000 }; ///< Longest question to another entry.
constexpr uint64_t firstControlExchange = uint64_t{ 1 } << 62U; ///< Exchanges from here on are the control server's.

using EntryLoop = NodeLoop<EntryState, EntryEvent, EntryInbox, EntryOutbox>;
using ReadKey = std::pair<RequestId, uint32_t>; ///< Request and number of the read.

/// Entry daemon: its tables' loop and its I/O.
struct EntryDaemon
{
    using Event = EntryEvent; ///< Any input.
    using Outbox = EntryOutbox; ///< Effects of one tick.

    Settings settings_; ///< Settings.
    Asio::io_context io_{ 1 }; ///< Network thread.
    EntryLoop loop_; ///< Tick thread.
    HttpClient client_{ io_ }; ///< Calls to agents, platform and peers.
    std::unique_ptr<HttpServer> callers_; ///< Callers' server.
    std::unique_ptr<HttpServer> control_; ///< Operators' and peers' server.
    std::map<ReadKey, uint64_t> reads_; ///< Client streams by read.
    bool exiting_ = false; ///< Whether only answers on their way are awaited.
};

HttpServer &serverOf(EntryDaemon &daemon, ExchangeId exchange)
{
    return exchange.value_ >= firstControlExchange ? *daemon.control_ : *daemon.callers_;
}

void send(EntryDaemon &daemon, const CallerOutput &output, const CallerDeltas &body)
{
    if (!output.responseStarted_) {
        startStream(*daemon.callers_, output.exchange_, serializeStreamHead(output.request_));
    }
    sendPiece(*daemon.callers_, output.exchange_, serializeDeltas(output, body));
}

void send(EntryDaemon &daemon, const CallerOutput &output, const CallerEnd &body)
{
    if (!output.streamed_ || output.kind_ == RouteKind::Service) {
        respond(*daemon.callers_, output.exchange_, serializeAnswer(output, body));
        return;
    }
    if (!output.responseStarted_) {
        startStream(*daemon.callers_, output.exchange_, serializeStreamHead(output.request_));
    }
    sendPiece(*daemon.callers_, output.exchange_, serializeStreamEnd(output, body));
    endStream(*daemon.callers_, output.exchange_);
}

void send(EntryDaemon &daemon, const CallerOutput &output, const Refusal &body)
{
    if (!output.responseStarted_) {
        respond(*daemon.callers_, output.exchange_, serializeRefusal(body, output.request_));
        return;
    }
    sendPiece(*daemon.callers_, output.exchange_, serializeStreamRefusal(body, output.request_));
    endStream(*daemon.callers_, output.exchange_);
}

void execute(EntryDaemon &daemon, const CallerOutput &output)
{
    std::visit([&](const auto &body) { send(daemon, output, body); }, output.body_);
}

void execute(EntryDaemon &daemon, const SendOrder &command)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = runsPath;
    request.body_ = serializeRunOrder(command.order_);
    const uint32_t attempt = command.order_.name_.attempt_;
    const auto done = [&daemon, id = command.request_, attempt](std::error_code error, const HttpReply &reply) {
        RunReplied event{ id, attempt, error, {} };
        if (!error && (reply.status_ != 200 || parseRunReply(reply.body_, event.reply_, Clock::now()))) {
            event.error_ = TransportErrc::Malformed;
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    fetch(daemon.client_, command.address_, std::move(request), orderTimeout, ConnectionUse::Reuse, done);
}

std::string runTarget(std::string_view path, const RunName &name)
{
    return std::string(path) + "?run=" + name.request_ + "&attempt=" + std::to_string(name.attempt_);
}

/// What the handlers of one read share.
struct AnswerRead
{
    RequestId request_; ///< Request.
    uint32_t number_ = 0; ///< Number of the read.
    TextSplitter splitter_; ///< Splits frames.
    bool unknownRun_ = false; ///< Whether the agent does not know the run.
};

void closeRead(EntryDaemon &daemon, const AnswerRead &read, std::error_code error)
{
    daemon.reads_.erase({ read.request_, read.number_ });
    postEvent(daemon.loop_, EntryEvent(AnswerStreamClosed{ read.request_, read.number_, error, read.unknownRun_ }));
}

void takeAnswerBytes(EntryDaemon &daemon, AnswerRead &read, std::string_view bytes)
{
    for (const std::string &line : takeParts(read.splitter_, bytes, "\n")) {
        AnswerFrameReceived event{ read.request_, read.number_, {} };
        if (parseAnswerFrame(line, event.frame_, Clock::now())) {
            const auto found = daemon.reads_.find({ read.request_, read.number_ });
            if (found != daemon.reads_.end()) {
                closeStream(daemon.client_, found->second);
            }
            closeRead(daemon, read, TransportErrc::Malformed);
            return;
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    }
}

void execute(EntryDaemon &daemon, const OpenAnswerStream &command)
{
    HttpRequest request;
    request.target_ = runTarget(answerPath, command.name_) + "&offset=" + std::to_string(command.offset_);
    auto read = std::make_shared<AnswerRead>();
    read->request_ = command.request_;
    read->number_ = command.streamNumber_;
    StreamHandlers handlers;
    handlers.onHead_ = [read](const HttpReply &head) {
        read->unknownRun_ = head.status_ == 404;
    };
    handlers.onBytes_ = [&daemon, read](std::string_view bytes) {
        if (!read->unknownRun_) {
            takeAnswerBytes(daemon, *read, bytes);
        }
    };
    handlers.onEnd_ = [&daemon, read](std::error_code error) {
        closeRead(daemon, *read, error);
    };
    const ReadKey key{ command.request_, command.streamNumber_ };
    daemon.reads_[key]
        = openStream(daemon.client_, command.address_, std::move(request), answerSilence, std::move(handlers));
}

void execute(EntryDaemon &daemon, const CloseAnswerStream &command)
{
    const auto found = daemon.reads_.find({ command.request_, command.streamNumber_ });
    if (found == daemon.reads_.end()) {
        return;
    }
    closeStream(daemon.client_, found->second);
    daemon.reads_.erase(found);
}

void execute(EntryDaemon &daemon, const SendCancel &command)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_
        = runTarget(cancelPath, command.name_) + "&incarnation=" + std::to_string(command.agentIncarnation_);
    const uint32_t attempt = command.name_.attempt_;
    const auto done = [&daemon, id = command.request_, attempt](std::error_code error, const HttpReply &reply) {
        CancelReplied event{ id, attempt, error, {} };
        if (!error && (reply.status_ != 200 || parseCancelReply(reply.body_, event.reply_))) {
            event.error_ = TransportErrc::Malformed;
        }
        postEvent(daemon.loop_, EntryEvent(event));
    };
    fetch(daemon.client_, command.address_, std::move(request), cancelTimeout, ConnectionUse::Reuse, done);
}

void execute(EntryDaemon &daemon, const SendLeaveNotice &command)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = leavePath;
    const auto ignore = [](std::error_code /*error*/, const HttpReply & /*reply*/) {
    };
    fetch(daemon.client_, command.address_, std::move(request), cancelTimeout, ConnectionUse::Reuse, ignore);
}

void execute(EntryDaemon &daemon, const FetchReport &command)
{
    HttpRequest request;
    request.target_ = std::string(reportPath) + "?revision=" + std::to_string(command.revision_)
        + "&drained=" + (command.drained_ ? "1" : "0") + "&version=" + std::to_string(command.knownVersion_)
        + "&hold_ms=" + std::to_string(command.maxWait_.count());
    const auto done = [&daemon, id = command.upstream_](std::error_code error, const HttpReply &reply) {
        ReportReceived event{ id, error, {} };
        if (!error && (reply.status_ != 200 || parseReport(reply.body_, event.report_, Clock::now()))) {
            event.error_ = TransportErrc::Malformed;
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    const Milliseconds timeout = command.maxWait_ + reportGrace;
    fetch(daemon.client_, command.address_, std::move(request), timeout, ConnectionUse::Reuse, done);
}

void fetchPeerConfiguration(EntryDaemon &daemon, const std::string &address)
{
    HttpRequest request;
    request.target_ = configurationPath;
    const auto done = [&daemon](std::error_code error, const HttpReply &reply) {
        PeerConfigurationReceived event{ error, {} };
        if (!error && (reply.status_ != 200 || parseConfiguration(reply.body_, event.configuration_))) {
            event = { TransportErrc::Malformed, {} };
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    fetch(daemon.client_, address, std::move(request), peerTimeout, ConnectionUse::Reuse, done);
}

void fetchPeerChanges(EntryDaemon &daemon, const FetchPeerChanges &command)
{
    HttpRequest request;
    request.target_ = std::string(changesPath) + "?after=" + std::to_string(command.afterRevision_);
    const auto done = [&daemon](std::error_code error, const HttpReply &reply) {
        PeerChangesReceived event{ error, {} };
        if (!error && (reply.status_ != 200 || parseConfirmedChanges(reply.body_, event.changes_))) {
            event = { TransportErrc::Malformed, {} };
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    fetch(daemon.client_, command.address_, std::move(request), peerTimeout, ConnectionUse::Reuse, done);
}

void execute(EntryDaemon &daemon, const FetchPeerChanges &command)
{
    if (command.whole_) {
        fetchPeerConfiguration(daemon, command.address_);
    } else {
        fetchPeerChanges(daemon, command);
    }
}

void execute(EntryDaemon &daemon, const OperatorReply &command)
{
    respond(serverOf(daemon, command.exchange_), command.exchange_, serializeOperatorReply(command));
}

/// Stops the network thread once the last answers are on their way.
void exitWhenIdle(EntryDaemon &daemon)
{
    if (daemon.callers_->exchanges_.empty() && daemon.control_->exchanges_.empty()) {
        daemon.io_.stop();
    }
}

void startExit(EntryDaemon &daemon)
{
    if (daemon.exiting_) {
        return;
    }
    daemon.exiting_ = true;
    stopListening(*daemon.callers_);
    stopListening(*daemon.control_);
}

void executeOutbox(EntryDaemon &daemon, const EntryOutbox &outbox)
{
    executeAll(daemon, outbox.callerOutputs_);
    executeAll(daemon, outbox.orders_);
    executeAll(daemon, outbox.answerStreamsToClose_);
    executeAll(daemon, outbox.answerStreamsToOpen_);
    executeAll(daemon, outbox.cancels_);
    executeAll(daemon, outbox.reportFetches_);
    executeAll(daemon, outbox.vmFetches_);
    executeAll(daemon, outbox.leaveNotices_);
    executeAll(daemon, outbox.storeReads_);
    executeAll(daemon, outbox.storeWrites_);
    executeAll(daemon, outbox.peerFetches_);
    executeAll(daemon, outbox.operatorReplies_);
    if (outbox.exit_) {
        startExit(daemon);
    }
}

void takeCallerRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    CallerRequest caller;
    if (const std::error_code error = parseCallerRequest(request, caller); error) {
        respond(*daemon.callers_, exchange, refuseBadRequest(error));
        return;
    }
    caller.exchange_ = exchange;
    postEvent(daemon.loop_, EntryEvent(std::move(caller)));
}

/// Answers what both servers of an entry answer. @return whether the request was one of those.
bool takeStatusRequest(EntryDaemon &daemon, HttpServer &server, ExchangeId exchange, const HttpRequest &request)
{
    if (request.target_ == "/healthz") {
        respond(server, exchange, textReply(200, "ok\n"));
        return true;
    }
    auto status = parseStatusRequest(request);
    if (!status) {
        return false;
    }
    status->exchange_ = exchange;
    postEvent(daemon.loop_, EntryEvent(*status));
    return true;
}

void takePlanRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    PlanRequested event{ exchange, {} };
    std::error_code error;
    const Json::value document = parseJson(request.body_, error);
    if (!error) {
        error = parseChanges(document, event.changes_);
    }
    if (error) {
        respond(*daemon.control_, exchange, refuseBadRequest(error));
        return;
    }
    postEvent(daemon.loop_, EntryEvent(std::move(event)));
}

void takeConfirmRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    ConfirmRequested event{ exchange, {} };
    if (const std::error_code error = parsePlan(request.body_, event.plan_); error) {
        respond(*daemon.control_, exchange, refuseBadRequest(error));
        return;
    }
    postEvent(daemon.loop_, EntryEvent(std::move(event)));
}

void takeControlRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    if (takeStatusRequest(daemon, *daemon.control_, exchange, request)) {
        return;
    }
    if (request.method_ == "POST" && request.target_ == "/v1/plans") {
        takePlanRequest(daemon, exchange, request);
    } else if (request.method_ == "POST" && request.target_ == "/v1/confirmations") {
        takeConfirmRequest(daemon, exchange, request);
    } else {
        respond(*daemon.control_, exchange, refuseBadRequest(WireErrc::UnknownPath));
    }
}

ServerHandlers callerHandlers(EntryDaemon &daemon)
{
    ServerHandlers handlers;
    handlers.onRequest_ = [&daemon](ExchangeId exchange, const HttpRequest &request) {
        const bool probe = request.target_ == "/healthz" || request.target_ == "/readyz";
        if (!probe || !takeStatusRequest(daemon, *daemon.callers_, exchange, request)) {
            takeCallerRequest(daemon, exchange, request);
        }
    };
    handlers.onDisconnect_ = [&daemon](ExchangeId exchange) {
        postEvent(daemon.loop_, EntryEvent(CallerDisconnected{ exchange }));
    };
    handlers.onBadRequest_ = refuseBadRequest;
    handlers.onIdle_ = [&daemon] {
        exitWhenIdle(daemon);
    };
    return handlers;
}

ServerHandlers controlHandlers(EntryDaemon &daemon)
{
    ServerHandlers handlers;
    handlers.onRequest_ = [&daemon](ExchangeId exchange, const HttpRequest &request) {
        takeControlRequest(daemon, exchange, request);
    };
    handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
    };
    handlers.onBadRequest_ = refuseBadRequest;
    handlers.onIdle_ = [&daemon] {
        exitWhenIdle(daemon);
    };
    return handlers;
}

std::error_code startServers(EntryDaemon &daemon)
{
    daemon.callers_ = std::make_unique<HttpServer>(daemon.io_, daemon.settings_.limits_, callerHandlers(daemon));
    daemon.control_ = std::make_unique<HttpServer>(daemon.io_, ServerLimits{}, controlHandlers(daemon));
    daemon.control_->nextExchange_ = firstControlExchange;
    const std::error_code error = listen(*daemon.callers_, daemon.settings_.listen_);
    return error ? error : listen(*daemon.control_, daemon.settings_.control_);
}

void startLoop(EntryDaemon &daemon)
{
    const Settings &settings = daemon.settings_;
    daemon.loop_.state_ = makeEntryState(settings.identity_, settings.entryPolicy_, seedOf(settings));
    daemon.loop_.state_.peers_ = settings.seeds_; // until the VM list tells of the others
    std::erase(daemon.loop_.state_.peers_, settings.control_);
    daemon.loop_.tick_ = tickEntry;
    daemon.loop_.nextDeadline_ = nextEntryDeadline;
    connectLoop(daemon, executeOutbox);
}

} // namespace

int runEntryDaemon(const Settings &settings)
{
    EntryDaemon daemon;
    daemon.settings_ = settings;
    if (const std::error_code error = startServers(daemon); error) {
        return reportCannotListen(settings, error);
    }
    startLoop(daemon);
    return runNode(daemon, "entry");
}

} // namespace Burdockfield
