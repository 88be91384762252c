/**
 * @file configuration_type.h
 * @brief Configuration that operators have confirmed (tiers, workspaces, routes, drains) and the plans that change it.
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

/// Settings of a tier, which is a priority level of requests.
struct TierSettings
{
    TierRank rank_ = 0; ///< Priority; a larger rank is more urgent. Each tier has its own.
    Milliseconds defaultWait_{ 30000 }; ///< Longest wait of a request that does not give one.
    Milliseconds maxWait_{ 60000 }; ///< Longest wait that a caller may request.

    auto operator<=>(const TierSettings &) const = default;
};

/// Settings of a workspace, which is one customer.
struct WorkspaceSettings
{
    std::string tokenDigest_; ///< SHA-256 of the bearer token, in hexadecimal. Each workspace has its own.
    double weight_ = 1; ///< Weight in fair sharing with the other workspaces of a tier.
    uint32_t maxInProgress_ = 256; ///< Maximum number of requests in progress at one entry.
    std::string defaultTier_; ///< Tier of requests that do not name one.
    std::string highestTier_; ///< Most urgent tier that the workspace may use.

    auto operator<=>(const WorkspaceSettings &) const = default;
};

/// Settings of a route, which is a model or service that callers name.
struct RouteSettings
{
    RouteKind kind_ = RouteKind::Model; ///< Whether its upstreams serve a model or a service.
    RetryPolicy retryPolicy_ = RetryPolicy::Retryable; ///< Whether a lost run may be retried.

    auto operator<=>(const RouteSettings &) const = default;
};

/// Result of all plans that operators have confirmed.
struct Configuration
{
    uint64_t revision_ = 0; ///< Number of confirmed plans; 0 before the first.
    std::map<std::string, TierSettings> tiers_; ///< Tiers, keyed by name.
    std::map<std::string, WorkspaceSettings> workspaces_; ///< Workspaces, keyed by name.
    std::map<std::string, RouteSettings> routes_; ///< Routes, keyed by name.
    std::set<std::string> drainedUpstreams_; ///< Names of upstream VMs that get no new runs.
    std::set<std::string> drainedRegions_; ///< Names of regions whose upstreams get no new runs.

    bool operator==(const Configuration &) const = default;
};

/// Adds a tier or replaces its settings.
struct SetTier
{
    std::string name_; ///< Name of the tier.
    TierSettings settings_; ///< New settings.
};

/// Adds a workspace or replaces its settings.
struct SetWorkspace
{
    std::string name_; ///< Name of the workspace.
    WorkspaceSettings settings_; ///< New settings.
};

/// Adds a route or replaces its settings.
struct SetRoute
{
    std::string name_; ///< Name of the route.
    RouteSettings settings_; ///< New settings.
};

/// What a RemoveSubject change removes.
enum class SubjectKind : uint8_t {
    Tier, ///< A tier that no workspace uses.
    Workspace, ///< A workspace.
    Route, ///< A route.
};

/// Removes a tier, workspace or route.
struct RemoveSubject
{
    SubjectKind kind_ = SubjectKind::Tier; ///< Kind of what is removed.
    std::string name_; ///< Name of the tier, workspace or route.
};

/// What a drain applies to.
enum class DrainKind : uint8_t {
    Upstream, ///< A single upstream VM.
    Region, ///< All upstreams of a region.
};

/// Starts or ends the drain of an upstream or region. A drained upstream gets no new runs.
struct SetDrain
{
    DrainKind kind_ = DrainKind::Upstream; ///< Whether name_ is an upstream or a region.
    std::string name_; ///< Name of the upstream VM or region.
    bool drained_ = true; ///< True starts the drain, false ends it.
};

/// One change of a plan.
using Change = std::variant<SetTier, SetWorkspace, SetRoute, RemoveSubject, SetDrain>;

/// Effect of one change of a plan.
struct PlanEffect
{
    std::string subject_; ///< Kind and name of what changes, such as "tier gold".
    std::string before_; ///< Settings or drain state before the change; empty if it did not exist.
    std::string after_; ///< Settings or drain state after the change; empty if it was removed.
    std::string
        displacedWork_; ///< Requests or runs that the change holds back, as text for the operator; may be empty.
};

/// Changes that were validated against one revision of the configuration.
struct Plan
{
    std::string id_; ///< Unique id. It tells whether a confirmation took effect when the store's reply was lost.
    uint64_t baseRevision_ = 0; ///< Revision that the plan was validated against.
    std::vector<Change> changes_; ///< Changes, in the order in which they are applied.
    std::vector<PlanEffect> effects_; ///< Effects of the changes, for the operator.
};

/// Record of a confirmed plan, from which every node replays its changes.
struct ConfirmedChange
{
    uint64_t revision_ = 0; ///< Revision of the configuration after the plan.
    std::string planId_; ///< Id of the plan.
    std::vector<Change> changes_; ///< Changes, in the order in which they are applied.
    std::string digest_; ///< configurationDigest() after the plan, which detects nodes that diverge.
};

} // namespace Burdockfield
