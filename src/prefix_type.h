/**
 * @file prefix_type.h
 * @brief Prompt prefixes that an upstream has been sent, for affinity of requests that share them.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Burdockfield {

/// Bytes of prompt covered by one more hash.
constexpr size_t prefixBlockBytes = 256;

/// Bound on the blocks hashed of one prompt.
constexpr size_t prefixBlockLimit = 32;

/// Bound on the hashes remembered for one upstream.
constexpr size_t prefixTableLimit = 2048;

/// Hashes of ever longer prefixes of one prompt.
using PrefixHashes = std::vector<uint64_t>;

/// Prefix hashes sent to one upstream, least recently used first out.
struct PrefixTable
{
    size_t limit_ = prefixTableLimit; ///< Bound on the hashes.
    std::list<uint64_t> order_; ///< Most recently used first.
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> places_; ///< Places in the order.
};

/// @return hashes of the prefixes of @p prompt, one for each whole block.
PrefixHashes hashPrefixes(std::string_view prompt);

/// Remembers that the upstream has seen these prefixes.
void recordPrefixes(PrefixTable &table, const PrefixHashes &hashes);

/// @return how many leading blocks of the prompt the upstream has probably cached.
size_t countCachedBlocks(const PrefixTable &table, const PrefixHashes &hashes);

} // namespace Burdockfield
