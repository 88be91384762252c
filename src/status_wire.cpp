/**
 * @file status_wire.cpp
 * @brief JSON of the nodes' status pages and of the replies to operators.
 */
#include "status_wire.h"

#include "configuration_wire.h"
#include "error_type.h"
#include "json_func.h"

namespace Burdockfield {

namespace {

constexpr int conflictStatus = 409;
constexpr int unprocessableStatus = 422;
constexpr int unavailableStatus = 503;

Json::object toJson(const Upstream &upstream)
{
    return { { "name", upstream.name_ }, { "address", upstream.address_ }, { "region", upstream.region_ },
        { "zone", upstream.zone_ }, { "subscribed", upstream.subscribed_ },
        { "up", upstream.reported_ && upstream.report_.reachable_ },
        { "leaving", upstream.leaving_ || upstream.report_.leaving_ }, { "drained", upstream.drained_ },
        { "slots", upstream.report_.slots_ }, { "occupied", countAtOrAbove(upstream.report_.occupied_, 0) },
        { "prefill_rate", upstream.report_.prefillRate_ }, { "decode_rate", upstream.report_.decodeRate_ } };
}

Json::object toJson(const Route &route)
{
    return { { "name", route.name_ }, { "waiting", countAtOrAbove(route.waiting_, 0) },
        { "candidates", route.candidates_.size() }, { "mean_answer_tokens", route.meanAnswerTokens_ } };
}

Json::object identityToJson(const NodeIdentity &identity)
{
    return { { "name", identity.name_ }, { "address", identity.address_ }, { "region", identity.region_ },
        { "zone", identity.zone_ } };
}

int httpStatusOf(std::error_code error)
{
    if (!error) {
        return 200;
    }
    if (error == PlanErrc::StaleBase) {
        return conflictStatus;
    }
    const bool temporary = error == PlanErrc::StoreUnavailable || error == PlanErrc::OutcomeUnknown
        || error == RefusalErrc::NotReady || error == RefusalErrc::Stopping;
    return temporary ? unavailableStatus : unprocessableStatus;
}

} // namespace

std::string serializeEntryStatus(const EntryState &state)
{
    Json::array upstreams;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, const Upstream &row) { upstreams.push_back(toJson(row)); });
    Json::array routes;
    forEachRow(state.routes_, [&](RouteId /*id*/, const Route &row) { routes.push_back(toJson(row)); });
    return Json::serialize(Json::object{ { "role", "entry" }, { "place", identityToJson(state.identity_) },
        { "revision", state.configuration_.revision_ }, { "stopping", state.stopping_ },
        { "requests", state.requests_.size_ }, { "suspects", state.suspects_.size() }, { "routes", std::move(routes) },
        { "upstreams", std::move(upstreams) } });
}

std::string serializeAgentStatus(const AgentState &state)
{
    const AgentReport &report = makeReport(state);
    return Json::serialize(Json::object{ { "role", "agent" }, { "place", identityToJson(state.identity_) },
        { "revision", state.revision_ }, { "incarnation", state.incarnation_ }, { "up", report.reachable_ },
        { "leaving", report.leaving_ }, { "slots", report.slots_ }, { "running", state.running_.size() },
        { "waiting", state.waiting_.size() }, { "kept", state.runs_.size_ }, { "suspects", state.suspects_.size() },
        { "prefill_rate", report.prefillRate_ }, { "decode_rate", report.decodeRate_ } });
}

std::string serializeConfirmedChanges(const std::vector<ConfirmedChange> &changes)
{
    Json::array array;
    for (const ConfirmedChange &change : changes) {
        array.push_back(Json::string(serializeConfirmedChange(change)));
    }
    return Json::serialize(Json::object{ { "changes", std::move(array) } });
}

std::error_code parseConfirmedChanges(std::string_view text, std::vector<ConfirmedChange> &changes)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    std::vector<std::string> texts;
    read(reader, "changes", texts);
    for (const std::string &item : texts) {
        ConfirmedChange change;
        if (const std::error_code error = parseConfirmedChange(item, change); error) {
            return error;
        }
        changes.push_back(std::move(change));
    }
    return reader.error_;
}

HttpReply serializeOperatorReply(const OperatorReply &reply)
{
    HttpReply http;
    http.status_ = httpStatusOf(reply.error_);
    http.body_ = reply.text_;
    const bool metrics = reply.kind_ == StatusKind::Metrics;
    http.headers_.emplace_back("Content-Type", metrics ? "text/plain; version=0.0.4" : "application/json");
    http.headers_.emplace_back("X-Configuration-Revision", std::to_string(reply.revision_));
    if (reply.error_) {
        http.headers_[0].second = "application/problem+json";
        http.body_ = Json::serialize(Json::object{
            { "type",
                std::string("urn:burdockfield:") + reply.error_.category().name() + ":" + reply.error_.message() },
            { "title", reply.error_.message() }, { "status", http.status_ }, { "revision", reply.revision_ } });
    }
    return http;
}

} // namespace Burdockfield
