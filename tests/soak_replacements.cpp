/**
 * @file soak_replacements.cpp
 * @brief Upstreams of a soak that are replaced by other instances at their addresses.
 *
 * An upstream ends, and another instance of its service starts at its address. Until its row expires, gateways send
 * calls to the earlier instance, which the new one answers with 421. Other faults last through some replacements.
 */
#include "soak_parts_func.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace Burdockfield::Testing {

namespace {

constexpr uint32_t slots = 4; ///< Requests that each instance runs at once.
constexpr Milliseconds leastListed{ 200 }; ///< Least time for which the row of an ended instance stays.
constexpr Milliseconds mostListed{ 3600 }; ///< Greatest such time: three heartbeats.
constexpr Milliseconds longestOutage{ 60 }; ///< Greatest time for which nothing listens at the address.
constexpr Milliseconds longestRowDelay{ 200 }; ///< Greatest time from the start of an instance to its first row.
constexpr uint64_t longestStep = 150; ///< Greatest time in ms between two events of a stream.

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

/// Lets upstreams refuse few requests, and copy refusals: several times, late or in two parts.
void copyRefusals(Soak &soak)
{
    std::uniform_real_distribution<double> share(0, 1);
    constexpr double mostRefused = 0.15;
    const std::string shares = R"({"refused":)" + std::to_string(share(soak.random_) * mostRefused)
        + R"(,"refusal_copies":)" + std::to_string(share(soak.random_)) + R"(,"copies":)"
        + std::to_string(1 + soak.random_() % 3) + R"(,"replaced":)" + std::to_string(share(soak.random_) * mostRefused)
        + R"(,"idle_copies":)" + std::to_string(share(soak.random_)) + R"(,"split":)"
        + std::to_string(share(soak.random_)) + "}";
    noteFault(soak, "answer faults " + shares);
    for (const std::string &upstream : soak.fleet_.upstreams_) {
        controlAnswerFaults(soak.fleet_, upstream, shares);
    }
}

/// Draws an upstream that may not be called twice, or seldom an engine, which then has longer streams for a time.
std::string drawReplaced(Soak &soak)
{
    const bool engine = soak.random_() % 4 == 0;
    std::vector<std::string> names = soak.fleet_.upstreams_;
    std::erase_if(names, [engine](const std::string &name) { return name.starts_with("engines") != engine; });
    if (engine) {
        for (const std::string &name : names) {
            controlStandin(
                soak.fleet_, name, R"({"step_ms":)" + std::to_string(1 + soak.random_() % longestStep) + "}");
        }
    }
    return names[soak.random_() % names.size()];
}

void sleepUpTo(Soak &soak, Milliseconds most)
{
    std::this_thread::sleep_for(Milliseconds(soak.random_() % static_cast<uint64_t>(most.count() + 1)));
}

/// Ends an upstream while it works and starts it again under the same id, with a later start in its row.
void returnUpstream(Soak &soak)
{
    const std::string upstream = drawReplaced(soak);
    SoakInstance &current = soak.instances_[upstream];
    current.name_ = current.starts_ == 0 ? upstream : current.name_;
    noteFault(soak, "end and return of " + current.name_);
    startInstance(soak, upstream, current.name_);
    sleepUpTo(soak, longestRowDelay);
    writeUpstreamRow(soak.fleet_, current.name_, "ready", slots, false, 1 + ++current.starts_);
}

/// Replaces up to three upstreams in a row.
void replaceSome(Soak &soak)
{
    for (uint64_t count = 1 + soak.random_() % 3; count > 0; --count) {
        replaceUpstream(soak);
    }
}

/// Pauses, kills or stops a gateway while upstreams are replaced.
void replaceUnderGatewayFault(Soak &soak)
{
    const auto index = static_cast<uint32_t>(soak.random_() % soak.spec_.gateways_);
    const std::string &gateway = soak.fleet_.entries_[index];
    const TimePoint begun = Clock::now();
    const uint64_t how = soak.random_() % 3;
    noteFault(soak, (how == 0 ? "pause " : how == 1 ? "kill " : "stop ") + gateway);
    if (how == 0) {
        signalProcess(soak.fleet_, gateway, SIGSTOP);
        replaceSome(soak);
        signalProcess(soak.fleet_, gateway, SIGCONT);
    } else if (how == 1) {
        ++soak.stops_[index];
        signalProcess(soak.fleet_, gateway, SIGKILL);
        replaceSome(soak);
        startAgain(soak, index);
    } else {
        const bool listening = beginStop(soak, index);
        replaceSome(soak);
        endStop(soak, index, listening);
    }
    soak.disturbances_.push_back({ gateway, begun, Clock::now() });
}

/// Spoils links, the store and upstreams, up to three of them at once, while upstreams are replaced.
void replaceUnderOtherFault(Soak &soak)
{
    const TimePoint begun = Clock::now();
    for (uint64_t count = 1 + soak.random_() % 3; count > 0; --count) {
        constexpr std::array<void (*)(Soak &), 3> strikes{ strikeLink, strikeStore, strikeUpstream };
        strikes[soak.random_() % strikes.size()](soak);
    }
    replaceSome(soak);
    mendAll(soak);
    soak.disturbances_.push_back({ "", begun, Clock::now() });
}

} // namespace

void strikeReplacing(Soak &soak)
{
    constexpr std::array<void (*)(Soak &), 6> strikes{ replaceUpstream, replaceUpstream, replaceUpstream,
        returnUpstream, replaceUnderGatewayFault, replaceUnderOtherFault };
    strikes[soak.random_() % strikes.size()](soak);
    checkMemory(soak);
    checkRunning(soak);
}

void replaceUpstream(Soak &soak)
{
    removeExpiredRows(soak, Clock::now());
    if (soak.random_() % 4 == 0 || soak.instances_.empty()) {
        copyRefusals(soak);
    }
    const std::string upstream = drawReplaced(soak);
    auto &[instance, starts] = soak.instances_[upstream];
    const std::string ended = starts == 0 ? upstream : instance;
    instance = upstream + "-replaced-" + std::to_string(++starts);
    noteFault(soak, "replace " + ended + " by " + instance);
    startInstance(soak, upstream, instance);
    sleepUpTo(soak, longestRowDelay);
    writeUpstreamRow(soak.fleet_, instance, "ready", slots, false, 1 + starts);
    if (soak.random_() % 4 == 0) {
        sleepUpTo(soak, longestRowDelay);
        noteFault(soak, "late row of " + ended);
        writeUpstreamRow(soak.fleet_, ended, "ready", slots, false, starts);
    }
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
