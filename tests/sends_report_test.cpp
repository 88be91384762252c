/**
 * @file sends_report_test.cpp
 * @brief Tests the report on requests that were sent more than once, and the command that prints it.
 */
#include "cli_func.h"
#include "sends_fixture.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace Burdockfield;
using namespace Burdockfield::Sends;

namespace {

/// Lines that a gateway of the soak wrote before sends named cause, address and connection; the call ran twice.
constexpr std::string_view earlierRelease
    = R"({"time":"2026-12-06T15:06:36.792658Z","node":"gateway-10","event":"upstream","upstream":"desk-1-replaced-12","change":"listed","service":"desk","address":"127.0.0.1:10865","source":"store"}
{"time":"2026-12-06T15:06:37.921088Z","node":"gateway-10","event":"upstream","upstream":"desk-2-replaced-4","change":"listed","service":"desk","address":"127.0.0.1:28618","source":"store"}
{"time":"2026-12-06T15:06:38.372078Z","node":"gateway-10","event":"upstream","upstream":"desk-1-replaced-13","change":"listed","service":"desk","address":"127.0.0.1:10865","source":"store"}
{"time":"2026-12-06T15:06:38.545996Z","node":"gateway-10","event":"sent","request":"c8-181","upstream":"desk-1-replaced-12","attempt":"1","route":"once","rank":"0","in_flight":"1","own":"1","slots":"4","broker":"127.0.0.1:11749","reply_ms":"0","waited_ms":"0","left_ms":"3999"}
{"time":"2026-12-06T15:06:38.546509Z","node":"gateway-10","event":"send-failed","request":"c8-181","upstream":"desk-1-replaced-12","error":"answer-refused","status":"421","not_run":"yes","attempt":"1","events":"0","after_ms":"0"}
{"time":"2026-12-06T15:06:38.547135Z","node":"gateway-10","event":"sent","request":"c8-181","upstream":"desk-1-replaced-13","attempt":"1","route":"once","rank":"0","in_flight":"4","own":"1","slots":"4","broker":"127.0.0.1:11749","reply_ms":"0","waited_ms":"1","left_ms":"3998"}
{"time":"2026-12-06T15:06:38.547624Z","node":"gateway-10","event":"send-failed","request":"c8-181","upstream":"desk-1-replaced-13","error":"answer-refused","status":"421","not_run":"yes","attempt":"1","events":"0","after_ms":"0"}
{"time":"2026-12-06T15:06:38.547827Z","node":"gateway-10","event":"sent","request":"c8-181","upstream":"desk-2-replaced-4","attempt":"1","route":"once","rank":"0","in_flight":"3","own":"3","slots":"4","broker":"127.0.0.1:11749","reply_ms":"0","waited_ms":"2","left_ms":"3997"}
{"time":"2026-12-06T15:06:38.568223Z","node":"gateway-10","event":"answered","request":"c8-181","route":"once","workspace":"workspace-1","outcome":"ok","status":"200","attempts":"1","events":"0","upstream":"desk-2-replaced-4","took_ms":"22"}
)";

/// Writes the log to a file and runs the command on it.
struct SendsCommandFixture : SendsFixture
{
    SendsCommandFixture()
    {
        std::filesystem::create_directories(folder_);
    }

    ~SendsCommandFixture()
    {
        std::filesystem::remove_all(folder_);
    }

    SendsCommandFixture(const SendsCommandFixture &) = delete;
    SendsCommandFixture &operator=(const SendsCommandFixture &) = delete;
    SendsCommandFixture(SendsCommandFixture &&) = delete;
    SendsCommandFixture &operator=(SendsCommandFixture &&) = delete;

    ExitStatus run(bool json = false)
    {
        const std::string file = (folder_ / "gateway.log").string();
        std::ofstream(file) << text_;
        std::ostringstream output;
        std::streambuf *terminal = std::cout.rdbuf(output.rdbuf());
        const ExitStatus status = sendsCommand({ { file }, json, true });
        std::cout.rdbuf(terminal);
        output_ = output.str();
        return status;
    }

    std::filesystem::path folder_ = std::filesystem::temp_directory_path() / ("sends-test-" + std::to_string(getpid()));
    std::string output_; ///< Of the last run.
};

} // namespace

TEST_CASE_FIXTURE(SendsFixture, "EarlierRelease_WhenAnIdReturnsToAnAddress_IsUnknown")
{
    text_ = earlierRelease;
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 2);
    CHECK(found.sends_[0].finding_ == Finding::ConnectionNotLogged);
    CHECK(found.sends_[0].before_.upstream_ == "desk-1-replaced-13");
    CHECK(found.sends_[0].before_.end_ == SendEnd::WrongInstance);
    CHECK(causeText(found.sends_[0].send_) == "unknown");
    CHECK(found.sends_[1].finding_ == Finding::FirstAtAddress);
    CHECK(found.sends_[1].before_.address_ == found.sends_[0].before_.address_);
    CHECK(found.doubtful_ == 0);
}

TEST_CASE_FIXTURE(SendsFixture, "EarlierRelease_WhenNoLineListsTheInstances_HasNoAddress")
{
    text_ = earlierRelease.substr(earlierRelease.rfind("\n", earlierRelease.find("\"sent\"")) + 1);
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 2);
    CHECK(found.sends_[0].finding_ == Finding::AddressNotLogged);
    CHECK(found.sends_[0].before_.address_.empty());
    CHECK(formatReport(found).find("desk-1-replaced-13 at unknown") != std::string::npos);
}

