/**
 * @file explain_test.cpp
 * @brief Tests that a request's cause is found in the logs by its id.
 */
#include "explain_func.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace Burdockfield;

namespace {

/// Log lines of two nodes, out of order and mixed with text of other programs.
struct ExplainFixture
{
    Explanation explain(const std::string &request)
    {
        std::istringstream stream(text_);
        return explainRequest(request, readLog(stream));
    }

    std::string text_
        = R"(22.1 node-1 {"time":"2026-01-01T00:00:02.5Z","node":"n1","event":"send-failed","request":"r1","upstream":"u1","attempt":"1","error":"lost","status":"none","after_ms":"40"}
not a line of the log
{"time":"2026-01-01T00:00:03.0Z","node":"n1","event":"refused","request":"r1","reason":"upstream-failed","workspace":"w"}
{"time":"2026-01-01T00:00:01.0Z","node":"n1","event":"store-lost","error":"timed-out"}
{"time":"2026-01-01T00:00:02.0Z","node":"n1","event":"sent","request":"r1","upstream":"u1"}
{"time":"2026-01-01T00:00:02.2Z","node":"n2","event":"upstream","upstream":"u1","change":"removed"}
{"time":"2026-01-01T00:00:02.2Z","node":"n2","event":"upstream","upstream":"u2","change":"removed"}
{"time":"2026-01-01T00:00:09.0Z","node":"n1","event":"store-regained"}
{"time":"2026-01-01T00:00:04.0Z","node":"n2","event":"refused","request":"r2","reason":"over-quota","workspace":"w"}
{"time":"2026-01-01T00:00:05.0Z","node":"n1","event":"send-failed","request":"r3","upstream":"u1","attempt":"1","error":"answer-refused","status":"500","after_ms":"44"}
{"time":"2026-01-01T00:00:05.1Z","node":"n1","event":"send-failed","request":"r3","upstream":"u2","attempt":"2","error":"answer-refused","status":"500","after_ms":"61"}
{"time":"2026-01-01T00:00:05.1Z","node":"n1","event":"answered","request":"r3","outcome":"upstream-error","status":"500","attempts":"2","upstream":"u2"}
{"time":"2026-01-01T00:00:06.1Z","node":"n1","event":"caller-left","request":"r4","after_ms":"2581","attempts":"1","events":"11","upstream":"u1","silent_ms":"1988"}
{"time":"2026-01-01T00:00:07.2Z","node":"n1","event":"extra-answer","address":"10.0.0.1:80","connection":"7","calls_before":"2","place":"before-answer","request":"r6","received":"r5","status":"503","not_run":"yes"}
{"time":"2026-01-01T00:00:07.0Z","node":"n1","event":"answered","request":"r5","outcome":"ok","status":"200","attempts":"2","upstream":"u1","took_ms":"9"}
)";
};

} // namespace

TEST_CASE_FIXTURE(ExplainFixture, "Explanation_WhenAnUpstreamFailed_NamesItAndTheError")
{
    const Explanation explanation = explain("r1");
    REQUIRE(explanation.lines_.size() == 3);
    CHECK(explanation.lines_[0].event_ == "sent");
    CHECK(explanation.cause_.find("might not be repeated") != std::string::npos);
    CHECK(explanation.cause_.find("attempt 1 at u1 failed after 40 ms: lost") != std::string::npos);
}

TEST_CASE_FIXTURE(ExplainFixture, "Explanation_WhenThingsChangedBefore_ShowsThoseOfItsNodesAndUpstreams")
{
    const Explanation explanation = explain("r1");
    REQUIRE(explanation.relatedLines_.size() == 2);
    CHECK(explanation.relatedLines_[0].event_ == "store-lost");
    CHECK(explanation.relatedLines_[1].event_ == "upstream");
}

TEST_CASE_FIXTURE(ExplainFixture, "Explanation_WhenOverQuota_NamesTheWorkspace")
{
    CHECK(explain("r2").cause_ == "workspace w had used up its quota; the request has not run");
}

TEST_CASE_FIXTURE(ExplainFixture, "Explanation_WhenTwoAttemptsFailed_NamesThePassedAnswerAndTheOneBefore")
{
    const std::string &cause = explain("r3").cause_;
    CHECK(cause.find("u2 answered with status 500, which was passed on") != std::string::npos);
    CHECK(cause.find("attempt 1 at u1 failed after 44 ms") != std::string::npos);
    CHECK(cause.find("attempt 2") == std::string::npos);
}

TEST_CASE_FIXTURE(ExplainFixture, "Explanation_WhenTheCallerLeft_TellsHowLongTheUpstreamWasSilent")
{
    CHECK(explain("r4").cause_
        == "the caller closed its connection after 2581 ms; upstream u1 had been silent for 1988 ms");
}

TEST_CASE_FIXTURE(ExplainFixture, "Explanation_WhenACopyOfItsAnswerCameLater_ShowsItAndKeepsTheCause")
{
    const Explanation explanation = explain("r5");
    REQUIRE(explanation.lines_.size() == 2);
    CHECK(explanation.lines_[1].event_ == "extra-answer");
    CHECK(explanation.cause_ == "u1 answered completely after 9 ms");
}

TEST_CASE_FIXTURE(ExplainFixture, "Explanation_WhenNoLineNamesTheRequest_HasNoCause")
{
    CHECK(explain("r9").cause_.empty());
}
