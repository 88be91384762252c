/**
 * @file gateway_peer_wire.cpp
 * @brief JSON encoding of the messages between gateways.
 */
#include "gateway_peer_wire.h"

#include "base64_func.h"
#include "compression_func.h"
#include "digest_func.h"
#include "gateway_func.h"
#include "gateway_rollout_func.h"
#include "http_func.h"
#include "instance_id_func.h"
#include "json_func.h"
#include "rollout_func.h"

#include <array>
#include <utility>

namespace Burdockfield::Gateway {

namespace {

// Fields of every update. They are short because traffic between regions is charged by the byte.
constexpr std::string_view incarnationField = "i";
constexpr std::string_view sequenceField = "n";
constexpr std::string_view uptimeField = "t";
constexpr std::string_view configurationField = "c";
constexpr std::string_view configurationEraField = "ce";
constexpr std::string_view upstreamsField = "u";
constexpr std::string_view upstreamsEraField = "e";
constexpr std::string_view upstreamsDigestField = "d";
constexpr std::string_view inFlightField = "f";
constexpr std::string_view memoryTokensField = "k";
constexpr std::string_view grantsReceivedField = "g";
constexpr std::string_view reportsField = "o";
constexpr std::string_view chargedUnitsField = "w";

constexpr size_t minCompressedBytes = 4U << 10U; ///< Size from which a configuration is compressed.
/// Longest configuration that is taken from a peer, three times that of 2,500 routes and 1,400 workspaces.
constexpr size_t maxConfigurationBytes = 3U << 20U;

constexpr std::array<std::pair<std::string_view, SnapshotPart>, 2> snapshotPartNames{ {
    { "configuration", SnapshotPart::Configuration },
    { "upstreams", SnapshotPart::Upstreams },
} };

/// Adds a version of the store. The era is left out if it is 0, as gateways of the release before don't know it.
void addVersion(Json::object &object, std::string_view field, std::string_view eraField, const StoreVersion &version)
{
    object[field] = version.version_;
    if (version.era_ != 0) {
        object[eraField] = version.era_;
    }
}

void readVersion(JsonReader &reader, std::string_view field, std::string_view eraField, StoreVersion &version,
    Presence presence = Presence::Required)
{
    read(reader, field, version.version_, presence);
    read(reader, eraField, version.era_, Presence::Optional);
}

template<typename Map>
Json::object serializeCounts(const Map &counts)
{
    Json::object object;
    for (const auto &[name, value] : counts) {
        object[name] = value;
    }
    return object;
}

template<typename Map>
void parseCounts(JsonReader &reader, std::string_view field, Map &counts)
{
    const Json::value *value = readValue(reader, field, Presence::Optional);
    if (value == nullptr) {
        return;
    }
    JsonReader nested = readObject(*value);
    if (!nested.error_) {
        for (const auto &item : *nested.object_) {
            const std::string name(item.key().data(), item.key().size());
            read(nested, name, counts[name]);
        }
    }
    fail(reader, nested.error_);
}

void serializeGrants(const PeerUpdate &update, Json::object &object)
{
    Json::object grants;
    for (const auto &[incarnation, grant] : update.grantsReceived_) {
        grants[toHex(incarnation)] = grant;
    }
    if (!grants.empty()) {
        object[grantsReceivedField] = std::move(grants);
    }
}

/// Adds the reports of upstreams; the names of their fields are short, and fields that are 0 are left out.
void serializeReports(const PeerUpdate &update, Json::object &object)
{
    Json::object reports;
    for (const auto &[id, report] : update.reports_) {
        Json::object item;
        const auto add = [&item](std::string_view field, int64_t value) {
            if (value != 0) {
                item[field] = value;
            }
        };
        add("s", report.succeeded_);
        add("f", report.failed_);
        add("p", static_cast<int64_t>(report.promptTokens_));
        add("t", report.promptTime_.count());
        reports[id] = std::move(item);
    }
    if (!reports.empty()) {
        object[reportsField] = std::move(reports);
    }
}

void parseReports(JsonReader &reader, PeerUpdate &update)
{
    const Json::value *value = readValue(reader, reportsField, Presence::Optional);
    if (value == nullptr) {
        return;
    }
    JsonReader reports = readObject(*value);
    for (const auto &entry : reports.error_ ? Json::object() : *reports.object_) {
        JsonReader item = readObject(entry.value());
        UpstreamReport &report = update.reports_[std::string(entry.key().data(), entry.key().size())];
        read(item, "s", report.succeeded_, Presence::Optional);
        read(item, "f", report.failed_, Presence::Optional);
        read(item, "p", report.promptTokens_, Presence::Optional);
        read(item, "t", report.promptTime_, Presence::Optional);
        fail(reports, item.error_);
    }
    fail(reader, reports.error_);
}

/// Calls @p add with each trait and value of an optional object whose keys are traits.
template<typename Add>
void parseByTrait(JsonReader &reader, std::string_view field, Add add)
{
    const Json::value *value = readValue(reader, field, Presence::Optional);
    if (value == nullptr) {
        return;
    }
    JsonReader nested = readObject(*value);
    for (const auto &item : nested.error_ ? Json::object() : *nested.object_) {
        if (const auto trait = parseHex({ item.key().data(), item.key().size() }); trait) {
            add(nested, *trait, std::string(item.key().data(), item.key().size()));
        } else {
            fail(nested, WireErrc::WrongType);
        }
    }
    fail(reader, nested.error_);
}

/// Reads the newest grants by incarnation, which are hashes in hexadecimal like traits.
void parseGrants(JsonReader &reader, PeerUpdate &update)
{
    parseByTrait(reader, grantsReceivedField, [&update](JsonReader &nested, uint64_t incarnation, const auto &name) {
        read(nested, name, update.grantsReceived_[incarnation]);
    });
}

Json::object serializeStart(const UpstreamStart &upstream)
{
    return { { "id", upstream.id_ }, { "born_ms", upstream.startedAtMs_ } };
}

void readStart(JsonReader &reader, UpstreamStart &upstream)
{
    read(reader, "id", upstream.id_);
    read(reader, "born_ms", upstream.startedAtMs_);
}

Json::object serializeCrash(const PeerCrash &crash)
{
    Json::object traits;
    for (const auto &[trait, depth] : crash.traits_) {
        traits[toHex(trait)] = depth;
    }
    Json::object object = serializeStart(crash.upstream_);
    object["age_ms"] = crash.age_.count();
    object["traits"] = std::move(traits);
    return object;
}

std::error_code parseCrash(const Json::value &value, PeerCrash &crash)
{
    JsonReader reader = readObject(value);
    readStart(reader, crash.upstream_);
    read(reader, "age_ms", crash.age_);
    parseByTrait(reader, "traits", [&crash](JsonReader &nested, Trait trait, const std::string &name) {
        read(nested, name, crash.traits_[trait]);
    });
    return reader.error_;
}

void serializeUpstreamNews(const PeerUpdate &update, Json::object &object)
{
    Json::array crashes;
    for (const PeerCrash &crash : update.crashes_) {
        crashes.push_back(serializeCrash(crash));
    }
    Json::object answered;
    for (const auto &[trait, age] : update.answered_) {
        answered[toHex(trait)] = age.count();
    }
    Json::object verdicts;
    for (const auto &[trait, verdict] : update.verdicts_) {
        verdicts[toHex(trait)]
            = { { "number", verdict.number_ }, { "withdrawn", verdict.withdrawn_ }, { "trials", verdict.trials_ } };
    }
    const auto add = [&object](std::string_view field, auto items) {
        if (!items.empty()) {
            object[field] = std::move(items);
        }
    };
    Json::array leaving;
    for (const UpstreamStart &upstream : update.leaving_) {
        leaving.push_back(serializeStart(upstream));
    }
    add("leaving", std::move(leaving));
    add("crashes", std::move(crashes));
    add("answered", std::move(answered));
    add("verdicts", std::move(verdicts));
}

void parseUpstreamNews(JsonReader &reader, PeerUpdate &update)
{
    const Json::array *leaving = readArray(reader, "leaving", Presence::Optional);
    for (const Json::value &value : leaving == nullptr ? Json::array() : *leaving) {
        JsonReader start = readObject(value);
        readStart(start, update.leaving_.emplace_back());
        fail(reader, start.error_);
    }
    const Json::array *crashes = readArray(reader, "crashes", Presence::Optional);
    for (const Json::value &value : crashes == nullptr ? Json::array() : *crashes) {
        fail(reader, parseCrash(value, update.crashes_.emplace_back()));
    }
    parseByTrait(reader, "answered", [&update](JsonReader &nested, Trait trait, const std::string &name) {
        read(nested, name, update.answered_[trait]);
    });
    parseByTrait(reader, "verdicts", [&update](JsonReader &nested, Trait trait, const std::string &name) {
        const Json::value *value = readValue(nested, name);
        if (value == nullptr) {
            return;
        }
        PeerVerdict &verdict = update.verdicts_[trait];
        JsonReader fields = readObject(*value);
        read(fields, "number", verdict.number_);
        read(fields, "withdrawn", verdict.withdrawn_);
        read(fields, "trials", verdict.trials_);
        fail(nested, fields.error_);
    });
}

/// Adds rollouts; outcomes of a route are four counts, as there may be many routes in a datagram.
void serializeRollouts(
    const std::vector<PeerRollout> &rollouts, const StoreVersion &operatorVersion, Json::object &object)
{
    Json::array items;
    for (const PeerRollout &rollout : rollouts) {
        Json::object evidence;
        for (const auto &[route, outcomes] : rollout.evidence_) {
            evidence[route] = Json::array{ outcomes.newVersion_.answers_, outcomes.newVersion_.failures_,
                outcomes.others_.answers_, outcomes.others_.failures_ };
        }
        Json::object item{ { "service", rollout.order_.service_ }, { "version", rollout.order_.version_ },
            { "duration_ms", rollout.order_.duration_.count() }, { "state", std::string(nameOfState(rollout.state_)) },
            { "outcomes", std::move(evidence) } };
        addVersion(item, "order", "order_era", rollout.order_.rowVersion_);
        items.push_back(std::move(item));
    }
    object["rollouts"] = std::move(items);
    addVersion(object, "orders_version", "orders_era", operatorVersion);
}

std::error_code parseOutcomes(const Json::value &value, RouteEvidence &outcomes)
{
    const Json::array *counts = value.if_array();
    const std::array<uint64_t *, 4> targets{ &outcomes.newVersion_.answers_, &outcomes.newVersion_.failures_,
        &outcomes.others_.answers_, &outcomes.others_.failures_ };
    if (counts == nullptr || counts->size() != targets.size()) {
        return WireErrc::WrongType;
    }
    for (size_t index = 0; index < targets.size(); ++index) {
        const Json::value &count = (*counts)[index];
        if (!count.is_int64() || count.as_int64() < 0) {
            return WireErrc::WrongType;
        }
        *targets[index] = static_cast<uint64_t>(count.as_int64());
    }
    return {};
}

std::error_code parseRollout(const Json::value &value, PeerRollout &rollout)
{
    JsonReader reader = readObject(value);
    read(reader, "service", rollout.order_.service_);
    read(reader, "version", rollout.order_.version_);
    read(reader, "duration_ms", rollout.order_.duration_);
    readVersion(reader, "order", "order_era", rollout.order_.rowVersion_);
    std::string name;
    read(reader, "state", name);
    if (const auto state = parseStateName(name); state) {
        rollout.state_ = *state;
    } else {
        fail(reader, WireErrc::UnknownValue);
    }
    const Json::value *outcomes = readValue(reader, "outcomes", Presence::Optional);
    JsonReader nested = outcomes == nullptr ? JsonReader{} : readObject(*outcomes);
    for (const auto &item : nested.object_ == nullptr ? Json::object() : *nested.object_) {
        fail(nested, parseOutcomes(item.value(), rollout.evidence_[std::string(item.key().data(), item.key().size())]));
    }
    fail(reader, nested.error_);
    return reader.error_;
}

void parseRollouts(JsonReader &reader, std::vector<PeerRollout> &rollouts, StoreVersion &operatorVersion)
{
    const Json::array *items = readArray(reader, "rollouts", Presence::Optional);
    for (const Json::value &value : items == nullptr ? Json::array() : *items) {
        fail(reader, parseRollout(value, rollouts.emplace_back()));
    }
    readVersion(reader, "orders_version", "orders_era", operatorVersion, Presence::Optional);
}

void parseCompressed(JsonReader &reader, std::string_view field, std::string &text)
{
    std::string encoded;
    std::string packed;
    read(reader, field, encoded, Presence::Optional);
    if (encoded.empty()) {
        return;
    }
    fail(reader,
        decodeBase64(encoded, packed) ? decompress(packed, maxConfigurationBytes, text)
                                      : make_error_code(WireErrc::WrongType));
}

Json::object serializeRow(const UpstreamRow &row)
{
    Json::object object{ { "id", row.id_ }, { "service", row.service_ }, { "address", row.address_ },
        { "zone", row.zone_ }, { "slots", row.slots_ }, { "born_ms", row.startedAtMs_ }, { "draining", row.draining_ },
        { "missing", row.missing_ } };
    if (row.versionKnown_) {
        object["version"] = row.version_;
        addVersion(object, "row_version", "row_era", row.rowVersion_);
    }
    return object;
}

std::error_code parseRow(const Json::value &value, UpstreamRow &row)
{
    JsonReader reader = readObject(value);
    read(reader, "id", row.id_);
    read(reader, "service", row.service_);
    read(reader, "address", row.address_);
    read(reader, "zone", row.zone_);
    read(reader, "slots", row.slots_);
    read(reader, "born_ms", row.startedAtMs_);
    read(reader, "draining", row.draining_);
    read(reader, "missing", row.missing_, Presence::Optional);
    row.versionKnown_ = readValue(reader, "version", Presence::Optional) != nullptr; // not sent before rollouts
    read(reader, "version", row.version_, Presence::Optional);
    readVersion(reader, "row_version", "row_era", row.rowVersion_, Presence::Optional);
    return reader.error_;
}

} // namespace

std::string serializePeerUpdate(const PeerUpdate &update)
{
    Json::object object{ { incarnationField, update.incarnation_ }, { sequenceField, update.sequence_ },
        { configurationField, update.configurationVersion_ },
        { chargedUnitsField, serializeCounts(update.chargedUnits_) } };
    addVersion(object, upstreamsField, upstreamsEraField, update.upstreamsVersion_);
    if (update.upstreamsDigest_) {
        object[upstreamsDigestField] = *update.upstreamsDigest_;
    }
    if (update.configurationEra_ != 0) {
        object[configurationEraField] = update.configurationEra_;
    }
    if (update.hasCounts_) {
        object[inFlightField] = serializeCounts(update.inFlight_);
        if (!update.memoryTokens_.empty()) {
            object[memoryTokensField] = serializeCounts(update.memoryTokens_);
        }
        serializeGrants(update, object);
        serializeReports(update, object);
    }
    if (update.uptime_) {
        object[uptimeField] = update.uptime_->count();
    }
    if (!update.name_.empty()) {
        object["name"] = update.name_;
        object["region"] = update.region_;
        object["broker_weight"] = update.brokerWeight_;
    }
    serializeUpstreamNews(update, object);
    if (!update.rollouts_.empty()) {
        serializeRollouts(update.rollouts_, update.operatorVersion_, object);
    }
    if (!update.peers_.empty()) {
        object["peers"] = Json::value_from(update.peers_);
    }
    return Json::serialize(object);
}

std::error_code parsePeerUpdate(std::string_view text, PeerUpdate &update)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "name", update.name_, Presence::Optional);
    read(reader, "region", update.region_, Presence::Optional);
    read(reader, incarnationField, update.incarnation_);
    read(reader, sequenceField, update.sequence_);
    if (readValue(reader, uptimeField, Presence::Optional) != nullptr) {
        read(reader, uptimeField, update.uptime_.emplace());
    }
    read(reader, configurationField, update.configurationVersion_);
    read(reader, configurationEraField, update.configurationEra_, Presence::Optional);
    readVersion(reader, upstreamsField, upstreamsEraField, update.upstreamsVersion_);
    if (readValue(reader, upstreamsDigestField, Presence::Optional) != nullptr) {
        read(reader, upstreamsDigestField, update.upstreamsDigest_.emplace());
    }
    update.hasCounts_ = readValue(reader, inFlightField, Presence::Optional) != nullptr;
    parseCounts(reader, inFlightField, update.inFlight_);
    parseCounts(reader, memoryTokensField, update.memoryTokens_);
    parseGrants(reader, update);
    parseReports(reader, update);
    read(reader, "broker_weight", update.brokerWeight_, Presence::Optional);
    parseCounts(reader, chargedUnitsField, update.chargedUnits_);
    parseUpstreamNews(reader, update);
    parseRollouts(reader, update.rollouts_, update.operatorVersion_);
    read(reader, "peers", update.peers_, Presence::Optional);
    return reader.error_;
}

