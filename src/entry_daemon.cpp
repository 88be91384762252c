/**
 * @file entry_daemon.cpp
 * @brief I/O of an entry: decodes received messages into events and encodes commands as messages.
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

constexpr double answerMemoryShare = 0.2; ///< Share of the memory for answers of requests, as in gateways.
constexpr double replyMemoryShare = 0.1; ///< Share of the memory for replies and frames being received.
constexpr Milliseconds orderTimeout{ 1500 }; ///< Timeout of a run order.
constexpr Milliseconds cancelTimeout{ 1000 }; ///< Timeout of a cancellation or leave notice.
constexpr Milliseconds answerSilenceTimeout{ 1500 }; ///< Longest time without data on an answer stream.
constexpr Milliseconds reportTimeoutMargin{ 2000 }; ///< Time that a report request may take beyond the hold.
constexpr Milliseconds peerTimeout{ 2000 }; ///< Timeout of a request to another entry.
constexpr uint64_t firstControlExchange = uint64_t{ 1 } << 62U; ///< First exchange number of the control server.

using EntryLoop = NodeLoop<EntryState, EntryEvent, EntryInbox, EntryOutbox>;
using AnswerStreamKey = std::pair<RequestId, uint32_t>; ///< Request and number of the stream.

/// Entry daemon: the loop that runs the ticks, the servers and the client.
struct EntryDaemon
{
    using Event = EntryEvent; ///< Type of the loop's events.
    using Outbox = EntryOutbox; ///< Type of a tick's commands.

    Settings settings_;
    Asio::io_context io_{ 1 }; ///< Runs on the network thread.
    EntryLoop loop_; ///< Runs on the tick thread.
    HttpClient client_{ io_ }; ///< Calls agents, the platform and peers.
    std::unique_ptr<HttpServer> callerServer_; ///< Serves callers.
    std::unique_ptr<HttpServer> controlServer_; ///< Serves operators and peers.
    std::map<AnswerStreamKey, uint64_t> answerStreams_; ///< Stream numbers of the HTTP client, by answer stream.
    bool exiting_ = false; ///< Whether the daemon waits only for open exchanges to end.
};

HttpServer &serverFor(EntryDaemon &daemon, ExchangeId exchange)
{
    return exchange.value_ >= firstControlExchange ? *daemon.controlServer_ : *daemon.callerServer_;
}

void send(EntryDaemon &daemon, const CallerOutput &output, const CallerDeltas &body)
{
    if (!output.responseStarted_) {
        startStream(*daemon.callerServer_, output.exchange_, serializeStreamHead(output.request_));
    }
    sendChunk(*daemon.callerServer_, output.exchange_, serializeDeltas(output, body));
}

void send(EntryDaemon &daemon, const CallerOutput &output, const CallerEnd &body)
{
    if (!output.streamed_ || output.kind_ == RouteKind::Service) {
        respond(*daemon.callerServer_, output.exchange_, serializeAnswer(output, body));
        return;
    }
    if (!output.responseStarted_) {
        startStream(*daemon.callerServer_, output.exchange_, serializeStreamHead(output.request_));
    }
    sendChunk(*daemon.callerServer_, output.exchange_, serializeStreamEnd(output, body));
    endStream(*daemon.callerServer_, output.exchange_);
}

void send(EntryDaemon &daemon, const CallerOutput &output, const Refusal &body)
{
    if (!output.responseStarted_) {
        respond(*daemon.callerServer_, output.exchange_, serializeRefusal(body, output.request_));
        return;
    }
    sendChunk(*daemon.callerServer_, output.exchange_, serializeStreamRefusal(body, output.request_));
    endStream(*daemon.callerServer_, output.exchange_);
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
    const auto onReply = [&daemon, id = command.request_, attempt](std::error_code error, const HttpReply &reply) {
        RunReplied event{ id, attempt, error, {} };
        if (!error && (reply.status_ != 200 || parseRunReply(reply.body_, event.reply_, Clock::now()))) {
            event.error_ = TransportErrc::Malformed;
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    // The answer to an order that was sent before may say that the agent never runs it, although the first one did.
    fetchFromNode(
        daemon.client_, command.address_, std::move(request), orderTimeout, ConnectionUse::ReuseOnce, onReply);
}

std::string runTarget(std::string_view path, const RunName &name)
{
    return std::string(path) + "?run=" + name.request_ + "&attempt=" + std::to_string(name.attempt_);
}

/// State shared by the handlers of one answer stream.
struct AnswerStream
{
    explicit AnswerStream(const HttpClient &client)
        : held_(client, nullptr)
    {
    }

    HeldReply held_; ///< Memory of an incomplete frame.
    RequestId request_; ///< Request that the stream was opened for.
    uint32_t streamNumber_ = 0; ///< Number of the stream; unique within the request.
    TextSplitter splitter_; ///< Splits the received bytes into frames.
    bool unknownRun_ = false; ///< Whether the agent does not know the run.
};

void endAnswerStream(EntryDaemon &daemon, const AnswerStream &stream, std::error_code error)
{
    daemon.answerStreams_.erase({ stream.request_, stream.streamNumber_ });
    postEvent(daemon.loop_,
        EntryEvent(AnswerStreamClosed{ stream.request_, stream.streamNumber_, error, stream.unknownRun_ }));
}

/// Closes an answer stream and ends it with an error.
void abandonAnswerStream(EntryDaemon &daemon, const AnswerStream &stream, std::error_code error)
{
    logLine(LogLevel::Warning, "answer-stream-abandoned", { { "error", error.message() } });
    const auto found = daemon.answerStreams_.find({ stream.request_, stream.streamNumber_ });
    if (found != daemon.answerStreams_.end()) {
        closeStream(daemon.client_, found->second);
    }
    endAnswerStream(daemon, stream, error);
}

void handleAnswerBytes(EntryDaemon &daemon, AnswerStream &stream, std::string_view bytes)
{
    for (const std::string &line : extractParts(stream.splitter_, bytes, "\n")) {
        AnswerFrameReceived event{ stream.request_, stream.streamNumber_, {} };
        if (parseAnswerFrame(line, event.frame_, Clock::now())) {
            abandonAnswerStream(daemon, stream, TransportErrc::Malformed);
            return;
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    }
    if (!holdBytes(stream.held_, stream.splitter_.rest_.capacity())) {
        abandonAnswerStream(daemon, stream, TransportErrc::NoMemory);
    }
}

void execute(EntryDaemon &daemon, const OpenAnswerStream &command)
{
    HttpRequest request;
    request.target_ = runTarget(answerPath, command.name_) + "&offset=" + std::to_string(command.offset_);
    auto stream = std::make_shared<AnswerStream>(daemon.client_);
    stream->request_ = command.request_;
    stream->streamNumber_ = command.streamNumber_;
    StreamHandlers handlers;
    handlers.onHead_ = [stream](const HttpReply &head) {
        stream->unknownRun_ = head.status_ == 404;
    };
    handlers.onBytes_ = [&daemon, stream](std::string_view bytes) {
        if (!stream->unknownRun_) {
            handleAnswerBytes(daemon, *stream, bytes);
        }
    };
    handlers.onEnd_ = [&daemon, stream](std::error_code error) {
        endAnswerStream(daemon, *stream, error);
    };
    const AnswerStreamKey key{ command.request_, command.streamNumber_ };
    daemon.answerStreams_[key]
        = openStream(daemon.client_, command.address_, std::move(request), answerSilenceTimeout, std::move(handlers));
}

void execute(EntryDaemon &daemon, const CloseAnswerStream &command)
{
    const auto found = daemon.answerStreams_.find({ command.request_, command.streamNumber_ });
    if (found == daemon.answerStreams_.end()) {
        return;
    }
    closeStream(daemon.client_, found->second);
    daemon.answerStreams_.erase(found);
}

void execute(EntryDaemon &daemon, const SendCancel &command)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_
        = runTarget(cancelPath, command.name_) + "&incarnation=" + std::to_string(command.agentIncarnation_);
    const uint32_t attempt = command.name_.attempt_;
    const auto onReply = [&daemon, id = command.request_, attempt](std::error_code error, const HttpReply &reply) {
        CancelReplied event{ id, attempt, error, {} };
        if (!error && (reply.status_ != 200 || parseCancelReply(reply.body_, event.reply_))) {
            event.error_ = TransportErrc::Malformed;
        }
        postEvent(daemon.loop_, EntryEvent(event));
    };
    fetchFromNode(daemon.client_, command.address_, std::move(request), cancelTimeout, ConnectionUse::Reuse, onReply);
}

void execute(EntryDaemon &daemon, const SendLeaveNotice &command)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = leavePath;
    const auto ignoreReply = [](std::error_code /*error*/, const HttpReply & /*reply*/) {
    };
    fetchFromNode(
        daemon.client_, command.address_, std::move(request), cancelTimeout, ConnectionUse::Reuse, ignoreReply);
}

