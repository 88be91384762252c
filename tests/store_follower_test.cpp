/**
 * @file store_follower_test.cpp
 * @brief Tests of the calls by which a gateway follows the platform's store, with a store whose replies the test
 * chooses.
 */
#include "store_follower.h"

#include "base64_func.h"
#include "daemon_func.h"
#include "fleet_parts_func.h"
#include "heap_func.h"
#include "http_func.h"
#include "http_server.h"
#include "rollout_wire.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <stdexcept>
#include <thread>

using namespace Burdockfield;
using namespace Burdockfield::Platform;
using namespace Burdockfield::Testing;

namespace {

/// Follower of a store that answers calls about the operator's table only when the test does.
struct StoreFollowerFixture
{
    /// Call about the operator's table.
    struct Call
    {
        ExchangeId exchange_;
        std::string target_; ///< Path and query.
        TimePoint at_{}; ///< When it was received.
    };

    StoreFollowerFixture()
        : store_(io_, {}, makeStoreHandlers())
        , follower_(client_, takeAddresses(1)[0], makeFollowerHandlers())
    {
        REQUIRE_FALSE(listen(store_, follower_.address_));
        follower_.name_ = "gateway-1";
        follower_.peerAddress_ = "127.0.0.1:1";
        follower_.updateDelay_ = Milliseconds(1000);
        startFollowing(follower_);
        answer(nextCall(), makeRows(makeConfiguration(1), 1));
    }

    ServerHandlers makeStoreHandlers()
    {
        ServerHandlers handlers;
        handlers.onRequest_ = [this](ExchangeId exchange, const HttpRequest &request) {
            if (request.target_.find("table=op") != std::string::npos) {
                calls_.push_back({ exchange, request.target_, Clock::now() });
            } else if (request.target_.find("table=servers") != std::string::npos && isFeed(request.target_)) {
                upstreamPolls_.push_back({ exchange, request.target_, Clock::now() });
            } else if (request.target_.find("rows-tx") != std::string::npos) {
                ++writes_;
                respond(store_, exchange, makeJsonReply(R"({"ver":1})"));
            } else if (request.target_.find("from=") != std::string::npos) {
                ranges_.push_back(request.target_);
                respond(store_, exchange, makeJsonReply(answerRange_(request.target_)));
            } else if (!isFeed(request.target_)) {
                respond(store_, exchange, makeJsonReply(upstreamList_));
            }
        };
        handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
        };
        return handlers;
    }

    FollowerHandlers makeFollowerHandlers()
    {
        FollowerHandlers handlers;
        handlers.onConfiguration_ = [this](const Gateway::ConfigurationReceived &event) {
            versions_.push_back(event.configuration_.version_);
            if (event.configuration_.version_ == failingVersion_) {
                throw std::runtime_error("no such table");
            }
        };
        handlers.onRollouts_ = [this](Gateway::RolloutsReceived event) {
            rollouts_.push_back(std::move(event));
        };
        handlers.onUpstreams_ = [this](Gateway::UpstreamsReceived event) {
            upstreams_.push_back(std::move(event));
        };
        handlers.onReachability_ = [](const Gateway::StoreCallOutcome & /*event*/) {
        };
        handlers.onGateways_ = [](const std::vector<std::string> & /*addresses*/) {
        };
        handlers.onMalformedRow_ = [](const std::string &, const std::string &, std::error_code) {
        };
        handlers.listUpstreams_ = [this] {
            return std::vector<std::string>(listed_.begin(), listed_.end());
        };
        handlers.countReachablePeers_ = [] {
            return size_t{ 0 };
        };
        handlers.isInForce_ = [this](const std::string &text) {
            return text == inForce_;
        };
        return handlers;
    }