TEST_CASE_FIXTURE(SendsFixture, "EarlierRelease_WhenTheFirstCallHadEnded_FindsTwoCalls")
{
    for (int i = 0; i < 2; ++i) {
        add("sent", { { "request", "c1" }, { "upstream", "desk-1" }, { "attempt", "1" } });
        add("answered", { { "request", "c1" }, { "upstream", "desk-1" } });
    }
    CHECK(finding() == Finding::TwoCalls);
}

TEST_CASE_FIXTURE(SendsFixture, "Instance_WhenItWasListedAtTwoAddresses_HasNone")
{
    for (const char *address : { "10.0.0.1:80", "10.0.0.2:80" }) {
        add("upstream", { { "upstream", "desk-1" }, { "change", "listed" }, { "address", address } });
    }
    add("sent", { { "request", "c1" }, { "upstream", "desk-1" } });
    add("send-failed",
        { { "request", "c1" }, { "upstream", "desk-1" }, { "error", "lost" }, { "status", "none" },
            { "not_run", "no" } });
    add("sent", { { "request", "c1" }, { "upstream", "desk-2" } });
    const SendReport found = report();
    REQUIRE(found.sends_.size() == 1);
    CHECK(found.sends_[0].before_.address_.empty());
    CHECK(found.sends_[0].finding_ == Finding::MayRunTwice);
}

TEST_CASE_FIXTURE(SendsFixture, "Report_WhenSendsDiffer_ListsDoubtfulOnesAndCallsThatMustRunOnceFirst")
{
    const std::vector<std::pair<std::string, std::string>> calls{ { "proved", "no" }, { "again", "yes" },
        { "once", "no" } };
    for (const auto &[request, repeatable] : calls) {
        addSent(request, "desk-1", "first", repeatable);
        addFailed(request, "desk-1", "421", "4", "0", request == "proved" ? "yes" : "no");
        addSent(request, "desk-2", "wrong-instance", repeatable);
    }
    SendReport found = report();
    REQUIRE(found.sends_.size() == 3);
    CHECK(found.sends_[0].request_ == "once");
    CHECK(found.sends_[1].request_ == "again");
    CHECK(found.sends_[2].request_ == "proved");
    keepDoubtful(found);
    CHECK(found.sends_.size() == 2);
    CHECK(found.requests_ == 3);
}

TEST_CASE_FIXTURE(SendsFixture, "Summary_WhenAnUpstreamWasReplaced_NamesItsSuccessorAtTheAddress")
{
    add("upstream",
        { { "upstream", "desk-1" }, { "change", "replaced" }, { "address", "10.0.0.1:80" },
            { "source", "desk-1-new" } });
    for (const char *request : { "c1", "c2" }) {
        addSent(request, "desk-1", "first");
        addFailed(request, "desk-1", "421", "4");
        addSent(request, "desk-2", "wrong-instance");
    }
    addSent("c3", "desk-2", "first", "yes");
    addFailed("c3", "desk-2", "none", "5");
    addSent("c3", "desk-1-new", "failed", "yes");
    const SendReport found = report();
    CHECK(found.byCause_.at({ "wrong-instance", Verdict::Proved }) == 2);
    CHECK(found.byCause_.at({ "failed", Verdict::Repeatable }) == 1);
    REQUIRE(found.byAddress_.size() == 2);
    CHECK(found.byAddress_[0].address_ == "10.0.0.1:80");
    CHECK(found.byAddress_[0].total_ == 2);
    CHECK(found.byAddress_[0].successors_.at("desk-1") == "desk-1-new");
    CHECK(formatReport(found).find("10.0.0.1:80   proved 2  replaced: desk-1 by desk-1-new") != std::string::npos);
}

TEST_CASE_FIXTURE(SendsFixture, "Report_WhenTheGatewayLeftOutLines_SaysSo")
{
    add("lines-left-out", { { "lines", "12" } });
    CHECK(formatReport(report()).find("left out 12 log lines") != std::string::npos);
}

TEST_CASE_FIXTURE(SendsFixture, "Report_WhenThereAreTooManyRequests_SaysThatItIsIncomplete")
{
    for (const char *request : { "c1", "c2" }) {
        addSent(request, "desk-1", "first");
        addSent(request, "desk-2", "not-connected");
    }
    limits_.requests_ = 1;
    const SendReport found = report();
    CHECK(found.requests_ == 1);
    CHECK(found.incomplete_);
    limits_ = {};
    limits_.sendsPerRequest_ = 1;
    CHECK(report().incomplete_);
}

TEST_CASE_FIXTURE(SendsCommandFixture, "Command_WhenNoSendIsDoubtful_Succeeds")
{
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "421", "4");
    addSent("c1", "desk-2", "wrong-instance");
    CHECK(run() == ExitStatus::Done);
    CHECK(output_.find("wrong-instance   proved 1") != std::string::npos);
    CHECK(output_.find("c1") == std::string::npos); // not doubtful
}

TEST_CASE_FIXTURE(SendsCommandFixture, "Command_WhenASendIsDoubtful_ReturnsItsStatusAndPrintsIt")
{
    addSent("c1", "desk-1", "first");
    addFailed("c1", "desk-1", "none", "4");
    addSent("c1", "desk-2", "failed");
    CHECK(run() == ExitStatus::Refused);
    CHECK(output_.find("doubtful: c1") == 0);
    CHECK(run(true) == ExitStatus::Refused);
    CHECK(output_.find(R"({"requests":1,"doubtful":1,"complete":true,)") == 0);
    CHECK(output_.find(R"("finding":"must-run-once","cause":"failed")") != std::string::npos);
}

TEST_CASE_FIXTURE(SendsCommandFixture, "Command_WhenAFileIsMissing_ReportsWrongUsage")
{
    CHECK(sendsCommand({ { (folder_ / "none.log").string() } }) == ExitStatus::Usage);
}
