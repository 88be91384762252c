/**
 * @file received_table_test.cpp
 * @brief Tests of what is kept of the rows of the upstreams' table.
 */
#include "received_table.h"

#include <doctest/doctest.h>

using namespace Burdockfield;
using namespace Burdockfield::Platform;

namespace {

/// Rows that a read has received.
struct ReceivedTableFixture
{
    void receive(const std::string &key, const std::string &value)
    {
        receiveUpstream(received_, { "servers", key, value, { 0, ++version_ } });
    }

    void remove(const std::string &key)
    {
        receiveUpstream(received_, { "servers", key, {}, { 0, ++version_ }, true });
    }

    const std::string sound_ = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,)"
                               R"("state":"ready","coldRemainingMs":0,"sequence":4,"born":5})";
    ReceivedTable received_;
    uint64_t version_ = 0; ///< Version of the last row.
};

} // namespace

TEST_CASE_FIXTURE(ReceivedTableFixture, "ReceivedTable_WhenForeignRowsAreMany_KeepsLittleOfThem")
{
    constexpr size_t rows = 30000;
    constexpr size_t bytesOfEach = 64; // twice what a hash and a flag take, while the list grows
    for (size_t row = 0; row < rows; ++row) {
        receive(std::string(190, 'b') + std::to_string(row), "not json");
    }
    receive("i-1", sound_);
    CHECK(keptBytes(received_) <= rows * bytesOfEach);
    const auto taken = takeUpstreams(received_, { "i-1", "i-2" });
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].id_ == "i-1");
}

TEST_CASE_FIXTURE(ReceivedTableFixture, "ReceivedTable_WhenARowChangesSeveralTimes_HasItsLastChange")
{
    receive("i-1", sound_);
    remove("i-1");
    remove("i-2");
    receive("i-2", sound_);
    receive("i-3", sound_);
    receive("i-3", "not json");
    remove("i-4");
    receive("i-4", "not json");
    receive("i-5", "not json");
    remove("i-5");
    const auto taken = takeUpstreams(received_, { "i-1", "i-2", "i-3", "i-4", "i-5", "i-6" });
    REQUIRE(taken.size() == 5); // the removed ones come first
    CHECK(taken.back().id_ == "i-2");
    CHECK_FALSE(taken.back().removed_);
    for (size_t row = 0; row < 4; ++row) {
        CHECK(taken[row].removed_);
        CHECK(taken[row].unusable_ == (taken[row].id_ == "i-3" || taken[row].id_ == "i-4"));
    }
}
