/**
 * @file configuration_type.h
 * @brief Confirmed intent of the operators: tiers, workspaces, routes and drains.
 */
#pragma once

#include "route_type.h"
#include "tier_type.h"
#include "time_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Burdockfield {

/// Tier of urgency.
struct TierSettings
{
    TierRank rank_ = 0; ///< Larger is more urgent.
    Milliseconds defaultWait_{ 30000 }; ///< Agreed wait when the caller names none.
    Milliseconds maxWait_{ 60000 }; ///< Longest wait that a caller may ask for.

    auto operator<=>(const TierSettings &) const = default;
};

/// Customer.
struct WorkspaceSettings
{
    std::string tokenDigest_; ///< SHA-256 of the bearer token, in hexadecimal.
    double weight_ = 1; ///< Share within a tier.
    uint32_t maxInProgress_ = 256; ///< Requests in progress at one entry.
    std::string defaultTier_; ///< Tier of requests that name none.
    std::string highestTier_; ///< Most urgent tier that the workspace may use.

    auto operator<=>(const WorkspaceSettings &) const = default;
};

/// Model or service.
struct RouteSettings
{
    RouteKind kind_ = RouteKind::Model; ///< What stands behind it.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be repeated.

    auto operator<=>(const RouteSettings &) const = default;
};

/// Everything that operators have confirmed.
struct Configuration
{
    uint64_t revision_ = 0; ///< Counts confirmed plans; 0 before the first.
    std::map<std::string, TierSettings> tiers_; ///< Tiers by name.
    std::map<std::string, WorkspaceSettings> workspaces_; ///< Workspaces by name.
    std::map<std::string, RouteSettings> routes_; ///< Routes by name.
    std::set<std::string> drainedUpstreams_; ///< Upstream VMs that take no new runs.
    std::set<std::string> drainedRegions_; ///< Regions whose upstreams take no new runs.

    bool operator==(const Configuration &) const = default;
};

/// Adds or alters a tier.
struct SetTier
{
    std::string name_; ///< Tier.
    TierSettings settings_; ///< New settings.
};

/// Adds or alters a workspace.
struct SetWorkspace
{
    std::string name_; ///< Workspace.
    WorkspaceSettings settings_; ///< New settings.
};

/// Adds or alters a route.
struct SetRoute
{
    std::string name_; ///< Route.
    RouteSettings settings_; ///< New settings.
};

/// What a removal takes away.
enum class SubjectKind : uint8_t {
    Tier, ///< A tier.
    Workspace, ///< A workspace.
    Route, ///< A route.
};

/// Removes a tier, workspace or route.
struct RemoveSubject
{
    SubjectKind kind_ = SubjectKind::Tier; ///< Kind of the subject.
    std::string name_; ///< What to remove.
};

/// What a drain holds for.
enum class DrainKind : uint8_t {
    Upstream, ///< One upstream VM.
    Region, ///< Every upstream of a region.
};

/// Starts or ends the drain of an upstream or of a region.
struct SetDrain
{
    DrainKind kind_ = DrainKind::Upstream; ///< What the drain holds for.
    std::string name_; ///< What to drain.
    bool drained_ = true; ///< False ends the drain.
};

/// One step of a plan.
using Change = std::variant<SetTier, SetWorkspace, SetRoute, RemoveSubject, SetDrain>;

/// What a plan would alter.
struct PlanEffect
{
    std::string subject_; ///< Kind and name of what is altered.
    std::string before_; ///< Settings before; empty when it is new.
    std::string after_; ///< Settings after; empty when it is removed.
    std::string displacedWork_; ///< What loses its place by it, in words for the operator.
};

/// Changes tested against one revision.
struct Plan
{
    std::string id_; ///< Unique name, which settles a confirmation whose answer was lost.
    uint64_t baseRevision_ = 0; ///< Revision that the plan was made from.
    std::vector<Change> changes_; ///< Steps, in order.
    std::vector<PlanEffect> effects_; ///< What they alter.
};

/// Plan that has been confirmed.
struct ConfirmedChange
{
    uint64_t revision_ = 0; ///< Revision that it made.
    std::string planId_; ///< Plan that was confirmed.
    std::vector<Change> changes_; ///< Steps, in order.
    std::string digest_; ///< Digest of the configuration after it.
};

} // namespace Burdockfield
