/**
 * @file store_client_test.cpp
 * @brief Tests of calls to the platform's store, with a store that loses replies or sends one too many.
 */
#include "store_client.h"

#include "endless_peer_fixture.h"
#include "error_type.h"

#include <list>
#include <optional>

using namespace Burdockfield;
using namespace Burdockfield::Platform;
using namespace Burdockfield::Testing;

namespace {

/// Connection of the client to the store.
struct StoreConnection
{
    explicit StoreConnection(boost::asio::io_context &io)
        : socket_(io)
    {
    }

    boost::asio::ip::tcp::socket socket_; ///< The store's end.
    std::string received_; ///< Everything received on it.
};

/// Client that has read a row of a store, so that it holds a connection for the next call.
struct StoreClientFixture : EndlessPeerFixture
{
    StoreClientFixture()
    {
        acceptor_.non_blocking(true);
        readStoreRow(client_, address_, { "claims", "a" }, [this](const StoreResult &result) { read_ = result; });
        runUntil([this] {
            receive();
            return connections_.size() == 1 && connections_.front().received_.ends_with("\r\n\r\n");
        });
        reply(connections_.front(), readReply);
        runUntil([this] { return read_.has_value(); });
        CHECK_FALSE(read_->error_);
    }

    void startTransaction()
    {
        StoreTransaction transaction;
        transaction.checks_.push_back({ { "claims", "a" }, 0 });
        transaction.rowWrites_.push_back({ { "claims", "a" }, "holder", false });
        runStoreTransaction(
            client_, address_, transaction, [this](const StoreResult &result) { written_ = result.error_; });
        runUntil([this] {
            receive();
            return countTransactions() == 1;
        });
    }

    /// Accepts new connections and receives what has arrived on all.
    void receive()
    {
        boost::system::error_code error;
        for (boost::asio::ip::tcp::socket socket(io_); !error;) {
            acceptor_.accept(socket, error);
            if (!error) {
                socket.non_blocking(true);
                connections_.emplace_back(io_).socket_ = std::move(socket);
            }
        }
        for (StoreConnection &connection : connections_) {
            std::array<char, 4096> bytes{};
            const size_t length = connection.socket_.read_some(boost::asio::buffer(bytes), error);
            connection.received_.append(bytes.data(), length);
        }
    }

    /// @return how often a request with this text in its path was received.
    size_t countRequests(const std::string &path) const
    {
        size_t requests = 0;
        for (const StoreConnection &connection : connections_) {
            for (size_t at = connection.received_.find(path); at != std::string::npos; ++requests) {
                at = connection.received_.find(path, at + 1);
            }
        }
        return requests;
    }

    size_t countTransactions() const
    {
        return static_cast<size_t>(std::count_if(connections_.begin(), connections_.end(), receivedTransaction));
    }

    static bool receivedTransaction(const StoreConnection &connection)
    {
        return connection.received_.find("rows-tx") != std::string::npos;
    }

    /// Ends the connection that has received the transaction.
    void loseReply()
    {
        std::find_if(connections_.begin(), connections_.end(), receivedTransaction)->socket_.close();
    }

    static void reply(StoreConnection &connection, const std::string &text)
    {
        boost::system::error_code ignored;
        boost::asio::write(connection.socket_, boost::asio::buffer(text), ignored);
    }