Snapshot makeSnapshot(const GatewayState &state, std::optional<SnapshotPart> part)
{
    Snapshot snapshot;
    if (part != SnapshotPart::Upstreams) {
        snapshot.configurationText_ = state.configurationText_;
        snapshot.configurationVersion_ = state.configuration_.version_;
        snapshot.configurationEra_ = state.configurationEra_;
    }
    if (part == SnapshotPart::Configuration) {
        return snapshot;
    }
    snapshot.quotas_ = collectQuotaLevels(state);
    RolloutsReceived &rollouts = snapshot.rollouts_.emplace();
    rollouts.peerRollouts_ = collectRollouts(state);
    rollouts.operatorVersion_ = state.operatorVersion_;
    UpstreamsReceived &list = snapshot.upstreams_.emplace();
    list.fullList_ = true;
    list.version_ = state.upstreamsVersion_;
    forEachRow(state.upstreams_,
        [&](UpstreamId /*id*/, const Upstream &upstream) { list.rows_.push_back(makeUpstreamRow(upstream)); });
    return snapshot;
}

std::string makeSnapshotTarget(SnapshotPart part)
{
    return std::string(snapshotPath) + "?part=" + std::string(nameOf(part, snapshotPartNames));
}

std::optional<SnapshotPart> parseSnapshotPart(const std::string &name)
{
    for (const auto &[known, part] : snapshotPartNames) {
        if (known == name) {
            return part;
        }
    }
    return std::nullopt;
}

