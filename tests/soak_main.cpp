/**
 * @file soak_main.cpp
 * @brief Program burdockfield-soak: runs seeds of the soak and tells what each found.
 */
#include "soak_fixture.h"

#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Burdockfield::Testing;
    CLI::App app{ "burdockfield-soak: real gateways under random faults" };
    SoakSpec spec;
    uint64_t seeds = 1;
    int64_t seconds = spec.length_.count();
    app.add_option("--seed", spec.seed_, "First seed");
    app.add_option("--seeds", seeds, "Count of seeds");
    app.add_option("--seconds", seconds, "Time under faults of each");
    app.add_option("--gateways", spec.gateways_, "Gateways");
    app.add_option("--engines", spec.engines_, "Engines");
    app.add_option("--callers", spec.callers_, "Callers");
    app.add_option("--quiet-callers", spec.quietCallers_,
        "Connections to each gateway that idle or send slowly, under short timeouts");
    app.add_flag("--announcements", spec.announcements_,
        "Upstreams leave and ask for pauses by their answers; configurations grow large");
    app.add_flag("--answer-faults", spec.answerFaults_,
        "Upstreams refuse, send copies of refusals and answers late, and answer without end; callers come back");
    app.add_flag("--replacements", spec.replacements_,
        "Calls have one attempt; upstreams are replaced at their addresses all the while, also under other faults");
    app.add_option("--daemon", spec.daemon_, "Gateways' program, of another version");
    app.add_option("--desks", spec.desks_, "Upstreams that may not be called twice");
    app.add_option("--memory-mib", spec.memoryMib_, "Memory of each gateway in MiB; 0 for the seed's");
    CLI11_PARSE(app, argc, argv);
    spec.answerFaults_ = spec.answerFaults_ || spec.replacements_;
    spec.length_ = std::chrono::seconds(seconds);
    size_t breaches = 0;
    for (uint64_t index = 0; index < seeds; ++index, ++spec.seed_) {
        const SoakReport report = runSoak(spec);
        size_t served = 0;
        for (const SoakCall &call : report.calls_) {
            served += call.status_ == 200 && call.whole_ ? 1 : 0;
        }
        std::cout << "seed " << spec.seed_ << ": " << report.calls_.size() << " calls, " << served << " served, "
                  << report.faults_.size() << " faults, " << report.breaches_.size() << " breaches, peak "
                  << report.peakMib_ << " MiB" << std::endl;
        for (const SoakBreach &breach : report.breaches_) {
            std::cout << "  " << breach.promise_ << ": " << breach.request_ << ": " << breach.seen_ << std::endl;
        }
        for (const std::string &fault : report.breaches_.empty() ? std::vector<std::string>{} : report.faults_) {
            std::cout << "  fault: " << fault << std::endl;
        }
        breaches += report.breaches_.size();
    }
    return breaches == 0 ? 0 : 1;
}