    static std::string makeReply(const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    inline static const std::string readReply = makeReply(R"({"rows":[],"ver":7})");
    HttpClient client_{ io_ };
    std::list<StoreConnection> connections_; ///< All connections, in the order in which they were accepted.
    std::optional<StoreResult> read_; ///< Result of the read.
    std::optional<std::error_code> written_; ///< How the transaction ended.
};

} // namespace

TEST_CASE_FIXTURE(StoreClientFixture, "Transaction_WhenItsConnectionBreaksAfterItWasReceived_IsNotSentAgain")
{
    startTransaction();
    loseReply();
    const auto refuseFurther = [this] {
        receive();
        if (countTransactions() > 1) {
            reply(connections_.back(), "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        return written_.has_value();
    };
    runUntil(refuseFurther);
    CHECK(written_ == make_error_code(StoreErrc::Ambiguous));
    CHECK(countTransactions() <= 1);
}

TEST_CASE_FIXTURE(StoreClientFixture, "Transaction_WhenAnEarlierReplyComesAgainOnItsConnection_IsNotTakenAsApplied")
{
    startTransaction();
    reply(connections_.front(), readReply);
    runFor(Milliseconds(50));
    loseReply();
    runUntil([this] { return written_.has_value(); });
    CHECK(written_ == make_error_code(StoreErrc::Ambiguous));
}

TEST_CASE_FIXTURE(StoreClientFixture, "Row_WhenAnEarlierReplyComesAgainOnItsConnection_IsReadFromItsOwn")
{
    read_.reset();
    readStoreRow(client_, address_, { "claims", "a" }, [this](const StoreResult &result) { read_ = result; });
    runUntil([this] {
        receive();
        return countRequests("rows-get") == 2;
    });
    reply(connections_.front(), readReply);
    runFor(Milliseconds(50));
    reply(connections_.back(),
        makeReply(R"({"rows":[{"table":"claims","part":"","key":"a","value":"YQ==","ver":9}],"ver":9})"));
    runUntil([this] { return read_.has_value(); });
    CHECK(read_->rows_.at(0).version_ == 9);
}

TEST_CASE_FIXTURE(StoreClientFixture, "Table_WhenAnEarlierReplyComesAgainOnItsConnection_IsReadFromItsOwn")
{
    uint64_t version = 0;
    const auto startRead = [this, &version] {
        const size_t reads = countRequests("rows-get") + 1;
        readTable(client_, address_, "servers", Milliseconds(2000),
            [&version](std::error_code /*error*/, const TableRead &read) { version = read.version_.version_; });
        runUntil([this, reads] {
            receive();
            return countRequests("rows-get") == reads;
        });
    };
    startRead();
    StoreConnection &first = connections_.back();
    reply(first, readReply);
    runUntil([&version] { return version == 7; });
    startRead();
    reply(first, readReply);
    runFor(Milliseconds(50));
    reply(connections_.back(), makeReply(R"({"rows":[],"ver":9})"));
    runUntil([&version] { return version == 9; });
}

// The version of one table says nothing about the changes of another.
TEST_CASE_FIXTURE(StoreClientFixture, "Poll_WhenTheReplyToAPollOfAnotherTableComesAgain_IsNotAnsweredByIt")
{
    uint64_t version = 0;
    for (const char *table : { "servers", "op" }) {
        version = 0;
        const auto dropRow = [](const TableRow & /*row*/) {
            return size_t{ 0 };
        };
        pollTableChanges(client_, address_, { table, 1, Milliseconds(0), Milliseconds(2000) }, { dropRow, {} },
            [&version](std::error_code /*error*/, const TableRead &read) { version = read.version_.version_; });
        const size_t polls = countRequests("rows-feed") + 1;
        runUntil([this, polls] {
            receive();
            return countRequests("rows-feed") == polls;
        });
        for (StoreConnection &connection : connections_) {
            if (connection.received_.find("table=servers") != std::string::npos) {
                reply(connection, makeReply(R"({"rows":[],"ver":60})"));
            }
        }
        runFor(Milliseconds(50));
    }
    CHECK(version == 0);
    reply(connections_.back(), makeReply(R"({"rows":[],"ver":61})"));
    runUntil([&version] { return version == 61; });
}

// A store that is overloaded would otherwise get a new connection with each call.
TEST_CASE_FIXTURE(StoreClientFixture, "Poll_WhenTheStoreRefusesIt_KeepsItsConnection")
{
    size_t connections = 0;
    for (size_t poll = 1; poll <= 2; ++poll) {
        std::error_code end;
        pollTableChanges(client_, address_, { "servers", 1, Milliseconds(0), Milliseconds(2000) }, {},
            [&end](std::error_code error, const TableRead & /*read*/) { end = error; });
        runUntil([this, poll] {
            receive();
            return countRequests("rows-feed") == poll;
        });
        CHECK((poll == 1 || connections_.size() == connections));
        connections = connections_.size();
        for (StoreConnection &connection : connections_) {
            if (connection.received_.find("table=servers") != std::string::npos) {
                reply(connection, "HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\n{}");
            }
        }
        runUntil([&end] { return end == make_error_code(StoreErrc::Unavailable); });
    }
}
