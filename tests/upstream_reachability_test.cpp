/**
 * @file upstream_reachability_test.cpp
 * @brief Tests of what checks and open connections tell of an upstream that is busy, at its limits or cut off.
 */
#include "endless_peer_fixture.h"
#include "error_type.h"
#include "socket_func.h"
#include "upstream_link.h"

#include <linux/filter.h>
#include <optional>
#include <sys/socket.h>
#include <vector>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Link to an upstream that is checked.
struct UpstreamReachabilityFixture : EndlessPeerFixture
{
    using Socket = boost::asio::ip::tcp::socket;

    UpstreamReachabilityFixture()
        : link_(io_, {})
    {
    }

    void startCheck()
    {
        checkAddress(link_, address_, [this](std::error_code error) { end_ = error; });
    }

    /// Opens a connection, configured like those to upstreams, and accepts it as peer_.
    Socket openConnection()
    {
        Socket socket(io_);
        socket.connect(*parseEndpoint(address_));
        configureSocket(socket, outgoingUserTimeout);
        acceptConnection();
        return socket;
    }

    /// Fills the queue of connections that the upstream has not accepted.
    void fillAcceptQueue()
    {
        ::listen(acceptor_.native_handle(), 0); // the queue then holds one connection
        waiting_.emplace_back(io_).connect(*parseEndpoint(address_));
    }

    /// Drops every packet that the peer's machine receives from now on.
    void cutOffPeer()
    {
        sock_filter dropAll{ BPF_RET | BPF_K, 0, 0, 0 };
        const sock_fprog program{ 1, &dropAll };
        REQUIRE(::setsockopt(peer_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
    }

    /// Accepts what is waiting and resets it.
    void resetWaitingConnection()
    {
        boost::system::error_code error;
        Socket socket(io_);
        acceptor_.accept(socket, error);
        if (!error) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            socket.close(error);
        }
    }

    UpstreamLink link_;
    std::vector<Socket> waiting_; ///< Connections that nobody accepts.
    std::optional<std::error_code> end_; ///< How the check ended.
};

} // namespace

TEST_CASE_FIXTURE(
    UpstreamReachabilityFixture, "Check_WhenItsConnectionIsResetBeforeThatIsHandled_FindsThatTheProcessLives")
{
    // Guards against streams that are moved from an upstream at its limit of connections.
    startCheck();
    resetWaitingConnection();
    runUntil([this] {
        resetWaitingConnection();
        return end_.has_value();
    });
    CHECK_FALSE(*end_);
}

TEST_CASE_FIXTURE(
    UpstreamReachabilityFixture, "Check_WhenTheAcceptQueueIsFull_FailsWhileAnOpenConnectionIsAcknowledged")
{
    Socket open = openConnection();
    fillAcceptQueue();
    startCheck();
    runUntil([this] { return end_.has_value(); });
    CHECK(end_ == make_error_code(TransportErrc::NotSent));
    CHECK(isAcknowledged(open));
}

TEST_CASE_FIXTURE(UpstreamReachabilityFixture, "Connection_WhenItsPeerOnlyPauses_StaysAcknowledged")
{
    Socket open = openConnection();
    for (int step = 0; step < 25; ++step) {
        runFor(Milliseconds(100));
        CHECK(isAcknowledged(open));
    }
}

TEST_CASE_FIXTURE(UpstreamReachabilityFixture, "Connection_WhenItsPeerIsCutOff_IsNotAcknowledged")
{
    Socket open = openConnection();
    cutOffPeer();
    runFor(Milliseconds(1150)); // a silent stream's first check ends no sooner
    CHECK_FALSE(isAcknowledged(open));
}
