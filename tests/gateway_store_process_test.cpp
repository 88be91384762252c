/**
 * @file gateway_store_process_test.cpp
 * @brief Tests of real gateway processes that follow the platform's store and each other.
 */
#include "gateway_base.h"
#include "gateway_process_fixture.h"
#include "rollout_wire.h"

using namespace Burdockfield;
using namespace Burdockfield::Testing;

TEST_CASE_FIXTURE(
    GatewayProcessFixture, "Gateway_WhenItsStoreIsSilent_ReceivesConfigurationsAndDrainingUpstreamsFromPeers")
{
    controlStoreLink(fleet_, "gateway-1", "/silence");
    writeConfiguration(fleet_, 2, { "key-2" });
    writeUpstreamRow(fleet_, "engines-1", "draining", 4);
    const bool configurationReceived = waitUntil(
        [&] {
            return readStatusField(fleet_, "gateway-1", "configuration").find("\"version\":2") != std::string::npos;
        },
        Milliseconds(2500));
    CHECK(configurationReceived);
    CHECK(call("/once/x", "r1", "gateway-1", "key-1").status_ == 401);
    CHECK(call("/once/x", "r2", "gateway-1", "key-2").status_ == 200);
    const bool drainingReceived = waitUntil(
        [&] {
            return readStatusField(fleet_, "gateway-1", "upstreams").find("\"draining\":true") != std::string::npos;
        },
        Milliseconds(2500));
    CHECK(drainingReceived);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenStartedWhileItsStoreIsDown_FetchesASnapshotFromAPeer")
{
    signalProcess(fleet_, "gateway-2", SIGKILL);
    controlStoreLink(fleet_, "gateway-2", "/cut");
    startProcess(fleet_, "gateway-2");
    CHECK(waitUntil([&] { return isGatewayReady(fleet_, "gateway-2"); }, Milliseconds(5000)));
    CHECK(call("/read/x", "r1", "gateway-2").status_ == 200);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenItsFirstReadsGetNoAnswer_RetriesThemSoon")
{
    signalProcess(fleet_, "gateway-1", SIGKILL);
    signalProcess(fleet_, "gateway-2", SIGKILL); // no peer to fetch a snapshot from
    controlStoreLink(fleet_, "gateway-2", "/swallow");
    startProcess(fleet_, "gateway-2");
    std::this_thread::sleep_for(Milliseconds(300)); // by now its first reads are pending
    controlStoreLink(fleet_, "gateway-2", "/mend");
    CHECK(waitUntil([&] { return isGatewayReady(fleet_, "gateway-2"); }, Milliseconds(800)));
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenTheStoreHasDroppedItsHistory_ReadsAllTablesAgain")
{
    controlStandin(fleet_, "platform", R"({"forget_history":true})");
    writeConfiguration(fleet_, 3, { "key-1", "key-3" });
    CHECK(waitUntil([&] { return call("/once/x", "r1", "gateway-1", "key-3").status_ == 200; }, Milliseconds(6000)));
}

// Review case 7: a gateway that started after the removal took the list of a peer that is cut off from the store for a
// newer one, as that still had the row with the highest version.
TEST_CASE_FIXTURE(GatewayProcessFixture, "UpstreamList_WhenACutOffPeerStillHasADepartedUpstream_IsNotTakenFromIt")
{
    writeUpstreamRow(fleet_, "engines-2", "ready", 5); // the newest row
    const auto lists = [&](const std::string &gateway) {
        return readStatusField(fleet_, gateway, "upstreams").find("engines-2") != std::string::npos;
    };
    REQUIRE(waitUntil([&] { return lists("gateway-1") && lists("gateway-2"); }, Milliseconds(3000)));
    std::this_thread::sleep_for(Milliseconds(500)); // by then gateway-1 has received the new row
    controlStoreLink(fleet_, "gateway-1", "/silence");
    signalProcess(fleet_, "gateway-2", SIGKILL);
    writeUpstreamRow(fleet_, "engines-2", "ready", 5, true);
    startProcess(fleet_, "gateway-2");
    REQUIRE(waitUntil([&] { return isGatewayReady(fleet_, "gateway-2") && !lists("gateway-2"); }, Milliseconds(5000)));
    CHECK_FALSE(waitUntil([&] { return lists("gateway-2"); }, Milliseconds(2500)));
}

// The versions of a store that came back from a copy are lower than before, and are given out again.
TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenTheStoreReturnsFromACopy_FollowsItAgain")
{
    controlStandin(fleet_, "platform", R"({"take_copy":true})");
    for (int index = 0; index < 50; ++index) { // more versions than are given out after the return
        writeUpstreamRow(fleet_, "engines-1", "ready", 4 + static_cast<uint32_t>(index % 2));
    }
    writeConfiguration(fleet_, 2, { "key-1", "key-2" });
    REQUIRE(waitUntil([&] { return call("/once/x", "r1", "gateway-1", "key-2").status_ == 200; }));
    controlStandin(fleet_, "platform", R"({"mode":"down"})");
    std::this_thread::sleep_for(Milliseconds(800));
    controlStandin(fleet_, "platform", R"({"restore_copy":true,"mode":"up"})");
    writeConfiguration(fleet_, 2, { "key-1", "key-2" }); // written again by the operator
    std::this_thread::sleep_for(Milliseconds(1000));
    CHECK(call("/once/x", "r2", "gateway-1", "key-2").status_ == 200);
    writeConfiguration(fleet_, 3, { "key-1", "key-3" });
    writeUpstreamRow(fleet_, "desk-1", "ready", 4, true);
    const auto follows = [&](const std::string &gateway) {
        return call("/once/x", "r3-" + gateway, gateway, "key-3").status_ == 200
            && readStatusField(fleet_, gateway, "upstreams").find("desk-1") == std::string::npos;
    };
    CHECK(
        waitUntil([&] { return follows("gateway-1") && follows("gateway-2"); }, Gateway::Bounds().configurationDelay_));
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Configuration_WhenTheStoreWasSilentBefore_IsInForceWithinItsDelay")
{
    writeConfiguration(fleet_, 2, { "key-1", "key-2" });
    REQUIRE(waitUntil([&] { return call("/once/x", "r1", "gateway-2", "key-2").status_ == 200; }));
    std::this_thread::sleep_for(Milliseconds(300)); // by then all gateways wait for the next change
    controlStandin(fleet_, "platform", R"({"mode":"silent"})");
    std::this_thread::sleep_for(Milliseconds(5000));
    controlStandin(fleet_, "platform", R"({"mode":"up"})");
    writeConfiguration(fleet_, 3, { "key-1", "key-3" });
    const auto isInForce = [&] {
        return call("/once/x", "r2", "gateway-1", "key-3").status_ == 200
            && call("/once/x", "r2", "gateway-2", "key-3").status_ == 200;
    };
    CHECK(waitUntil(isInForce, Gateway::Bounds().configurationDelay_));
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenTheStoreRefusesOrLosesAnswers_KeepsServing")
{
    for (const char *mode : { "down", "busy", "silent", "lose-answers", "up" }) {
        controlStandin(fleet_, "platform", std::string(R"({"mode":")") + mode + "\"}");
        CHECK(call("/once/x", std::string("r-") + mode).status_ == 200);
    }
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenTheListTakesSeveralPages_ReadsAllOfIt")
{
    constexpr int rows = 600; // a page holds 500
    const std::string value
        = R"({\"service\":\"other\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":1,)"
          R"(\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1})";
    for (int index = 0; index < rows; ++index) {
        callNode(fleet_.processes_.at("platform").address_, "POST", "/control/row",
            R"({"table":"servers","key":"other-)" + std::to_string(1000 + index) + R"(","value":")" + value + "\"}");
    }
    signalProcess(fleet_, "gateway-1", SIGKILL);
    signalProcess(fleet_, "gateway-2", SIGKILL);
    startProcess(fleet_, "gateway-2"); // no peer to fetch the list from
    CHECK(waitUntil([&] {
        const std::string listed = readStatusField(fleet_, "gateway-2", "upstreams");
        return listed.find("other-1000") != std::string::npos && listed.find("other-1599") != std::string::npos;
    }));
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenARowCannotBeParsed_KeepsTheOthers")
{
    callNode(fleet_.processes_.at("platform").address_, "POST", "/control/row",
        R"({"table":"servers","key":"engines-1","value":"not json"})");
    CHECK(waitUntil(
        [&] { return readStatusField(fleet_, "gateway-1", "upstreams").find("engines-1") == std::string::npos; },
        Milliseconds(3000)));
    CHECK(call("/read/x", "r1").status_ == 200);
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenAnotherWriterLeavesOddRows_FollowsTheOthers")
{
    const std::string deep(100000, '[');
    const std::string row = R"({\"service\":\"engines\",\"zone\":\"z\",\"version\":\"v1\",\"state\":\"ready\",)"
                            R"(\"coldRemainingMs\":0,\"sequence\":1,\"born\":1,)";
    for (const std::string &value : { deep, row + R"(\"slots\":1e400,\"address\":\"10.0.0.1:80\"})",
             row + R"(\"slots\":4294967295,\"address\":\"127.0.0.1:1\"})",
             row + R"(\"slots\":8,\"address\":\"127.0.0.1:70000\"})" }) {
        callNode(fleet_.processes_.at("platform").address_, "POST", "/control/row",
            R"({"table":"servers","key":"odd","value":")" + value + "\"}");
    }
    writeUpstreamRow(fleet_, "engines-1", "draining", 4);
    const std::string draining = R"("draining":true)";
    CHECK(
        waitUntil([&] { return readStatusField(fleet_, "gateway-1", "upstreams").find(draining) != std::string::npos; },
            Milliseconds(3000)));
    CHECK(readStatusField(fleet_, "gateway-1", "upstreams").find("odd") == std::string::npos);
    for (int index = 0; index < 8; ++index) {
        CHECK(call("/read/x", "r" + std::to_string(index)).status_ == 200);
    }
}

// Review case 11: the key went into a header, whose line break ended the head, and the body ran as another request.
TEST_CASE_FIXTURE(GatewayProcessFixture, "Requests_WhenTheKeyOfAForeignRowHasALineBreak_RunAsTheyWereSent")
{
    const std::string &address = fleet_.processes_.at("desk-1").address_;
    for (const char *fields : { "", R"(,\"version\":\"v1\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1)" }) {
        callNode(fleet_.processes_.at("platform").address_, "POST", "/control/row",
            R"({"table":"servers","key":"desk-1\r\n","value":"{\"service\":\"desk\",\"address\":\")" + address
                + R"(\",\"zone\":\"zone-1\",\"slots\":4,\"state\":\"ready\")" + fields + "}\"}");
        writeUpstreamRow(fleet_, "desk-2", "ready", 4, true);
        std::this_thread::sleep_for(Gateway::Bounds().drainDelay_);
        for (int index = 0; index < 6; ++index) {
            const HttpReply reply = call("/once/x", "r" + std::to_string(index) + (*fields == 0 ? "" : "-complete"));
            CHECK(reply.status_ == 200);
            CHECK(reply.body_ == Standin::echoBody("/once/x", "body"));
        }
    }
}

TEST_CASE_FIXTURE(GatewayProcessFixture, "Requests_WhenTheNameOfTheirWorkspaceHasALineBreak_AreRefusedAsNotRun")
{
    writeConfiguration(fleet_, 2, { "key-1" }, {}, 0, 3, "workspace-1\r\nContent-Length: 0");
    std::this_thread::sleep_for(Gateway::Bounds().configurationDelay_);
    const HttpReply reply = call("/once/x", "r1");
    CHECK(reply.status_ == 503);
    CHECK(reply.body_.find(R"("not_run":true)") != std::string::npos);
    CHECK(runsOf("r1") == 0);
    writeConfiguration(fleet_, 3, { "key-1" });
    CHECK(waitUntil([&] { return call("/once/x", "r2").status_ == 200; }, Gateway::Bounds().configurationDelay_));
}

// Feeds give the changes of all parts; the operator's rows and those of upstreams are in the empty one.
TEST_CASE_FIXTURE(GatewayProcessFixture, "Gateway_WhenRowsOfAnotherPartAreWritten_DoesNotObeyThem")
{
    const auto write = [&](const std::string &row) {
        callNode(fleet_.processes_.at("platform").address_, "POST", "/control/row", row);
    };
    const std::string draining
        = R"({\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,)"
          R"(\"state\":\"draining\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1})";
    write(R"({"table":"servers","part":"x","key":"desk-1","value":")" + draining + "\"}");
    write(R"({"table":"servers","part":"x","key":"desk-2","value":"","remove":true})");
    write(R"({"table":"op","part":"x","key":"config","value":"{\"version\":90,\"routes\":[],\"services\":[]}"})");
    std::this_thread::sleep_for(Gateway::Bounds().configurationDelay_);
    for (const std::string &gateway : fleet_.entries_) {
        const std::string upstreams = readStatusField(fleet_, gateway, "upstreams");
        CHECK(upstreams.find("desk-1") != std::string::npos);
        CHECK(upstreams.find("desk-2") != std::string::npos);
        CHECK(upstreams.find(R"("draining":true)") == std::string::npos);
        CHECK(call("/once/x", "r-" + gateway, gateway).status_ == 200);
    }
    writeConfiguration(fleet_, 2, { "key-2" });
    CHECK(waitUntil([&] { return call("/once/x", "r-2", "gateway-1", "key-2").status_ == 200; },
        Gateway::Bounds().configurationDelay_));
}

// Real processes have to read the order before they use the version that it names, and follow the status row.
TEST_CASE_FIXTURE(GatewayProcessFixture, "Rollout_WhenItsRowsAreWritten_IsFollowedByAllGateways")
{
    const auto reaches = [&](const std::string &field, const std::string &text) {
        return waitUntil(
            [&] {
                return std::all_of(fleet_.entries_.begin(), fleet_.entries_.end(), [&](const std::string &gateway) {
                    return readStatusField(fleet_, gateway, field).find(text) != std::string::npos;
                });
            },
            Milliseconds(6000));
    };
    writeRolloutRow(fleet_, Platform::operatorTable, "engines", R"({"service":"engines","to":"v2","durationS":12})");
    writeUpstreamRow(fleet_, "engines-1", "ready", 4, false, 2, "v2");
    CHECK(reaches("rollouts", R"("state":"watching")"));
    CHECK(reaches("upstreams", R"("version":"v2","usable_version":true)"));
    for (int index = 0; index < 10; ++index) { // fewer than the twenty requests from which one call is allowed
        CHECK(call("/read/x", "r" + std::to_string(index), "gateway-1").status_ == 200);
    }
    CHECK(readStatusField(fleet_, "gateway-1", "rollouts").find(R"("new_answers":1)") == std::string::npos);
    writeRolloutRow(fleet_, Platform::statusTable, "engines", R"({"state":"rolled_back","to":"v2"})");
    CHECK(reaches("rollouts", R"("state":"rolled-back")"));
    CHECK(reaches("upstreams", R"("version":"v2","usable_version":false)"));
    CHECK(call("/read/x", "r-last", "gateway-2").status_ == 200);
}
