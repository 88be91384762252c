/**
 * @file where_test.cpp
 * @brief Tests of the report of where a gateway would send a request.
 */
#include "where_func.h"
#include "where_wire.h"

#include "crash_evidence_func.h"
#include "gateway_fixture.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Gateway with a request that reports are about.
struct WhereFixture : GatewayFixture
{
    WhereFixture()
    {
        query_.host_ = "host";
        query_.path_ = "/read/x";
        query_.workspace_ = "workspace-1";
        query_.tokens_ = 10;
    }

    WhereReport find() const
    {
        return findWhere(state_, now_, query_);
    }

    bool isRefused(RefusalReason reason) const
    {
        const WhereReport report = find();
        return std::count(report.refusals_.begin(), report.refusals_.end(), reason) == 1;
    }

    WhereQuery query_; ///< The request.
};

} // namespace

TEST_CASE_FIXTURE(WhereFixture, "Where_WhenAsked_NamesTheUpstreamThatDispatchChooses")
{
    std::mt19937_64 random(7);
    for (uint64_t exchange = 1; exchange <= 50; ++exchange) { // guards against a report that drifts from the dispatch
        upstream("engine-1").peerInFlight_ = random() % 4;
        upstream("engine-2").peerInFlight_ = random() % 4;
        upstream("engine-1").failureRate_ = static_cast<double>(random() % 100) / 100;
        upstream("engine-1").failureAt_ = now_;
        const std::string choice = find().targets_.at(0).choice_;
        const SendCall sent = receiveCall("read", exchange).sends_.at(0);
        CHECK(sent.parameters_.instance_ == choice);
        receiveAnswer(sent.send_, makeHead(200), "done");
        now_ += Milliseconds(10);
    }
}

TEST_CASE_FIXTURE(WhereFixture, "Where_WhenAsked_ChangesNothingAndSendsNothing")
{
    const uint64_t drawn = std::mt19937_64(state_.random_)();
    const size_t quotas = state_.quotaByWorkspace_.size();
    find();
    CHECK(std::mt19937_64(state_.random_)() == drawn);
    CHECK(state_.quotaByWorkspace_.size() == quotas);
    CHECK(tick().sends_.empty());
}

TEST_CASE_FIXTURE(WhereFixture, "Where_WhenUpstreamsAreFullOrAvoided_ShowsThatNoneIsChosen")
{
    upstream("engine-1").peerInFlight_ = 5;
    upstream("engine-2").avoidUntil_ = now_ + std::chrono::seconds(1);
    const WhereTarget target = find().targets_.at(0);
    CHECK(target.choice_.empty());
    REQUIRE(target.upstreams_.size() == 2);
    for (const WhereCandidate &candidate : target.upstreams_) {
        CHECK_FALSE(candidate.candidate_);
        CHECK(candidate.available_ == (candidate.id_ == "engine-1"));
    }
}

TEST_CASE_FIXTURE(WhereFixture, "Where_WhenTheRequestWouldBeRefused_SaysWhy")
{
    CHECK(find().refusals_.empty());
    CHECK(find().quotaLeft_ > 1000);
    for (uint64_t exchange = 1; exchange < 40; ++exchange) {
        CallArrived arrival = makeCall("read", exchange);
        arrival.request_.tokens_ = 4000;
        for (const SendCall &sent : receiveCall(arrival).sends_) {
            receiveAnswer(sent.send_, makeHead(200), "done");
        }
    }
    CHECK(isRefused(RefusalReason::OverQuota));
    query_.workspace_ = "unknown";
    CHECK(isRefused(RefusalReason::UnknownKey));
    query_.host_ = "elsewhere";
    CHECK(isRefused(RefusalReason::NoRoute));
    state_.configuration_ = {};
    CHECK(isRefused(RefusalReason::NoConfiguration));
}

TEST_CASE_FIXTURE(WhereFixture, "Where_WhenMoreCallsWaitThanGetSlotsInTime_SaysThatItIsRefusedWithoutAFreeSlot")
{
    SlotFlow &flow = state_.slotFlows_["engines"];
    flow.perSecond_ = 2; // one slot in 500 ms, while calls wait for 240 ms
    const WhereTarget target = find().targets_.at(0);
    CHECK(target.forecastWait_ == Milliseconds(500));
    CHECK(target.refusedByForecast_);
}

TEST_CASE_FIXTURE(WhereFixture, "Where_WhenAnotherGatewayAssignsSlots_NamesIt")
{
    CHECK(find().broker_.empty());
    now_ += std::chrono::seconds(1);
    PeerUpdate update;
    update.address_ = "10.0.0.2:7000";
    update.name_ = "broker";
    update.region_ = "region-1";
    update.incarnation_ = 5;
    update.sequence_ = 1;
    update.brokerWeight_ = 9000;
    GatewayInbox inbox;
    inbox.peerUpdates_.push_back(update);
    tick(std::move(inbox));
    CHECK(find().broker_ == "10.0.0.2:7000");
}

TEST_CASE_FIXTURE(WhereFixture, "Where_WhenACrashVerdictIsInForce_CountsIt")
{
    mergeVerdict(state_.crashEvidence_, 666, { 1, false, 0, {}, now_ }, now_);
    CHECK(find().condemnedTraits_ == 1);
}

TEST_CASE_FIXTURE(WhereFixture, "WhereReport_WhenEncoded_HasATableAndNoKey")
{
    upstream("engine-1").failureAt_ = now_ - Milliseconds(70);
    const std::string json = serializeWhereReport(find());
    CHECK(json.find("key-1") == std::string::npos);
    std::error_code error;
    const std::string text = formatWhereReport(json, error);
    REQUIRE_FALSE(error);
    CHECK(text.find("choice engine-") != std::string::npos);
    CHECK(text.find("decided by: this gateway") != std::string::npos);
    CHECK(text.find("refused on arrival: no;") != std::string::npos);
    CHECK(text.find(" 70 ") != std::string::npos);
    for (const char *malformed : { "", "[]", "{}", R"({"gateway":"g"})" }) {
        formatWhereReport(malformed, error);
        CHECK(error);
    }
}

TEST_CASE_FIXTURE(WhereFixture, "WhereQuery_WhenEncoded_IsReadBackAndInvalidOnesAreRefused")
{
    query_.promptTokens_ = 603;
    std::error_code error;
    const std::string target = makeWhereTarget(query_, error);
    REQUIRE_FALSE(error);
    CHECK(target == "/v1/where?host=host&path=/read/x&workspace=workspace-1&prompt_tokens=603&tokens=10");
    WhereQuery read;
    REQUIRE_FALSE(parseWhereQuery({ { "host", "h" }, { "path", "/p" }, { "tokens", "5" } }, read));
    CHECK(read.tokens_ == 5);
    CHECK(parseWhereQuery({ { "host", "h" } }, read));
    CHECK(parseWhereQuery({ { "host", "h" }, { "path", "/p" }, { "tokens", "-5" } }, read));
    query_.path_ = "/read/x&workspace=other";
    makeWhereTarget(query_, error);
    CHECK(error);
}