std::string serializeSnapshot(const Snapshot &snapshot)
{
    Json::object object;
    // A whole snapshot is what gateways of the release before ask for; they know no compression.
    const bool compresses = !snapshot.upstreams_ && snapshot.configurationText_.size() >= minCompressedBytes;
    const std::string packed = compresses ? compress(snapshot.configurationText_) : std::string();
    if (packed.empty()) {
        object["configuration"] = snapshot.configurationText_;
    } else {
        object["configuration_deflated"] = encodeBase64(packed);
    }
    if (snapshot.configurationVersion_) {
        object["configuration_version"] = *snapshot.configurationVersion_;
        object["configuration_era"] = snapshot.configurationEra_;
    }
    if (snapshot.upstreams_) {
        Json::array rows;
        for (const UpstreamRow &row : snapshot.upstreams_->rows_) {
            rows.push_back(serializeRow(row));
        }
        addVersion(object, "version", "era", snapshot.upstreams_->version_);
        object["upstreams"] = std::move(rows);
        object["quotas"] = serializeCounts(snapshot.quotas_);
        if (snapshot.rollouts_) {
            serializeRollouts(snapshot.rollouts_->peerRollouts_, snapshot.rollouts_->operatorVersion_, object);
        }
    }
    return Json::serialize(object);
}

