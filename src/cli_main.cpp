/**
 * @file cli_main.cpp
 * @brief Program burdockfield, the operators' command line.
 */
#include "cli_func.h"
#include "digest_func.h"
#include "settings_func.h"
#include "table/wire_names.h"
#include "version_type.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace {

using namespace Burdockfield;

/// Arguments of every command.
struct Arguments
{
    std::string file_; ///< Settings, changes or plan file.
    std::string address_ = "127.0.0.1:8081"; ///< Node.
    std::string out_ = "plan.json"; ///< Where a plan is written.
    std::vector<std::string> files_; ///< Logs to explain a request by.
    std::string name_; ///< Subject of a change.
    std::string kind_; ///< Kind of the subject.
    std::string retryPolicy_ = "repeatable"; ///< Dispatch rule of a route.
    std::string defaultWait_ = "30s"; ///< Default wait of a tier.
    std::string maxWait_ = "60s"; ///< Longest wait of a tier.
    std::string token_; ///< Bearer token of a workspace.
    std::string defaultTier_; ///< Default tier of a workspace.
    std::string highestTier_; ///< Most urgent tier of a workspace.
    unsigned rank_ = 0; ///< Rank of a tier.
    double weight_ = 0; ///< Weight of a workspace; 0 leaves it.
    uint32_t maxInProgress_ = 0; ///< Bound of a workspace; 0 leaves it.
    bool endDrain_ = false; ///< Whether a drain ends.
    ReplayCommand replay_; ///< Replay.
    ExitStatus status_ = ExitStatus::Done; ///< Outcome.
};

/// @return the value that @p name has in a table of names; the option has been checked to be one of them.
template<typename Value, typename Names>
Value valueOf(const std::string &name, const Names &names)
{
    for (const auto &[known, value] : names) {
        if (known == name) {
            return value;
        }
    }
    return Value{};
}

CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &help)
{
    CLI::App *command = parent.add_subcommand(name, help);
    command->set_version_flag("--version", std::string(versionText));
    return command;
}

void plan(Arguments &arguments, const Change &change)
{
    arguments.status_ = planCommand(arguments.address_, { change }, arguments.out_);
}

void planFile(Arguments &arguments)
{
    std::vector<Change> changes;
    arguments.status_ = readChanges(arguments.file_, changes);
    if (arguments.status_ == ExitStatus::Done) {
        arguments.status_ = planCommand(arguments.address_, changes, arguments.out_);
    }
}

void planTier(Arguments &arguments)
{
    const auto defaultWait = parseDuration(arguments.defaultWait_);
    const auto maxWait = parseDuration(arguments.maxWait_);
    if (!defaultWait || !maxWait) {
        std::cerr << "waits are durations such as 250ms, 10s or 2m\n";
        arguments.status_ = ExitStatus::Usage;
        return;
    }
    plan(arguments, SetTier{ arguments.name_, { static_cast<TierRank>(arguments.rank_), *defaultWait, *maxWait } });
}

void planWorkspace(Arguments &arguments)
{
    SetWorkspace change{ arguments.name_, {} };
    WorkspaceSettings &settings = change.settings_;
    arguments.status_ = readWorkspace(arguments.address_, arguments.name_, settings);
    if (arguments.status_ != ExitStatus::Done) {
        return;
    }
    settings.tokenDigest_ = arguments.token_.empty() ? settings.tokenDigest_ : sha256Hex(arguments.token_);
    settings.weight_ = arguments.weight_ > 0 ? arguments.weight_ : settings.weight_;
    settings.maxInProgress_ = arguments.maxInProgress_ > 0 ? arguments.maxInProgress_ : settings.maxInProgress_;
    settings.defaultTier_ = arguments.defaultTier_.empty() ? settings.defaultTier_ : arguments.defaultTier_;
    settings.highestTier_ = arguments.highestTier_.empty() ? settings.highestTier_ : arguments.highestTier_;
    plan(arguments, change);
}

void planRoute(Arguments &arguments)
{
    SetRoute change{ arguments.name_, {} };
    change.settings_.kind_ = valueOf<RouteKind>(arguments.kind_, routeKindNames);
    change.settings_.retryPolicy_ = valueOf<RetryPolicy>(arguments.retryPolicy_, retryPolicyNames);
    plan(arguments, change);
}

void addSubject(CLI::App &command, Arguments &arguments)
{
    command.add_option("name", arguments.name_, "Name")->required();
}

