/**
 * @file fleet.h
 * @brief Small deployment: gateways of the deploy file, runners as processes, and the store, all on loopback.
 */
#pragma once

#include "record.h"
#include "store.h"

#include <deque>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

/// Process of the product's role "gateway".
struct GatewayProcess
{
    std::string name_;
    std::string settingsFile_;
    Endpoint listen_;
    Endpoint ready_;
    pid_t process_ = -1;
};

/// Runner and its row in the store.
struct RunnerProcess
{
    std::string service_;
    std::vector<std::string> options_; ///< See runner.cpp.
    Endpoint endpoint_;
    std::string id_;
    uint32_t slots_ = 9;
    pid_t process_ = -1;
    int64_t downSince_ = 0; ///< When it was found to have crashed, 0 while it runs.
};

/// Row of a crashed runner, still in the store.
struct StaleRow
{
    std::string id_;
    int64_t removeAt_ = 0;
};

/// All processes of a case. Addresses of its members stay the same.
struct Fleet
{
    std::string folder_; ///< Temporary folder.
    std::string recordFile_;
    uint32_t memoryMb_ = 260; ///< Memory limit of a gateway's machine.
    Store store_;
    std::deque<GatewayProcess> gateways_;
    std::deque<RunnerProcess> runners_;
    std::vector<StaleRow> staleRows_;
    uint32_t startedRunners_ = 0; ///< For the ids of runners.
};

/// Request of a client.
struct Call
{
    std::string id_;
    std::string target_;
    std::string body_;
    int deadlineMs_ = 6000;
    std::string parts_ = "aa:60,bb:40"; ///< Parts of its prompt.
};

/// @return whether the case runs with its disruption: unless the variable TROUBLE is 0.
bool hasTrouble();

/// Starts the store, writes the configuration, and adds gateways and runners. Nothing else is started.
void prepareFleet(Fleet &fleet, const std::string &recordFile, uint32_t gateways);

/// Adds a runner. @param options see runner.cpp
RunnerProcess &addRunner(Fleet &fleet, const std::string &service, const std::vector<std::string> &options);

/// Starts a runner as a new instance and writes its row.
void startRunner(Fleet &fleet, RunnerProcess &runner);

/// Starts a gateway.
void startGateway(Fleet &fleet, GatewayProcess &gateway);

/// Starts all processes and waits until all gateways are ready. Ends the case with status 2 if they aren't in time.
void startFleet(Fleet &fleet);

/// Sends a signal to a process, and waits for its end if the signal ends it.
void killProcess(pid_t &process, int signal);

/// @return whether a process has ended by itself; it is then no longer running.
bool hasEnded(pid_t &process);

/// Brings crashed runners back after some seconds, and removes the rows of their last instances. Call it often.
void reviveRunners(Fleet &fleet);

/// Ends all processes.
void stopFleet(Fleet &fleet);

/// @return the header of a request with a body of @p bodyBytes.
std::string makeRequestHead(const Call &call, size_t bodyBytes);

/// @return the text of a request.
std::string makeRequest(const Call &call);

/// Sends a request on a connection of its own and waits for the answer, both recorded.
Message sendCall(const GatewayProcess &gateway, const Call &call);

/// @return how a record shows an answer.
std::string describeAnswer(const Message &answer);

} // namespace Review
