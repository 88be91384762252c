/**
 * @file configuration_wire.cpp
 * @brief JSON of the configuration, of changes and of plans.
 */
#include "configuration_wire.h"

#include "table/wire_names.h"

namespace Burdockfield {

namespace {

Json::object toJson(const TierSettings &settings)
{
    return { { "rank", settings.rank_ }, { "default_wait_ms", settings.defaultWait_.count() },
        { "max_wait_ms", settings.maxWait_.count() } };
}

Json::object toJson(const WorkspaceSettings &settings)
{
    return { { "token_digest", settings.tokenDigest_ }, { "weight", settings.weight_ },
        { "max_in_progress", settings.maxInProgress_ }, { "default_tier", settings.defaultTier_ },
        { "highest_tier", settings.highestTier_ } };
}

Json::object toJson(const RouteSettings &settings)
{
    return { { "kind", nameOf(settings.kind_, routeKindNames) },
        { "dispatch", nameOf(settings.retryPolicy_, retryPolicyNames) } };
}

void fromJson(JsonReader &reader, TierSettings &settings)
{
    read(reader, "rank", settings.rank_);
    read(reader, "default_wait_ms", settings.defaultWait_);
    read(reader, "max_wait_ms", settings.maxWait_);
}

void fromJson(JsonReader &reader, WorkspaceSettings &settings)
{
    read(reader, "token_digest", settings.tokenDigest_);
    read(reader, "weight", settings.weight_, Presence::Optional);
    read(reader, "max_in_progress", settings.maxInProgress_, Presence::Optional);
    read(reader, "default_tier", settings.defaultTier_);
    read(reader, "highest_tier", settings.highestTier_);
}

void fromJson(JsonReader &reader, RouteSettings &settings)
{
    readName(reader, "kind", settings.kind_, routeKindNames);
    readName(reader, "dispatch", settings.retryPolicy_, retryPolicyNames, Presence::Optional);
}

template<typename Settings>
Json::object mapToJson(const std::map<std::string, Settings> &rows)
{
    Json::object object;
    for (const auto &[name, settings] : rows) {
        object[name] = toJson(settings);
    }
    return object;
}

template<typename Settings>
void mapFromJson(JsonReader &reader, std::string_view field, std::map<std::string, Settings> &rows)
{
    const Json::value *value = readValue(reader, field);
    if (value == nullptr) {
        return;
    }
    JsonReader members = readObject(*value);
    fail(reader, members.error_);
    if (members.error_) {
        return;
    }
    for (const auto &member : *members.object_) {
        JsonReader row = readObject(member.value());
        if (!row.error_) {
            fromJson(row, rows[std::string(member.key())]);
        }
        fail(reader, row.error_);
    }
}

Json::array setToJson(const std::set<std::string> &names)
{
    return Json::array(names.begin(), names.end());
}

void setFromJson(JsonReader &reader, std::string_view field, std::set<std::string> &names)
{
    std::vector<std::string> list;
    read(reader, field, list);
    names = std::set<std::string>(list.begin(), list.end());
}

Json::object changeToJson(const SetTier &change)
{
    return { { "change", "set-tier" }, { "name", change.name_ }, { "settings", toJson(change.settings_) } };
}

Json::object changeToJson(const SetWorkspace &change)
{
    return { { "change", "set-workspace" }, { "name", change.name_ }, { "settings", toJson(change.settings_) } };
}

Json::object changeToJson(const SetRoute &change)
{
    return { { "change", "set-route" }, { "name", change.name_ }, { "settings", toJson(change.settings_) } };
}

Json::object changeToJson(const RemoveSubject &change)
{
    return { { "change", "remove" }, { "kind", nameOf(change.kind_, subjectKindNames) }, { "name", change.name_ } };
}

Json::object changeToJson(const SetDrain &change)
{
    return { { "change", "drain" }, { "kind", nameOf(change.kind_, drainKindNames) }, { "name", change.name_ },
        { "drained", change.drained_ } };
}

template<typename SetChange>
Change readSetChange(JsonReader &reader)
{
    SetChange change;
    read(reader, "name", change.name_);
    if (const Json::value *settings = readValue(reader, "settings"); settings != nullptr) {
        JsonReader row = readObject(*settings);
        if (!row.error_) {
            fromJson(row, change.settings_);
        }
        fail(reader, row.error_);
    }
    return change;
}

Change readRemoval(JsonReader &reader)
{
    RemoveSubject change;
    readName(reader, "kind", change.kind_, subjectKindNames);
    read(reader, "name", change.name_);
    return change;
}

Change readDrain(JsonReader &reader)
{
    SetDrain change;
    readName(reader, "kind", change.kind_, drainKindNames);
    read(reader, "name", change.name_);
    read(reader, "drained", change.drained_, Presence::Optional);
    return change;
}

Change readChange(JsonReader &reader)
{
    std::string kind;
    read(reader, "change", kind);
    if (kind == "set-tier") {
        return readSetChange<SetTier>(reader);
    }
    if (kind == "set-workspace") {
        return readSetChange<SetWorkspace>(reader);
    }
    if (kind == "set-route") {
        return readSetChange<SetRoute>(reader);
    }
    if (kind == "remove") {
        return readRemoval(reader);
    }
    if (kind == "drain") {
        return readDrain(reader);
    }
    fail(reader, WireErrc::UnknownValue);
    return SetTier{};
}

/// @return JSON of the settings under @p name, or nothing.
template<typename Settings>
std::string settingsText(const std::map<std::string, Settings> &rows, const std::string &name)
{
    const auto found = rows.find(name);
    return found != rows.end() ? Json::serialize(toJson(found->second)) : std::string();
}

std::string drainText(const Configuration &configuration, const SetDrain &change)
{
    const auto &set
        = change.kind_ == DrainKind::Region ? configuration.drainedRegions_ : configuration.drainedUpstreams_;
    return set.contains(change.name_) ? "drained" : "serving";
}

std::string removedText(const Configuration &configuration, const RemoveSubject &change)
{
    if (change.kind_ == SubjectKind::Tier) {
        return settingsText(configuration.tiers_, change.name_);
    }
    if (change.kind_ == SubjectKind::Workspace) {
        return settingsText(configuration.workspaces_, change.name_);
    }
    return settingsText(configuration.routes_, change.name_);
}

std::string subjectText(const Configuration &configuration, const SetTier &change)
{
    return settingsText(configuration.tiers_, change.name_);
}

std::string subjectText(const Configuration &configuration, const SetWorkspace &change)
{
    return settingsText(configuration.workspaces_, change.name_);
}

std::string subjectText(const Configuration &configuration, const SetRoute &change)
{
    return settingsText(configuration.routes_, change.name_);
}

std::string subjectText(const Configuration &configuration, const RemoveSubject &change)
{
    return removedText(configuration, change);
}

std::string subjectText(const Configuration &configuration, const SetDrain &change)
{
    return drainText(configuration, change);
}

std::string subjectName(const SetTier &change)
{
    return "tier " + change.name_;
}

std::string subjectName(const SetWorkspace &change)
{
    return "workspace " + change.name_;
}

std::string subjectName(const SetRoute &change)
{
    return "route " + change.name_;
}

std::string subjectName(const RemoveSubject &change)
{
    return std::string(nameOf(change.kind_, subjectKindNames)) + " " + change.name_;
}

std::string subjectName(const SetDrain &change)
{
    return std::string(nameOf(change.kind_, drainKindNames)) + " " + change.name_;
}

Json::object effectToJson(const PlanEffect &effect)
{
    return { { "subject", effect.subject_ }, { "before", effect.before_ }, { "after", effect.after_ },
        { "displaced", effect.displacedWork_ } };
}

void readEffects(JsonReader &reader, std::vector<PlanEffect> &effects)
{
    const Json::array *array = readArray(reader, "effects");
    if (array == nullptr) {
        return;
    }
    for (const Json::value &item : *array) {
        JsonReader row = readObject(item);
        PlanEffect effect;
        read(row, "subject", effect.subject_);
        read(row, "before", effect.before_);
        read(row, "after", effect.after_);
        read(row, "displaced", effect.displacedWork_);
        fail(reader, row.error_);
        effects.push_back(std::move(effect));
    }
}

void readChanges(JsonReader &reader, std::vector<Change> &changes)
{
    if (const Json::value *value = readValue(reader, "changes"); value != nullptr) {
        if (const std::error_code error = parseChanges(*value, changes); error) {
            fail(reader, error);
        }
    }
}

} // namespace

std::string serializeConfiguration(const Configuration &configuration)
{
    const Json::object object{ { "revision", configuration.revision_ }, { "tiers", mapToJson(configuration.tiers_) },
        { "workspaces", mapToJson(configuration.workspaces_) }, { "routes", mapToJson(configuration.routes_) },
        { "drained_upstreams", setToJson(configuration.drainedUpstreams_) },
        { "drained_regions", setToJson(configuration.drainedRegions_) } };
    return Json::serialize(object);
}

std::error_code parseConfiguration(std::string_view text, Configuration &configuration)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "revision", configuration.revision_);
    mapFromJson(reader, "tiers", configuration.tiers_);
    mapFromJson(reader, "workspaces", configuration.workspaces_);
    mapFromJson(reader, "routes", configuration.routes_);
    setFromJson(reader, "drained_upstreams", configuration.drainedUpstreams_);
    setFromJson(reader, "drained_regions", configuration.drainedRegions_);
    return reader.error_;
}

