/**
 * @file daemon_func.h
 * @brief Daemons of the two roles, and what their I/O shares.
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

/// Exit status of a daemon that could not start.
constexpr int startFailureStatus = 2;

/// Runs an entry until it is told to stop. @return exit status of the process
int runEntryDaemon(const Settings &settings);

/// Runs an agent until it is told to stop. @return exit status of the process
int runAgentDaemon(const Settings &settings);

namespace Gateway {

/**
 * Runs a gateway until it is told to stop.
 * @param file settings file, read again when it changes
 * @return exit status of the process
 */
int runGatewayDaemon(const Settings &settings, const std::string &file);

} // namespace Gateway

/// @return the seed of the settings, or one drawn from the system.
uint64_t chooseSeed(const Settings &settings);

/// Asks the platform for the VM list.
void fetchVms(HttpClient &client, const std::string &platform, std::function<void(VmsListed)> done);

/// @return what a status path asks for, or nothing.
std::optional<StatusRequested> parseStatusRequest(const HttpRequest &request);

/// @return the answer to what is not a request.
HttpReply makeBadRequestReply(std::error_code error);

/// @return a JSON answer.
HttpReply makeJsonReply(std::string body);

/// @return a plain-text answer.
HttpReply makeTextReply(int status, std::string text);

} // namespace Burdockfield