std::error_code parseSnapshot(std::string_view text, Snapshot &snapshot)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "configuration", snapshot.configurationText_, Presence::Optional);
    if (readValue(reader, "configuration_version", Presence::Optional) != nullptr) {
        read(reader, "configuration_version", snapshot.configurationVersion_.emplace());
    }
    read(reader, "configuration_era", snapshot.configurationEra_, Presence::Optional);
    parseCompressed(reader, "configuration_deflated", snapshot.configurationText_);
    parseCounts(reader, "quotas", snapshot.quotas_);
    const Json::array *rows = readArray(reader, "upstreams", Presence::Optional);
    if (rows == nullptr) {
        return reader.error_;
    }
    RolloutsReceived &rollouts = snapshot.rollouts_.emplace();
    parseRollouts(reader, rollouts.peerRollouts_, rollouts.operatorVersion_);
    UpstreamsReceived &list = snapshot.upstreams_.emplace();
    list.fullList_ = true;
    list.fromPeer_ = true;
    readVersion(reader, "version", "era", list.version_);
    for (const Json::value &value : *rows) {
        UpstreamRow row;
        fail(reader, parseRow(value, row));
        if (isInstanceId(row.id_)) { // a gateway of an earlier release lists any row
            list.rows_.push_back(std::move(row));
        }
    }
    return reader.error_;
}

} // namespace Burdockfield::Gateway
