/**
 * @file prefix_type.h
 * @brief Prompt prefixes sent to an upstream, so that requests with the same prefix can be routed to it.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Burdockfield {

/// Size of a prompt block in bytes; each further hash covers one more block.
constexpr size_t prefixBlockBytes = 256;

/// Maximum number of blocks hashed per prompt.
constexpr size_t prefixBlockLimit = 32;

/// Maximum number of hashes kept per upstream.
constexpr size_t prefixTableLimit = 2048;

/// Hashes of the prefixes of one prompt, shortest prefix first.
using PrefixHashes = std::vector<uint64_t>;

/// LRU cache of the prefix hashes sent to one upstream.
struct PrefixTable
{
    size_t limit_ = prefixTableLimit; ///< Maximum number of hashes.
    std::list<uint64_t> order_; ///< Hashes, most recently used first.
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> positions_; ///< Position of each hash in order_.
};

/// @return hashes of the prefixes of @p prompt, one for each full block up to prefixBlockLimit.
PrefixHashes hashPrefixes(std::string_view prompt);

/// Records that these prefixes were sent to the upstream.
void recordPrefixes(PrefixTable &table, const PrefixHashes &hashes);

/// @return the number of leading blocks of the prompt that the upstream has probably cached.
size_t countCachedBlocks(const PrefixTable &table, const PrefixHashes &hashes);

} // namespace Burdockfield
