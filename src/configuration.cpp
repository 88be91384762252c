/**
 * @file configuration.cpp
 * @brief Plans: tested on a copy, then executed by the same code.
 */
#include "configuration_func.h"

#include "configuration_wire.h"
#include "digest_func.h"
#include "error_type.h"
#include "json_func.h"
#include "table/wire_names.h"

namespace Burdockfield {

namespace {

constexpr uint32_t workspaceInProgressLimit = 100000;
constexpr double weightLimit = 1000000;

std::error_code apply(Configuration &configuration, const SetTier &change)
{
    const TierSettings &settings = change.settings_;
    const bool waitsFit = settings.defaultWait_.count() > 0 && settings.defaultWait_ <= settings.maxWait_;
    if (change.name_.empty() || settings.rank_ >= tierRankCount || !waitsFit) {
        return PlanErrc::BadValue;
    }
    for (const auto &[name, other] : configuration.tiers_) {
        if (name != change.name_ && other.rank_ == settings.rank_) {
            return PlanErrc::BadValue;
        }
    }
    configuration.tiers_[change.name_] = settings;
    return {};
}

std::error_code apply(Configuration &configuration, const SetWorkspace &change)
{
    const WorkspaceSettings &settings = change.settings_;
    const bool weightFits = settings.weight_ > 0 && settings.weight_ <= weightLimit;
    const bool limitFits = settings.maxInProgress_ > 0 && settings.maxInProgress_ <= workspaceInProgressLimit;
    if (change.name_.empty() || settings.tokenDigest_.empty() || !weightFits || !limitFits) {
        return PlanErrc::BadValue;
    }
    const auto defaultRank = tierRank(configuration, settings.defaultTier_);
    const auto highestRank = tierRank(configuration, settings.highestTier_);
    if (!defaultRank || !highestRank) {
        return PlanErrc::UnknownSubject;
    }
    if (*defaultRank > *highestRank) {
        return PlanErrc::BadValue;
    }
    for (const auto &[name, other] : configuration.workspaces_) {
        if (name != change.name_ && other.tokenDigest_ == settings.tokenDigest_) {
            return PlanErrc::BadValue;
        }
    }
    configuration.workspaces_[change.name_] = settings;
    return {};
}

std::error_code apply(Configuration &configuration, const SetRoute &change)
{
    if (change.name_.empty()) {
        return PlanErrc::BadValue;
    }
    configuration.routes_[change.name_] = change.settings_;
    return {};
}

/// @return whether a workspace names the tier.
bool tierInUse(const Configuration &configuration, const std::string &tier)
{
    for (const auto &[name, workspace] : configuration.workspaces_) {
        if (workspace.defaultTier_ == tier || workspace.highestTier_ == tier) {
            return true;
        }
    }
    return false;
}

std::error_code apply(Configuration &configuration, const RemoveSubject &change)
{
    size_t removed = 0;
    switch (change.kind_) {
    case SubjectKind::Tier:
        if (tierInUse(configuration, change.name_)) {
            return PlanErrc::BadValue;
        }
        removed = configuration.tiers_.erase(change.name_);
        break;
    case SubjectKind::Workspace:
        removed = configuration.workspaces_.erase(change.name_);
        break;
    case SubjectKind::Route:
        removed = configuration.routes_.erase(change.name_);
        break;
    }
    return removed > 0 ? std::error_code{} : PlanErrc::UnknownSubject;
}

std::error_code apply(Configuration &configuration, const SetDrain &change)
{
    if (change.name_.empty()) {
        return PlanErrc::BadValue;
    }
    auto &drained
        = change.kind_ == DrainKind::Upstream ? configuration.drainedUpstreams_ : configuration.drainedRegions_;
    if (change.drained_) {
        drained.insert(change.name_);
        return {};
    }
    return drained.erase(change.name_) > 0 ? std::error_code{} : PlanErrc::UnknownSubject;
}

/// Describes what a change takes from requests in progress or to come.
std::string displacedBy(const Configuration &before, const Change &change)
{
    if (const auto *drain = std::get_if<SetDrain>(&change); drain != nullptr && drain->drained_) {
        return "new runs on " + std::string(nameOf(drain->kind_, drainKindNames)) + " " + drain->name_
            + "; runs in progress finish";
    }
    if (const auto *removal = std::get_if<RemoveSubject>(&change); removal != nullptr) {
        return "new requests of " + std::string(nameOf(removal->kind_, subjectKindNames)) + " " + removal->name_
            + "; requests in progress finish";
    }
    if (const auto *workspace = std::get_if<SetWorkspace>(&change); workspace != nullptr) {
        const auto old = before.workspaces_.find(workspace->name_);
        const bool lower = old != before.workspaces_.end() && workspace->settings_.weight_ < old->second.weight_;
        return lower ? "share of workspace " + workspace->name_ : std::string();
    }
    return {};
}

} // namespace

std::error_code applyChange(Configuration &configuration, const Change &change)
{
    return std::visit([&configuration](const auto &step) { return apply(configuration, step); }, change);
}

std::error_code applyChanges(Configuration &configuration, std::span<const Change> changes)
{
    Configuration altered = configuration;
    for (const Change &change : changes) {
        if (const std::error_code error = applyChange(altered, change); error) {
            return error;
        }
    }
    ++altered.revision_;
    configuration = std::move(altered);
    return {};
}

PlanResult makePlan(const Configuration &configuration, std::string id, std::vector<Change> changes)
{
    PlanResult result;
    Configuration altered = configuration;
    for (const Change &change : changes) {
        const Configuration before = altered;
        if (result.error_ = applyChange(altered, change); result.error_) {
            return result;
        }
        PlanEffect effect = describeEffect(before, altered, change);
        effect.displacedWork_ = displacedBy(before, change);
        if (effect.before_ != effect.after_) {
            result.plan_.effects_.push_back(std::move(effect));
        }
    }
    if (altered == configuration) {
        result.error_ = PlanErrc::NoEffect;
        return result;
    }
    result.plan_.id_ = std::move(id);
    result.plan_.baseRevision_ = configuration.revision_;
    result.plan_.changes_ = std::move(changes);
    return result;
}

std::error_code replayChange(Configuration &configuration, const ConfirmedChange &change)
{
    if (change.revision_ != configuration.revision_ + 1) {
        return PlanErrc::StaleBase;
    }
    Configuration altered = configuration;
    if (const std::error_code error = applyChanges(altered, change.changes_); error) {
        return error;
    }
    if (configurationDigest(altered) != change.digest_) {
        return PlanErrc::Diverged;
    }
    configuration = std::move(altered);
    return {};
}

std::string configurationDigest(const Configuration &configuration)
{
    return sha256Hex(serializeConfiguration(configuration));
}

std::optional<TierRank> tierRank(const Configuration &configuration, const std::string &tier)
{
    const auto found = configuration.tiers_.find(tier);
    return found != configuration.tiers_.end() ? std::optional(found->second.rank_) : std::nullopt;
}

} // namespace Burdockfield
