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

/// Customer, as an entry sees it.
struct Workspace
{
    std::string name_; ///< Name.
    std::string tokenDigest_; ///< Digest of the bearer token.
    double weight_ = 1; ///< Share within a tier.
    uint32_t maxInProgress_ = 0; ///< Bound on requests in progress.
    std::string defaultTier_; ///< Tier of requests that name none.
    TierRank highestRank_ = 0; ///< Most urgent tier allowed.
    uint32_t inProgress_ = 0; ///< Requests in progress.
};

using WorkspaceId = PoolId<Workspace>; ///< Index of a workspace.

} // namespace Burdockfield
