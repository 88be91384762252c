/**
 * @file gateway_hedging_test.cpp
 * @brief Tests of hedged requests: when one is made, how either send may end, and the operator's limit.
 */
#include "gateway_hedging_func.h"

#include "crash_evidence_func.h"
#include "gateway_fixture.h"

#include <map>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

constexpr Milliseconds usualTime{ 30 }; ///< Duration of most calls, and the threshold learnt from them.
constexpr Milliseconds slowTime{ 40 }; ///< Duration from which a call is slow.
constexpr const char *brokerAddress = "10.0.0.2:7000";

/// Gateway that hedges, and has learnt how long calls of the route "read" take.
struct HedgingFixture : GatewayFixture
{
    HedgingFixture()
    {
        state_.bounds_.hedgingShare_ = 0.2;
        state_.hedgingByService_["engines"].tokens_ = 2;
        learn("read");
        learn("stream");
        learn("once");
    }

    void learn(const std::string &route)
    {
        constexpr int calls = 100;
        for (int call = 0; call < calls; ++call) {
            addDuration(state_.latencyProfiles_[{ route, sizeClassOf(4) }], usualTime);
        }
    }

    /// Makes a call that gets slow. @return the commands of the tick in which it does
    GatewayOutbox makeSlowCall(const std::string &route = "read", uint64_t exchange = 1)
    {
        first_ = receiveCall(route, exchange).sends_.at(0);
        return tickAfter(slowTime);
    }

    /// Makes a call that is hedged. @return its hedged send
    SendCall makeHedgedCall()
    {
        return makeSlowCall().sends_.at(0);
    }

    uint64_t countOf(const std::string &metric, const std::string &label)
    {
        return state_.metrics_.counters_[metric][label];
    }

    /// @return whether nothing of any call is left in the tables.
    bool hasNoTraces() const
    {
        bool idle = true;
        forEachRow(state_.upstreams_,
            [&idle](UpstreamId /*id*/, const Upstream &upstream) { idle = idle && upstream.ownInFlight_ == 0; });
        return idle && state_.calls_.size_ == 0 && state_.hedges_.size_ == 0 && state_.callBySend_.empty()
            && state_.hedgeBySlotRequest_.empty() && state_.answerBytes_ == 0;
    }

    SendCall first_; ///< First send of the latest slow call.
};

/// The same with a peer that assigns the slots of the region.
struct BrokeredHedgingFixture : HedgingFixture
{
    BrokeredHedgingFixture()
    {
        now_ += std::chrono::seconds(1);
        PeerUpdate update;
        update.address_ = brokerAddress;
        update.name_ = "broker";
        update.region_ = "region-1";
        update.incarnation_ = 5;
        update.sequence_ = ++peerSequence_;
        update.brokerWeight_ = 9000;
        GatewayInbox inbox;
        inbox.peerUpdates_.push_back(update);
        tick(std::move(inbox));
    }

    GatewayOutbox receiveReply(const SlotReply &reply)
    {
        SlotMessage message;
        message.address_ = brokerAddress;
        message.incarnation_ = 5;
        message.replies_.push_back(reply);
        GatewayInbox inbox;
        inbox.slotMessages_.push_back(message);
        return tick(std::move(inbox));
    }

    static SlotRequest requestOf(const GatewayOutbox &outbox)
    {
        return outbox.slotMessages_.at(0).message_.requests_.at(0);
    }

