/**
 * @file workspace_base.h
 * @brief Row of the table of workspaces.
 */
#pragma once

#include "pool_type.h"
#include "tier_type.h"

#include <cstdint>
#include <string>

namespace Burdockfield {

/// Workspace of a customer, as an entry sees it.
struct Workspace
{
    std::string name_;
    std::string tokenDigest_; ///< Digest of the bearer token.
    double weight_ = 1; ///< Weight in fair sharing within a tier.
    uint32_t maxInProgress_ = 0; ///< Maximum number of requests in progress.
    std::string defaultTier_; ///< Tier of requests that do not specify one.
    TierRank highestRank_ = 0; ///< Most urgent tier that its requests may use.
    uint32_t inProgress_ = 0; ///< Requests in progress at this entry.
};

using WorkspaceId = PoolId<Workspace>; ///< Index of a workspace.

} // namespace Burdockfield
