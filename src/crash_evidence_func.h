/**
 * @file crash_evidence_func.h
 * @brief Recording of crashes and answers, and decisions on traits that cause crashes.
 */
#pragma once

#include "crash_evidence_type.h"

namespace Burdockfield {

constexpr std::chrono::minutes crashRetention{ 10 }; ///< Time a crash counts; longer than between rare requests.
constexpr std::chrono::minutes verdictRetention{ 10 }; ///< Time without a request after which a verdict is dropped.

/**
 * Records that a request with the trait was answered.
 * @return whether the trait was a suspect or condemned; other gateways have to know that it is sound
 */
bool recordAnswer(CrashEvidence &evidence, Trait trait, TimePoint at, TimePoint now);

/**
 * Records a crash as this or another gateway has seen it; the same crash may be reported any number of times.
 * @return the reported traits that are no suspects, since they have been answered recently
 */
std::vector<Trait> recordCrash(CrashEvidence &evidence, const CrashReport &report);

/**
 * Condemns the traits that explain the most crashes, if these are enough. Of those that explain the same ones, the
 * deepest is condemned: if that is wrong, crashes will follow that only another one explains. Traits that are at enough
 * crashes only because some were simultaneous with others, as in the outage of a rack, get an early trial. So do whole
 * requests at enough crashes that others explain.
 * @return the traits condemned now
 */
std::vector<Trait> reviewSuspects(CrashEvidence &evidence, TimePoint now);

/**
 * Applies the verdict of another gateway, and withdraws it if the trait has been answered here recently.
 * @return whether it puts a verdict into force here
 */
bool mergeVerdict(CrashEvidence &evidence, Trait trait, const CrashVerdict &received, TimePoint now);

/// @return whether requests with the trait have to be refused.
bool isCondemned(const CrashEvidence &evidence, Trait trait);

/// @return whether the trait has been at so many crashes that a request with it is not sent a second time.
bool isStrongSuspect(const CrashEvidence &evidence, Trait trait);

/// @return whether a request with a condemned trait may be sent now to find out whether it still crashes upstreams.
bool isTrialDue(const CrashVerdict &verdict, TimePoint now);

/// Counts a trial and schedules the next one.
void recordTrial(CrashVerdict &verdict, TimePoint now);

/// @return how long requests with a condemned trait will be refused at least.
Duration timeUntilTrial(const CrashVerdict &verdict, TimePoint now);

/// @return whether other gateways still have to be told of the verdict.
bool isVerdictInUse(const CrashVerdict &verdict, TimePoint now);

/// Removes what is outdated, at most once in a while.
void expireCrashEvidence(CrashEvidence &evidence, TimePoint now);

} // namespace Burdockfield