    /// Makes a call at engine-1 that gets slow. @return the slot request for its hedged send
    SlotRequest requestHedge()
    {
        const SlotRequest request = requestOf(receiveCall("read", 1));
        first_ = receiveReply({ request.number_, 1, "engine-1", 1 }).sends_.at(0);
        return requestOf(tickAfter(slowTime));
    }
};

} // namespace

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenSlowerThanMostOfItsRoute_IsHedgedAtAnotherUpstream")
{
    const SendCall hedge = makeHedgedCall();
    CHECK(hedge.parameters_.instance_ != first_.parameters_.instance_);
    CHECK(hedge.request_.id_ == first_.request_.id_);
    CHECK(tickAfter(Milliseconds(100)).sends_.empty()); // guards against a third send
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenAsFastAsMost_IsNotHedged")
{
    const uint64_t send = receiveCall("read", 1).sends_.at(0).send_;
    CHECK(tickAfter(usualTime - Milliseconds(5)).sends_.empty());
    receiveAnswer(send, makeHead(200), "done");
    CHECK(tickAfter(slowTime).sends_.empty());
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenHedgingIsOff_IsNotHedged")
{
    state_.bounds_.hedgingShare_ = 0;
    CHECK(makeSlowCall().sends_.empty());
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenFewOfItsRouteWereAnswered_IsNotHedged")
{
    state_.latencyProfiles_.clear();
    CHECK(makeSlowCall().sends_.empty());
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenAStreamOrNotIdempotent_IsNeverHedged") // guards P4 and P1
{
    CHECK(makeSlowCall("stream", 1).sends_.empty());
    CHECK(makeSlowCall("once", 2).sends_.empty());
}

TEST_CASE_FIXTURE(HedgingFixture, "Threshold_WhenLearnt_IsExceededByFewOfTheLatestCalls")
{
    LatencyProfile profile;
    for (int call = 1; call <= 200; ++call) { // of the second hundred, one in ten takes 300 ms
        addDuration(profile, call > 100 && call % 10 == 0 ? Milliseconds(300) : Milliseconds(call % 10 + 20));
    }
    CHECK(*profile.threshold_ > Milliseconds(100));
    CHECK(*profile.threshold_ <= Milliseconds(300));
}

TEST_CASE_FIXTURE(HedgingFixture, "Threshold_WhenHedgesWin_IsNotLoweredByThem")
{
    LatencyProfile &profile = state_.latencyProfiles_[{ "read", sizeClassOf(4) }];
    const SendCall hedge = makeHedgedCall();
    receiveAnswer(hedge.send_, makeHead(200), "done");
    CHECK(Accumulators::max(profile.current_) >= FractionalSeconds(slowTime).count());
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenAnsweredFirst_IsForwardedAndTheFirstSendIsCancelled")
{
    const SendCall hedge = makeHedgedCall();
    receiveStreamBytes(first_.send_, "not the wh"); // guards against a mix of the two answers
    const GatewayOutbox outbox = receiveAnswer(hedge.send_, makeHead(200), "done");
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.body_ == "done");
    const Decision &answered = outbox.decisions_.back();
    CHECK(answered.event_ == "answered");
    const std::pair<std::string, std::string> answeredBy("upstream", hedge.parameters_.instance_);
    CHECK(std::count(answered.fields_.begin(), answered.fields_.end(), answeredBy) == 1);
    CHECK(outbox.cancels_ == std::vector{ first_.send_ });
    CHECK(countOf("hedges", "won") == 1);
    CHECK(hasNoTraces());
    CHECK(receiveAnswer(first_.send_, makeHead(200), "late").answers_.empty());
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenTheFirstSendIsAnsweredFirst_IsCancelled")
{
    const SendCall hedge = makeHedgedCall();
    receiveStreamBytes(hedge.send_, "not the wh");
    const GatewayOutbox outbox = receiveAnswer(first_.send_, makeHead(200), "done");
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.body_ == "done");
    CHECK(outbox.cancels_ == std::vector{ hedge.send_ });
    CHECK(countOf("hedges", "cancelled") == 1);
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenBothAnswersArriveInOneTick_OnlyOneIsForwarded")
{
    const SendCall hedge = makeHedgedCall();
    GatewayInbox inbox;
    for (const uint64_t send : { first_.send_, hedge.send_ }) {
        inbox.heads_.push_back({ send, makeHead(200) });
        inbox.bytes_.push_back({ send, "done" });
        inbox.ends_.push_back({ send, {} });
    }
    CHECK(tick(std::move(inbox)).answers_.size() == 1);
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "FirstSend_WhenItFailsWhileTheHedgeRuns_IsReplacedByItWithoutAnotherAttempt")
{
    state_.configuration_.routes_[2].attempts_ = 3;
    const SendCall hedge = makeHedgedCall();
    const GatewayOutbox failed = endSend(first_.send_, TransportErrc::Lost);
    CHECK(failed.sends_.empty());
    CHECK(failed.refusals_.empty());
    CHECK(failed.checks_.size() == 1);
    const std::pair<std::string, std::string> firstAttempt("attempt", "1");
    const Decision &logged = failed.decisions_.at(0);
    CHECK(logged.event_ == "send-failed");
    CHECK(std::count(logged.fields_.begin(), logged.fields_.end(), firstAttempt) == 1);
    const GatewayOutbox outbox = receiveAnswer(hedge.send_, makeHead(200), "done");
    CHECK(outbox.answers_.size() == 1);
    CHECK(outbox.cancels_.empty());
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "FirstSend_WhenAnsweredWithAFailureWhileTheHedgeRuns_IsReplacedByIt")
{
    const SendCall hedge = makeHedgedCall();
    const GatewayOutbox failed = receiveAnswer(first_.send_, makeHead(500), "oops");
    CHECK(failed.answers_.empty());
    CHECK(failed.sends_.empty());
    const GatewayOutbox outbox = receiveAnswer(hedge.send_, makeHead(200), "done");
    REQUIRE(outbox.answers_.size() == 1);
    CHECK(outbox.answers_[0].reply_.body_ == "done");
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "FirstSend_WhenSilentWhileTheHedgeRuns_IsReplacedByIt")
{
    state_.configuration_.routes_[2].attempts_ = 3;
    const SendCall hedge = makeHedgedCall();
    now_ += Milliseconds(1100);
    receiveStreamBytes(hedge.send_, "do");
    const GatewayOutbox outbox = tickAfter(Milliseconds(100));
    CHECK(outbox.cancels_ == std::vector{ first_.send_ });
    CHECK(outbox.sends_.empty());
    CHECK(receiveAnswer(hedge.send_, makeHead(200), "ne").answers_.at(0).reply_.body_ == "done");
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenItFails_LeavesTheFirstSendToAnswer")
{
    for (const std::error_code error :
        { make_error_code(TransportErrc::Lost), make_error_code(TransportErrc::NotSent) }) {
        const SendCall hedge = makeHedgedCall();
        const GatewayOutbox failed = endSend(hedge.send_, error);
        CHECK(failed.sends_.empty());
        CHECK(failed.refusals_.empty());
        CHECK(receiveAnswer(first_.send_, makeHead(200), "done").answers_.size() == 1);
        CHECK(hasNoTraces());
        now_ += std::chrono::seconds(10); // the upstream is used again, and the slow calls are forgotten
    }
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenBothSendsFail_EndsTheCallAsPossiblyRun")
{
    const SendCall hedge = makeHedgedCall();
    endSend(first_.send_, TransportErrc::Lost);
    const GatewayOutbox outbox = endSend(hedge.send_, TransportErrc::Lost);
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK_FALSE(outbox.refusals_[0].notRun_);
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenBothUpstreamsReportNotRun_EndsTheCallAsNotRun") // guards P2
{
    const SendCall hedge = makeHedgedCall();
    AnswerHead head = makeHead(503);
    head.authentic_ = false;
    head.notRun_ = true;
    CHECK(receiveAnswer(hedge.send_, head, "").refusals_.empty());
    const GatewayOutbox outbox = receiveAnswer(first_.send_, head, "");
    REQUIRE(outbox.refusals_.size() == 1);
    CHECK(outbox.refusals_[0].notRun_);
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(
    HedgingFixture, "Hedge_WhenTheCallerDisconnectsOrTheDeadlinePasses_IsCancelledWithTheFirstSend") // guards P5
{
    const SendCall left = makeHedgedCall();
    GatewayInbox inbox;
    inbox.disconnects_.push_back({ ExchangeId{ 1 } });
    CHECK(tick(std::move(inbox)).cancels_ == std::vector{ left.send_, first_.send_ });
    CHECK(hasNoTraces());
    now_ += std::chrono::seconds(10);
    const SendCall late = makeHedgedCall();
    const GatewayOutbox outbox = tickAfter(Milliseconds(4000));
    CHECK(outbox.cancels_ == std::vector{ late.send_, first_.send_ });
    CHECK(outbox.refusals_.size() == 1);
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenItEnds_IsCountedOnceInQuotaCallsAndOutcomes")
{
    const SendCall hedge = makeHedgedCall();
    receiveAnswer(hedge.send_, makeHead(200), "done");
    CHECK(state_.quotaByWorkspace_.at("workspace-1").ownChargedUnits_ == 10);
    CHECK(countOf("calls", "read") == 1);
    CHECK(countOf("calls_ended", "ok") == 1);
    uint32_t outcomes = 0;
    for (const auto &[id, report] : state_.upstreamReports_) {
        outcomes += report.succeeded_ + report.failed_;
    }
    CHECK(outcomes == 1);
    REQUIRE(upstream(first_.parameters_.instance_).brokenCalls_.size() == 1); // like any cancelled send
    CHECK(upstream(first_.parameters_.instance_).brokenCalls_[0].cancelled_);
    CHECK(upstream(hedge.parameters_.instance_).brokenCalls_.empty());
}

TEST_CASE_FIXTURE(HedgingFixture, "Hedge_WhenMade_TakesARetryAndAToken")
{
    receiveAnswer(receiveCall("read", 9).sends_.at(0).send_, makeHead(200), "done");
    const double retries = state_.retryBudgets_.at("engines").level_;
    makeHedgedCall();
    CHECK(state_.retryBudgets_.at("engines").level_ == doctest::Approx(retries - 1).epsilon(0.02));
    CHECK(state_.hedgingByService_.at("engines").tokens_ == doctest::Approx(1)); // a full budget is not credited
}

TEST_CASE_FIXTURE(HedgingFixture, "FirstSend_WhenItReachesNoUpstream_IsCreditedToTheBudgetOnce")
{
    state_.hedgingByService_["engines"].tokens_ = 0;
    const uint64_t send = receiveCall("read", 1).sends_.at(0).send_;
    REQUIRE(endSend(send, TransportErrc::NotSent).sends_.size() == 1);
    CHECK(state_.hedgingByService_["engines"].tokens_ == doctest::Approx(0.2));
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenTheBudgetIsUsedUp_IsNotHedged")
{
    state_.hedgingByService_["engines"].tokens_ = 0.5;
    const GatewayOutbox outbox = makeSlowCall();
    CHECK(outbox.sends_.empty());
    CHECK(countOf("hedges_refused", "budget") == 1);
    REQUIRE(outbox.decisions_.size() == 1);
    CHECK(outbox.decisions_[0].event_ == "hedge-refused");
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenNoOtherUpstreamHasAFreeSlot_IsNotHedged")
{
    receiveCall("read", 1);
    upstream("engine-1").peerInFlight_ = 5;
    upstream("engine-2").peerInFlight_ = 5;
    CHECK(tickAfter(slowTime).sends_.empty());
    CHECK(countOf("hedges_refused", "no-slot") == 1);
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenTheRetryBudgetIsLow_IsNotHedged")
{
    const uint64_t send = receiveCall("read", 9).sends_.at(0).send_;
    receiveAnswer(send, makeHead(200), "done");
    state_.retryBudgets_.at("engines").level_ = 10; // a third of its size
    CHECK(makeSlowCall().sends_.empty());
    CHECK(countOf("hedges_refused", "retry-budget") == 1);
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenManyCallersRetry_IsNotHedged")
{
    receiveAnswer(receiveCall("read", 10).sends_.at(0).send_, makeHead(200), "done");
    for (uint64_t exchange = 11; exchange < 14; ++exchange) { // callers that come back after a refusal have less time
        CallArrived arrival = makeCall("read", exchange);
        arrival.request_.wait_ = Milliseconds(3000);
        receiveAnswer(receiveCall(arrival).sends_.at(0).send_, makeHead(200), "done");
    }
    CHECK(makeSlowCall().sends_.empty());
    CHECK(countOf("hedges_refused", "callers-retry") == 1);
}

TEST_CASE_FIXTURE(HedgingFixture, "Calls_WhenManyUpstreamsAreSlowAtOnce_AreNotHedged")
{
    for (uint64_t exchange = 1; exchange <= 15; exchange += 2) { // two calls at a time, one at each engine
        const uint64_t one = receiveCall("read", exchange).sends_.at(0).send_;
        const uint64_t other = receiveCall("read", exchange + 1).sends_.at(0).send_;
        CHECK(tickAfter(slowTime).sends_.empty());
        receiveAnswer(one, makeHead(200), "done");
        receiveAnswer(other, makeHead(200), "done");
    }
    CHECK(countOf("hedges_refused", "slow-upstreams") == 16);
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenItHasATraitOfACrashSuspect_IsNotHedged")
{
    CallArrived arrival = makeCall("read", 1);
    arrival.request_.promptParts_ = { 666 };
    recordCrash(state_.crashEvidence_, { { "engine-9", 1 }, now_, { { 666, 0 } } });
    receiveCall(arrival);
    CHECK(tickAfter(slowTime).sends_.empty());
    CHECK(countOf("hedges_refused", "crash-suspect") == 1);
}

TEST_CASE_FIXTURE(HedgingFixture, "Call_WhenAttemptsAreUsedUpOrItsDeadlineIsClose_IsNotHedged")
{
    CallArrived arrival = makeCall("read", 1);
    arrival.request_.wait_ = Milliseconds(120);
    receiveCall(arrival);
    CHECK(tickAfter(slowTime).sends_.empty());
    CHECK(countOf("hedges_refused", "deadline") == 1);
    now_ += std::chrono::seconds(10);
    state_.configuration_.routes_[2].attempts_ = 1;
    CHECK(makeSlowCall("read", 2).sends_.empty());
    CHECK(countOf("hedges_refused", "attempts") == 1);
}

TEST_CASE_FIXTURE(BrokeredHedgingFixture, "Hedge_WhenABrokerAssignsSlots_IsSentWhereItGrantsOne")
{
    const SlotRequest request = requestHedge();
    CHECK(request.excluded_ == std::vector<std::string>{ "engine-1" });
    CHECK(request.rank_ > 1000); // guards against a hedge that takes the slot of a waiting call
    const GatewayOutbox outbox = receiveReply({ request.number_, 2, "engine-2", 1 });
    REQUIRE(outbox.sends_.size() == 1);
    CHECK(outbox.sends_[0].parameters_.instance_ == "engine-2");
    CHECK(receiveAnswer(outbox.sends_[0].send_, makeHead(200), "done").answers_.size() == 1);
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(BrokeredHedgingFixture, "Hedge_WhenTheBrokerHasNoFreeSlotOrDoesNotReply_IsDropped")
{
    const SlotRequest queued = requestHedge();
    CHECK(receiveReply({ queued.number_, 0, {}, 0 }).sends_.empty());
    CHECK(state_.hedges_.size_ == 0);
    CHECK(receiveReply({ queued.number_, 2, "engine-2", 1 }).sends_.empty()); // a late grant is not used
    receiveAnswer(first_.send_, makeHead(200), "done");
    requestHedge();
    CHECK(tickAfter(Milliseconds(50)).sends_.empty());
    CHECK(state_.hedges_.size_ == 0);
    CHECK(countOf("hedges_refused", "no-slot") == 2);
    CHECK(countOf("hedges", "sent") == 0);
}

TEST_CASE_FIXTURE(BrokeredHedgingFixture, "Hedge_WhenTheCallEndsBeforeTheGrant_IsNotSent")
{
    const SlotRequest request = requestHedge();
    receiveAnswer(first_.send_, makeHead(200), "done");
    CHECK(hasNoTraces());
    CHECK(receiveReply({ request.number_, 2, "engine-2", 1 }).sends_.empty());
}

namespace {

/// Send at an upstream of a simulated fleet.
struct HedgingRun
{
    size_t gateway_ = 0; ///< Gateway that made it.
    uint64_t send_ = 0; ///< Its number there.
    TimePoint dueAt_{}; ///< When it ends.
    std::error_code error_; ///< How it ends.
    int status_ = 200; ///< Status of its answer, if it has one.
};

/// Gateways that exchange messages over a network that delays and loses some, with drawn calls and answers.
struct HedgingFleetFixture
{
    static constexpr double share = 0.02; ///< Hedged sends allowed; a fifth of the calls that become slow.
    static constexpr double burst = 2; ///< Hedged sends that a gateway may make at once.
    static constexpr size_t gatewayCount = 4;
    static constexpr size_t engineCount = 12;
    static constexpr Milliseconds stepTime{ 5 };

    explicit HedgingFleetFixture(uint64_t seed)
        : random_(seed)
    {
        for (size_t index = 0; index < gatewayCount; ++index) {
            GatewayFixture &gateway = gateways_[index];
            gateway.state_.peerAddress_ = addressOf(index);
            gateway.state_.incarnation_ = index + 1;
            gateway.state_.nextSlotRequest_ = random_() >> 16U;
            gateway.state_.random_.seed(seed + index);
            gateway.state_.bounds_.hedgingShare_ = share;
            gateway.state_.bounds_.retrySlack_ = 94;
            gateway.state_.configuration_.workspaces_[0].ratePerSecond_ = 0;
            gateway.state_.configuration_.routes_[2].attempts_ = 3;
            LatencyProfile &profile = gateway.state_.latencyProfiles_[{ "read", sizeClassOf(4) }];
            for (int call = 0; call < 100; ++call) {
                addDuration(profile, usualTime);
            }
            UpstreamsReceived list;
            for (size_t engine = 1; engine <= engineCount; ++engine) {
                list.rows_.push_back(GatewayFixture::makeRow("engine-" + std::to_string(engine), "engines"));
            }
            list.version_ = { 0, 20 };
            inboxes_[index].upstreams_.push_back(std::move(list));
            for (size_t peer = 0; peer < gatewayCount; ++peer) {
                inboxes_[index].peerAddresses_.push_back(addressOf(peer));
            }
        }
    }

    static std::string addressOf(size_t gateway)
    {
        return "10.0.0." + std::to_string(gateway + 1) + ":7000";
    }

    bool isDrawn(double probability)
    {
        return std::uniform_real_distribution<double>()(random_) < probability;
    }

    /// @return how a send ends: mostly soon, now and then late, during overload late, seldom by a failure.
    HedgingRun drawRun(size_t gateway, uint64_t send, bool overloaded)
    {
        HedgingRun run{ gateway, send, now() + usualTime - Milliseconds(random_() % 10), {}, 200 };
        if (isDrawn(overloaded ? 0.7 : 0.1)) {
            run.dueAt_ += Milliseconds(random_() % 1500);
        }
        if (isDrawn(0.05)) {
            run.error_ = isDrawn(0.5) ? TransportErrc::Lost : TransportErrc::NotSent;
        } else if (isDrawn(0.05)) {
            run.status_ = 500;
        }
        return run;
    }

    TimePoint now() const
    {
        return gateways_[0].now_;
    }

    void step(double callsPerStep, bool overloaded)
    {
        for (size_t index = 0; index < gatewayCount; ++index) {
            gateways_[index].now_ += stepTime;
            if (isDrawn(callsPerStep)) {
                inboxes_[index].arrivals_.push_back(gateways_[index].makeCall("read", ++calls_));
            }
        }
        std::erase_if(runs_, [this](const HedgingRun &run) {
            if (run.dueAt_ > now()) {
                return false;
            }
            GatewayInbox &inbox = inboxes_[run.gateway_];
            if (!run.error_) {
                inbox.heads_.push_back({ run.send_, GatewayFixture::makeHead(run.status_) });
                inbox.bytes_.push_back({ run.send_, "done" });
            }
            inbox.ends_.push_back({ run.send_, run.error_ });
            return true;
        });
        std::array<GatewayInbox, gatewayCount> inboxes = std::exchange(inboxes_, {});
        for (size_t index = 0; index < gatewayCount; ++index) {
            receive(index, gateways_[index].tick(std::move(inboxes[index])), overloaded);
        }
    }

    void receive(size_t gateway, GatewayOutbox outbox, bool overloaded)
    {
        for (const uint64_t send : outbox.cancels_) {
            std::erase_if(runs_, [&](const HedgingRun &run) { return run.gateway_ == gateway && run.send_ == send; });
        }
        for (const SendCall &command : outbox.sends_) {
            runs_.push_back(drawRun(gateway, command.send_, overloaded));
            firstSends_[gateway] += sent_.insert(command.request_.id_).second ? 1 : 0;
        }
        ended_ += outbox.answers_.size() + outbox.refusals_.size();
        for (SendUpdate &command : outbox.updates_) {
            command.update_.address_ = addressOf(gateway);
            for (size_t peer = 0; peer < gatewayCount; ++peer) {
                if (std::count(command.addresses_.begin(), command.addresses_.end(), addressOf(peer)) > 0
                    && !isDrawn(lostShare_)) {
                    inboxes_[peer].peerUpdates_.push_back(command.update_);
                }
            }
        }
        for (SendSlotMessage &command : outbox.slotMessages_) {
            command.message_.address_ = addressOf(gateway);
            for (size_t peer = 0; peer < gatewayCount; ++peer) {
                if (command.address_ == addressOf(peer) && !isDrawn(lostShare_)) {
                    inboxes_[peer].slotMessages_.push_back(command.message_);
                }
            }
        }
    }

    /// @return the hedged sends of a gateway.
    double hedgesOf(size_t gateway)
    {
        return static_cast<double>(gateways_[gateway].state_.metrics_.counters_["hedges"]["sent"]);
    }

    std::mt19937_64 random_; ///< Source of all draws.
    std::array<GatewayFixture, gatewayCount> gateways_; ///< Gateways.
    std::array<GatewayInbox, gatewayCount> inboxes_; ///< What each of them receives in the next step.
    std::vector<HedgingRun> runs_; ///< Sends in flight.
    std::set<std::string> sent_; ///< Requests that were sent.
    std::array<double, gatewayCount> firstSends_{}; ///< Requests that each gateway sent.
    uint64_t calls_ = 0; ///< Calls that arrived.
    size_t ended_ = 0; ///< Final answers and refusals.
    double lostShare_ = 0.05; ///< Share of messages that are lost.
};

} // namespace

TEST_CASE("Hedges_WhenCallsFailuresAndLostMessagesAreDrawn_StayWithinTheShareAndEndEveryCallOnce")
{
    constexpr uint64_t schedules = 30;
    double hedges = 0;
    for (uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        HedgingFleetFixture fleet(seed);
        const double rate = 0.05 * static_cast<double>(1 + seed % 4);
        for (int second = 0; second < 8; ++second) {
            const bool overloaded = fleet.isDrawn(0.25);
            for (int step = 0; step < 200; ++step) {
                fleet.step(rate, overloaded);
            }
        }
        double sum = 0;
        double allowed = 0;
        for (size_t gateway = 0; gateway < HedgingFleetFixture::gatewayCount; ++gateway) {
            const double most = HedgingFleetFixture::share * fleet.firstSends_[gateway] + HedgingFleetFixture::burst;
            CHECK(fleet.hedgesOf(gateway) <= most);
            sum += fleet.hedgesOf(gateway);
            allowed += most;
        }
        CHECK(sum <= allowed);
        hedges += sum;
        for (int step = 0; step < 1000; ++step) {
            fleet.step(0, false);
        }
        CHECK(fleet.ended_ == fleet.calls_);
        for (GatewayFixture &gateway : fleet.gateways_) {
            CHECK(gateway.state_.calls_.size_ == 0);
            CHECK(gateway.state_.hedges_.size_ == 0);
            CHECK(gateway.state_.hedgeBySlotRequest_.empty());
            CHECK(gateway.state_.callBySend_.empty());
            CHECK(gateway.state_.answerBytes_ == 0);
            forEachRow(gateway.state_.upstreams_,
                [](UpstreamId /*id*/, const Upstream &upstream) { CHECK(upstream.ownInFlight_ == 0); });
        }
    }
    MESSAGE("hedged sends: " << hedges);
    CHECK(hedges > static_cast<double>(schedules)); // guards against schedules that hedge nothing
}

TEST_CASE_FIXTURE(HedgingFixture, "HedgedAnswer_WhenItTakesTheMemoryOfOthers_IsGivenUpAndTheFirstSendGoesOn")
{
    constexpr size_t pieceBytes = 16U << 10U;
    state_.bounds_.answerBytes_ = 10 * pieceBytes;
    const SendCall hedge = makeHedgedCall();
    const uint64_t other = receiveCall("once", 2).sends_.at(0).send_;
    GatewayInbox heads;
    heads.heads_.push_back({ hedge.send_, makeHead(200) });
    heads.heads_.push_back({ other, makeHead(200) });
    tick(std::move(heads));
    receiveBytes(hedge.send_, std::string(9 * pieceBytes, 'a'));
    const GatewayOutbox outbox = receiveBytes(other, std::string(2 * pieceBytes, 'a'));
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ hedge.send_ });
    CHECK(outbox.refusals_.empty());
    CHECK(endSend(other, {}).answers_.size() == 1);
    CHECK(receiveAnswer(first_.send_, makeHead(200), "first").answers_.size() == 1);
    CHECK(hasNoTraces());
}

TEST_CASE_FIXTURE(HedgingFixture, "HedgedAnswers_WhenTheyTakeAllMemoryAndAStreamGoesOn_AreGivenUp")
{
    constexpr size_t pieceBytes = 16U << 10U;
    const SendCall hedge = makeHedgedCall();
    const uint64_t stream = receiveCall("stream", 2).sends_.at(0).send_;
    GatewayInbox head;
    head.heads_.push_back({ hedge.send_, makeHead(200) });
    tick(std::move(head));
    receiveBytes(hedge.send_, std::string(9 * pieceBytes, 'a'));
    state_.bounds_.answerBytes_ = 8 * pieceBytes; // the memory is reloaded
    const GatewayOutbox outbox = receiveStreamBytes(stream, "id: 1\ndata: a\n\n");
    CHECK(outbox.cancels_ == std::vector<uint64_t>{ hedge.send_ });
    CHECK(outbox.events_.size() == 1);
}
