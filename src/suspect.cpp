/**
 * @file suspect.cpp
 * @brief Recording and merging of crash suspects.
 */
#include "suspect_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

/// Keeps the table within its bound by dropping what expires first.
void boundSuspects(SuspectTable &suspects)
{
    while (suspects.size() > suspectLimit) {
        const auto earlier = [](const auto &left, const auto &right) {
            return left.second.expiresAt_ < right.second.expiresAt_;
        };
        suspects.erase(std::min_element(suspects.begin(), suspects.end(), earlier));
    }
}

} // namespace

void recordCrash(SuspectTable &suspects, const std::string &digest, bool alone, TimePoint now)
{
    Suspect &suspect = suspects[digest];
    ++suspect.crashes_;
    suspect.crashesAlone_ += alone ? 1 : 0;
    suspect.expiresAt_ = now + suspectRetention;
    boundSuspects(suspects);
}

bool mergeSuspects(SuspectTable &suspects, const SuspectTable &heard)
{
    bool changed = false;
    for (const auto &[digest, other] : heard) {
        Suspect &own = suspects[digest];
        changed = changed || other.crashes_ > own.crashes_ || other.crashesAlone_ > own.crashesAlone_;
        own.crashes_ = std::max(own.crashes_, other.crashes_);
        own.crashesAlone_ = std::max(own.crashesAlone_, other.crashesAlone_);
        own.expiresAt_ = std::max(own.expiresAt_, other.expiresAt_);
    }
    boundSuspects(suspects);
    return changed;
}

void expireSuspects(SuspectTable &suspects, TimePoint now)
{
    std::erase_if(suspects, [now](const auto &item) { return item.second.expiresAt_ <= now; });
}

bool mustRunAlone(const SuspectTable &suspects, const std::string &digest)
{
    return suspects.contains(digest);
}

uint32_t crashCountIfRefused(const SuspectTable &suspects, const std::string &digest)
{
    const auto found = suspects.find(digest);
    const bool refused = found != suspects.end() && found->second.crashesAlone_ >= suspectRefusalThreshold;
    return refused ? found->second.crashes_ : 0;
}

} // namespace Burdockfield
