/**
 * @file log_func.h
 * @brief Structured log of JSON lines. glog writes them; only log.cpp uses its API.
 */
#pragma once

#include "agent_command_type.h"
#include "entry_command_type.h"
#include "settings_type.h"

#include <string>
#include <utility>
#include <vector>

namespace Burdockfield {

/// Additional members of a log line, as name and value.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/**
 * Starts the log. A separate thread writes the lines to standard output, so that a blocked reader of the output does
 * not block the process. Lines over the rate limit are dropped and counted; warnings and errors have a limit of their
 * own.
 * @param program name that glog is given
 * @param node value of the member "node" of every line
 * @param level lowest severity that is written
 */
void startLog(const std::string &program, const std::string &node, LogLevel level);

/// Stops the log and waits briefly until the queued lines are written. @return false if the wait timed out
bool stopLog();

/// Queues a line for writing; before startLog() it goes to standard error. @param event identifies what happened; a
/// fixed string
void logLine(LogLevel level, const std::string &event, const LogFields &fields = {});

/// Writes a line regardless of the rate limit, after the queued lines, and stops the log. @return whether it was
/// written
bool logLastLine(const std::string &event, const LogFields &fields);

/// Logs a routing decision of an entry.
void logDecision(const RoutingDecision &decision);

/// Logs a placement decision of an agent.
void logDecision(const PlacementDecision &decision);

} // namespace Burdockfield
