/**
 * @file agent_daemon.cpp
 * @brief I/O of an agent: turns bytes into events and commands into bytes.
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

constexpr Milliseconds loadTimeout{ 1000 }; ///< Longest question to the upstream.

using AgentLoop = NodeLoop<AgentState, AgentEvent, AgentInbox, AgentOutbox>;
using DispatchKey = std::pair<RunId, uint32_t>; ///< Run and number of the hand-over.

/// Agent daemon: its tables' loop and its I/O.
struct AgentDaemon
{
    using Event = AgentEvent; ///< Any input.
    using Outbox = AgentOutbox; ///< Effects of one tick.

    Settings settings_; ///< Settings.
    Asio::io_context io_{ 1 }; ///< Network thread.
    AgentLoop loop_; ///< Tick thread.
    HttpClient client_{ io_ }; ///< Calls to upstream and platform.
    std::unique_ptr<HttpServer> server_; ///< Entries' server.
    std::map<DispatchKey, uint64_t> engineStreams_; ///< Client streams by hand-over.
    std::set<ExchangeId> openAnswers_; ///< Answers whose header has been sent.
    bool exiting_ = false; ///< Whether only answers on their way are awaited.
};

void execute(AgentDaemon &daemon, const SendRunReply &command)
{
    respond(*daemon.server_, command.exchange_, makeJsonReply(serializeRunReply(command.reply_, Clock::now())));
}

void execute(AgentDaemon &daemon, const SendFrame &command)
{
    if (daemon.openAnswers_.insert(command.exchange_).second) {
        HttpReply head;
        head.headers_.emplace_back("Content-Type", "application/x-ndjson");
        startStream(*daemon.server_, command.exchange_, std::move(head));
    }
    sendChunk(*daemon.server_, command.exchange_, serializeAnswerFrame(command.frame_, Clock::now()) + "\n");
    if (command.frame_.ended_) {
        endStream(*daemon.server_, command.exchange_);
        daemon.openAnswers_.erase(command.exchange_);
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

/// What the handlers of one hand-over to an engine share.
struct EngineRun
{
    RunId run_; ///< Run.
    uint32_t dispatchNumber_ = 0; ///< Number of the hand-over.
    int status_ = 0; ///< HTTP status of the engine's answer.
    EngineStream stream_; ///< What has come of it.
    std::error_code malformed_; ///< Set when an event could not be parsed.
};

void takeEngineOutput(AgentDaemon &daemon, EngineRun &run, std::string_view bytes)
{
    if (run.status_ != 200) {
        return;
    }
    std::vector<Delta> deltas = parseEngineBytes(run.stream_, bytes, run.malformed_);
    if (!deltas.empty()) {
        postEvent(daemon.loop_, AgentEvent(EngineDeltas{ run.run_, run.dispatchNumber_, std::move(deltas) }));
    }
}

void endEngineRun(AgentDaemon &daemon, const EngineRun &run, std::error_code error)
{
    daemon.engineStreams_.erase({ run.run_, run.dispatchNumber_ });
    EngineEnded event{ run.run_, run.dispatchNumber_, error, run.stream_.end_ };
    if (run.status_ != 0 && run.status_ != 200) {
        event.error_ = {};
        event.end_ = makeEngineRefusal(run.status_);
    } else if (run.stream_.done_) {
        event.error_ = {};
    } else if (!error) {
        event.error_ = run.malformed_ ? TransportErrc::Malformed : TransportErrc::Lost;
    }
    postEvent(daemon.loop_, AgentEvent(std::move(event)));
}

void startModelRun(AgentDaemon &daemon, const StartEngine &command)
{
    auto run = std::make_shared<EngineRun>();
    run->run_ = command.run_;
    run->dispatchNumber_ = command.dispatchNumber_;
    StreamHandlers handlers;
    handlers.onHead_ = [run](const HttpReply &head) {
        run->status_ = head.status_;
    };
    handlers.onBytes_ = [&daemon, run](std::string_view bytes) {
        takeEngineOutput(daemon, *run, bytes);
    };
    handlers.onEnd_ = [&daemon, run](std::error_code error) {
        endEngineRun(daemon, *run, error);
    };
    daemon.engineStreams_[{ command.run_, command.dispatchNumber_ }]
        = openStream(daemon.client_, daemon.settings_.upstream_.address_, makeEngineCall(command.order_),
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
    fetch(daemon.client_, daemon.settings_.upstream_.address_, makeEngineCall(command.order_),
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

void takeOrder(AgentDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    RunOrdered event{ exchange, {} };
    if (const std::error_code error = parseRunOrder(request.body_, event.order_); error) {
        respond(*daemon.server_, exchange, makeBadRequestReply(error));
        return;
    }
    postEvent(daemon.loop_, AgentEvent(std::move(event)));
}

RunName runNameOf(HttpTarget &target)
{
    return { target.query_["run"], static_cast<uint32_t>(parseNumberOr(target.query_["attempt"], 0)) };
}

void takeReportRequest(AgentDaemon &daemon, ExchangeId exchange, HttpTarget &target)
{
    constexpr uint64_t longestHold = 30000; // milliseconds
    ReportRequested event;
    event.exchange_ = exchange;
    event.revision_ = parseNumberOr(target.query_["revision"], 0);
    event.drained_ = target.query_["drained"] == "1";
    event.knownVersion_ = parseNumberOr(target.query_["version"], 0);
    event.maxWait_ = Milliseconds(std::min(parseNumberOr(target.query_["hold_ms"], 0), longestHold));
    postEvent(daemon.loop_, AgentEvent(event));
}

void takeRequest(AgentDaemon &daemon, ExchangeId exchange, const HttpRequest &request)
{
    HttpTarget target = splitTarget(request.target_);
    if (target.path_ == runsPath && request.method_ == "POST") {
        takeOrder(daemon, exchange, request);
    } else if (target.path_ == answerPath) {
        const uint64_t offset = parseNumberOr(target.query_["offset"], 0);
        postEvent(daemon.loop_, AgentEvent(AnswerRequested{ exchange, runNameOf(target), offset }));
    } else if (target.path_ == cancelPath && request.method_ == "POST") {
        const uint64_t incarnation = parseNumberOr(target.query_["incarnation"], 0);
        postEvent(daemon.loop_, AgentEvent(CancelRequested{ exchange, runNameOf(target), incarnation }));
    } else if (target.path_ == reportPath) {
        takeReportRequest(daemon, exchange, target);
    } else if (target.path_ == leavePath && request.method_ == "POST") {
        respond(*daemon.server_, exchange, makeTextReply(200, "ok\n"));
        postEvent(daemon.loop_, AgentEvent(LeaveNoticed{}));
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
        takeRequest(daemon, exchange, request);
    };
    handlers.onDisconnect_ = [&daemon](ExchangeId exchange) {
        daemon.openAnswers_.erase(exchange);
        postEvent(daemon.loop_, AgentEvent(PeerGone{ exchange }));
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
    limits.bodyBytes_ = size_t{ 64 } << 20U; // a caller's body, escaped, with the rest of its order
    daemon.server_ = std::make_unique<HttpServer>(daemon.io_, limits, makeHandlers(daemon));
    if (const std::error_code error = listen(*daemon.server_, settings.listenAddress_); error) {
        return logListenFailure(settings, error);
    }
    startLoop(daemon);
    return runDaemon(daemon, "agent");
}

} // namespace Burdockfield
