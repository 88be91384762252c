/**
 * @file where_wire.cpp
 * @brief Query and JSON of a report of where a request would be sent, and its text for operators.
 */
#include "where_wire.h"

#include "http_func.h"
#include "json_func.h"
#include "table/gateway_refusal_names.h"

#include <algorithm>
#include <cstring>
#include <iomanip>
#include <sstream>

namespace Burdockfield::Gateway {

namespace {

constexpr int costDigits = 2; ///< Digits of a cost after the point; smaller differences don't matter.
constexpr size_t idWidth = 24; ///< Width of the column of ids.
constexpr int numberWidth = 10; ///< Width of the other columns.

std::error_code readTokens(
    const std::map<std::string, std::string> &parameters, const char *name, std::optional<uint64_t> &target)
{
    const auto found = parameters.find(name);
    if (found == parameters.end()) {
        return {};
    }
    target = parseNumber(found->second);
    return target ? std::error_code() : make_error_code(WireErrc::OutOfRange);
}

template<typename Value>
Json::value orNull(const std::optional<Value> &value)
{
    return value ? Json::value(*value) : Json::value(nullptr);
}

Json::value orNull(const std::optional<Milliseconds> &value)
{
    return value ? Json::value(value->count()) : Json::value(nullptr);
}

Json::object serialize(const WhereCandidate &candidate)
{
    const UpstreamCost &cost = candidate.cost_;
    return { { "id", candidate.id_ }, { "zone", candidate.zone_ }, { "in_flight", candidate.inFlight_ },
        { "slots", candidate.slots_ }, { "available", candidate.available_ }, { "candidate", candidate.candidate_ },
        { "cost", sumOf(cost) },
        { "parts",
            Json::object{ { "load", cost.load_ }, { "distance", cost.distance_ }, { "failures", cost.failures_ },
                { "prompt", cost.prompt_ }, { "reported_load", cost.reportedLoad_ }, { "missing", cost.missing_ } } },
        { "failure_age_ms", orNull(candidate.failureAge_) }, { "load_age_ms", orNull(candidate.loadAge_) },
        { "backlog_age_ms", orNull(candidate.backlogAge_) } };
}

Json::object serialize(const WhereTarget &target)
{
    Json::array upstreams;
    for (const WhereCandidate &candidate : target.upstreams_) {
        upstreams.push_back(serialize(candidate));
    }
    return { { "service", target.service_ }, { "weight", target.weight_ }, { "waiting_ahead", target.waitingAhead_ },
        { "forecast_wait_ms", orNull(target.forecastWait_) }, { "refused_by_forecast", target.refusedByForecast_ },
        { "choice", target.choice_ }, { "omitted", target.omitted_ }, { "upstreams", std::move(upstreams) } };
}

/// @return a value of the report as a text for a column; "-" for null or an empty text.
std::string textOf(const Json::object &object, std::string_view name)
{
    const Json::value &value = object.at(name);
    if (value.is_null() || (value.is_string() && value.get_string().empty())) {
        return "-";
    }
    if (value.is_double()) {
        std::ostringstream text;
        text << std::fixed << std::setprecision(costDigits) << value.get_double();
        return text.str();
    }
    return value.is_string() ? std::string(value.get_string()) : Json::serialize(value);
}

void formatUpstream(const Json::object &upstream, std::ostringstream &text)
{
    text << std::left << std::setw(idWidth) << textOf(upstream, "id") << std::setw(numberWidth)
         << textOf(upstream, "zone") << std::right << std::setw(numberWidth)
         << textOf(upstream, "in_flight") + "/" + textOf(upstream, "slots");
    text << std::setw(numberWidth) << textOf(upstream, "cost");
    for (const auto &part : upstream.at("parts").as_object()) {
        text << std::setw(numberWidth + 4) << textOf(upstream.at("parts").as_object(), part.key());
    }
    for (const char *age : { "failure_age_ms", "load_age_ms", "backlog_age_ms" }) {
        text << std::setw(numberWidth) << textOf(upstream, age);
    }
    const bool candidate = upstream.at("candidate").as_bool();
    text << "  "
         << (candidate                                   ? "candidate"
                    : upstream.at("available").as_bool() ? "full or in another region"
                                                         : "unavailable")
         << '\n';
}

void formatTarget(const Json::object &target, std::ostringstream &text)
{
    text << "service " << textOf(target, "service") << " (weight " << textOf(target, "weight") << "): choice "
         << textOf(target, "choice") << ", waiting ahead " << textOf(target, "waiting_ahead") << ", forecast wait "
         << textOf(target, "forecast_wait_ms") << " ms"
         << (target.at("refused_by_forecast").as_bool() ? ", refused if no slot is free" : "") << '\n';
    text << std::left << std::setw(idWidth) << "upstream" << std::setw(numberWidth) << "zone" << std::right
         << std::setw(numberWidth) << "calls" << std::setw(numberWidth) << "cost";
    for (const char *part : { "load", "distance", "failures", "prompt", "reported_load", "missing" }) {
        text << std::setw(numberWidth + 4) << part;
    }
    text << "  age of failures, reported load, backlog in ms\n";
    for (const Json::value &upstream : target.at("upstreams").as_array()) {
        formatUpstream(upstream.as_object(), text);
    }
    if (target.at("omitted") != Json::value(0)) {
        text << textOf(target, "omitted") << " more upstreams\n";
    }
}

} // namespace

std::error_code parseWhereQuery(const std::map<std::string, std::string> &parameters, WhereQuery &query)
{
    const auto host = parameters.find("host");
    const auto path = parameters.find("path");
    if (host == parameters.end() || path == parameters.end()) {
        return WireErrc::MissingField;
    }
    query.host_ = host->second;
    query.path_ = path->second;
    if (const auto workspace = parameters.find("workspace"); workspace != parameters.end()) {
        query.workspace_ = workspace->second;
    }
    if (const std::error_code error = readTokens(parameters, "prompt_tokens", query.promptTokens_); error) {
        return error;
    }
    return readTokens(parameters, "tokens", query.tokens_);
}

std::string makeWhereTarget(const WhereQuery &query, std::error_code &error)
{
    std::string target(wherePath);
    char separator = '?';
    const auto add = [&](const char *name, const std::string &value) {
        const bool plain = std::all_of(value.begin(), value.end(),
            [](char character) { return character > ' ' && character <= '~' && !std::strchr("&#%+", character); });
        error = plain ? error : make_error_code(WireErrc::UnknownValue);
        target += separator + std::string(name) + '=' + value;
        separator = '&';
    };
    add("host", query.host_);
    add("path", query.path_);
    if (!query.workspace_.empty()) {
        add("workspace", query.workspace_);
    }
    if (query.promptTokens_) {
        add("prompt_tokens", std::to_string(*query.promptTokens_));
    }
    if (query.tokens_) {
        add("tokens", std::to_string(*query.tokens_));
    }
    return target;
}

std::string serializeWhereReport(const WhereReport &report)
{
    Json::array refusals;
    for (const RefusalReason reason : report.refusals_) {
        refusals.emplace_back(nameOf(reason, refusalReasonNames));
    }
    Json::array targets;
    for (const WhereTarget &target : report.targets_) {
        targets.push_back(serialize(target));
    }
    const Json::object object{ { "gateway", report.gateway_ }, { "configuration", report.configuration_ },
        { "route", report.route_ }, { "rank", report.rank_ }, { "route_rank", report.routeRank_ },
        { "workspace", report.workspace_ }, { "quota_left", orNull(report.quotaLeft_) }, { "charge", report.charge_ },
        { "longest_wait_ms", report.longestWait_.count() }, { "broker", report.broker_ },
        { "condemned_traits", report.condemnedTraits_ }, { "refusals", std::move(refusals) },
        { "targets", std::move(targets) } };
    return Json::serialize(object);
}

std::string formatWhereReport(std::string_view json, std::error_code &error)
{
    const Json::value document = parseJson(json, error);
    if (error) {
        return {};
    }
    try {
        const Json::object &report = document.as_object();
        std::ostringstream text;
        text << "gateway " << textOf(report, "gateway") << ", configuration " << textOf(report, "configuration")
             << "\nroute " << textOf(report, "route") << ", rank " << textOf(report, "rank") << " (route "
             << textOf(report, "route_rank") << "), waits at most " << textOf(report, "longest_wait_ms")
             << " ms for a slot\nworkspace " << textOf(report, "workspace") << ", units left "
             << textOf(report, "quota_left") << ", charge " << textOf(report, "charge") << "\nrefused on arrival: ";
        const Json::array &refusals = report.at("refusals").as_array();
        for (const Json::value &reason : refusals) {
            text << (&reason == refusals.begin() ? "" : ", ") << std::string(reason.as_string());
        }
        text << (refusals.empty() ? "no" : "") << "; crash verdicts in force: " << textOf(report, "condemned_traits")
             << "\ndecided by: "
             << (report.at("broker").as_string().empty()
                        ? std::string("this gateway")
                        : "broker " + textOf(report, "broker") + "; below is this gateway's own view")
             << '\n';
        for (const Json::value &target : report.at("targets").as_array()) {
            formatTarget(target.as_object(), text);
        }
        return text.str();
    } catch (const std::exception &) { // a field is missing or has another type
        error = WireErrc::WrongType;
        return {};
    }
}

} // namespace Burdockfield::Gateway
