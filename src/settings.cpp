/**
 * @file settings.cpp
 * @brief Parsing and validation of settings files.
 */
#include "settings_func.h"

#include "error_type.h"
#include "http_func.h"
#include "settings_reader.h"
#include "table/settings_names.h"
#include "table/wire_names.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace Burdockfield {

namespace {

constexpr uint64_t slotCountLimit = 65536; ///< Largest number of slots, queued runs or upstreams of a subset.
constexpr uint64_t queueLimitBound = 1000000; ///< Largest queue_limit, in requests.
constexpr size_t headerBytesBound = 1U << 20U; ///< Largest limit of a request's header.
constexpr size_t bodyBytesBound = 32U << 20U; ///< Largest limit of a request's body.
constexpr uint64_t fewestDescriptors = 64; ///< With fewer a gateway can't reach its upstreams, the store and its peers.
constexpr uint64_t descriptorsBound = 1U << 30U; ///< Largest number of descriptors of a process.
constexpr size_t memoryBytesBound = size_t{ 1 } << 40U; ///< Largest memory of a process.
constexpr double processorShareBound = 1024; ///< Largest processor of a gateway, in cores.
constexpr double retryRatioBound = 10; ///< Largest repeat_ratio, in retries per request.
constexpr double retrySlackBound = 1e6; ///< Largest repeat_slack, in retries per window.
constexpr double exposureShareBound = 1; ///< Largest exposure_share, as a share of the requests.
constexpr double quotaOvershootBound = 10; ///< Largest quota_overshoot, as a share of the quota.
constexpr double hedgingShareBound = 0.2; ///< Largest hedging.share: the retries that the users allow, see P7.
constexpr double quotaSlackBound = 1e12; ///< Largest quota_token_slack, in tokens.

void readLimits(const SettingsReader &reader, Settings &settings)
{
    const auto limits = openMapping(reader, "limits", false, { "header", "body", "read_timeout", "idle_timeout" });
    if (!limits) {
        return;
    }
    readSize(*limits, "header", settings.limits_.headerBytes_, headerBytesBound);
    readSize(*limits, "body", settings.limits_.bodyBytes_, bodyBytesBound);
    readDuration(*limits, "read_timeout", settings.limits_.readTimeout_);
    readDuration(*limits, "idle_timeout", settings.limits_.idleTimeout_);
}

void applyPreset(PolicyPreset preset, Settings &settings)
{
    if (preset == PolicyPreset::Scheduled) {
        return;
    }
    settings.entryPolicy_.routing_ = RoutingRule::RoundRobin;
    settings.entryPolicy_.queue_ = QueueRule::FirstCome;
    settings.entryPolicy_.lateBinding_ = false;
    settings.entryPolicy_.prefixAffinity_ = false;
    settings.entryPolicy_.dropInfeasible_ = false;
    settings.agentPolicy_.queue_ = QueueRule::FirstCome;
    settings.agentPolicy_.queueAtAgent_ = false;
    settings.agentPolicy_.preemption_ = false;
    settings.agentPolicy_.dropInfeasible_ = false;
}

void readEntryPolicy(const SettingsReader &reader, Settings &settings)
{
    const auto policy = openMapping(reader, "policy", false,
        { "preset", "routing", "queue", "late_binding", "prefix_affinity", "drop_hopeless", "subset_size",
            "queue_limit" });
    if (!policy) {
        return;
    }
    PolicyPreset preset = PolicyPreset::Scheduled;
    readName(*policy, "preset", preset, policyPresetNames, false);
    applyPreset(preset, settings);
    EntryPolicy &target = settings.entryPolicy_;
    readName(*policy, "routing", target.routing_, routingRuleNames, false);
    readName(*policy, "queue", target.queue_, queueRuleNames, false);
    readFlag(*policy, "late_binding", target.lateBinding_);
    readFlag(*policy, "prefix_affinity", target.prefixAffinity_);
    readFlag(*policy, "drop_hopeless", target.dropInfeasible_);
    readCount(*policy, "subset_size", target.subsetSize_, 1, slotCountLimit);
    readCount(*policy, "queue_limit", target.queueLimit_, 1, queueLimitBound);
}

void readAgentPolicy(const SettingsReader &reader, Settings &settings)
{
    const auto policy
        = openMapping(reader, "policy", false, { "preset", "queue", "bounded", "preemption", "drop_hopeless" });
    if (!policy) {
        return;
    }
    PolicyPreset preset = PolicyPreset::Scheduled;
    readName(*policy, "preset", preset, policyPresetNames, false);
    applyPreset(preset, settings);
    readName(*policy, "queue", settings.agentPolicy_.queue_, queueRuleNames, false);
    readFlag(*policy, "bounded", settings.agentPolicy_.queueAtAgent_);
    readFlag(*policy, "preemption", settings.agentPolicy_.preemption_);
    readFlag(*policy, "drop_hopeless", settings.agentPolicy_.dropInfeasible_);
}

void readUpstream(const SettingsReader &reader, Settings &settings)
{
    const auto upstream = openMapping(reader, "upstream", true,
        { "address", "kind", "routes", "slots", "queue_depth", "load_path", "silence_timeout", "service_timeout" });
    if (!upstream) {
        return;
    }
    UpstreamSettings &target = settings.upstream_;
    readAddress(*upstream, "address", target.address_);
    readName(*upstream, "kind", target.kind_, routeKindNames, true);
    readNames(*upstream, "routes", target.routes_);
    readCount(*upstream, "slots", target.slots_, 1, slotCountLimit);
    readCount(*upstream, "queue_depth", target.queueDepth_, 0, slotCountLimit);
    readText(*upstream, "load_path", settings.loadPath_, false);
    readDuration(*upstream, "silence_timeout", settings.upstreamSilenceTimeout_);
    readDuration(*upstream, "service_timeout", settings.serviceTimeout_);
}

void readCommon(const SettingsReader &reader, Settings &settings)
{
    readName(reader, "role", settings.role_, roleNames, true);
    readText(reader, "name", settings.identity_.name_, true);
    readText(reader, "region", settings.identity_.region_, true);
    readText(reader, "zone", settings.identity_.zone_, true);
    readAddress(reader, "listen", settings.listenAddress_);
    readAddress(reader, "platform", settings.platformAddress_);
    if (const auto log = openMapping(reader, "log", false, { "level" }); log) {
        readName(*log, "level", settings.logLevel_, logLevelNames, false);
    }
    uint64_t seed = 0;
    readCount(reader, "seed", seed, 0, UINT32_MAX);
    if (seed != 0) {
        settings.seed_ = seed;
    }
}

void readZones(const SettingsReader &reader, std::map<std::string, std::string> &target)
{
    const std::string accepted = "a mapping of availability zones to regions";
    if (reader.error_.error_ || !reader.node_["zones"].IsDefined()) {
        return;
    }
    const YAML::Node value = reader.node_["zones"];
    if (!value.IsMap()) {
        recordError(reader, value, SettingsErrc::WrongType, "zones", accepted);
        return;
    }
    for (const auto &item : value) {
        if (!item.first.IsScalar() || !item.second.IsScalar()) {
            recordError(reader, item.first, SettingsErrc::WrongType, "zones", accepted);
            return;
        }
        target[item.first.Scalar()] = item.second.Scalar();
    }
}

void readBounds(const SettingsReader &reader, Gateway::Bounds &bounds)
{
    const auto inner = openMapping(reader, "bounds", false,
        { "repeat_ratio", "repeat_slack", "quota_window", "quota_overshoot", "quota_token_slack", "configuration_delay",
            "drain_delay", "grace", "row_return", "exposure_share" });
    if (!inner) {
        return;
    }
    readNumber(*inner, "repeat_ratio", bounds.retryRatio_, retryRatioBound);
    readNumber(*inner, "repeat_slack", bounds.retrySlack_, retrySlackBound);
    Milliseconds window(bounds.quotaWindow_);
    readDuration(*inner, "quota_window", window);
    bounds.quotaWindow_ = std::chrono::duration_cast<std::chrono::seconds>(window);
    readNumber(*inner, "quota_overshoot", bounds.quotaOvershoot_, quotaOvershootBound);
    readNumber(*inner, "quota_token_slack", bounds.quotaTokenSlack_, quotaSlackBound);
    readDuration(*inner, "configuration_delay", bounds.configurationDelay_);
    readDuration(*inner, "drain_delay", bounds.drainDelay_);
    readDuration(*inner, "grace", bounds.grace_);
    readDuration(*inner, "row_return", bounds.rowReturnTimeout_);
    readNumber(*inner, "exposure_share", bounds.exposureShare_, exposureShareBound);
}

void readHedging(const SettingsReader &reader, Gateway::Bounds &bounds)
{
    if (const auto hedging = openMapping(reader, "hedging", false, { "share" }); hedging) {
        readNumber(*hedging, "share", bounds.hedgingShare_, hedgingShareBound);
    }
}

void readGateway(const SettingsReader &reader, Settings &settings)
{
    checkKeys(reader,
        { "role", "name", "region", "zone", "listen", "ready", "peer", "metrics", "platform", "log", "seed", "seeds",
            "zones", "memory", "descriptors", "processor", "first_start", "bounds", "hedging" });
    readAddress(reader, "ready", settings.gateway_.readyAddress_);
    readAddress(reader, "peer", settings.gateway_.peerAddress_);
    readAddress(reader, "metrics", settings.gateway_.metrics_);
    readSize(reader, "memory", settings.gateway_.memoryBytes_, memoryBytesBound);
    readCount(reader, "descriptors", settings.gateway_.descriptors_, fewestDescriptors, descriptorsBound);
    readNumber(reader, "processor", settings.gateway_.processorShare_, processorShareBound);
    readFlag(reader, "first_start", settings.gateway_.firstStart_);
    readAddresses(reader, "seeds", settings.seeds_);
    readZones(reader, settings.gateway_.regionByZone_);
    readBounds(reader, settings.gateway_.bounds_);
    readHedging(reader, settings.gateway_.bounds_);
    settings.identity_.address_ = settings.gateway_.peerAddress_;
}

void readSettings(const SettingsReader &reader, Settings &settings)
{
    readCommon(reader, settings);
    if (settings.role_ == Role::Gateway) {
        readGateway(reader, settings);
        return;
    }
    readSize(reader, "memory", settings.serverMemoryBytes_, memoryBytesBound);
    if (settings.role_ == Role::Entry) {
        checkKeys(reader,
            { "role", "name", "region", "zone", "listen", "control", "platform", "log", "seed", "seeds", "limits",
                "memory", "policy" });
        readAddress(reader, "control", settings.controlAddress_);
        readAddresses(reader, "seeds", settings.seeds_);
        readLimits(reader, settings);
        readEntryPolicy(reader, settings);
        settings.identity_.address_ = settings.controlAddress_;
        return;
    }
    checkKeys(reader,
        { "role", "name", "region", "zone", "listen", "platform", "log", "seed", "memory", "upstream", "policy" });
    readUpstream(reader, settings);
    readAgentPolicy(reader, settings);
    settings.identity_.address_ = settings.listenAddress_;
}

/// @return the quantity converted to the base unit of @p units, or std::nullopt if number or unit are not valid.
template<typename Units>
std::optional<uint64_t> parseQuantity(std::string_view text, const Units &units)
{
    constexpr uint64_t largestQuantity = uint64_t{ 1 } << 40U;
    const size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const uint64_t number = parseNumberOr(text.substr(0, digits), largestQuantity);
    for (const auto &[unit, factor] : units) {
        if (unit == text.substr(digits) && number < largestQuantity) {
            return number * factor;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    const auto count = parseQuantity(text, durationUnits);
    return count ? std::optional(Milliseconds(*count)) : std::nullopt;
}

std::optional<size_t> parseSize(std::string_view text)
{
    return parseQuantity(text, sizeUnits);
}

SettingsError parseSettings(std::string_view text, const std::string &file, Settings &settings)
{
    SettingsError error;
    error.file_ = file;
    try {
        Settings parsed;
        const SettingsReader reader{ YAML::Load(std::string(text)), "", error };
        if (!reader.node_.IsMap()) {
            recordError(reader, reader.node_, SettingsErrc::WrongType, "", "a mapping of settings");
            return error;
        }
        readSettings(reader, parsed);
        if (!error.error_) {
            settings = std::move(parsed);
        }
    } catch (const YAML::Exception &exception) {
        error.error_ = SettingsErrc::MalformedYaml;
        error.line_ = exception.mark.is_null() ? 0 : exception.mark.line + 1;
        error.accepted_ = "YAML";
    }
    return error;
}

SettingsError loadSettings(const std::string &file, Settings &settings)
{
    std::ifstream stream(file);
    if (!stream) {
        SettingsError error;
        error.error_ = SettingsErrc::CannotRead;
        error.file_ = file;
        error.accepted_ = "a readable file";
        return error;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str(), file, settings);
}

std::string describe(const SettingsError &error)
{
    std::string text = error.file_;
    if (error.line_ > 0) {
        text += ":" + std::to_string(error.line_);
    }
    text += ": " + error.error_.message();
    if (!error.key_.empty()) {
        text += ": " + error.key_;
    }
    return text + " (accepted: " + error.accepted_ + ")";
}

} // namespace Burdockfield
