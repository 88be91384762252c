/**
 * @file sends_test.cpp
 * @brief Tests that each further send of a request is judged by what the logs of gateways prove.
 */
#include "sends_fixture.h"

using namespace Burdockfield::Sends;

TEST_CASE_FIXTURE(SendsFixture, "Report_WhenCallsAreSentOnce_ListsNone")
{
    addSent("c1", "desk-1", "first");
    addAnswered("c1", "desk-1");
    addSent("c2", "desk-2", "first");
    const SendReport found = report();
    CHECK(found.sends_.empty());
    CHECK(found.requests_ == 0);
    CHECK_FALSE(found.incomplete_);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenItsConnectionCarriedTheIdForTheFirstTime_IsProof")
{
    addCallRefusedTwice("c1", "4", "5");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 2);
    CHECK(found.sends_[0].finding_ == Finding::FirstOnConnection);
    CHECK(found.sends_[1].finding_ == Finding::FirstOnConnection);
    CHECK(found.sends_[1].verdict_ == Verdict::Proved);
    CHECK(found.doubtful_ == 0);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenItsConnectionHadCarriedTheId_IsDoubtful")
{
    addCallRefusedTwice("c1", "4", "4");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 2);
    CHECK(found.sends_[0].finding_ == Finding::ConnectionCarriedId);
    CHECK(found.sends_[0].send_.upstream_ == "desk-2");
    CHECK(found.sends_[0].before_.upstream_ == "desk-1-new");
    CHECK(found.sends_[1].verdict_ == Verdict::Proved);
    CHECK(found.doubtful_ == 1);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenAnEarlierProcessHadAConnectionOfThisNumber_IsProof")
{
    add("started", { { "role", "gateway" } });
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "421", "4", "7");
    add("started", { { "role", "gateway" } });
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "421", "4", "7");
    addSent("c1", "desk-2", "wrong-instance");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 2);
    CHECK(found.sends_[0].finding_ == Finding::TwoCalls);
    CHECK(found.sends_[1].finding_ == Finding::FirstOnConnection);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenAnEarlierSendToItsAddressNamesNoConnection_IsUnknown")
{
    addSent("c1", "desk-1", "first", "yes");
    add("upstream-silent", { { "request", "c1" }, { "upstream", "desk-1" } });
    addSent("c1", "desk-1-new", "silent", "yes");
    addFailed("c1", "desk-1-new", "503", "4", "8");
    addSent("c1", "desk-2", "refused", "yes");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 2);
    CHECK(found.sends_[0].finding_ == Finding::ConnectionNotLogged);
    CHECK(found.sends_[0].verdict_ == Verdict::Unknown);
    CHECK(found.sends_[1].finding_ == Finding::MayRunTwice);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenAnExtraAnswerWithItsIdCameFromItsAddress_IsDoubtful")
{
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "421", "4", "3");
    addExtraAnswer("c1", "10.0.0.1:80");
    addSent("c1", "desk-2", "wrong-instance");
    CHECK(finding() == Finding::ExtraAnswer);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenItIsTheFirstAnswerOfAConnectionThatCopiesItLater_IsProof")
{
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "421", "4");
    addExtraAnswer("c1", "10.0.0.1:80");
    addSent("c1", "desk-2", "wrong-instance");
    CHECK(finding() == Finding::FirstOnConnection);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenAnExtraAnswerCameFromAnotherAddress_IsProof")
{
    addExtraAnswer("c1", "10.0.0.2:80");
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "421", "4");
    addSent("c1", "desk-2", "wrong-instance");
    CHECK(finding() == Finding::FirstOnConnection);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenTheRequestHadNotBeenWritten_IsDoubtful")
{
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "503", "4", "0", "no");
    addSent("c1", "desk-2", "refused");
    CHECK(finding() == Finding::NotWritten);
}

TEST_CASE_FIXTURE(SendsFixture, "Refusal_WhenItsLineIsMissing_IsUnknown")
{
    addSent("c1", "desk-1", "first");
    addSent("c1", "desk-2", "wrong-instance");
    CHECK(finding() == Finding::EndNotLogged);
}

TEST_CASE_FIXTURE(SendsFixture, "Send_WhenNoConnectionWasMade_IsProved")
{
    addSent("c1", "desk-1", "first");
    add("send-failed",
        { { "request", "c1" }, { "upstream", "desk-1" }, { "error", "connection-refused" }, { "status", "none" },
            { "not_run", "no" }, { "connection", "0" }, { "calls_before", "0" }, { "written", "no" } });
    addSent("c1", "desk-2", "not-connected");
    CHECK(finding() == Finding::NeverConnected);
}

TEST_CASE_FIXTURE(SendsFixture, "Send_WhenTheOneBeforeFailedAndTheCallMustRunOnce_IsDoubtful")
{
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "none", "4");
    addSent("c1", "desk-2", "failed");
    CHECK(finding() == Finding::MustRunOnce);
}

TEST_CASE_FIXTURE(SendsFixture, "Send_WhenTheOneBeforeFailedAndTheCallMayRunAgain_IsRepeatable")
{
    addSent("c1", "desk-1", "first", "yes");
    addFailed("c1", "desk-1", "none", "4");
    addSent("c1", "desk-2", "failed", "yes");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 1);
    CHECK(found.sends_[0].finding_ == Finding::MayRunTwice);
    CHECK(found.sends_[0].verdict_ == Verdict::Repeatable);
}

TEST_CASE_FIXTURE(SendsFixture, "Send_WhenItIsHedged_IsRepeatable")
{
    addSent("c1", "desk-1", "first", "yes");
    add("hedged",
        { { "request", "c1" }, { "upstream", "desk-2" }, { "address", "10.0.0.2:80" }, { "attempt", "2" },
            { "first_upstream", "desk-1" } });
    addAnswered("c1", "desk-2");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 1);
    CHECK(found.sends_[0].finding_ == Finding::Hedged);
    CHECK(causeText(found.sends_[0].send_) == "hedged");
}

TEST_CASE_FIXTURE(SendsFixture, "Send_WhenTwoWereUnderWay_IsJudgedByTheOneThatEndedLast")
{
    addSent("c1", "desk-1", "first", "yes");
    add("hedged", { { "request", "c1" }, { "upstream", "desk-2" }, { "address", "10.0.0.2:80" }, { "attempt", "2" } });
    addFailed("c1", "desk-2", "none", "5");
    addFailed("c1", "desk-1", "503", "4");
    addSent("c1", "desk-2", "refused", "yes");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 2);
    CHECK(found.sends_[1].finding_ == Finding::FirstOnConnection);
    CHECK(found.sends_[1].before_.upstream_ == "desk-1");
}

TEST_CASE_FIXTURE(SendsFixture, "Call_WhenAnotherHasItsId_IsDoubtful")
{
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "503", "4");
    add("refused", { { "request", "c1" }, { "reason", "not-run-there" } });
    addSent("c1", "desk-2", "first");
    CHECK(finding() == Finding::TwoCalls);
}

TEST_CASE_FIXTURE(SendsFixture, "Call_WhenAnotherGatewayHasItsId_IsDoubtful")
{
    addSent("c1", "desk-1", "first", "no", "gateway-2");
    addSent("c1", "desk-1", "first", "no", "gateway-1");
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 1);
    CHECK(found.sends_[0].finding_ == Finding::TwoCalls);
    CHECK(found.sends_[0].before_.node_ == "gateway-2");
    CHECK(found.sends_[0].send_.node_ == "gateway-1");
}
