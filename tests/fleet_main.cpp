/**
 * @file fleet_main.cpp
 * @brief Program burdockfield-fleet: starts a local fleet, replays a trace against it and prints the outcome.
 */
#include "cli_func.h"
#include "fleet_func.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace Burdockfield;
using namespace Burdockfield::Testing;

constexpr Milliseconds stopWait{ 30000 }; ///< Time that a daemon gets to stop as planned.

/// Stops the daemons as planned. @return whether each ended well
bool stopDaemons(Fleet &fleet)
{
    bool ended = true;
    for (const auto &names : { fleet.entries_, fleet.agents_ }) {
        for (const std::string &name : names) {
            signalProcess(fleet, name, SIGTERM);
            ended = awaitExit(fleet, name, stopWait) == 0 && ended;
        }
    }
    return ended;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "burdockfield-fleet: a local fleet and a replay against it" };
    FleetSpec spec = makeSmallFleet();
    ReplayCommand replay;
    replay.settings_.progress_ = true;
    app.add_option("trace", replay.trace_, "Trace (JSON lines)")->required();
    app.add_option("--preset", spec.preset_, "Policy: scheduled or baseline");
    app.add_option("--entries", spec.entries_, "Entries");
    app.add_option("--entry-policy", spec.entryPolicy_, "Further YAML of the entries' policy");
    app.add_option("--report", replay.report_, "File for a page with plots");
    app.add_option("--json", replay.json_, "File for the figures as JSON");
    CLI11_PARSE(app, argc, argv);
    Fleet fleet;
    if (!startFleet(fleet, spec)) {
        std::cerr << "the fleet did not start; see " << fleet.folder_ << '\n';
        return 1;
    }
    for (const std::string &name : fleet.entries_) {
        replay.settings_.entries_.push_back(fleet.processes_[name].address_);
    }
    for (const std::string &name : fleet.agents_) {
        replay.agents_.push_back(fleet.processes_[name].address_);
    }
    const ExitStatus status = replayCommand(replay);
    const bool stopped = stopDaemons(fleet);
    std::cout << "prefill wasted, by the engines' ledgers: " << 100 * wastedPrefill(readLedgers(fleet)) << " %\n";
    std::cout << "planned stop: " << (stopped ? "clean" : "not clean") << '\n';
    stopFleet(fleet);
    return status == ExitStatus::Done && stopped ? 0 : 1;
}
