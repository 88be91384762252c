/**
 * @file daemon_func.h
 * @brief Entry points of the daemons, and the parts of their I/O that all roles share.
 */
#pragma once

#include "entry_event_type.h"
#include "http_client.h"
#include "http_server.h"
#include "settings_type.h"
#include "vm_type.h"

#include <functional>
#include <optional>

namespace Burdockfield {

/// Exit status of a daemon that failed to start.
constexpr int startFailureStatus = 2;

/// Runs an entry until SIGTERM or SIGINT. @return exit status of the process
int runEntryDaemon(const Settings &settings);

/// Runs an agent until SIGTERM or SIGINT. @return exit status of the process
int runAgentDaemon(const Settings &settings);

namespace Gateway {

/**
 * Runs a gateway until SIGTERM or SIGINT.
 * @param file settings file, reloaded when it changes
 * @return exit status of the process
 */
int runGatewayDaemon(const Settings &settings, const std::string &file);

} // namespace Gateway

/// Makes the allocator return large blocks to the system when they are freed.
void configureAllocator();

/// @return the seed of the settings, or a random one from the system.
uint64_t chooseSeed(const Settings &settings);

/// Reads the VM list from the platform; @p done is called once, without the rows that are malformed.
void fetchVms(HttpClient &client, const std::string &platform, std::function<void(VmsListed)> done);

/// @return the status request that a GET of a status path makes, or nothing.
std::optional<StatusRequested> parseStatusRequest(const HttpRequest &request);

/// @return the refusal of a malformed request; a WireErrc is named in X-Error-Detail.
HttpReply makeBadRequestReply(std::error_code error);

/// @return a JSON response with status 200.
HttpReply makeJsonReply(std::string body);

/// @return a plain-text response.
HttpReply makeTextReply(int status, std::string text);

} // namespace Burdockfield
