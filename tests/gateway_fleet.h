/**
 * @file gateway_fleet.h
 * @brief Fleet of real gateways before stand-ins of the users' platform and its upstreams.
 */
#pragma once

#include "fleet_func.h"

#include <string>

namespace Burdockfield::Testing {

/// Host that the routes of a gateway fleet belong to.
constexpr const char *gatewayHost = "burdock.example";

/// What a gateway fleet consists of.
struct GatewayFleetSpec
{
    uint32_t gateways_ = 2; ///< Gateways; each reaches the store through a link of its own.
    uint32_t engines_ = 2; ///< Upstreams of the service "engines".
    uint32_t desks_ = 1; ///< Upstreams of the service "desk".
    uint32_t slots_ = 4; ///< Slots of each upstream.
    uint64_t seed_ = 1; ///< Seed of the gateways' random numbers.
    bool linked_ = false; ///< Whether upstreams are reached through links.
};

/// What a caller of a gateway asks for.
struct GatewayCall
{
    std::string id_ = "request-1"; ///< Name of the request.
    std::string target_ = "/once/x"; ///< Path; below /stream/, /once/ or /read/.
    std::string body_ = "body"; ///< Body.
    std::string key_ = "key-1"; ///< Key.
    Milliseconds wait_{ 4000 }; ///< How long the caller waits.
};

/// Starts a gateway fleet. @return whether all gateways became ready
bool startGatewayFleet(Fleet &fleet, const GatewayFleetSpec &spec);

/// Writes the operator's configuration. @param keys keys of the only workspace
void writeConfiguration(const Fleet &fleet, uint64_t version, const std::vector<std::string> &keys);

/// Writes an upstream's row into the store, or removes it.
void writeUpstreamRow(
    const Fleet &fleet, const std::string &upstream, const std::string &state, uint32_t slots, bool remove = false);

/// Tells the link before an upstream, of a linked fleet, what to do.
void controlUpstreamLink(const Fleet &fleet, const std::string &upstream, const std::string &order);

/// Tells the link between a gateway and the store what to do, see runLink().
void controlStoreLink(const Fleet &fleet, const std::string &gateway, const std::string &order);

/// Makes a call to a gateway and waits for its end; status 0 when the answer was not whole.
HttpReply callGateway(const Fleet &fleet, const std::string &gateway, const GatewayCall &call);

/// @return whether a gateway says that it is ready.
bool isGatewayReady(const Fleet &fleet, const std::string &gateway);

/// @return what a gateway's status says under a key of its top level.
std::string statusOf(const Fleet &fleet, const std::string &gateway, const std::string &key);

} // namespace Burdockfield::Testing
