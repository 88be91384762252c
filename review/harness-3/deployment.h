/**
 * @file deployment.h
 * @brief Smallest deployment of a case: the store, one gateway and the operator's configuration.
 */
#pragma once

#include "processes.h"
#include "record.h"
#include "runner.h"
#include "store.h"

#include <string>

namespace Review {

/// Outcome of a case, which is the exit status.
enum class Outcome {
    Held = 0, ///< The rule was kept.
    Broken = 1, ///< The rule was broken.
    NotRun = 2, ///< The case could not run.
};

/// Store and gateway, in a temporary folder.
struct Deployment
{
    Deployment() = default;
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    ~Deployment();

    std::shared_ptr<Store> store_ = std::make_shared<Store>();
    GatewaySpec spec_;
    Process gateway_;
};

/// Request of a client.
struct ClientRequest
{
    std::string method_ = "POST";
    std::string path_; ///< Below /once/ (non_idempotent), /list/ or /read/ (idempotent).
    std::string id_;
    std::string body_;
};

/// @return whether the disruption is left out, as TROUBLE=0 asks for.
bool isCalm();

/// Starts the store with the operator's configuration. @return whether it listens
bool startPlatform(Deployment &deployment);

/// Writes a version of the operator's configuration. @param withReading whether it has the route /read/
void writeConfiguration(Deployment &deployment, uint64_t version, bool withReading);

/// Writes a runner's entry.
void registerRunner(Deployment &deployment, const RunnerSpec &spec, const std::string &state, uint64_t bornMs);

/// Starts the gateway; runners have to be registered before. @return whether it is ready
bool startGateway(Deployment &deployment);

/// @return a runner that is not started yet.
std::shared_ptr<Runner> makeRunner(Record &record, const std::string &id);

/// Sends a client's request.
void sendRequest(Record &record, const Connection &connection, const ClientRequest &request);

} // namespace Review
