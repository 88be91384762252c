/**
 * @file log_func.h
 * @brief Log of JSON lines, written through glog. glog's own names stay inside log.cpp.
 */
#pragma once

#include "agent_command_type.h"
#include "entry_command_type.h"
#include "settings_type.h"

#include <string>
#include <utility>
#include <vector>

namespace Burdockfield {

/// Further members of a log line.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/**
 * Starts the log; lines go to standard output from a thread of their own, so that a reader that does not read holds
 * nothing up. Lines beyond the budget are left out and counted; failures have a budget of their own.
 * @param program name of the program
 * @param node name of the node
 */
void startLog(const std::string &program, const std::string &node, LogLevel level);

/// Writes out what waits, for a short time at most, and ends the log. @return whether all has been written
bool stopLog();

/// Writes a line. @param event what happened, a fixed word
void logLine(LogLevel level, const std::string &event, const LogFields &fields = {});

/// Writes a line for a routing decision of an entry.
void logDecision(const RoutingDecision &decision);

/// Writes a line for a placement decision of an agent.
void logDecision(const PlacementDecision &decision);

} // namespace Burdockfield
