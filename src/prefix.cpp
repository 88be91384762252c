/**
 * @file prefix.cpp
 * @brief Prompt prefixes that an upstream has been sent.
 */
#include "prefix_type.h"

#include "digest_func.h"

#include <algorithm>

namespace Burdockfield {

PrefixHashes hashPrefixes(std::string_view prompt)
{
    PrefixHashes hashes;
    uint64_t previous = 0;
    const size_t blocks = std::min(prompt.size() / prefixBlockBytes, prefixBlockLimit);
    for (size_t block = 0; block < blocks; ++block) {
        previous = fastHash(prompt.substr(block * prefixBlockBytes, prefixBlockBytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

void recordPrefixes(PrefixTable &table, const PrefixHashes &hashes)
{
    for (const uint64_t hash : hashes) {
        if (const auto found = table.places_.find(hash); found != table.places_.end()) {
            table.order_.splice(table.order_.begin(), table.order_, found->second);
            continue;
        }
        table.order_.push_front(hash);
        table.places_[hash] = table.order_.begin();
    }
    while (table.order_.size() > table.limit_) {
        table.places_.erase(table.order_.back());
        table.order_.pop_back();
    }
}

size_t countCachedBlocks(const PrefixTable &table, const PrefixHashes &hashes)
{
    size_t known = 0;
    while (known < hashes.size() && table.places_.contains(hashes[known])) {
        ++known;
    }
    return known;
}

} // namespace Burdockfield
