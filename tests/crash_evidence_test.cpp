/**
 * @file crash_evidence_test.cpp
 * @brief Tests of what is concluded from crashes and answers.
 */
#include "crash_evidence_func.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace Burdockfield;

namespace {

/// Evidence of one gateway, and its clock.
struct CrashEvidenceFixture
{
    /// Records a crash now, and reviews it when its reports have arrived. @return the traits condemned by the review
    std::vector<Trait> crash(const TraitDepths &traits, Milliseconds pause = Milliseconds(500))
    {
        recordCrash(evidence_, { { "engine-" + std::to_string(++crashes_), 1 }, now_, traits });
        now_ += pause;
        return reviewSuspects(evidence_, now_);
    }

    void answer(Trait trait)
    {
        recordAnswer(evidence_, trait, now_, now_);
    }

    CrashEvidence evidence_; ///< Evidence under test.
    uint64_t crashes_ = 0; ///< Crashes so far.
    TimePoint now_{ std::chrono::hours(1) }; ///< Current time.
};

} // namespace

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenAtThreeCrashes_IsCondemned")
{
    CHECK(crash({ { 1, 0 } }).empty());
    CHECK(crash({ { 1, 0 } }).empty());
    CHECK(crash({ { 1, 0 } }) == std::vector<Trait>{ 1 });
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenItExplainsAllSimultaneousCrashes_IsCondemned")
{
    crash({ { 1, 0 } }, Milliseconds(20));
    crash({ { 1, 0 }, { 2, 0 } }, Milliseconds(20));
    CHECK(crash({ { 1, 0 } }) == std::vector<Trait>{ 1 });
    CHECK_FALSE(isTrialDue(evidence_.verdicts_.at(1), now_ + std::chrono::seconds(14)));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenOthersCrashAtTheSameTime_GetsAnEarlyTrial")
{
    crash({ { 1, 0 } }, Milliseconds(20));
    crash({ { 1, 0 } }, Milliseconds(20));
    crash({ { 2, 0 } }, Milliseconds(20));
    CHECK_FALSE(isStrongSuspect(evidence_, 1));
    CHECK(crash({ { 1, 0 } }) == std::vector<Trait>{ 1 });
    CHECK(isTrialDue(evidence_.verdicts_.at(1), now_ + std::chrono::seconds(1)));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenItIsAnsweredElsewhereDuringAnOutage_IsNotCondemned")
{
    for (int upstream = 0; upstream < 6; ++upstream) {
        CHECK(crash({ { 1, 0 }, { 100 + static_cast<Trait>(upstream), 0 } }, Milliseconds(10)).empty());
    }
    answer(1);
    CHECK(crash({ { 1, 0 } }).empty());
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Request_WhenAnotherOneExplainsSomeOfItsCrashes_GetsAnEarlyTrial")
{
    for (int upstream = 0; upstream < 3; ++upstream) {
        crash({ { 1, wholeRequestDepth } });
    }
    crash({ { 1, wholeRequestDepth }, { 2, wholeRequestDepth }, { 3, 0 } });
    crash({ { 2, wholeRequestDepth }, { 3, 0 } });
    CHECK(crash({ { 2, wholeRequestDepth } }) == std::vector<Trait>{ 2 });
    CHECK(isTrialDue(evidence_.verdicts_.at(2), now_ + std::chrono::seconds(1)));
    CHECK_FALSE(isCondemned(evidence_, 3));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Verdict_WhenRequestsCrashedUpstreamsLongAfterTheThird_HasFewerTrials")
{
    for (const int pause : { 10, 10, 4000, 1000, 1000 }) {
        recordCrash(evidence_, { { "engine-" + std::to_string(++crashes_), 1 }, now_, { { 1, 0 } } });
        now_ += Milliseconds(pause);
    }
    CHECK(reviewSuspects(evidence_, now_) == std::vector<Trait>{ 1 });
    CHECK(evidence_.verdicts_.at(1).trials_ == 1);
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Verdict_WhenWithdrawn_HasItsCrashesReviewedAgain")
{
    for (int upstream = 0; upstream < 3; ++upstream) {
        crash({ { 1, 0 }, { 2, 0 } }, Milliseconds(200));
    }
    CHECK(crash({ { 1, 0 } }) == std::vector<Trait>{ 1 });
    answer(1);
    CHECK(evidence_.reviewAt_ <= now_);
    CHECK(reviewSuspects(evidence_, now_) == std::vector<Trait>{ 2 });
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenItWasAnsweredBetweenCrashes_IsNotCondemned")
{
    for (int round = 0; round < 10; ++round) {
        answer(1);
        CHECK(crash({ { 1, 0 } }).empty());
    }
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenItWasAnsweredAfterTheCrash_IsCleared")
{
    crash({ { 1, 0 } });
    crash({ { 1, 0 } });
    answer(1);
    now_ += std::chrono::seconds(20);
    CHECK(crash({ { 1, 0 } }).empty());
    CHECK(crash({ { 1, 0 } }).empty());
    CHECK(crash({ { 1, 0 } }) == std::vector<Trait>{ 1 });
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenAnotherOneExplainsItsCrashes_IsNotCondemned")
{
    crash({ { 1, 0 }, { 2, 0 } });
    crash({ { 1, 0 } });
    crash({ { 1, 0 }, { 2, 0 } }, Milliseconds(200));
    CHECK(crash({ { 1, 0 }, { 2, 0 } }) == std::vector<Trait>{ 1 });
    CHECK(crash({ { 1, 0 }, { 2, 0 } }).empty());
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenTwoCauseCrashes_AreBothCondemned")
{
    crash({ { 1, 0 } });
    crash({ { 2, 0 } });
    crash({ { 1, 0 } });
    crash({ { 2, 0 } });
    CHECK(crash({ { 1, 0 } }) == std::vector<Trait>{ 1 });
    CHECK(crash({ { 2, 0 } }) == std::vector<Trait>{ 2 });
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Crash_WhenReportedSeveralTimes_CountsOnce")
{
    for (int report = 0; report < 5; ++report) {
        recordCrash(evidence_, { { "engine-1", 1 }, now_, { { 1, 0 } } });
        now_ += Milliseconds(500);
        CHECK(reviewSuspects(evidence_, now_).empty());
    }
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Crash_WhenReportsStillArrive_IsNotReviewed")
{
    crash({ { 1, 0 } });
    crash({ { 1, 0 } });
    CHECK(crash({ { 1, 0 } }, Milliseconds(100)).empty());
    CHECK(evidence_.reviewAt_ == now_ + Milliseconds(200));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Crashes_WhenThereAreMany_AreDroppedOldestFirst")
{
    for (int round = 0; round < 1000; ++round) {
        crash({ { static_cast<Trait>(1000 + round), 0 } }, Milliseconds(10));
    }
    CHECK(evidence_.crashes_.size() == 128);
    CHECK(evidence_.suspects_.size() == 128);
    CHECK(evidence_.crashes_.contains({ "engine-1000", 1 }));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Crashes_WhenOutdated_AreForgotten")
{
    crash({ { 1, 0 } });
    crash({ { 1, 0 } });
    now_ += std::chrono::minutes(11);
    expireCrashEvidence(evidence_, now_);
    CHECK(evidence_.suspects_.empty());
    CHECK(crash({ { 1, 0 } }).empty());
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Verdict_WhenTheTraitIsAnswered_IsWithdrawnEvenIfReceivedAgain")
{
    crash({ { 1, 0 } });
    crash({ { 1, 0 } });
    crash({ { 1, 0 } });
    const CrashVerdict stale = evidence_.verdicts_.at(1);
    CHECK(isCondemned(evidence_, 1));
    answer(1);
    CHECK_FALSE(isCondemned(evidence_, 1));
    CHECK_FALSE(mergeVerdict(evidence_, 1, stale, now_));
    CHECK_FALSE(isCondemned(evidence_, 1));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Verdict_WhenReceivedForATraitThatIsAnsweredHere_IsWithdrawn")
{
    answer(1);
    CHECK_FALSE(mergeVerdict(evidence_, 1, { 1, false, 0, {}, now_ }, now_));
    CHECK(evidence_.verdicts_.at(1).withdrawn_);
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Verdict_WhenTheTraitCrashesAgainAfterItsWithdrawal_IsRenewed")
{
    mergeVerdict(evidence_, 1, { 1, true, 2, {}, now_ }, now_);
    crash({ { 1, 0 } });
    crash({ { 1, 0 } });
    crash({ { 1, 0 } });
    CHECK(isCondemned(evidence_, 1));
    CHECK(evidence_.verdicts_.at(1).number_ == 2);
    CHECK(evidence_.verdicts_.at(1).trials_ == 0);
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Verdict_WhenItsTrialsAreUsedUp_HasNoMore")
{
    mergeVerdict(evidence_, 1, { 1, false, 0, {}, now_ }, now_);
    CrashVerdict &verdict = evidence_.verdicts_.at(1);
    for (int trial = 0; trial < 2; ++trial) {
        CHECK_FALSE(isTrialDue(verdict, now_));
        now_ += std::chrono::seconds(60);
        REQUIRE(isTrialDue(verdict, now_));
        recordTrial(verdict, now_);
    }
    now_ += std::chrono::hours(1);
    CHECK_FALSE(isTrialDue(verdict, now_));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Verdict_WhenUnused_IsNoLongerSentLongBeforeItIsForgotten")
{
    mergeVerdict(evidence_, 1, { 1, false, 0, {}, now_ }, now_);
    now_ += std::chrono::minutes(6);
    expireCrashEvidence(evidence_, now_);
    CHECK(isCondemned(evidence_, 1));
    CHECK_FALSE(isVerdictInUse(evidence_.verdicts_.at(1), now_));
    now_ += std::chrono::minutes(5);
    expireCrashEvidence(evidence_, now_);
    CHECK(evidence_.verdicts_.empty());
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenADeeperOneIsAtTheSameCrashes_IsNotCondemned")
{
    const TraitDepths traits{ { 1, 0 }, { 2, 1 } };
    crash(traits);
    crash(traits);
    CHECK(crash(traits) == std::vector<Trait>{ 2 });
    CHECK(crash(traits).empty());
    CHECK_FALSE(isCondemned(evidence_, 1));
}

TEST_CASE_FIXTURE(CrashEvidenceFixture, "Trait_WhenItIsAtMoreCrashesThanADeeperOne_IsCondemnedToo")
{
    const TraitDepths traits{ { 1, 0 }, { 2, 1 } };
    crash(traits);
    crash(traits);
    CHECK(crash(traits) == std::vector<Trait>{ 2 });
    CHECK(crash({ { 1, 0 }, { 3, 1 } }) == std::vector<Trait>{ 1 });
}
