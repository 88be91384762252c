/**
 * @file gateway_internal_server.cpp
 * @brief Replies of a gateway to its load balancer, to operators and to peers.
 */
#include "gateway_daemon_func.h"
#include "gateway_peer_wire.h"
#include "gateway_status_wire.h"
#include "http_func.h"
#include "log_func.h"
#include "where_func.h"
#include "where_wire.h"

#include "header_names.h"

namespace Burdockfield::Gateway {

namespace {

HttpReply answerInternal(GatewayDaemon &daemon, const HttpRequest &request)
{
    HttpTarget target = splitTarget(request.target_);
    const std::string &path = target.path_;
    GatewayState &state = daemon.state_;
    if (path == Platform::readyPath || path == "/readyz") {
        const bool ready = isReady(state);
        return makeTextReply(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }
    if (path == "/metrics") {
        setGauge(state.metrics_, "calls_in_progress", static_cast<double>(state.calls_.size_));
        setGauge(state.metrics_, "upstream_connections_opened", static_cast<double>(daemon.link_.connectionsOpened_));
        setGauge(state.metrics_, "memory_held_bytes", static_cast<double>(heldBytes(daemon.budget_->table_)));
        setGauge(state.metrics_, "connections_open", static_cast<double>(daemon.budget_->table_.open_));
        return makeTextReply(200, serializeMetrics(state.metrics_));
    }
    if (path == "/v1/status") {
        return makeJsonReply(serializeGatewayStatus(state, Clock::now()));
    }
    if (path == wherePath) {
        WhereQuery query;
        if (const std::error_code error = parseWhereQuery(target.query_, query); error) {
            return makeTextReply(400, error.message() + "\n");
        }
        return makeJsonReply(serializeWhereReport(findWhere(state, Clock::now(), query)));
    }
    if (path == snapshotPath) {
        return makeJsonReply(encodeSnapshot(daemon, parseSnapshotPart(target.query_["part"])));
    }
    return makeTextReply(path == "/healthz" ? 200 : 404, path == "/healthz" ? "ok\n" : "unknown path\n");
}

} // namespace

HttpReply answerBadRequest(std::error_code error)
{
    logLine(LogLevel::Warning, "bad-request", { { "error", error.message() } });
    return makeBadRequestReply(error);
}

ServerHandlers internalHandlers(GatewayDaemon &daemon, HttpServer &server)
{
    ServerHandlers handlers;
    handlers.onRequest_ = [&daemon, &server](ExchangeId exchange, const HttpRequest &request) {
        respond(server, exchange, answerInternal(daemon, request));
    };
    handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
    };
    handlers.onBadRequest_ = answerBadRequest;
    return handlers;
}

} // namespace Burdockfield::Gateway
