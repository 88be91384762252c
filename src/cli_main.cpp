/**
 * @file cli_main.cpp
 * @brief Program burdockfield, the command line for operators.
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

/// Arguments of all commands; each command uses some of them.
struct Arguments
{
    std::string file_; ///< Path of a settings, changes or plan file.
    std::string address_ = "127.0.0.1:8081"; ///< IP:PORT of the node that the command talks to.
    std::string out_ = "plan.json"; ///< Path of the plan file to write.
    std::vector<std::string> files_; ///< Paths of the log files that explain reads.
    std::string name_; ///< Name of what a change is about, or the id of a request.
    std::string kind_; ///< Kind of what a change is about.
    std::string retryPolicy_ = "repeatable"; ///< Retry policy of a route, as --dispatch names it.
    std::string defaultWait_ = "30s"; ///< Default wait of a tier, as a duration with a unit.
    std::string maxWait_ = "60s"; ///< Longest wait of a tier, as a duration with a unit.
    std::string token_; ///< Bearer token of a workspace; empty keeps the current one.
    std::string defaultTier_; ///< Default tier of a workspace; empty keeps the current one.
    std::string highestTier_; ///< Most urgent tier of a workspace; empty keeps the current one.
    unsigned rank_ = 0; ///< Rank of a tier; larger is more urgent.
    double weight_ = 0; ///< Weight of a workspace; 0 keeps the current one.
    uint32_t maxInProgress_ = 0; ///< Limit of a workspace's requests in progress; 0 keeps the current one.
    bool endDrain_ = false; ///< Whether to end a drain instead of starting one.
    Gateway::WhereQuery where_; ///< Request that where is about.
    bool json_ = false; ///< Whether where prints JSON.
    SendsCommand sends_;
    ReplayCommand replay_;
    ExitStatus status_ = ExitStatus::Done; ///< Set by the command that ran.
};

/// Looks up @p name in a table of names. @return its value; the option's check has excluded other names
template<typename Value, typename Names>
Value valueByName(const std::string &name, const Names &names)
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

void planChange(Arguments &arguments, const Change &change)
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
        std::cerr << "a wait must be a duration such as 250ms, 10s or 2m\n";
        arguments.status_ = ExitStatus::Usage;
        return;
    }
    planChange(
        arguments, SetTier{ arguments.name_, { static_cast<TierRank>(arguments.rank_), *defaultWait, *maxWait } });
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
    planChange(arguments, change);
}

void planRoute(Arguments &arguments)
{
    SetRoute change{ arguments.name_, {} };
    change.settings_.kind_ = valueByName<RouteKind>(arguments.kind_, routeKindNames);
    change.settings_.retryPolicy_ = valueByName<RetryPolicy>(arguments.retryPolicy_, retryPolicyNames);
    planChange(arguments, change);
}

void addNameOption(CLI::App &command, Arguments &arguments)
{
    command.add_option("name", arguments.name_, "Name")->required();
}

void addPlanCommands(CLI::App &app, Arguments &arguments)
{
    CLI::App *planApp
        = addCommand(app, "plan", "Check a change and write a plan of its effects; the configuration stays unchanged");
    planApp->require_subcommand(1);
    planApp->add_option("--control", arguments.address_, "Control IP:PORT of an entry");
    planApp->add_option("--out", arguments.out_, "Plan file to write");
    CLI::App *file = addCommand(*planApp, "file", "Plan the changes of a YAML file");
    file->add_option("file", arguments.file_, "File")->required();
    file->callback([&arguments] { planFile(arguments); });
    CLI::App *tier = addCommand(*planApp, "tier", "Add or change a tier");
    addNameOption(*tier, arguments);
    tier->add_option("--rank", arguments.rank_, "Rank; larger is more urgent")->required()->check(CLI::Range(0, 7));
    tier->add_option("--default-wait", arguments.defaultWait_, "Agreed wait of requests that ask for none");
    tier->add_option("--max-wait", arguments.maxWait_, "Longest wait that a request may ask for");
    tier->callback([&arguments] { planTier(arguments); });
    CLI::App *workspace = addCommand(*planApp, "workspace", "Add or change a workspace");
    addNameOption(*workspace, arguments);
    workspace->add_option("--token", arguments.token_, "Bearer token");
    workspace->add_option("--weight", arguments.weight_, "Share within a tier");
    workspace->add_option("--max-in-progress", arguments.maxInProgress_, "Limit of requests in progress at each entry");
    workspace->add_option("--default-tier", arguments.defaultTier_, "Tier of requests that name none");
    workspace->add_option("--highest-tier", arguments.highestTier_, "Most urgent tier allowed");
    workspace->callback([&arguments] { planWorkspace(arguments); });
    CLI::App *route = addCommand(*planApp, "route", "Add or change a route");
    addNameOption(*route, arguments);
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
    addNameOption(*drain, arguments);
    drain->add_flag("--end", arguments.endDrain_, "End the drain");
    drain->callback([&arguments] {
        planChange(arguments,
            SetDrain{ valueByName<DrainKind>(arguments.kind_, drainKindNames), arguments.name_, !arguments.endDrain_ });
    });
    CLI::App *removal = addCommand(*planApp, "remove", "Remove a tier, workspace or route");
    removal->add_option("kind", arguments.kind_, "tier, workspace or route")
        ->required()
        ->check(CLI::IsMember({ "tier", "workspace", "route" }));
    addNameOption(*removal, arguments);
    removal->callback([&arguments] {
        planChange(
            arguments, RemoveSubject{ valueByName<SubjectKind>(arguments.kind_, subjectKindNames), arguments.name_ });
    });
}

void addReplayCommand(CLI::App &app, Arguments &arguments)
{
    ReplayCommand &replay = arguments.replay_;
    CLI::App *command
        = addCommand(app, "replay", "Replay a trace against a running system and check the expected outcomes");
    command->add_option("trace", replay.trace_, "Trace (JSON lines)")->required();
    command
        ->add_option("--entry", replay.settings_.entries_, "IP:PORT of entries; requests are distributed round-robin")
        ->required();
    command->add_option("--agent", replay.agents_, "IP:PORT of agents whose prefill counters are added up");
    command->add_option("--speed", replay.settings_.speed_, "Factor by which the replay is faster than the trace")
        ->check(CLI::PositiveNumber);
    command->add_option("--report", replay.report_, "HTML page with plots to write");
    command->add_option("--json", replay.json_, "JSON file with the statistics to write");
    command->add_flag("--progress", replay.settings_.progress_, "Write progress to standard error");
    command->callback([&arguments] { arguments.status_ = replayCommand(arguments.replay_); });
}

void addNodeCommands(CLI::App &app, Arguments &arguments)
{
    CLI::App *check = addCommand(app, "check-settings", "Check a settings file");
    check->add_option("file", arguments.file_, "Settings file")->required();
    check->callback([&arguments] { arguments.status_ = checkSettingsCommand(arguments.file_); });
    CLI::App *explain = addCommand(app, "explain", "Show from log files what happened to a request, and why");
    explain->add_option("request", arguments.name_, "Id of the request")->required();
    explain->add_option("files", arguments.files_, "Log files of the processes")->required();
    explain->callback([&arguments] { arguments.status_ = explainCommand(arguments.name_, arguments.files_); });
    CLI::App *sends
        = addCommand(app, "sends", "Show from the logs of gateways which requests were sent more than once, and why");
    sends->add_option("files", arguments.sends_.files_, "Log files of the gateways, those of each in order of time")
        ->required();
    sends->add_flag("--json", arguments.sends_.json_, "Print JSON instead of text");
    sends->add_flag("--doubtful", arguments.sends_.doubtful_, "List only sends whose call may have run before");
    sends->callback([&arguments] { arguments.status_ = sendsCommand(arguments.sends_); });
    CLI::App *where = addCommand(app, "where", "Show where a gateway would send a request now, and why");
    where->add_option("address", arguments.address_, "Metrics IP:PORT of a gateway")->required();
    where->add_option("--host", arguments.where_.host_, "Requested host")->required();
    where->add_option("--path", arguments.where_.path_, "Path without query")->required();
    where->add_option("--workspace", arguments.where_.workspace_, "Name of the workspace");
    where->add_option("--prompt-tokens", arguments.where_.promptTokens_, "Tokens of the prompt");
    where->add_option("--tokens", arguments.where_.tokens_, "Tokens that the quota is charged with");
    where->add_flag("--json", arguments.json_, "Print JSON instead of a table");
    where->callback(
        [&arguments] { arguments.status_ = whereCommand(arguments.address_, arguments.where_, arguments.json_); });
    CLI::App *status = addCommand(app, "status", "Print the status of a node");
    status->add_option("address", arguments.address_, "Control IP:PORT of an entry, or IP:PORT of an agent");
    status->callback([&arguments] { arguments.status_ = statusCommand(arguments.address_); });
    CLI::App *show = addCommand(app, "configuration", "Print the configuration that an entry has applied");
    show->add_option("address", arguments.address_, "Control IP:PORT of an entry");
    show->callback([&arguments] { arguments.status_ = configurationCommand(arguments.address_); });
    CLI::App *confirm = addCommand(app, "confirm", "Execute a plan");
    confirm->add_option("--control", arguments.address_, "Control IP:PORT of an entry");
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
