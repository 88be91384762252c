/**
 * @file crash_fleet_fixture.h
 * @brief Fleet of gateways and engines in one thread, for tests of requests that crash the engines that answer them.
 *
 * The clock and the network are simulated: messages between gateways arrive with the next step. Engines crash when they
 * begin to answer a request that has a deadly part in its prompt, and return after a time as another start.
 */
#pragma once

#include "gateway_fixture.h"

#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace Burdockfield::Testing {

/// Size of a simulated fleet.
struct CrashFleetSpec
{
    size_t gateways_ = 5; ///< Gateways.
    size_t engines_ = 9; ///< Engines, with four slots each.
};

/// Disturbances of a simulated fleet; none by default.
struct CrashFleetDisturbance
{
    double stallsPerSecond_ = 0; ///< Stalls of each gateway, during which it runs no tick.
    Milliseconds longestStall_{ 0 }; ///< Longest stall.
    double lostShare_ = 0; ///< Share of the messages between gateways that are lost.
    Milliseconds longestDelay_{ 0 }; ///< Longest extra delay of such a message.
    double eventShare_ = 0; ///< Share of deadly requests whose engine sends events before it crashes.
    Milliseconds shortestCrashDelay_{ 0 }; ///< Shortest time from the header of such an answer to the crash.
    Milliseconds longestCrashDelay_{ 0 }; ///< Longest such time; 0 for a crash as soon as the answer begins.
    Milliseconds longestExit_{ 0 }; ///< Longest time for which a crashed engine still accepts connections.
};

/// What a gateway's connection to an engine that is down meets.
enum class DownEngine : uint8_t {
    Refuses, ///< Its machine refuses the connection.
    IsSilent, ///< Nothing answers, so that the connection times out.
    Accepts, ///< Something in between accepts the connection, but answers no call.
};

/// What became of all copies of one request that has a deadly part.
struct DeadlyRequestRecord
{
    std::vector<TimePoint> sends_; ///< When copies reached an engine.
    std::vector<TimePoint> crashes_; ///< When a copy crashed its engine.
};

/// Engine of a simulated fleet.
struct SimulatedEngine
{
    UpstreamRow row_; ///< Row of its latest start; removed_ while it is down.
    TimePoint upAt_{}; ///< When it is up again after a crash.
    TimePoint exitedAt_{}; ///< Until when it accepts connections after a crash, without answering.
};

/// Request at an engine.
struct SimulatedRun
{
    size_t gateway_ = 0; ///< Gateway that sent it.
    uint64_t send_ = 0; ///< Number of the send there.
    size_t engine_ = 0; ///< Engine that runs it.
    bool deadly_ = false; ///< Whether the engine crashes when it begins to answer.
    bool begun_ = false; ///< Whether its header has been sent.
    bool sendsEvents_ = true; ///< Whether events follow the header.
    TimePoint dueAt_{}; ///< When its answer begins; if it has begun, when its next event is sent or it ends.
    std::string body_{}; ///< Body of the request.
    TimePoint endsAt_{}; ///< When the answer ends, by a crash if the request is deadly.
    uint64_t events_ = 0; ///< Events sent.
};

/// What happened in a simulated fleet since the counts were last cleared.
struct CrashFleetCounts
{
    size_t crashes_ = 0; ///< Engines that crashed.
    size_t deadlyRuns_ = 0; ///< Requests with a deadly part that reached an engine.
    size_t soundCalls_ = 0; ///< Requests without one.
    size_t soundServed_ = 0; ///< Those of them whose answer was complete.
    size_t refused_ = 0; ///< Requests that were refused.
    Duration refusedAfter_{}; ///< Sum of the times from their arrival to the refusal.
    size_t crowdedRuns_ = 0; ///< Requests that reached an engine whose slots were taken, one waiting already.
};

/// Simulated fleet, stepped by the test.
struct CrashFleetFixture
{
    CrashFleetFixture()
    {
        start({});
    }

