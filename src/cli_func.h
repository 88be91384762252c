/**
 * @file cli_func.h
 * @brief Commands of the command-line program.
 */
#pragma once

#include "configuration_type.h"
#include "replay_func.h"
#include "where_type.h"

#include <string>
#include <vector>

namespace Burdockfield {

/// Exit status of the command-line program.
enum class ExitStatus : int {
    Done = 0, ///< The command succeeded.
    Refused = 1, ///< A node refused the request, a replay missed an expected outcome, no log line matched, or sends
                 ///< are doubtful.
    Usage = 2, ///< An argument or a file is invalid.
    Unreachable = 3, ///< A node did not respond, or its response could not be parsed.
};

/// Parses a settings file and prints the error, or that the file is valid.
ExitStatus checkSettingsCommand(const std::string &file);

/// Prints where a gateway would send a request, as a table or as JSON.
ExitStatus whereCommand(const std::string &address, const Gateway::WhereQuery &query, bool json);

/// Prints the status that a node returns, as JSON.
ExitStatus statusCommand(const std::string &address);

/// Prints what the log files of several processes say about a request.
ExitStatus explainCommand(const std::string &request, const std::vector<std::string> &files);

/// Arguments of the sends command.
struct SendsCommand
{
    std::vector<std::string> files_; ///< Paths of the log files; each is read twice.
    bool json_ = false; ///< Whether to print JSON.
    bool doubtful_ = false; ///< Whether to list only doubtful sends.
};

/**
 * Prints which requests were sent more than once, and whether the send before each further one can have run.
 * @return Refused if a send is doubtful, or if not all requests were examined
 */
ExitStatus sendsCommand(const SendsCommand &command);

/// Prints the configuration that an entry has applied, as JSON.
ExitStatus configurationCommand(const std::string &control);

/// Requests a plan of the changes from an entry, prints its effects and writes it to the file @p out.
ExitStatus planCommand(const std::string &control, const std::vector<Change> &changes, const std::string &out);

/// Parses a YAML file of changes. @param changes filled on success
ExitStatus readChanges(const std::string &file, std::vector<Change> &changes);

/// Fetches the current settings of a workspace, so that a plan can change some and keep the others.
ExitStatus readWorkspace(const std::string &control, const std::string &name, WorkspaceSettings &settings);

/// Sends a plan file to an entry to be executed.
ExitStatus confirmCommand(const std::string &control, const std::string &file);

/// Arguments of the replay command.
struct ReplayCommand
{
    std::string trace_; ///< Path of the trace.
    ReplaySettings settings_;
    std::vector<std::string> agents_; ///< IP:PORT of the agents whose prefill counters are added up.
    std::string report_; ///< Path of the HTML page with plots to write; empty for none.
    std::string json_; ///< Path of the JSON file with the statistics to write; empty for none.
};

/// Replays a trace and prints its statistics. @return Refused if a request missed its expected outcome
ExitStatus replayCommand(const ReplayCommand &command);

} // namespace Burdockfield
