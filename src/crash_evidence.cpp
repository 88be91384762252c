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
constexpr Milliseconds simultaneity{ 100 }; ///< Crashes within this time may have one cause and count once.
constexpr Milliseconds settleTime{ 300 }; ///< Time for the reports of all gateways that see a crash to arrive.
/// Time after an answer for which its traits are no suspects; a trait may begin to cause crashes later.
constexpr std::chrono::seconds answerValidity{ 10 };
constexpr std::chrono::minutes crashRetention{
    10
}; ///< Time for which a crash counts; longer than between rare requests.
constexpr size_t maxCrashes = 128; ///< Crashes kept; the oldest ones are dropped first.
/// Times until the trials of a verdict, the first from its beginning. Two, as a third could be sent by mistake while
/// gateways disagree on who is to send it, and callers are promised that no more than three crash anything.
constexpr std::array<std::chrono::seconds, 2> trialDelays{ std::chrono::seconds(15), std::chrono::seconds(60) };
constexpr std::chrono::minutes verdictRetention{ 10 }; ///< Time without a request after which a verdict is dropped.
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

/// @return how many of the crashes are neither explained already nor simultaneous with another one.
size_t countMoments(const CrashEvidence &evidence, const std::set<UpstreamStart> &crashes,
    const std::set<UpstreamStart> *unexplained = nullptr)
{
    std::vector<TimePoint> times;
    for (const UpstreamStart &upstream : crashes) {
        if (unexplained == nullptr || unexplained->contains(upstream)) {
            times.push_back(evidence.crashes_.at(upstream));
        }
    }
    std::sort(times.begin(), times.end());
    size_t moments = 0;
    TimePoint last{};
    for (const TimePoint time : times) {
        if (moments == 0 || time - last >= simultaneity) {
            ++moments;
            last = time;
        }
    }
    return moments;
}

void condemn(CrashEvidence &evidence, Trait trait, TimePoint now)
{
    CrashVerdict &verdict = evidence.verdicts_[trait];
    verdict = { verdict.number_ + 1, false, 0, {}, now };
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
std::optional<Trait> findBestExplanation(const CrashEvidence &evidence, const std::set<UpstreamStart> &unexplained)
{
    std::optional<Trait> best;
    std::pair<size_t, TraitDepth> bestRank{ crashLimit, 0 };
    for (const auto &[trait, suspect] : evidence.suspects_) {
        if (suspect.crashes_.size() < bestRank.first) {
            continue;
        }
        const std::pair rank(countMoments(evidence, suspect.crashes_, &unexplained), suspect.depth_);
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
    while (const auto trait = findBestExplanation(evidence, unexplained)) {
        const std::set<UpstreamStart> &explained = evidence.suspects_.at(*trait).crashes_;
        std::erase_if(unexplained, [&explained](const auto &upstream) { return explained.contains(upstream); });
        if (!isCondemned(evidence, *trait)) {
            condemn(evidence, *trait, now);
            condemned.push_back(*trait);
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
    return found != evidence.suspects_.end() && countMoments(evidence, found->second.crashes_) >= strongSuspectLimit;
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