    /// Replaces the fleet by one of another size.
    void start(const CrashFleetSpec &spec);

    /// Replaces a gateway by a new process that knows the configuration and the list only.
    void restartGateway(size_t gateway);

    /// Runs the fleet for a time. @param sound, deadly requests a second with the shared first part, without and with
    /// the deadly part
    void run(Milliseconds time, double sound, double deadly);

    /// Lets engines crash for a reason of their own.
    void crashEngines(const std::vector<size_t> &engines);

    /// Hands a request to a gateway.
    void arrive(size_t gateway, const std::vector<uint64_t> &parts, const std::string &body);

    static constexpr uint64_t firstPart = 1; ///< Part that all requests have.
    static constexpr uint64_t deadlyPart = 666; ///< Part that crashes engines.

    std::vector<GatewayState> gateways_; ///< Gateways.
    std::vector<GatewayInbox> inboxes_; ///< What each of them receives in the next step.
    std::vector<SimulatedEngine> engines_; ///< Engines.
    std::vector<SimulatedRun> runs_; ///< Requests at engines.
    bool crashesAfterFirstEvent_ = false; ///< Whether engines send the first event of an answer before they crash.
    CrashFleetDisturbance disturbance_; ///< What disturbs the gateways and their messages.
    std::map<size_t, DownEngine> downEngines_; ///< What gateways meet at engines that are down; Refuses by default.
    std::map<std::pair<std::string, UpstreamStart>, CrashRecord> storedCrashes_; ///< Rows of the simulated store.
    std::map<Trait, VerdictRecord> storedVerdicts_; ///< The same.
    size_t storeWrites_ = 0; ///< Transactions of the simulated store.
    size_t largestWrite_ = 0; ///< Most rows of one of them.
    bool storeDown_ = false; ///< Whether the simulated store refuses all calls.
    std::set<size_t> isolated_; ///< Gateways whose messages to and from peers are lost.
    std::set<uint64_t> deadlyParts_{ deadlyPart }; ///< Parts that crash engines.
    std::set<uint64_t> deadlyExchanges_; ///< Requests that have one of them.
    std::map<std::string, DeadlyRequestRecord> deadlyRequests_; ///< The same requests by body, copies together.
    std::vector<Decision> decisions_; ///< Log records of all gateways.
    std::vector<RefuseCall> refusals_; ///< Refusals by all gateways.
    std::map<uint64_t, TimePoint> arrivedAt_; ///< When requests arrived.
    CrashFleetCounts counts_; ///< What happened.
    TimePoint now_{ std::chrono::hours(1) }; ///< Simulated time.
    std::mt19937_64 random_{ 1 }; ///< Source of arrivals and disturbances.

private:
    void startGateway(size_t gateway);
    void step();
    void stepEngines();
    void serveStore(size_t gateway, const GatewayOutbox &outbox);
    void beginAnswer(SimulatedRun &run);
    void sendEvent(SimulatedRun &run);
    void deliverUpdates();
    void sendUpdate(size_t gateway, SendUpdate &command);
    bool isDelivered(size_t gateway, size_t peer);
    Milliseconds drawUpTo(Milliseconds longest);
    void receive(size_t gateway, GatewayOutbox &outbox);
    bool isUp(const std::string &address) const;
    std::error_code checkDownEngine(size_t gateway) const;
    void acceptSend(size_t gateway, const SendCall &command);
    void crash(size_t engine);
    void announce(const UpstreamRow &row);

    std::vector<TimePoint> stalledUntil_; ///< End of each gateway's latest stall.
    std::multimap<TimePoint, std::pair<size_t, PeerUpdate>> inTransit_; ///< Delayed updates and their receivers.
    std::multimap<TimePoint, std::pair<size_t, SlotMessage>> slotsInTransit_; ///< The same of messages about slots.
    uint64_t nextExchange_ = 1; ///< Number of the next request.
    uint64_t listVersion_ = 10; ///< Version of the list of engines.
};

} // namespace Burdockfield::Testing
