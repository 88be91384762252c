/**
 * @file standin_main.cpp
 * @brief Program burdockfield-standin: a model engine, a service, an upstream or the platform, for tests.
 */
#include "engine_base.h"
#include "link_func.h"
#include "log_func.h"
#include "platform_base.h"
#include "platform_upstream_base.h"
#include "platform_upstream_faults.h"
#include "service_base.h"
#include "termination_func.h"

#include <CLI/CLI.hpp>
#include <stdexcept>

namespace {

using namespace Burdockfield;
using namespace Burdockfield::Standin;

void addPlace(CLI::App &command, StandinPlace &place)
{
    command.add_option("--listen", place.listen_, "IP:PORT")->required();
    command.add_option("--ledger", place.ledger_, "File to which a line is added for each thing done");
}

void addEngine(CLI::App &command, EngineSettings &settings)
{
    command.add_option("--model", settings.models_, "Models served");
    command.add_option("--slots", settings.slots_, "Requests worked on at once");
    command.add_option("--prefill-rate", settings.prefillRate_, "Prompt tokens a second of one request");
    command.add_option("--decode-rate", settings.decodeRate_, "Generated tokens a second of one request");
    command.add_option("--cache-blocks", settings.cacheBlocks_, "Prefix blocks cached");
}

/// Daemon that ends by an exception at once, with a line still queued.
[[noreturn]] void runFailingDaemon()
{
    startLog("burdockfield-standin", "failing", LogLevel::Info);
    installTerminationHandlers("failing");
    logLine(LogLevel::Info, "started");
    throw std::runtime_error("cancel: Bad file descriptor");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "burdockfield-standin: stand-ins for tests" };
    app.require_subcommand(1);
    StandinPlace place;
    EngineState engine;
    ServiceState service;
    PlatformState platform;
    UpstreamStandinState upstream;
    int64_t durationMs = service.duration_.count();
    CLI::App *engineCommand = app.add_subcommand("engine", "Model engine");
    CLI::App *serviceCommand = app.add_subcommand("service", "Plain service");
    CLI::App *platformCommand = app.add_subcommand("platform", "Table service, object store and VM list");
    CLI::App *upstreamCommand = app.add_subcommand("upstream", "Upstream of the users' platform");
    addPlace(*upstreamCommand, place);
    upstreamCommand->add_option("--instance", upstream.instance_, "Name of this start");
    CLI::App *failingCommand = app.add_subcommand("failing", "Daemon that ends by an exception");
    addPlace(*failingCommand, place);
    addPlace(*engineCommand, place);
    addPlace(*serviceCommand, place);
    addPlace(*platformCommand, place);
    addEngine(*engineCommand, engine.settings_);
    LinkPlace link;
    CLI::App *linkCommand = app.add_subcommand("link", "Network between two processes");
    linkCommand->add_option("--listen", link.listen_, "IP:PORT")->required();
    linkCommand->add_option("--target", link.target_, "IP:PORT that connections are relayed to")->required();
    linkCommand->add_option("--control", link.control_, "IP:PORT of the control")->required();
    AnswerFaultPlace faulty;
    CLI::App *faultsCommand = app.add_subcommand("answer-faults", "Faults of an upstream's answers");
    faultsCommand->add_option("--listen", faulty.listen_, "IP:PORT")->required();
    faultsCommand->add_option("--target", faulty.target_, "IP:PORT of the upstream")->required();
    faultsCommand->add_option("--control", faulty.control_, "IP:PORT of the control")->required();
    faultsCommand->add_option("--instance", faulty.name_, "Name of the instance");
    faultsCommand->add_option("--seed", faulty.seed_, "Seed of the draws");
    serviceCommand->add_option("--duration-ms", durationMs, "Time that a call takes");
    CLI11_PARSE(app, argc, argv);
    service.duration_ = Milliseconds(durationMs);
    if (engineCommand->parsed()) {
        return runStandin(place, std::move(engine), tickEngine, nextEngineDeadline);
    }
    if (serviceCommand->parsed()) {
        return runStandin(place, std::move(service), tickService, nextServiceDeadline);
    }
    if (upstreamCommand->parsed()) {
        return runStandin(place, std::move(upstream), tickUpstream, nextUpstreamDeadline);
    }
    if (linkCommand->parsed()) {
        return runLink(link);
    }
    if (faultsCommand->parsed()) {
        return runAnswerFaults(faulty);
    }
    if (failingCommand->parsed()) {
        runFailingDaemon();
    }
    return runStandin(place, std::move(platform), tickPlatform, nextPlatformDeadline);
}