    static std::string makeConfiguration(uint64_t version, size_t padding = 0)
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"padding":")"
            + std::string(padding, 'a') + "\"}";
    }

    static std::string makeRows(const std::string &configuration, uint64_t version)
    {
        const std::string number = std::to_string(version);
        return R"({"rows":[{"table":"op","part":"","key":"config","value":")" + encodeBase64(configuration)
            + R"(","ver":)" + number + R"(}],"ver":)" + number + "}";
    }

    static std::string makeUpstreamText(const std::string &version)
    {
        return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","version":")" + version
            + R"(","coldRemainingMs":0,"sequence":1,"born":1})";
    }

    static std::string makeUpstreamRow(const std::string &key, const std::string &value, uint64_t version)
    {
        return R"({"table":"servers","part":"","key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","ver":)"
            + std::to_string(version) + "}";
    }

    /// Waits for the next call about the operator's table.
    Call nextCall()
    {
        const size_t number = taken_++;
        REQUIRE(waitUntil(
            [this, number] {
                io_.poll();
                return calls_.size() > number;
            },
            Milliseconds(5000)));
        return calls_[number];
    }

    void answer(const Call &call, const std::string &rows)
    {
        respond(store_, call.exchange_, makeJsonReply(rows));
    }

    void answerInEra(const Call &call, uint64_t era, const std::string &rows)
    {
        HttpReply reply = makeJsonReply(rows);
        reply.headers_.emplace_back("Store-Era", std::to_string(era));
        respond(store_, call.exchange_, std::move(reply));
    }

    /// Waits for the next poll of the list of upstreams.
    Call nextUpstreamPoll()
    {
        const size_t number = upstreamPollsTaken_++;
        REQUIRE(waitUntil(
            [this, number] {
                io_.poll();
                return upstreamPolls_.size() > number;
            },
            Milliseconds(5000)));
        return upstreamPolls_[number];
    }

    /// Has the follower read the whole list of upstreams.
    void readWholeUpstreamList()
    {
        respond(store_, nextUpstreamPoll().exchange_, HttpReply{ 410, {}, "{}" });
        nextUpstreamPoll();
    }

    static bool isPoll(const Call &call)
    {
        return isFeed(call.target_);
    }

    static bool isFeed(const std::string &target)
    {
        return target.find("rows-feed") != std::string::npos;
    }

    Asio::io_context io_{ 1 };
    HttpClient client_{ io_ };
    HttpServer store_;
    StoreFollower follower_;
    std::vector<Call> calls_; ///< Calls received, in order.
    std::vector<Call> upstreamPolls_; ///< Polls of the list of upstreams, which only the test answers.
    size_t taken_ = 0; ///< Calls that nextCall() has returned.
    size_t upstreamPollsTaken_ = 0; ///< Polls that nextUpstreamPoll() has returned.
    std::vector<uint64_t> versions_; ///< Versions of the configurations that the follower has passed on.
    uint64_t failingVersion_ = 0; ///< Version at which the handler throws.
    std::vector<Gateway::RolloutsReceived> rollouts_; ///< Orders and status rows that the follower has passed on.
    std::vector<Gateway::UpstreamsReceived> upstreams_; ///< Lists and changes that the follower has passed on.
    std::string upstreamList_ = R"({"rows":[],"ver":1})"; ///< Reply to a read of the list of upstreams.
    std::set<std::string> listed_; ///< Ids of the upstreams that count as listed.
    std::vector<std::string> ranges_; ///< Targets of the reads of ranges.
    std::function<std::string(const std::string &)> answerRange_; ///< Reply to one of them.
    int writes_ = 0; ///< Transactions received.
    std::string inForce_; ///< Text of the configuration that counts as in force.
};

} // namespace

TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenAPollIsNeverAnswered_AsksAgainWithinTheUpdateDelay")
{
    const Call silent = nextCall();
    REQUIRE(isPoll(silent));
    const Call next = nextCall();
    CHECK(next.at_ - silent.at_ <= follower_.updateDelay_);
    CHECK(next.target_.find("waitMs=0") != std::string::npos);
    answer(next, makeRows(makeConfiguration(2), 2));
    nextCall();
    CHECK(versions_ == std::vector<uint64_t>{ 1, 2 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenAReplyIsLarge_ReadsTheTableUntilNothingIsNew")
{
    constexpr size_t large = 100000;
    const Call poll = nextCall();
    REQUIRE(isPoll(poll));
    answer(poll, makeRows(makeConfiguration(2, large), 2));
    const Call read = nextCall();
    CHECK_FALSE(isPoll(read));
    CHECK(read.at_ - poll.at_ >= Milliseconds(140));
    answer(read, makeRows(makeConfiguration(5, large), 5));
    const Call again = nextCall();
    CHECK_FALSE(isPoll(again));
    answer(again, makeRows(makeConfiguration(5, large), 5));
    CHECK(isPoll(nextCall()));
    CHECK(versions_ == std::vector<uint64_t>{ 1, 2, 5 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenAConfigurationIsInForce_DoesNotPassItOn")
{
    inForce_ = makeConfiguration(2);
    answer(nextCall(), makeRows(inForce_, 2));
    nextCall();
    CHECK(versions_ == std::vector<uint64_t>{ 1 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenHandlingRowsThrows_StillFollows")
{
    failingVersion_ = 2;
    answer(nextCall(), makeRows(makeConfiguration(2), 2));
    answer(nextCall(), makeRows(makeConfiguration(3), 3));
    nextCall();
    CHECK(versions_ == std::vector<uint64_t>{ 1, 2, 3 });
}

// A new version is held back until the operator's table was read up to its row, also by a read without an order.
TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenTheOperatorsTableIsRead_PassesOnOrdersAndItsVersion")
{
    const Call poll = nextCall();
    REQUIRE(rollouts_.size() == 1);
    CHECK(rollouts_[0].orders_.empty());
    CHECK(rollouts_[0].operatorVersion_ == StoreVersion{ 0, 1 });
    CHECK(follower_.statuses_.name_.empty());
    answer(poll,
        R"({"rows":[{"table":"op","part":"","key":"rollout/s","value":")"
            + encodeBase64(R"({"service":"s","to":"v2","durationS":12})")
            + R"(","ver":7},{"table":"op","part":"","key":"rollout/t","value":"e30=","ver":8}],"ver":9})");
    nextCall();
    REQUIRE(rollouts_.size() >= 2);
    REQUIRE(rollouts_[1].orders_.size() == 1);
    CHECK(rollouts_[1].orders_[0].version_ == "v2");
    CHECK(rollouts_[1].orders_[0].rowVersion_ == StoreVersion{ 0, 7 });
    CHECK(rollouts_[1].operatorVersion_ == StoreVersion{ 0, 9 });
    CHECK(follower_.statuses_.name_ == statusTable);
}

// The store's replies name no call, so that one to an earlier poll may count as the reply to this one.
TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenTheReplyToAnEarlierPollComesAgain_KeepsTheNewerState")
{
    answer(nextCall(), makeRows(makeConfiguration(2), 2));
    answer(nextCall(), makeRows(makeConfiguration(3), 3));
    const size_t passedOn = rollouts_.size();
    answer(nextCall(), makeRows(makeConfiguration(2), 2));
    answer(nextCall(), makeRows(makeConfiguration(3), 3));
    const Call next = nextCall();
    CHECK(next.target_.find("after=3&") != std::string::npos);
    CHECK(versions_ == std::vector<uint64_t>{ 1, 2, 3 });
    CHECK(rollouts_.size() == passedOn + 1); // with the first reply of version 3
}

// Review case 7: a list without the upstream whose row was the newest had a lower version than a list with it.
TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamList_WhenItsNewestRowWasRemoved_HasTheVersionOfTheRead")
{
    upstreamList_ = R"({"rows":[{"table":"servers","part":"","key":"i-1","value":"e30=","ver":9}],"ver":12})";
    readWholeUpstreamList();
    CHECK(upstreams_.back().fullList_);
    CHECK(upstreams_.back().version_ == StoreVersion{ 0, 12 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamList_WhenAPollBringsNoRows_HasTheVersionOfThePoll")
{
    const Call poll = nextUpstreamPoll();
    const size_t before = upstreams_.size();
    answer(poll, R"({"rows":[],"ver":30})");
    nextUpstreamPoll();
    REQUIRE(upstreams_.size() == before + 1);
    CHECK(upstreams_.back().rows_.empty());
    CHECK_FALSE(upstreams_.back().fullList_);
    CHECK(upstreams_.back().version_ == StoreVersion{ 0, 30 });
}

// The changes of a store that came back from a copy don't follow those that were received before.
TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenAPollIsAnsweredInANewEra_ReadsTheTableAndRegistersAgain")
{
    answerInEra(nextCall(), 1, makeRows(makeConfiguration(40), 400));
    REQUIRE_FALSE(isPoll(nextCall())); // its first era
    answerInEra(calls_.back(), 1, makeRows(makeConfiguration(40), 400));
    const int writes = writes_;
    answerInEra(nextCall(), 2, R"({"rows":[],"ver":500})");
    const Call read = nextCall();
    CHECK_FALSE(isPoll(read));
    answerInEra(read, 2, makeRows(makeConfiguration(41), 26));
    const Call poll = nextCall();
    CHECK(isPoll(poll));
    CHECK(poll.target_.find("after=26&") != std::string::npos);
    CHECK(versions_.back() == 41);
    CHECK(waitUntil(
        [&] {
            io_.poll();
            return writes_ == writes + 1;
        },
        Milliseconds(2000)));
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenAReplyIsOfAnEarlierEra_DropsIt")
{
    answerInEra(nextCall(), 2, makeRows(makeConfiguration(2), 2));
    answerInEra(nextCall(), 2, makeRows(makeConfiguration(2), 2));
    answerInEra(nextCall(), 1, makeRows(makeConfiguration(9), 900));
    const Call next = nextCall();
    CHECK(isPoll(next));
    CHECK(next.target_.find("after=2&") != std::string::npos);
    CHECK(versions_.back() == 2);
}

// Until the next regular poll ends, a new version would get no calls, which may take most of a short rollout.
TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenANewVersionIsListed_ReadsTheOperatorsTableAtOnce")
{
    REQUIRE(isPoll(nextCall())); // stays unanswered
    REQUIRE(waitUntil(
        [this] {
            io_.poll();
            return !upstreamPolls_.empty();
        },
        Milliseconds(5000)));
    const std::string row = makeUpstreamText("v2");
    answer(upstreamPolls_[0],
        R"({"rows":[{"table":"servers","part":"","key":"i-1","value":")" + encodeBase64(row)
            + R"(","ver":50}],"ver":50})");
    Call read = nextCall();
    for (int polls = 0; polls < 2 && isPoll(read); ++polls) { // of a slow machine, where a poll times out before
        read = nextCall();
    }
    CHECK_FALSE(isPoll(read));
    answer(read, makeRows(makeConfiguration(1), 60));
    REQUIRE(waitUntil(
        [this] {
            io_.poll();
            return rollouts_.size() >= 2;
        },
        Milliseconds(5000)));
    CHECK(rollouts_.back().operatorVersion_ == StoreVersion{ 0, 60 });
}

// A poll returns all changes since the last one, which may be far longer than the table.
TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenAReplyIsTooLong_ReadsTheTable")
{
    client_.responseBodyLimit_ = 100000;
    const Call poll = nextCall();
    REQUIRE(isPoll(poll));
    answer(poll, makeRows(makeConfiguration(2, 200000), 2));
    const Call read = nextCall();
    CHECK_FALSE(isPoll(read));
    answer(read, makeRows(makeConfiguration(3), 3));
    CHECK(isPoll(nextCall()));
    CHECK(versions_ == std::vector<uint64_t>{ 1, 3 });
}

// Review case 13: after a reply with large rows of another writer, the whole table was read again and again.
TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamList_WhenChangesHaveLargeForeignRows_IsStillPolled")
{
    setReplyMemory(client_, smallestMemory);
    const Call poll = nextUpstreamPoll();
    const size_t before = upstreams_.size();
    std::string rows = makeUpstreamRow("i-1", makeUpstreamText("v1"), 10);
    for (uint64_t row = 0; row < 120; ++row) {
        rows += "," + makeUpstreamRow("backup-" + std::to_string(row), std::string(64000, '\x01'), 11 + row);
    }
    answer(poll, R"({"rows":[)" + rows + R"(],"ver":200})");
    CHECK(nextUpstreamPoll().target_.find("after=200&") != std::string::npos);
    REQUIRE(upstreams_.size() == before + 1);
    CHECK_FALSE(upstreams_.back().fullList_);
    REQUIRE(upstreams_.back().rows_.size() == 1);
    CHECK(upstreams_.back().rows_[0].id_ == "i-1");
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamList_WhenForeignRowsExceedTheMemory_IsRead")
{
    setReplyMemory(client_, smallestMemory);
    nextUpstreamPoll();
    std::string rows = makeUpstreamRow("backup-1", std::string(64000, '\x01'), 1);
    for (uint64_t row = 2; row < 300; ++row) {
        rows += "," + makeUpstreamRow("backup-" + std::to_string(row), std::string(64000, '\x01'), row);
    }
    upstreamList_
        = R"({"rows":[)" + rows + "," + makeUpstreamRow("i-1", makeUpstreamText("v1"), 400) + R"(],"ver":500})";
    respond(store_, upstreamPolls_.back().exchange_, HttpReply{ 410, {}, "{}" });
    CHECK(nextUpstreamPoll().target_.find("after=500&") != std::string::npos);
    CHECK(upstreams_.back().fullList_);
    REQUIRE(upstreams_.back().rows_.size() == 1);
    CHECK(upstreams_.back().rows_[0].id_ == "i-1");
}

// What a list lacks is dropped, so that a part of it must not count as the list.
TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamList_WhenOnePageCannotBeRead_IsNotPassedOn")
{
    const Call poll = nextUpstreamPoll();
    const size_t before = upstreams_.size();
    upstreamList_
        = R"({"rows":[)" + makeUpstreamRow("i-1", makeUpstreamText("v1"), 30) + R"(],"ver":40,"hasMore":true})";
    respond(store_, poll.exchange_, HttpReply{ 410, {}, "{}" }); // its pages repeat
    const Call next = nextUpstreamPoll();
    CHECK(upstreams_.size() == before);
    CHECK(next.target_.find("after=1&") != std::string::npos);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenTheTableCannotBeRead_AsksForItsChangesAgain")
{
    const Call poll = nextCall();
    respond(store_, poll.exchange_, HttpReply{ 410, {}, "{}" });
    const Call read = nextCall();
    REQUIRE_FALSE(isPoll(read));
    answer(read, "{");
    const Call next = nextCall();
    CHECK(isPoll(next));
    CHECK(next.target_.find("after=1&") != std::string::npos);
    answer(next, makeRows(makeConfiguration(2), 2));
    nextCall();
    CHECK(versions_ == std::vector<uint64_t>{ 1, 2 });
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamRow_WhenItTurnsUnreadable_NamesNoUpstreamFromThenOn")
{
    listed_ = { "i-1" };
    answer(nextUpstreamPoll(), R"({"rows":[)" + makeUpstreamRow("i-1", "not json", 10) + R"(],"ver":10})");
    const Call poll = nextUpstreamPoll();
    REQUIRE(upstreams_.back().rows_.size() == 1);
    CHECK(upstreams_.back().rows_[0].id_ == "i-1");
    CHECK(upstreams_.back().rows_[0].removed_);
    upstreamList_ = R"({"rows":[)" + makeUpstreamRow("i-1", "not json", 10) + R"(],"ver":20})";
    respond(store_, poll.exchange_, HttpReply{ 410, {}, "{}" });
    nextUpstreamPoll();
    REQUIRE(upstreams_.back().fullList_);
    for (const Gateway::UpstreamRow &row : upstreams_.back().rows_) {
        CHECK(row.removed_);
    }
}

// Guards against an upstream that leaves and whose row comes seconds later, behind megabytes of other rows.
TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamList_WhenAReplyArrivesSlowly_HasTheRowsOfListedUpstreamsMeanwhile")
{
    listed_ = { "i-1", "i-2", "i-3" };
    const std::string draining = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"draining",)"
                                 R"("version":"v1","coldRemainingMs":0,"sequence":2,"born":1})";
    answerRange_ = [&](const std::string & /*target*/) {
        return R"({"rows":[)" + makeUpstreamRow("i-1", draining, 50) + "," + makeUpstreamRow("i-3", "not json", 40)
            + R"(],"ver":60})";
    };
    const Call poll = nextUpstreamPoll();
    const size_t before = upstreams_.size();
    startStream(store_, poll.exchange_, HttpReply{ 200, {}, {} });
    sendChunk(store_, poll.exchange_, R"({"rows":[)" + makeUpstreamRow("i-1", makeUpstreamText("v1"), 20));
    REQUIRE(waitUntil(
        [&] {
            io_.poll();
            return upstreams_.size() > before;
        },
        follower_.updateDelay_));
    CHECK(ranges_.at(0).find("from=i-1&to=i-3%01") != std::string::npos);
    const Gateway::UpstreamsReceived ahead = upstreams_.back();
    CHECK_FALSE(ahead.fullList_);
    CHECK(ahead.version_ == StoreVersion{});
    REQUIRE(ahead.rows_.size() == 3);
    CHECK(ahead.rows_[0].draining_);
    CHECK(ahead.rows_[1].removed_);
    CHECK(ahead.rows_[2].removed_);
    sendChunk(store_, poll.exchange_, "," + makeUpstreamRow("i-2", makeUpstreamText("v1"), 21) + R"(],"ver":30})");
    endStream(store_, poll.exchange_);
    nextUpstreamPoll();
    const Gateway::UpstreamsReceived &late = upstreams_.back(); // older than the rows read ahead
    CHECK(late.version_ == StoreVersion{ 0, 30 });
    for (const Gateway::UpstreamRow &row : late.rows_) {
        CHECK((row.removed_ || row.draining_));
    }
    const size_t reads = ranges_.size();
    std::this_thread::sleep_for(follower_.updateDelay_ / 2);
    io_.poll();
    CHECK(ranges_.size() == reads); // no reply arrives any more
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "UpstreamList_WhenForeignRowsLieBetweenTheIds_ReadsSmallerRanges")
{
    listed_ = { "i-1", "i-2", "i-3" };
    answerRange_ = [&](const std::string &target) {
        const bool whole = target.find("from=i-1&to=i-3") != std::string::npos;
        return whole ? R"({"rows":[)" + std::string(200000, ' ') + R"(],"ver":60})" : R"({"rows":[],"ver":60})";
    };
    const Call poll = nextUpstreamPoll();
    const size_t before = upstreams_.size();
    startStream(store_, poll.exchange_, HttpReply{ 200, {}, {} });
    sendChunk(store_, poll.exchange_, R"({"rows":[)");
    REQUIRE(waitUntil(
        [&] {
            io_.poll();
            return upstreams_.size() == before + 2;
        },
        follower_.updateDelay_));
    CHECK(upstreams_[before].rows_.size() == 2);
    CHECK(upstreams_[before + 1].rows_.size() == 1);
}

TEST_CASE_FIXTURE(StoreFollowerFixture, "Follower_WhenVersionsNeverEnd_ForgetsThemAndReadsTheOrdersOnceAtATime")
{
    constexpr size_t maxVersions = 4096;
    REQUIRE(isPoll(nextCall())); // stays unanswered, as all further calls about the operator's table
    follower_.updateDelay_ = Milliseconds(30000);
    uint64_t version = 50;
    for (size_t reply = 0; reply < 20; ++reply) {
        REQUIRE(waitUntil(
            [this, reply] {
                io_.poll();
                return upstreamPolls_.size() > reply;
            },
            Milliseconds(5000)));
        std::string rows;
        for (int row = 0; row < 250; ++row, ++version) {
            const std::string text = makeUpstreamText("v" + std::to_string(version));
            rows += (row == 0 ? "" : ",") + std::string(R"({"table":"servers","part":"","key":"i-)")
                + std::to_string(row) + R"(","value":")" + encodeBase64(text) + R"(","ver":)" + std::to_string(version)
                + "}";
        }
        answer(upstreamPolls_[reply], R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(version) + "}");
    }
    CHECK(follower_.versions_.size() <= maxVersions);
    const auto reads = std::count_if(calls_.begin() + 2, calls_.end(), [](const Call &call) { return !isPoll(call); });
    CHECK(reads <= 2);
}
