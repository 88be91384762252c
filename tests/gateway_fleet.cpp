/**
 * @file gateway_fleet.cpp
 * @brief Fleet of real gateway processes, with stand-ins for the users' platform and its upstreams.
 */
#include "gateway_fleet.h"

#include "fleet_parts_func.h"
#include "header_names.h"
#include "json_func.h"
#include "store_wire.h"

#include <array>

namespace Burdockfield::Testing {

namespace {

constexpr const char *platform = "platform";
constexpr uint32_t engineAttempts = 3; ///< Attempts of routes to engines, whose calls may be repeated.
constexpr size_t addressesPerUpstream = 5; ///< Of the upstream, its link, its answer faults and the controls of both.

std::string readyAddress(const Fleet &fleet, const std::string &gateway)
{
    return fleet.processes_.at(gateway + "-ready").address_;
}

void renameProcess(Fleet &fleet, const std::string &from, const std::string &to)
{
    auto process = fleet.processes_.extract(from);
    process.key() = to;
    process.mapped().name_ = to;
    fleet.processes_.insert(std::move(process));
}

/// Adds a gateway. Its readiness address is kept under a process entry without a command, which is never started.
void addGateway(Fleet &fleet, const std::string &name, uint64_t seed, const std::vector<std::string> &addresses,
    const std::string &furtherSettings)
{
    const std::string &listen = addresses[0];
    const std::string &store = addresses[4];
    addLink(fleet, platform, store, addresses[5]);
    renameProcess(fleet, std::string(platform) + "-link", name + "-store");
    const std::string settings = "role: gateway\nname: " + name + "\nregion: region-1\nzone: zone-1\nlisten: " + listen
        + "\nready: " + addresses[1] + "\npeer: " + addresses[2] + "\nmetrics: " + addresses[3] + "\nplatform: " + store
        + "\nseed: " + std::to_string(seed)
        + "\nzones: { zone-1: region-1 }\nfirst_start: true\nbounds: { repeat_slack: 1000, grace: 5s }\n"
        + furtherSettings;
    addDaemon(fleet, name, listen, addresses[3], settings);
    fleet.processes_[name + "-ready"].address_ = addresses[1];
    fleet.entries_.push_back(name);
}

/// Adds the answer faults of an upstream, and the link before them.
void addAnswerFaults(
    Fleet &fleet, const std::string &upstream, uint64_t seed, const std::vector<std::string> &addresses)
{
    FleetProcess process;
    process.name_ = upstream + "-faults";
    process.address_ = addresses[3];
    process.control_ = addresses[4];
    process.command_ = fleet.processes_.at(upstream).command_;
    process.command_.resize(1); // the stand-ins' program
    process.command_.insert(process.command_.end(),
        { "answer-faults", "--instance", upstream, "--seed", std::to_string(seed), "--target", addresses[0], "--listen",
            process.address_, "--control", process.control_ });
    const std::string name = process.name_;
    fleet.processes_[name] = std::move(process);
    addLink(fleet, name, addresses[1], addresses[2]);
    renameProcess(fleet, name + "-link", upstream + "-link");
}

void addUpstreams(Fleet &fleet, const std::string &service, uint32_t count, const GatewayFleetSpec &spec,
    const std::vector<std::string> &addresses, size_t &next)
{
    for (uint32_t index = 1; index <= count; ++index) {
        const std::string name = service + "-" + std::to_string(index);
        addStandin(fleet, name, addresses[next], { "upstream", "--instance", name });
        const auto first = addresses.begin() + static_cast<ptrdiff_t>(next);
        if (spec.answerFaultsSeed_ != 0) {
            addAnswerFaults(fleet, name, spec.answerFaultsSeed_ + next, { first, first + addressesPerUpstream });
        } else if (spec.linked_) {
            addLink(fleet, name, addresses[next + 1], addresses[next + 2]);
        }
        next += addressesPerUpstream;
        fleet.upstreams_.push_back(name);
    }
}

Json::object makeRoute(const std::string &name, const std::string &kind, const std::string &service, uint32_t attempts)
{
    return { { "name", name }, { "host", gatewayHost }, { "pathPrefix", "/" + name + "/" }, { "kind", kind },
        { "timeoutMs", 4000 }, { "targetLatencyMs", 1000 }, { "priority", 0 }, { "service", service },
        { "attempts", attempts }, { "allowAnonymous", false }, { "resumable", true }, { "gapTargetMs", 200 } };
}

/// @return whether the value of a key in a gateway's status contains all of @p names.
bool statusContains(
    const Fleet &fleet, const std::string &gateway, const std::string &key, const std::vector<std::string> &names)
{
    const std::string text = readStatusField(fleet, gateway, key);
    return std::all_of(names.begin(), names.end(),
        [&text](const std::string &name) { return text.find('"' + name + '"') != std::string::npos; });
}

/// @return whether a gateway lists every upstream, whose rows are written one by one, and the names of all its peers.
bool hasFullView(const Fleet &fleet, const std::string &gateway)
{
    std::vector<std::string> peers = fleet.entries_;
    std::erase(peers, gateway);
    return statusContains(fleet, gateway, "upstreams", fleet.upstreams_)
        && statusContains(fleet, gateway, "peers", peers);
}

void writeRow(const Fleet &fleet, const Json::object &row)
{
    callNode(fleet.processes_.at(platform).address_, "POST", "/control/row", Json::serialize(row));
}

} // namespace

void writeConfiguration(const Fleet &fleet, uint64_t version, const std::vector<std::string> &keys,
    const Gateway::CallerLimits &limits, uint32_t unusedRoutes, uint32_t attempts, const std::string &workspace)
{
    Json::array routes{ makeRoute("stream", "streaming", "engines", engineAttempts),
        makeRoute("read", "idempotent", "engines", engineAttempts),
        makeRoute("once", "non_idempotent", "desk", attempts) };
    for (uint32_t index = 0; index < unusedRoutes; ++index) {
        routes.push_back(makeRoute("unused-" + std::to_string(index), "idempotent", "engines", engineAttempts));
    }
    const Json::array services{ Json::object{ { "name", "engines" }, { "engine", Json::object() } },
        Json::object{ { "name", "desk" } } };
    const Json::array workspaces{ Json::object{
        { "name", workspace }, { "apiKeys", Json::array(keys.begin(), keys.end()) } } };
    const Json::object configuration{ { "version", version }, { "routes", routes }, { "services", services },
        { "tenants", workspaces },
        { "limits",
            Json::object{ { "maxHeaderBytes", limits.headerBytes_ }, { "maxBodyBytes", limits.bodyBytes_ },
                { "headerTimeoutMs", limits.headerTimeout_.count() },
                { "idleTimeoutMs", limits.idleTimeout_.count() } } } };
    writeRow(fleet,
        { { "table", Platform::operatorTable }, { "key", Platform::configurationKey },
            { "value", Json::serialize(configuration) } });
}

void writeUpstreamRow(const Fleet &fleet, const std::string &upstream, const std::string &state, uint32_t slots,
    bool remove, uint64_t startedAtMs, const std::string &version)
{
    const std::string service = upstream.substr(0, upstream.find('-'));
    const auto link = fleet.processes_.find(upstream.substr(0, upstream.find("-replaced")) + "-link");
    const std::string &address
        = link == fleet.processes_.end() ? fleet.processes_.at(upstream).address_ : link->second.address_;
    const Json::object value{ { "service", service }, { "address", address }, { "zone", "zone-1" },
        { "version", version }, { "slots", slots }, { "state", state }, { "coldRemainingMs", 0 }, { "sequence", 1 },
        { "born", startedAtMs } };
    writeRow(fleet,
        { { "table", Platform::upstreamTable }, { "key", upstream }, { "value", Json::serialize(value) },
            { "remove", remove } });
}

void writeRolloutRow(const Fleet &fleet, std::string_view table, const std::string &service, const std::string &value)
{
    writeRow(fleet, { { "table", table }, { "key", "rollout/" + service }, { "value", value } });
}

bool startGatewayFleet(Fleet &fleet, const GatewayFleetSpec &spec)
{
    constexpr size_t gatewayAddresses = 6;
    makeFolder(fleet);
    const auto addresses = takeAddresses(1 + addressesPerUpstream * (spec.engines_ + spec.desks_)
        + gatewayAddresses * static_cast<size_t>(spec.gateways_));
    size_t next = 0;
    addStandin(fleet, platform, addresses[next++], { "platform" });
    addUpstreams(fleet, "engines", spec.engines_, spec, addresses, next);
    addUpstreams(fleet, "desk", spec.desks_, spec, addresses, next);
    for (uint32_t index = 1; index <= spec.gateways_; ++index) {
        const auto first = addresses.begin() + static_cast<ptrdiff_t>(next);
        addGateway(fleet, "gateway-" + std::to_string(index), spec.seed_ == 0 ? 0 : spec.seed_ + index,
            { first, first + gatewayAddresses }, spec.settings_);
        next += gatewayAddresses;
    }
    for (auto &[name, process] : fleet.processes_) {
        if (!process.command_.empty()) {
            startProcess(fleet, name);
        }
    }
    const std::string &store = fleet.processes_[platform].address_;
    if (!waitUntil([&] { return callNode(store, "POST", "/control", "{}").status_ == 200; })) {
        return false;
    }
    for (const std::string &upstream : fleet.upstreams_) {
        writeUpstreamRow(fleet, upstream, "ready", spec.slots_);
    }
    writeConfiguration(fleet, 1, { "key-1" }, {}, 0, spec.attempts_);
    return waitUntil([&] {
        return std::all_of(fleet.entries_.begin(), fleet.entries_.end(),
            [&](const std::string &gateway) { return isGatewayReady(fleet, gateway) && hasFullView(fleet, gateway); });
    });
}

void controlUpstreamLink(const Fleet &fleet, const std::string &upstream, const std::string &command)
{
    callNode(fleet.processes_.at(upstream + "-link").control_, "POST", command);
}

void controlAnswerFaults(const Fleet &fleet, const std::string &upstream, const std::string &shares)
{
    callNode(fleet.processes_.at(upstream + "-faults").control_, "POST", "/", shares);
}

void controlStoreLink(const Fleet &fleet, const std::string &gateway, const std::string &command)
{
    callNode(fleet.processes_.at(gateway + "-store").control_, "POST", command);
}

HttpReply callGateway(const Fleet &fleet, const std::string &gateway, const GatewayCall &call)
{
    HttpHeaders headers{ { "Host", gatewayHost }, { "Request-Id", call.id_ },
        { "Authorization", "Bearer " + call.key_ }, { "Deadline-Ms", std::to_string(call.wait_.count()) } };
    if (!call.parts_.empty()) {
        headers.emplace_back(Platform::promptPartsHeader, call.parts_);
    }
    return callNode(
        fleet.processes_.at(gateway).address_, "POST", call.target_, call.body_, headers, call.wait_ + call.wait_ / 4);
}

bool isGatewayReady(const Fleet &fleet, const std::string &gateway)
{
    return callNode(readyAddress(fleet, gateway), "GET", "/readyz", {}, {}, Milliseconds(500)).status_ == 200;
}

std::string readStatusField(const Fleet &fleet, const std::string &gateway, const std::string &key)
{
    const HttpReply reply = callNode(fleet.processes_.at(gateway).control_, "GET", "/v1/status");
    Json::value document;
    JsonReader reader = readJsonObject(reply.body_, document);
    const Json::value *value = readValue(reader, key, Presence::Optional);
    return value == nullptr ? std::string() : Json::serialize(*value);
}

} // namespace Burdockfield::Testing
