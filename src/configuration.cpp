/**
 * @file configuration.cpp
 * @brief Validation and application of configuration changes.
 */
#include "configuration_func.h"

#include "configuration_wire.h"
#include "digest_func.h"
#include "error_type.h"
#include "json_func.h"
#include "table/wire_names.h"

namespace Burdockfield {

namespace {

constexpr uint32_t workspaceInProgressLimit = 100000; ///< Highest maximum of requests in progress per workspace.
constexpr double weightLimit = 1000000; ///< Highest weight of a workspace.

std::error_code apply(Configuration &configuration, const SetTier &change)
{
    const TierSettings &settings = change.settings_;
    const bool waitsValid = settings.defaultWait_.count() > 0 && settings.defaultWait_ <= settings.maxWait_;
    if (change.name_.empty() || settings.rank_ >= tierRankCount || !waitsValid) {
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
    const bool weightValid = settings.weight_ > 0 && settings.weight_ <= weightLimit;
    const bool limitValid = settings.maxInProgress_ > 0 && settings.maxInProgress_ <= workspaceInProgressLimit;
    if (change.name_.empty() || settings.tokenDigest_.empty() || !weightValid || !limitValid) {
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

/// @return whether a workspace has the tier as its default or highest tier.
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

/// Describes for the operator which requests or runs a change holds back. @return empty text if there are none
std::string describeDisplacedWork(const Configuration &before, const Change &change)
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
        const auto previous = before.workspaces_.find(workspace->name_);
        const bool weightReduced
            = previous != before.workspaces_.end() && workspace->settings_.weight_ < previous->second.weight_;
        return weightReduced ? "share of workspace " + workspace->name_ : std::string();
    }
    return {};
}

} // namespace

std::error_code applyChange(Configuration &configuration, const Change &change)
{
    return std::visit([&configuration](const auto &alternative) { return apply(configuration, alternative); }, change);
}

std::error_code applyChanges(Configuration &configuration, std::span<const Change> changes)
{
    Configuration updated = configuration;
    for (const Change &change : changes) {
        if (const std::error_code error = applyChange(updated, change); error) {
            return error;
        }
    }
    ++updated.revision_;
    configuration = std::move(updated);
    return {};
}

PlanResult makePlan(const Configuration &configuration, std::string id, std::vector<Change> changes)
{
    PlanResult result;
    Configuration updated = configuration;
    for (const Change &change : changes) {
        const Configuration before = updated;
        if (result.error_ = applyChange(updated, change); result.error_) {
            return result;
        }
        PlanEffect effect = describeEffect(before, updated, change);
        effect.displacedWork_ = describeDisplacedWork(before, change);
        if (effect.before_ != effect.after_) {
            result.plan_.effects_.push_back(std::move(effect));
        }
    }
    if (updated == configuration) {
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
    Configuration updated = configuration;
    if (const std::error_code error = applyChanges(updated, change.changes_); error) {
        return error;
    }
    if (configurationDigest(updated) != change.digest_) {
        return PlanErrc::Diverged;
    }
    configuration = std::move(updated);
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