void execute(EntryDaemon &daemon, const FetchReport &command)
{
    HttpRequest request;
    request.target_ = std::string(reportPath) + "?revision=" + std::to_string(command.revision_)
        + "&drained=" + (command.drained_ ? "1" : "0") + "&version=" + std::to_string(command.knownVersion_)
        + "&hold_ms=" + std::to_string(command.maxWait_.count());
    const auto onReply = [&daemon, id = command.upstream_](std::error_code error, const HttpReply &reply) {
        ReportReceived event{ id, error, {} };
        if (!error && (reply.status_ != 200 || parseReport(reply.body_, event.report_, Clock::now()))) {
            event.error_ = TransportErrc::Malformed;
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    const Milliseconds timeout = command.maxWait_ + reportTimeoutMargin;
    fetchFromNode(daemon.client_, command.address_, std::move(request), timeout, ConnectionUse::Reuse, onReply);
}

void fetchPeerConfiguration(EntryDaemon &daemon, const std::string &address)
{
    HttpRequest request;
    request.target_ = configurationPath;
    const auto onReply = [&daemon](std::error_code error, const HttpReply &reply) {
        PeerConfigurationReceived event{ error, {} };
        if (!error && (reply.status_ != 200 || parseConfiguration(reply.body_, event.configuration_))) {
            event = { TransportErrc::Malformed, {} };
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    fetchFromNode(daemon.client_, address, std::move(request), peerTimeout, ConnectionUse::Reuse, onReply);
}

void fetchPeerChanges(EntryDaemon &daemon, const FetchPeerChanges &command)
{
    HttpRequest request;
    request.target_ = std::string(changesPath) + "?after=" + std::to_string(command.afterRevision_);
    const auto onReply = [&daemon](std::error_code error, const HttpReply &reply) {
        PeerChangesReceived event{ error, {} };
        if (!error && (reply.status_ != 200 || parseConfirmedChanges(reply.body_, event.changes_))) {
            event = { TransportErrc::Malformed, {} };
        }
        postEvent(daemon.loop_, EntryEvent(std::move(event)));
    };
    fetchFromNode(daemon.client_, command.address_, std::move(request), peerTimeout, ConnectionUse::Reuse, onReply);
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
    respond(serverFor(daemon, command.exchange_), command.exchange_, serializeOperatorReply(command));
}

/// Stops the network thread once no request is in progress.
void exitWhenIdle(EntryDaemon &daemon)
{
    if (isIdle(*daemon.callerServer_) && isIdle(*daemon.controlServer_)) {
        daemon.io_.stop();
    }
}

void startExit(EntryDaemon &daemon)
{
    if (daemon.exiting_) {
        return;
    }
    daemon.exiting_ = true;
    stopListening(*daemon.callerServer_);
    stopListening(*daemon.controlServer_);
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

void handleCallerRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    CallerRequest caller;
    if (const std::error_code error = parseCallerRequest(request, caller); error) {
        respond(*daemon.callerServer_, exchange, makeBadRequestReply(error));
        return;
    }
    caller.exchange_ = exchange;
    postEvent(daemon.loop_, EntryEvent(std::move(caller)));
}

/// Handles the health and status requests that both servers accept. @return whether the request was one of them.
bool handleStatusRequest(EntryDaemon &daemon, HttpServer &server, ExchangeId exchange, const HttpRequest &request)
{
    if (request.target_ == "/healthz") {
        respond(server, exchange, makeTextReply(200, "ok\n"));
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

void handlePlanRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    PlanRequested event{ exchange, {} };
    std::error_code error;
    const Json::value document = parseJson(request.body_, error);
    if (!error) {
        error = parseChanges(document, event.changes_);
    }
    if (error) {
        respond(*daemon.controlServer_, exchange, makeBadRequestReply(error));
        return;
    }
    postEvent(daemon.loop_, EntryEvent(std::move(event)));
}

void handleConfirmRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    ConfirmRequested event{ exchange, {} };
    if (const std::error_code error = parsePlan(request.body_, event.plan_); error) {
        respond(*daemon.controlServer_, exchange, makeBadRequestReply(error));
        return;
    }
    postEvent(daemon.loop_, EntryEvent(std::move(event)));
}

void handleControlRequest(EntryDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    if (handleStatusRequest(daemon, *daemon.controlServer_, exchange, request)) {
        return;
    }
    if (request.method_ == "POST" && request.target_ == "/v1/plans") {
        handlePlanRequest(daemon, exchange, request);
    } else if (request.method_ == "POST" && request.target_ == "/v1/confirmations") {
        handleConfirmRequest(daemon, exchange, request);
    } else {
        respond(*daemon.controlServer_, exchange, makeBadRequestReply(WireErrc::UnknownPath));
    }
}

ServerHandlers callerHandlers(EntryDaemon &daemon)
{
    ServerHandlers handlers;
    handlers.onRequest_ = [&daemon](ExchangeId exchange, const HttpRequest &request) {
        const bool probe = request.target_ == "/healthz" || request.target_ == "/readyz";
        if (!probe || !handleStatusRequest(daemon, *daemon.callerServer_, exchange, request)) {
            handleCallerRequest(daemon, exchange, request);
        }
    };
    handlers.onDisconnect_ = [&daemon](ExchangeId exchange) {
        postEvent(daemon.loop_, EntryEvent(CallerDisconnected{ exchange }));
    };
    handlers.onBadRequest_ = makeBadRequestReply;
    handlers.onIdle_ = [&daemon] {
        exitWhenIdle(daemon);
    };
    return handlers;
}

ServerHandlers controlHandlers(EntryDaemon &daemon)
{
    ServerHandlers handlers;
    handlers.onRequest_ = [&daemon](ExchangeId exchange, const HttpRequest &request) {
        handleControlRequest(daemon, exchange, request);
    };
    handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
    };
    handlers.onBadRequest_ = makeBadRequestReply;
    handlers.onIdle_ = [&daemon] {
        exitWhenIdle(daemon);
    };
    return handlers;
}

std::error_code startServers(EntryDaemon &daemon)
{
    daemon.callerServer_ = std::make_unique<HttpServer>(daemon.io_, daemon.settings_.limits_, callerHandlers(daemon));
    daemon.controlServer_ = std::make_unique<HttpServer>(daemon.io_, ServerLimits{}, controlHandlers(daemon));
    daemon.controlServer_->servesNodes_ = true;
    daemon.controlServer_->nextExchange_ = firstControlExchange;
    daemon.controlServer_->budget_ = daemon.callerServer_->budget_;
    setBudgetMemory(*daemon.callerServer_->budget_, daemon.settings_.serverMemoryBytes_);
    const std::error_code error = listen(*daemon.callerServer_, daemon.settings_.listenAddress_);
    return error ? error : listen(*daemon.controlServer_, daemon.settings_.controlAddress_);
}

void startLoop(EntryDaemon &daemon)
{
    const Settings &settings = daemon.settings_;
    daemon.loop_.state_ = makeEntryState(settings.identity_, settings.entryPolicy_, chooseSeed(settings));
    daemon.loop_.state_.peers_ = settings.seeds_; // used until the first VM list is received
    std::erase(daemon.loop_.state_.peers_, settings.controlAddress_);
    const auto memory = static_cast<double>(settings.serverMemoryBytes_);
    daemon.loop_.state_.answerLimit_ = static_cast<size_t>(memory * answerMemoryShare);
    daemon.client_.replies_->budget_.limitBytes_ = static_cast<size_t>(memory * replyMemoryShare);
    daemon.loop_.tick_ = tickEntry;
    daemon.loop_.nextDeadline_ = nextEntryDeadline;
    setUpLoop(daemon, executeOutbox);
}

} // namespace

int runEntryDaemon(const Settings &settings)
{
    EntryDaemon daemon;
    daemon.settings_ = settings;
    if (const std::error_code error = startServers(daemon); error) {
        return logListenFailure(settings, error);
    }
    startLoop(daemon);
    return runDaemon(daemon, "entry");
}

} // namespace Burdockfield
