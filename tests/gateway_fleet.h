/**
 * @file gateway_fleet.h
 * @brief Fleet of real gateway processes, with stand-ins for the users' platform and its upstreams.
 *
 * A link is a TCP relay in front of a stand-in, through which a test injects connection faults, see runLink().
 */
#pragma once

#include "fleet_func.h"
#include "gateway_configuration_type.h"

#include <string>

namespace Burdockfield::Testing {

/// Host of all routes in the fleet's configuration.
constexpr const char *gatewayHost = "burdock.example";

/// What a gateway fleet consists of.
struct GatewayFleetSpec
{
    uint32_t gateways_ = 2; ///< Count of gateways; each reaches the store through its own link.
    uint32_t engines_ = 2; ///< Count of upstreams of the service "engines".
    uint32_t desks_ = 1; ///< Count of upstreams of the service "desk", which is not a model engine.
    uint32_t slots_ = 4; ///< Requests that each upstream runs at once.
    uint64_t seed_ = 1; ///< Gateways seed their random numbers with this plus their index; 0 for new ones each start.
    uint32_t attempts_ = 3; ///< Attempts that the route allows whose calls may run once only; others allow three.
    bool linked_ = false; ///< Whether gateways reach each upstream through a link.
    std::string settings_; ///< Further lines of the gateways' settings.
    uint64_t answerFaultsSeed_ = 0; ///< If not 0, upstreams are reached through links and through runAnswerFaults().
};

/// Request that callGateway() makes.
struct GatewayCall
{
    std::string id_ = "request-1"; ///< Id of the request.
    std::string target_ = "/once/x"; ///< Path; below /stream/, /once/ or /read/.
    std::string body_ = "body"; ///< Echoed in the answer.
    std::string key_ = "key-1"; ///< API key.
    Milliseconds wait_{ 4000 }; ///< How long the caller waits, sent as its deadline.
    std::string parts_; ///< Parts of its prompt as the platform writes them; empty for none.
};

/// Starts a gateway fleet; Fleet::entries_ then holds the names of the gateways. @return whether in time all gateways
/// were ready and listed all upstreams and peers
bool startGatewayFleet(Fleet &fleet, const GatewayFleetSpec &spec);

/**
 * Writes the operator's configuration into the store.
 * @param keys API keys of the only workspace
 * @param unusedRoutes further routes, which make the configuration large
 * @param attempts attempts that the route allows whose calls may run once only; others allow three
 * @param workspace name of the workspace
 */
void writeConfiguration(const Fleet &fleet, uint64_t version, const std::vector<std::string> &keys,
    const Gateway::CallerLimits &limits = {}, uint32_t unusedRoutes = 0, uint32_t attempts = 3,
    const std::string &workspace = "workspace-1");

/// Writes an upstream's row into the store, or removes the row. @param startedAtMs the start that the row is about
void writeUpstreamRow(const Fleet &fleet, const std::string &upstream, const std::string &state, uint32_t slots,
    bool remove = false, uint64_t startedAtMs = 1, const std::string &version = "v1");

/// Writes the row of a service's rollout into the operator's or the status table.
void writeRolloutRow(const Fleet &fleet, std::string_view table, const std::string &service, const std::string &value);

/// Sends a command, such as /cut, to the link in front of an upstream, see runLink(); only if the fleet is linked.
void controlUpstreamLink(const Fleet &fleet, const std::string &upstream, const std::string &command);

/// Sets the shares of an upstream's requests that its answer faults befall, see runAnswerFaults().
void controlAnswerFaults(const Fleet &fleet, const std::string &upstream, const std::string &shares);

/// Sends a command, such as /cut, to the link between a gateway and the store, see runLink().
void controlStoreLink(const Fleet &fleet, const std::string &gateway, const std::string &command);

/// Makes a call to a gateway and waits for its end. @return the answer; status 0 when it was not complete
HttpReply callGateway(const Fleet &fleet, const std::string &gateway, const GatewayCall &call);

/// @return whether a gateway answers its readiness check with 200.
bool isGatewayReady(const Fleet &fleet, const std::string &gateway);

/// @return the JSON value of a top-level key of a gateway's status, or an empty text.
std::string readStatusField(const Fleet &fleet, const std::string &gateway, const std::string &key);

} // namespace Burdockfield::Testing