Json::array serializeChanges(const std::vector<Change> &changes)
{
    Json::array array;
    for (const Change &change : changes) {
        array.push_back(std::visit([](const auto &step) { return changeToJson(step); }, change));
    }
    return array;
}

std::error_code parseChanges(const Json::value &value, std::vector<Change> &changes)
{
    if (!value.is_array()) {
        return WireErrc::WrongType;
    }
    for (const Json::value &item : value.get_array()) {
        JsonReader reader = readObject(item);
        changes.push_back(readChange(reader));
        if (reader.error_) {
            return reader.error_;
        }
    }
    return {};
}

std::string serializePlan(const Plan &plan)
{
    Json::array effects;
    for (const PlanEffect &effect : plan.effects_) {
        effects.push_back(effectToJson(effect));
    }
    const Json::object object{ { "plan", plan.id_ }, { "base_revision", plan.baseRevision_ },
        { "changes", serializeChanges(plan.changes_) }, { "effects", std::move(effects) } };
    return Json::serialize(object);
}

std::error_code parsePlan(std::string_view text, Plan &plan)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "plan", plan.id_);
    read(reader, "base_revision", plan.baseRevision_);
    readChanges(reader, plan.changes_);
    readEffects(reader, plan.effects_);
    return reader.error_;
}

std::string serializeConfirmedChange(const ConfirmedChange &change)
{
    const Json::object object{ { "revision", change.revision_ }, { "plan", change.planId_ },
        { "changes", serializeChanges(change.changes_) }, { "digest", change.digest_ } };
    return Json::serialize(object);
}

std::error_code parseConfirmedChange(std::string_view text, ConfirmedChange &change)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "revision", change.revision_);
    read(reader, "plan", change.planId_);
    readChanges(reader, change.changes_);
    read(reader, "digest", change.digest_);
    return reader.error_;
}

PlanEffect describeEffect(const Configuration &before, const Configuration &after, const Change &change)
{
    PlanEffect effect;
    effect.subject_ = std::visit([](const auto &step) { return subjectName(step); }, change);
    effect.before_ = std::visit([&before](const auto &step) { return subjectText(before, step); }, change);
    effect.after_ = std::visit([&after](const auto &step) { return subjectText(after, step); }, change);
    return effect;
}

} // namespace Burdockfield
