/**
 * @file agent_daemon.cpp
 * @brief I/O of an agent: decodes received messages into events and encodes commands as messages.
 */
#include "agent_func.h"
#include "daemon_func.h"
#include "engine_wire.h"
#include "error_type.h"
#include "http_func.h"
#include "node_daemon_type.h"
#include "run_wire.h"
#include "status_wire.h"

#include <set>

namespace Burdockfield {

namespace {

constexpr double answerMemoryShare = 0.2; ///< Share of the memory for answers of running runs, as in gateways.
constexpr double replyMemoryShare = 0.1; ///< Share of the memory for replies being received, which services send whole.
constexpr Milliseconds loadTimeout{ 1000 }; ///< Timeout of a load request to the upstream.

using AgentLoop = NodeLoop<AgentState, AgentEvent, AgentInbox, AgentOutbox>;
using DispatchKey = std::pair<RunId, uint32_t>; ///< Run and number of the dispatch.

/// Agent daemon: the loop that runs the ticks, the server and the client.
struct AgentDaemon
{
    using Event = AgentEvent; ///< Type of the loop's events.
    using Outbox = AgentOutbox; ///< Type of a tick's commands.

    Settings settings_;
    Asio::io_context io_{ 1 }; ///< Runs on the network thread.
    AgentLoop loop_; ///< Runs on the tick thread.
    HttpClient client_{ io_ }; ///< Calls the upstream and the platform.
    std::unique_ptr<HttpServer> server_; ///< Serves entries and operators.
    std::map<DispatchKey, uint64_t> engineStreams_; ///< Stream numbers of the HTTP client, by dispatch.
    std::set<ExchangeId> openAnswerStreams_; ///< Answer streams whose response header has been sent.
    bool exiting_ = false; ///< Whether the daemon waits only for open exchanges to end.
};

void execute(AgentDaemon &daemon, const SendRunReply &command)
{
    respond(*daemon.server_, command.exchange_, makeJsonReply(serializeRunReply(command.reply_, Clock::now())));
}

void execute(AgentDaemon &daemon, const SendFrame &command)
{
    if (daemon.openAnswerStreams_.insert(command.exchange_).second) {
        HttpReply head;
        head.headers_.emplace_back("Content-Type", "application/x-ndjson");
        startStream(*daemon.server_, command.exchange_, std::move(head));
    }
    sendChunk(*daemon.server_, command.exchange_, serializeAnswerFrame(command.frame_, Clock::now()) + "\n");
    if (command.frame_.ended_) {
        endStream(*daemon.server_, command.exchange_);
        daemon.openAnswerStreams_.erase(command.exchange_);
    }
}

void execute(AgentDaemon &daemon, const SendUnknownRun &command)
{
    respond(*daemon.server_, command.exchange_, makeTextReply(404, "unknown run\n"));
}

void execute(AgentDaemon &daemon, const SendCancelReply &command)
{
    respond(*daemon.server_, command.exchange_, makeJsonReply(serializeCancelReply(command.reply_)));
}

void execute(AgentDaemon &daemon, const SendReport &command)
{
    respond(*daemon.server_, command.exchange_, makeJsonReply(serializeReport(command.report_, Clock::now())));
}

/// State shared by the stream handlers of one dispatch to an engine.
struct DispatchedRun
{
    RunId run_; ///< Run that was dispatched.
    uint32_t dispatchNumber_ = 0; ///< Number of the dispatch.
    int status_ = 0; ///< HTTP status of the engine's response; 0 until received.
    EngineStream stream_; ///< State of parsing the response.
    std::error_code malformed_; ///< Set if an event could not be parsed.
};

void endDispatchedRun(AgentDaemon &daemon, const DispatchedRun &run, std::error_code error);

void handleEngineBytes(AgentDaemon &daemon, DispatchedRun &run, std::string_view bytes)
{
    if (run.status_ != 200 || run.malformed_) {
        return;
    }
    std::vector<Delta> deltas = parseEngineBytes(run.stream_, bytes, run.malformed_);
    if (!deltas.empty()) {
        postEvent(daemon.loop_, AgentEvent(EngineDeltas{ run.run_, run.dispatchNumber_, std::move(deltas) }));
    }
    if (run.malformed_) {
        logLine(LogLevel::Warning, "engine-malformed", { { "error", run.malformed_.message() } });
        const auto stream = daemon.engineStreams_.find({ run.run_, run.dispatchNumber_ });
        if (stream != daemon.engineStreams_.end()) {
            closeStream(daemon.client_, stream->second);
        }
        endDispatchedRun(daemon, run, TransportErrc::Malformed);
    }
}

void endDispatchedRun(AgentDaemon &daemon, const DispatchedRun &run, std::error_code error)
{
    daemon.engineStreams_.erase({ run.run_, run.dispatchNumber_ });
    EngineEnded event{ run.run_, run.dispatchNumber_, error, run.stream_.end_ };
    if (run.status_ != 0 && run.status_ != 200) {
        event.error_ = {};
        event.end_ = makeErrorStatusEnd(run.status_);
    } else if (run.stream_.done_) {
        event.error_ = {};
    } else if (!error) {
        event.error_ = run.malformed_ ? TransportErrc::Malformed : TransportErrc::Lost;
    }
    postEvent(daemon.loop_, AgentEvent(std::move(event)));
}

void startModelRun(AgentDaemon &daemon, const StartEngine &command)
{
    auto run = std::make_shared<DispatchedRun>();
    run->run_ = command.run_;
    run->dispatchNumber_ = command.dispatchNumber_;
    StreamHandlers handlers;
    handlers.onHead_ = [run](const HttpReply &head) {
        run->status_ = head.status_;
    };
    handlers.onBytes_ = [&daemon, run](std::string_view bytes) {
        handleEngineBytes(daemon, *run, bytes);
    };
    handlers.onEnd_ = [&daemon, run](std::error_code error) {
        endDispatchedRun(daemon, *run, error);
    };
    daemon.engineStreams_[{ command.run_, command.dispatchNumber_ }]
        = openStream(daemon.client_, daemon.settings_.upstream_.address_, makeEngineRequest(command.order_),
            daemon.settings_.upstreamSilenceTimeout_, std::move(handlers));
}

void startServiceRun(AgentDaemon &daemon, const StartEngine &command)
{
    const auto done
        = [&daemon, id = command.run_, dispatch = command.dispatchNumber_](std::error_code error, HttpReply reply) {
              if (!error) {
                  EngineDeltas event{ id, dispatch, {} };
                  event.deltas_.push_back({ std::move(reply.body_), 0 });
                  postEvent(daemon.loop_, AgentEvent(std::move(event)));
              }
              postEvent(daemon.loop_, AgentEvent(EngineEnded{ id, dispatch, error, makeServiceEnd(reply) }));
          };
    fetch(daemon.client_, daemon.settings_.upstream_.address_, makeEngineRequest(command.order_),
        daemon.settings_.serviceTimeout_, ConnectionUse::Fresh, done);
}

void execute(AgentDaemon &daemon, const StartEngine &command)
{
    if (command.order_.kind_ == RouteKind::Model) {
        startModelRun(daemon, command);
    } else {
        startServiceRun(daemon, command);
    }
}

void execute(AgentDaemon &daemon, const AbortEngine &command)
{
    const auto found = daemon.engineStreams_.find({ command.run_, command.dispatchNumber_ });
    if (found == daemon.engineStreams_.end()) {
        return;
    }
    closeStream(daemon.client_, found->second);
    daemon.engineStreams_.erase(found);
}

void execute(AgentDaemon &daemon, const FetchLoad & /*command*/)
{
    const bool model = daemon.settings_.upstream_.kind_ == RouteKind::Model;
    const auto done = [&daemon, model](std::error_code error, const HttpReply &reply) {
        EngineLoad event{ error, 0, {} };
        if (!error && (reply.status_ != 200 || (model && parseLoad(reply.body_, event)))) {
            event = { TransportErrc::Malformed, 0, {} };
        }
        postEvent(daemon.loop_, AgentEvent(std::move(event)));
    };
    HttpRequest request;
    request.target_ = daemon.settings_.loadPath_;
    // The engine's replies name no call. Runs keep no connection, so that a reply too many on this one is an earlier
    // load, which is out of date until the next.
    fetch(daemon.client_, daemon.settings_.upstream_.address_, std::move(request), loadTimeout, ConnectionUse::Reuse,
        done);
}

void execute(AgentDaemon &daemon, const OperatorReply &command)
{
    respond(*daemon.server_, command.exchange_, serializeOperatorReply(command));
}

void executeOutbox(AgentDaemon &daemon, const AgentOutbox &outbox)
{
    executeAll(daemon, outbox.runReplies_);
    executeAll(daemon, outbox.frames_);
    executeAll(daemon, outbox.unknownRuns_);
    executeAll(daemon, outbox.cancelReplies_);
    executeAll(daemon, outbox.reports_);
    executeAll(daemon, outbox.engineAborts_);
    executeAll(daemon, outbox.engineStarts_);
    executeAll(daemon, outbox.loadFetches_);
    executeAll(daemon, outbox.storeReads_);
    executeAll(daemon, outbox.storeWrites_);
    executeAll(daemon, outbox.vmFetches_);
    executeAll(daemon, outbox.operatorReplies_);
    if (outbox.exit_ && !daemon.exiting_) {
        daemon.exiting_ = true;
        stopListening(*daemon.server_);
    }
}

void handleRunOrder(AgentDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    RunOrdered event{ exchange, {} };
    if (const std::error_code error = parseRunOrder(request.body_, event.order_); error) {
        respond(*daemon.server_, exchange, makeBadRequestReply(error));
        return;
    }
    postEvent(daemon.loop_, AgentEvent(std::move(event)));
}

RunName parseRunName(HttpTarget &target)
{
    return { target.query_["run"], static_cast<uint32_t>(parseNumberOr(target.query_["attempt"], 0)) };
}

void handleReportRequest(AgentDaemon &daemon, ExchangeId exchange, HttpTarget &target)
{
    constexpr uint64_t maxHold = 30000; // milliseconds
    ReportRequested event;
    event.exchange_ = exchange;
    event.revision_ = parseNumberOr(target.query_["revision"], 0);
    event.drained_ = target.query_["drained"] == "1";
    event.knownVersion_ = parseNumberOr(target.query_["version"], 0);
    event.maxWait_ = Milliseconds(std::min(parseNumberOr(target.query_["hold_ms"], 0), maxHold));
    postEvent(daemon.loop_, AgentEvent(event));
}

void handleRequest(AgentDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    HttpTarget target = splitTarget(request.target_);
    if (target.path_ == runsPath && request.method_ == "POST") {
        handleRunOrder(daemon, exchange, request);
    } else if (target.path_ == answerPath) {
        const uint64_t offset = parseNumberOr(target.query_["offset"], 0);
        postEvent(daemon.loop_, AgentEvent(AnswerRequested{ exchange, parseRunName(target), offset }));
    } else if (target.path_ == cancelPath && request.method_ == "POST") {
        const uint64_t incarnation = parseNumberOr(target.query_["incarnation"], 0);
        postEvent(daemon.loop_, AgentEvent(CancelRequested{ exchange, parseRunName(target), incarnation }));
    } else if (target.path_ == reportPath) {
        handleReportRequest(daemon, exchange, target);
    } else if (target.path_ == leavePath && request.method_ == "POST") {
        respond(*daemon.server_, exchange, makeTextReply(200, "ok\n"));
        postEvent(daemon.loop_, AgentEvent(LeaveNoticeReceived{}));
    } else if (target.path_ == "/healthz") {
        respond(*daemon.server_, exchange, makeTextReply(200, "ok\n"));
    } else if (auto status = parseStatusRequest(request); status) {
        status->exchange_ = exchange;
        postEvent(daemon.loop_, AgentEvent(*status));
    } else {
        respond(*daemon.server_, exchange, makeBadRequestReply(WireErrc::UnknownPath));
    }
}

ServerHandlers makeHandlers(AgentDaemon &daemon)
{
    ServerHandlers handlers;
    handlers.onRequest_ = [&daemon](ExchangeId exchange, const HttpRequest &request) {
        handleRequest(daemon, exchange, request);
    };
    handlers.onDisconnect_ = [&daemon](ExchangeId exchange) {
        daemon.openAnswerStreams_.erase(exchange);
        postEvent(daemon.loop_, AgentEvent(ClientDisconnected{ exchange }));
    };
    handlers.onBadRequest_ = makeBadRequestReply;
    handlers.onIdle_ = [&daemon] {
        daemon.io_.stop();
    };
    return handlers;
}

void startLoop(AgentDaemon &daemon)
{
    const Settings &settings = daemon.settings_;
    daemon.loop_.state_
        = makeAgentState(settings.identity_, settings.agentPolicy_, settings.upstream_, chooseSeed(settings));
    daemon.loop_.state_.answerLimit_
        = static_cast<size_t>(static_cast<double>(settings.serverMemoryBytes_) * answerMemoryShare);
    daemon.loop_.tick_ = tickAgent;
    daemon.loop_.nextDeadline_ = nextAgentDeadline;
    setUpLoop(daemon, executeOutbox);
}

} // namespace

int runAgentDaemon(const Settings &settings)
{
    AgentDaemon daemon;
    daemon.settings_ = settings;
    ServerLimits limits;
    limits.bodyBytes_ = size_t{ 64 } << 20U; // holds a caller's body, escaped as JSON, and the rest of the run order
    daemon.server_ = std::make_unique<HttpServer>(daemon.io_, limits, makeHandlers(daemon));
    daemon.server_->servesNodes_ = true;
    setBudgetMemory(*daemon.server_->budget_, settings.serverMemoryBytes_);
    if (const std::error_code error = listen(*daemon.server_, settings.listenAddress_); error) {
        return logListenFailure(settings, error);
    }
    const auto memory = static_cast<double>(settings.serverMemoryBytes_);
    daemon.client_.replies_->budget_.limitBytes_ = static_cast<size_t>(memory * replyMemoryShare);
    startLoop(daemon);
    return runDaemon(daemon, "agent");
}

} // namespace Burdockfield
