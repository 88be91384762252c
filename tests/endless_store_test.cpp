/**
 * @file endless_store_test.cpp
 * @brief Tests of reads from a store whose replies never end, with the memory of the smallest machine.
 */
#include "base64_func.h"
#include "daemon_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "heap_func.h"
#include "http_func.h"
#include "http_server.h"
#include "large_configuration_func.h"
#include "store_client.h"

#include <doctest/doctest.h>

using namespace Burdockfield;
using namespace Burdockfield::Platform;
using namespace Burdockfield::Testing;

namespace {

/// Client of a store that answers every call as the test chooses.
struct EndlessStoreFixture
{
    EndlessStoreFixture()
        : store_(io_, {}, makeStoreHandlers())
    {
        REQUIRE_FALSE(listen(store_, address_));
        setReplyMemory(client_, smallestMemory);
    }

    ServerHandlers makeStoreHandlers()
    {
        ServerHandlers handlers;
        handlers.onRequest_ = [this](ExchangeId exchange, const HttpRequest &request) {
            ++calls_;
            std::string body = answer_(request.target_);
            sentBytes_ += body.size();
            respond(store_, exchange, makeJsonReply(std::move(body)));
        };
        handlers.onDisconnect_ = [](ExchangeId /*exchange*/) {
        };
        return handlers;
    }

    /// Reads a table until its end, or until the store has sent far more than the machine's memory.
    void read()
    {
        bool ended = false;
        readTable(client_, address_, "t", Milliseconds(2000), [this, &ended](std::error_code error, TableRead table) {
            error_ = error;
            rows_ = table.rows_.size();
            table_ = std::move(table);
            ended = true;
        });
        CHECK(waitUntil(
            [this, &ended] {
                for (int handlers = 0; handlers < 100 && io_.poll_one() > 0;
                     ++handlers) { // an endless read never idles
                }
                return ended || calls_ > maxCalls || sentBytes_ > 2 * smallestMemory;
            },
            Milliseconds(20000)));
        CHECK(ended);
        store_.handlers_.onRequest_ = [](ExchangeId /*exchange*/, const HttpRequest & /*request*/) {
        };
    }

    static std::string makeRow(const std::string &key, const std::string &value)
    {
        return R"({"table":"t","part":"","key":")" + key + R"(","ver":1,"value":")" + encodeBase64(value) + "\"}";
    }

    static std::string makePage(const std::string &rows, bool more)
    {
        return R"({"rows":[)" + rows + R"(],"ver":1,"hasMore":)" + (more ? "true}" : "false}");
    }

    static constexpr size_t maxCalls = 1000; ///< Calls after which a read counts as endless.
    Asio::io_context io_{ 1 };
    HttpClient client_{ io_ };
    std::string address_ = takeAddresses(1)[0];
    HttpServer store_;
    std::function<std::string(const std::string &)> answer_; ///< Body of the reply to a target.
    size_t calls_ = 0; ///< Calls received.
    size_t sentBytes_ = 0; ///< Bytes of all replies.
    std::error_code error_; ///< How the read ended.
    size_t rows_ = 0; ///< Rows that it returned.
    TableRead table_; ///< What it returned.
};

} // namespace

TEST_CASE_FIXTURE(EndlessStoreFixture, "ReadTable_WhenThePagesRepeat_GivesTheReadUp")
{
    answer_ = [](const std::string & /*target*/) {
        return makePage(makeRow("a", "value"), true);
    };
    read();
    CHECK(error_);
    CHECK(calls_ <= 2);
}

TEST_CASE_FIXTURE(EndlessStoreFixture, "ReadTable_WhenAnEmptyPageHasMore_GivesTheReadUp")
{
    answer_ = [this](const std::string & /*target*/) {
        return makePage(calls_ == 1 ? makeRow("a", "value") : std::string(), true);
    };
    read();
    CHECK(error_);
    CHECK(calls_ <= 2);
}

TEST_CASE_FIXTURE(EndlessStoreFixture, "ReadTable_WhenTheRowsNeverEnd_GivesTheReadUpWithinTheMemory")
{
    answer_ = [this](const std::string & /*target*/) {
        std::string rows;
        for (int row = 0; row < 500; ++row) {
            rows += (row == 0 ? "" : ",")
                + makeRow(std::to_string(1000000 + calls_ * 500 + row), std::string(1500, 'a'));
        }
        return makePage(rows, true);
    };
    const size_t before = heapBytes();
    read();
    CHECK(error_);
    CHECK(sentBytes_ <= heldBound);
    CHECK(heapGrowth(before) <= heldBound);
}

TEST_CASE_FIXTURE(EndlessStoreFixture, "ReadTable_WhenTheConfigurationIsTheLargest_ReadsAndDecodesIt")
{
    const std::string text = makeLargeConfiguration();
    answer_ = [&text](const std::string & /*target*/) {
        return makePage(makeRow("config", text), false);
    };
    read();
    CHECK_FALSE(error_);
    REQUIRE(rows_ == 1);
    Gateway::Configuration configuration;
    CHECK_FALSE(parseConfiguration(table_.rows_[0].value_, configuration));
    CHECK(configuration.routes_.size() == largeConfigurationRoutes);
    CHECK(configuration.workspaces_.size() == largeConfigurationWorkspaces);
}

// The same number of rows as 3,000 upstreams.
TEST_CASE_FIXTURE(EndlessStoreFixture, "ReadTable_WhenATableHasSixPages_ReadsAllOfThem")
{
    constexpr size_t pages = 6;
    answer_ = [this](const std::string & /*target*/) {
        std::string rows;
        for (int row = 0; row < 500; ++row) {
            rows
                += (row == 0 ? "" : ",") + makeRow(std::to_string(1000000 + calls_ * 500 + row), std::string(200, 'a'));
        }
        return makePage(rows, calls_ < pages);
    };
    read();
    CHECK_FALSE(error_);
    CHECK(rows_ == pages * 500);
}