void addPlanCommands(CLI::App &app, Arguments &arguments)
{
    CLI::App *planApp = addCommand(app, "plan", "Test a change and write the plan; nothing changes yet");
    planApp->require_subcommand(1);
    planApp->add_option("--control", arguments.address_, "IP:PORT of an entry's control address");
    planApp->add_option("--out", arguments.out_, "File to which the plan is written");
    CLI::App *file = addCommand(*planApp, "file", "Changes from a YAML file");
    file->add_option("file", arguments.file_, "File")->required();
    file->callback([&arguments] { planFile(arguments); });
    CLI::App *tier = addCommand(*planApp, "tier", "Add or alter a tier");
    addSubject(*tier, arguments);
    tier->add_option("--rank", arguments.rank_, "Rank; larger is more urgent")->required()->check(CLI::Range(0, 7));
    tier->add_option("--default-wait", arguments.defaultWait_, "Agreed wait when the caller names none");
    tier->add_option("--max-wait", arguments.maxWait_, "Longest wait that a caller may ask for");
    tier->callback([&arguments] { planTier(arguments); });
    CLI::App *workspace = addCommand(*planApp, "workspace", "Add or alter a workspace");
    addSubject(*workspace, arguments);
    workspace->add_option("--token", arguments.token_, "Bearer token");
    workspace->add_option("--weight", arguments.weight_, "Share within a tier");
    workspace->add_option("--max-in-progress", arguments.maxInProgress_, "Bound on requests in progress at an entry");
    workspace->add_option("--default-tier", arguments.defaultTier_, "Tier of requests that name none");
    workspace->add_option("--highest-tier", arguments.highestTier_, "Most urgent tier allowed");
    workspace->callback([&arguments] { planWorkspace(arguments); });
    CLI::App *route = addCommand(*planApp, "route", "Add or alter a route");
    addSubject(*route, arguments);
    route->add_option("--kind", arguments.kind_, "model or service")
        ->required()
        ->check(CLI::IsMember({ "model", "service" }));
    route->add_option("--dispatch", arguments.retryPolicy_, "repeatable or at-most-once")
        ->check(CLI::IsMember({ "repeatable", "at-most-once" }));
    route->callback([&arguments] { planRoute(arguments); });
}

void addDrainCommands(CLI::App &app, Arguments &arguments)
{
    CLI::App *planApp = app.get_subcommand("plan");
    CLI::App *drain = addCommand(*planApp, "drain", "Start or end the drain of an upstream or region");
    drain->add_option("kind", arguments.kind_, "upstream or region")
        ->required()
        ->check(CLI::IsMember({ "upstream", "region" }));
    addSubject(*drain, arguments);
    drain->add_flag("--end", arguments.endDrain_, "End the drain");
    drain->callback([&arguments] {
        plan(arguments,
            SetDrain{ valueOf<DrainKind>(arguments.kind_, drainKindNames), arguments.name_, !arguments.endDrain_ });
    });
    CLI::App *removal = addCommand(*planApp, "remove", "Remove a tier, workspace or route");
    removal->add_option("kind", arguments.kind_, "tier, workspace or route")
        ->required()
        ->check(CLI::IsMember({ "tier", "workspace", "route" }));
    addSubject(*removal, arguments);
    removal->callback([&arguments] {
        plan(arguments, RemoveSubject{ valueOf<SubjectKind>(arguments.kind_, subjectKindNames), arguments.name_ });
    });
}

void addReplayCommand(CLI::App &app, Arguments &arguments)
{
    ReplayCommand &replay = arguments.replay_;
    CLI::App *command = addCommand(app, "replay", "Replay a trace against a live system and check its outcomes");
    command->add_option("trace", replay.trace_, "Trace (JSON lines)")->required();
    command->add_option("--entry", replay.settings_.entries_, "IP:PORT of entries; requests go to each in turn")
        ->required();
    command->add_option("--agent", replay.agents_, "IP:PORT of agents whose prefill counters are added up");
    command->add_option("--speed", replay.settings_.speed_, "Factor by which the trace is played faster")
        ->check(CLI::PositiveNumber);
    command->add_option("--report", replay.report_, "File for a page with plots");
    command->add_option("--json", replay.json_, "File for the figures as JSON");
    command->add_flag("--progress", replay.settings_.progress_, "Write lines of progress to standard error");
    command->callback([&arguments] { arguments.status_ = replayCommand(arguments.replay_); });
}

void addNodeCommands(CLI::App &app, Arguments &arguments)
{
    CLI::App *check = addCommand(app, "check-settings", "Check a settings file");
    check->add_option("file", arguments.file_, "Settings file")->required();
    check->callback([&arguments] { arguments.status_ = checkSettingsCommand(arguments.file_); });
    CLI::App *explain = addCommand(app, "explain", "Tell from logs what happened to a request, and why");
    explain->add_option("request", arguments.name_, "Id of the request")->required();
    explain->add_option("files", arguments.files_, "Logs of any processes")->required();
    explain->callback([&arguments] { arguments.status_ = explainCommand(arguments.name_, arguments.files_); });
    CLI::App *status = addCommand(app, "status", "Print the status of a node");
    status->add_option("address", arguments.address_, "Control IP:PORT of an entry, or IP:PORT of an agent");
    status->callback([&arguments] { arguments.status_ = statusCommand(arguments.address_); });
    CLI::App *show = addCommand(app, "configuration", "Print the configuration in force at an entry");
    show->add_option("address", arguments.address_, "Control IP:PORT of an entry");
    show->callback([&arguments] { arguments.status_ = configurationCommand(arguments.address_); });
    CLI::App *confirm = addCommand(app, "confirm", "Execute a plan");
    confirm->add_option("--control", arguments.address_, "IP:PORT of an entry's control address");
    confirm->add_option("plan", arguments.file_, "Plan file")->required();
    confirm->callback([&arguments] { arguments.status_ = confirmCommand(arguments.address_, arguments.file_); });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "burdockfield: command line of the burdockfield request scheduler" };
    app.set_version_flag("--version", std::string(versionText));
    app.require_subcommand(1);
    Arguments arguments;
    addNodeCommands(app, arguments);
    addPlanCommands(app, arguments);
    addDrainCommands(app, arguments);
    addReplayCommand(app, arguments);
    CLI11_PARSE(app, argc, argv);
    return static_cast<int>(arguments.status_);
}
