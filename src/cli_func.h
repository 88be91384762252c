/**
 * @file cli_func.h
 * @brief Commands of the operators' program.
 */
#pragma once

#include "configuration_type.h"
#include "replay_func.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Exit statuses of the operators' program.
enum class ExitStatus : int {
    Done = 0, ///< Done as asked.
    Refused = 1, ///< Refused, or an outcome was missed.
    Usage = 2, ///< Bad arguments or files.
    Unreachable = 3, ///< A node did not answer.
};

/// Checks a settings file.
ExitStatus checkSettingsCommand(const std::string &file);

/// Prints the status of a node.
ExitStatus statusCommand(const std::string &address);

/// Explains a request by the logs of several processes.
ExitStatus explainCommand(const std::string &request, const std::vector<std::string> &files);

/// Prints the configuration in force at an entry.
ExitStatus configurationCommand(const std::string &control);

/// Has an entry test changes; writes the plan to @p out and prints what it would alter.
ExitStatus planCommand(const std::string &control, const std::vector<Change> &changes, const std::string &out);

/// Reads a file of changes. @param changes filled on success
ExitStatus readChanges(const std::string &file, std::vector<Change> &changes);

/// Reads the settings that a workspace has now, so that a plan can alter some of them.
ExitStatus readWorkspace(const std::string &control, const std::string &name, WorkspaceSettings &settings);

/// Has an entry execute a plan.
ExitStatus confirmCommand(const std::string &control, const std::string &file);

/// What a replay is asked for.
struct ReplayCommand
{
    std::string trace_; ///< File of the trace.
    ReplaySettings settings_; ///< How it is replayed.
    std::vector<std::string> agents_; ///< Agents whose prefill counters are added up.
    std::string report_; ///< File for a page with plots, or empty.
    std::string json_; ///< File for the figures as JSON, or empty.
};

/// Replays a trace, prints its figures and says whether the stated outcomes came.
ExitStatus replayCommand(const ReplayCommand &command);

} // namespace Burdockfield
