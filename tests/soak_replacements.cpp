/**
 * @file soak_replacements.cpp
 * @brief Upstreams of a soak that are replaced by other instances at their addresses.
 *
 * An upstream ends, and another instance of its service starts at its address. Until its row expires, gateways send
 * calls to the earlier instance, which the new one answers with 421.
 */
#include "soak_parts_func.h"

#include <algorithm>
#include <csignal>

namespace Burdockfield::Testing {

namespace {

constexpr uint32_t slots = 4; ///< Requests that each instance runs at once.
constexpr Milliseconds leastListed{ 200 }; ///< Least time for which the row of an ended instance stays.
constexpr Milliseconds mostListed{ 3600 }; ///< Greatest such time: three heartbeats.
constexpr Milliseconds longestOutage{ 60 }; ///< Greatest time for which nothing listens at the address.

/// Ends the process of an upstream and starts another instance at its address.
void startInstance(Soak &soak, const std::string &upstream, const std::string &instance)
{
    std::vector<std::string> &command = soak.fleet_.processes_.at(upstream).command_;
    signalProcess(soak.fleet_, upstream, SIGKILL);
    std::this_thread::sleep_for(Milliseconds(soak.random_() % static_cast<uint64_t>(longestOutage.count())));
    *(std::find(command.begin(), command.end(), "--instance") + 1) = instance;
    startProcess(soak.fleet_, upstream);
}

void removeExpiredRows(Soak &soak, TimePoint now)
{
    for (const auto &[instance, expiresAt] : soak.endedInstances_) {
        if (expiresAt <= now) {
            writeUpstreamRow(soak.fleet_, instance, "ready", slots, true);
        }
    }
    std::erase_if(soak.endedInstances_, [now](const auto &item) { return item.second <= now; });
}

/// Lets the upstreams that may not be called twice refuse few requests, and copy refusals, some of them several times.
void copyRefusals(Soak &soak)
{
    std::uniform_real_distribution<double> share(0, 1);
    constexpr double mostRefused = 0.15;
    const std::string shares = R"({"refused":)" + std::to_string(share(soak.random_) * mostRefused)
        + R"(,"refusal_copies":)" + std::to_string(share(soak.random_)) + R"(,"copies":)"
        + std::to_string(1 + soak.random_() % 3) + "}";
    noteFault(soak, "answer faults " + shares);
    for (const std::string &upstream : soak.fleet_.upstreams_) {
        if (upstream.starts_with("desk")) {
            controlAnswerFaults(soak.fleet_, upstream, shares);
        }
    }
}

} // namespace

void replaceUpstream(Soak &soak)
{
    removeExpiredRows(soak, Clock::now());
    if (soak.random_() % 4 == 0 || soak.instances_.empty()) {
        copyRefusals(soak);
    }
    std::vector<std::string> desks = soak.fleet_.upstreams_;
    std::erase_if(desks, [](const std::string &name) { return !name.starts_with("desk"); });
    const std::string &upstream = desks[soak.random_() % desks.size()];
    auto &[instance, starts] = soak.instances_[upstream];
    const std::string ended = starts == 0 ? upstream : instance;
    instance = upstream + "-replaced-" + std::to_string(++starts);
    noteFault(soak, "replace " + ended + " by " + instance);
    startInstance(soak, upstream, instance);
    writeUpstreamRow(soak.fleet_, instance, "ready", slots, false, 1 + starts);
    const auto range = static_cast<uint64_t>((mostListed - leastListed).count());
    soak.endedInstances_[ended] = Clock::now() + leastListed + Milliseconds(soak.random_() % range);
    std::this_thread::sleep_for(Milliseconds(100 + soak.random_() % 300));
}

void restoreUpstreams(Soak &soak)
{
    removeExpiredRows(soak, noDeadline);
    for (const auto &[upstream, current] : soak.instances_) {
        writeUpstreamRow(soak.fleet_, current.name_, "ready", slots, true);
        startInstance(soak, upstream, upstream);
        writeUpstreamRow(soak.fleet_, upstream, "ready", slots, false, 2 + current.starts_);
    }
    soak.instances_.clear();
}

} // namespace Burdockfield::Testing
