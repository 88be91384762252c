/**
 * @file crash_evidence.cpp
 * @brief Recording of crashes and answers, and decisions on traits that cause crashes.
 */
#include "crash_evidence_func.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace Burdockfield {

namespace {

constexpr size_t crashLimit = 3; ///< Crashes that have to be explained by a trait for it to be condemned.
constexpr size_t strongSuspectLimit = 2; ///< Crashes from which a trait is a strong suspect.
constexpr Milliseconds simultaneity{ 100 }; ///< Crashes within this time may have one cause, as that of a rack.
constexpr Milliseconds settleTime{ 300 }; ///< Time for the reports of all gateways that see a crash to arrive.
/// Time after an answer for which its traits are no suspects; a trait may begin to cause crashes later.
constexpr std::chrono::seconds answerValidity{ 10 };
constexpr size_t maxCrashes = 128; ///< Crashes kept; the oldest ones are dropped first.
/// Times until the trials of a verdict, the first from its beginning. Two, as a third could be sent by mistake while
/// gateways disagree on who is to send it, and callers are promised that no more than three crash anything.
constexpr std::array<std::chrono::seconds, 2> trialDelays{ std::chrono::seconds(15), std::chrono::seconds(60) };
/// Time until the first trial of a verdict whose crashes an outage or another request may have caused. A trial within
/// the contact time after the third crash is none of those that callers are promised; it has to follow the reports of
/// that crash.
constexpr std::chrono::seconds uncertainTrialDelay{ 1 };
/// Requests that have crashed upstreams later than this after their third crash count among those that callers are
/// promised. Deployments have 3 or 4 s as contactMs.
constexpr std::chrono::seconds contactTime{ 3 };
constexpr size_t lateSendLimit = 3; ///< Such requests that callers are promised at most.
/// Time without a request after which a verdict is no longer sent; less than its retention, so that it can't come back.
constexpr std::chrono::minutes verdictAnnouncement{ 5 };
constexpr std::chrono::seconds expiryInterval{ 1 }; ///< Time between removals of outdated entries.

TimePoint trialTime(const CrashVerdict &verdict, TimePoint now)
{
    return verdict.trials_ < trialDelays.size() ? now + trialDelays[verdict.trials_] : noDeadline;
}

bool isInForce(const CrashVerdict &verdict)
{
    return verdict.number_ > 0 && !verdict.withdrawn_;
}

void dropCrash(CrashEvidence &evidence, const UpstreamStart &upstream)
{
    for (auto &[trait, suspect] : evidence.suspects_) {
        suspect.crashes_.erase(upstream);
    }
    std::erase_if(evidence.suspects_, [](const auto &item) { return item.second.crashes_.empty(); });
    evidence.crashes_.erase(upstream);
}

void dropOldestCrash(CrashEvidence &evidence)
{
    const auto oldest = std::min_element(evidence.crashes_.begin(), evidence.crashes_.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    dropCrash(evidence, UpstreamStart(oldest->first));
}

/// How simultaneous crashes count for a trait.
enum class CrashCounting : uint8_t {
    ByMoment, ///< Individually if the trait was at all of that moment, else once, as an outage may have caused them.
    Individual, ///< Individually.
};

/// Crashes that happened at the same moment, and how many these are.
struct CrashMoments
{
    std::map<UpstreamStart, size_t> moments_; ///< Number of the moment of each crash.
    std::vector<size_t> sizes_; ///< Crashes of each moment.
};

CrashMoments findMoments(const CrashEvidence &evidence, const std::set<UpstreamStart> &crashes)
{
    std::vector<std::pair<TimePoint, UpstreamStart>> byTime;
    for (const UpstreamStart &upstream : crashes) {
        byTime.emplace_back(evidence.crashes_.at(upstream), upstream);
    }
    std::sort(byTime.begin(), byTime.end());
    CrashMoments result;
    TimePoint begin{};
    for (const auto &[at, upstream] : byTime) {
        if (result.sizes_.empty() || at - begin >= simultaneity) {
            result.sizes_.push_back(0);
            begin = at;
        }
        ++result.sizes_.back();
        result.moments_[upstream] = result.sizes_.size() - 1;
    }
    return result;
}

/// @return how many of the crashes that have a moment count for a suspect.
size_t countCrashes(const CrashSuspect &suspect, const CrashMoments &moments, CrashCounting counting)
{
    std::map<size_t, size_t> byMoment;
    for (const UpstreamStart &upstream : suspect.crashes_) {
        if (const auto found = moments.moments_.find(upstream); found != moments.moments_.end()) {
            ++byMoment[found->second];
        }
    }
    size_t counted = 0;
    for (const auto &[moment, crashes] : byMoment) {
        const bool individually = counting == CrashCounting::Individual || crashes == moments.sizes_[moment];
        counted += individually ? crashes : 1;
    }
    return counted;
}

/// @return how many of a suspect's crashes were later than the contact time after the third one.
size_t countLateCrashes(const CrashEvidence &evidence, const CrashSuspect &suspect)
{
    std::vector<TimePoint> times;
    for (const UpstreamStart &upstream : suspect.crashes_) {
        times.push_back(evidence.crashes_.at(upstream));
    }
    std::sort(times.begin(), times.end());
    return static_cast<size_t>(std::count_if(times.begin(), times.end(),
        [&times](TimePoint at) { return times.size() >= crashLimit && at > times[crashLimit - 1] + contactTime; }));
}

/// Begins a verdict with as many trials as the requests that have crashed upstreams late leave.
void condemn(CrashEvidence &evidence, Trait trait, TimePoint now)
{
    const size_t late = std::min(countLateCrashes(evidence, evidence.suspects_.at(trait)), lateSendLimit);
    const size_t left = std::min(lateSendLimit - late, trialDelays.size());
    CrashVerdict &verdict = evidence.verdicts_[trait];
    verdict = { verdict.number_ + 1, false, static_cast<uint32_t>(trialDelays.size() - left), {}, now };
    verdict.nextTrialAt_ = trialTime(verdict, now);
}

/// @return the crashes whose reports have all arrived. Schedules a review of the others.
std::set<UpstreamStart> findSettledCrashes(CrashEvidence &evidence, TimePoint now)
{
    std::set<UpstreamStart> settled;
    evidence.reviewAt_ = noDeadline;
    for (const auto &[upstream, at] : evidence.crashes_) {
        if (now - at >= settleTime) {
            settled.insert(upstream);
        } else {
            evidence.reviewAt_ = std::min(evidence.reviewAt_, at + settleTime);
        }
    }
    return settled;
}

/// @return the trait that explains the most of the crashes, the deepest of several; none if too few are explained.
std::optional<Trait> findBestExplanation(
    const CrashEvidence &evidence, const std::set<UpstreamStart> &unexplained, CrashCounting counting)
{
    const CrashMoments moments = findMoments(evidence, unexplained);
    std::optional<Trait> best;
    std::pair<size_t, TraitDepth> bestRank{ crashLimit, 0 };
    for (const auto &[trait, suspect] : evidence.suspects_) {
        if (suspect.crashes_.size() < bestRank.first) {
            continue;
        }
        const std::pair rank(countCrashes(suspect, moments, counting), suspect.depth_);
        if (rank > bestRank || (rank == bestRank && (!best || trait < *best))) { // the same one in every gateway
            best = trait;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace

bool recordAnswer(CrashEvidence &evidence, Trait trait, TimePoint at, TimePoint now)
{
    TimePoint &answeredAt = evidence.answeredAt_[trait];
    answeredAt = std::max(answeredAt, at);
    bool changed = false;
    if (const auto found = evidence.suspects_.find(trait); found != evidence.suspects_.end()) {
        const size_t cleared = std::erase_if(found->second.crashes_,
            [&](const UpstreamStart &upstream) { return evidence.crashes_.at(upstream) < at + answerValidity; });
        changed = cleared > 0;
        if (found->second.crashes_.empty()) {
            evidence.suspects_.erase(found);
        }
    }
    if (const auto found = evidence.verdicts_.find(trait); found != evidence.verdicts_.end()) {
        CrashVerdict &verdict = found->second;
        changed = changed || isInForce(verdict);
        if (isInForce(verdict)) { // crashes that it explained may condemn another trait
            evidence.reviewAt_ = std::min(evidence.reviewAt_, now);
        }
        verdict.usedAt_ = isInForce(verdict) ? now : verdict.usedAt_;
        verdict.withdrawn_ = true;
    }
    return changed;
}

std::vector<Trait> recordCrash(CrashEvidence &evidence, const CrashReport &report)
{
    if (!evidence.crashes_.contains(report.upstream_) && evidence.crashes_.size() >= maxCrashes) {
        dropOldestCrash(evidence);
    }
    TimePoint &at = evidence.crashes_.try_emplace(report.upstream_, report.at_).first->second;
    at = std::min(at, report.at_);
    evidence.reviewAt_ = std::min(evidence.reviewAt_, at + settleTime);
    std::vector<Trait> answered;
    for (const auto &[trait, depth] : report.traits_) {
        const auto found = evidence.answeredAt_.find(trait);
        if (found != evidence.answeredAt_.end() && at < found->second + answerValidity) {
            answered.push_back(trait);
        } else {
            CrashSuspect &suspect = evidence.suspects_.try_emplace(trait, CrashSuspect{ depth, {} }).first->second;
            suspect.depth_ = std::min(suspect.depth_, depth);
            suspect.crashes_.insert(report.upstream_);
        }
    }
    return answered;
}

std::vector<Trait> reviewSuspects(CrashEvidence &evidence, TimePoint now)
{
    std::vector<Trait> condemned;
    std::set<UpstreamStart> unexplained = findSettledCrashes(evidence, now);
    const CrashMoments moments = findMoments(evidence, unexplained);
    const auto convict = [&](Trait trait, bool uncertain) {
        if (!isCondemned(evidence, trait)) {
            condemn(evidence, trait, now);
            condemned.push_back(trait);
        }
        CrashVerdict &verdict = evidence.verdicts_.at(trait);
        if (uncertain && verdict.trials_ == 0) {
            verdict.nextTrialAt_ = std::min(verdict.nextTrialAt_, now + uncertainTrialDelay);
        }
    };
    for (const CrashCounting counting : { CrashCounting::ByMoment, CrashCounting::Individual }) {
        while (const auto trait = findBestExplanation(evidence, unexplained, counting)) {
            const std::set<UpstreamStart> &explained = evidence.suspects_.at(*trait).crashes_;
            std::erase_if(unexplained, [&explained](const auto &upstream) { return explained.contains(upstream); });
            convict(*trait, counting == CrashCounting::Individual);
        }
    }
    // A request may have crashed upstreams at which another one was that explains these crashes as well.
    for (const auto &[trait, suspect] : evidence.suspects_) {
        if (suspect.depth_ == wholeRequestDepth && !isCondemned(evidence, trait)
            && countCrashes(suspect, moments, CrashCounting::Individual) >= crashLimit) {
            convict(trait, true);
        }
    }
    return condemned;
}

bool mergeVerdict(CrashEvidence &evidence, Trait trait, const CrashVerdict &received, TimePoint now)
{
    CrashVerdict &verdict = evidence.verdicts_[trait];
    const bool newer = received.number_ > verdict.number_
        || (received.number_ == verdict.number_ && received.withdrawn_ && !verdict.withdrawn_);
    if (newer) {
        const auto answered = evidence.answeredAt_.find(trait);
        const bool sound = answered != evidence.answeredAt_.end() && now - answered->second <= answerValidity;
        verdict = { received.number_, received.withdrawn_ || sound, received.trials_, {}, now };
        verdict.nextTrialAt_ = trialTime(verdict, now);
        return isInForce(verdict);
    }
    if (received.number_ == verdict.number_ && received.trials_ > verdict.trials_) {
        verdict.trials_ = received.trials_;
        verdict.nextTrialAt_ = trialTime(verdict, now);
        verdict.usedAt_ = now;
    }
    return false;
}

bool isCondemned(const CrashEvidence &evidence, Trait trait)
{
    const auto found = evidence.verdicts_.find(trait);
    return found != evidence.verdicts_.end() && isInForce(found->second);
}

bool isStrongSuspect(const CrashEvidence &evidence, Trait trait)
{
    const auto found = evidence.suspects_.find(trait);
    if (found == evidence.suspects_.end() || found->second.crashes_.size() < strongSuspectLimit) {
        return false;
    }
    std::set<UpstreamStart> crashes;
    for (const auto &[upstream, at] : evidence.crashes_) {
        crashes.insert(upstream);
    }
    const CrashMoments moments = findMoments(evidence, crashes);
    return countCrashes(found->second, moments, CrashCounting::ByMoment) >= strongSuspectLimit;
}

bool isTrialDue(const CrashVerdict &verdict, TimePoint now)
{
    return isInForce(verdict) && now >= verdict.nextTrialAt_;
}

void recordTrial(CrashVerdict &verdict, TimePoint now)
{
    ++verdict.trials_;
    verdict.nextTrialAt_ = trialTime(verdict, now);
    verdict.usedAt_ = now;
}

Duration timeUntilTrial(const CrashVerdict &verdict, TimePoint now)
{
    return verdict.nextTrialAt_ == noDeadline ? Duration(verdictRetention)
                                              : std::max(Duration(0), verdict.nextTrialAt_ - now);
}

bool isVerdictInUse(const CrashVerdict &verdict, TimePoint now)
{
    return now - verdict.usedAt_ < verdictAnnouncement;
}

void expireCrashEvidence(CrashEvidence &evidence, TimePoint now)
{
    if (now < evidence.expireAt_) {
        return;
    }
    evidence.expireAt_ = now + expiryInterval;
    std::erase_if(evidence.answeredAt_, [now](const auto &item) { return now - item.second > answerValidity; });
    std::erase_if(evidence.verdicts_, [now](const auto &item) { return now - item.second.usedAt_ > verdictRetention; });
    while (!evidence.crashes_.empty()) {
        const auto oldest = std::min_element(evidence.crashes_.begin(), evidence.crashes_.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        if (now - oldest->second <= crashRetention) {
            break;
        }
        dropCrash(evidence, UpstreamStart(oldest->first));
    }
}

} // namespace Burdockfield
