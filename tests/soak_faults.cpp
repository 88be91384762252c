/**
 * @file soak_faults.cpp
 * @brief Faults of a soak.
 */
#include "process_usage_func.h"
#include "soak_parts_func.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <set>

namespace Burdockfield::Testing {

namespace {

constexpr int endedBySigterm = 128 + SIGTERM; ///< Exit status of a process that does not handle the signal.
constexpr Milliseconds stopWait{ 6000 }; ///< Time in which a gateway has to end after SIGTERM.
constexpr Milliseconds leastRun = headerTimeout + Milliseconds(2000); ///< Time before a gateway may be ended again.
constexpr Milliseconds pausedStop{ 3200 }; ///< Time after SIGTERM for which pauses go on.

std::string gatewayName(uint64_t index)
{
    return "gateway-" + std::to_string(index + 1);
}

void addBreach(Soak &soak, SoakBreach breach)
{
    const std::lock_guard lock(soak.mutex_);
    soak.report_.breaches_.push_back(std::move(breach));
}

std::string drawUpstream(Soak &soak)
{
    return soak.fleet_.upstreams_[soak.random_() % soak.fleet_.upstreams_.size()];
}

std::string drawOne(Soak &soak, std::initializer_list<const char *> names)
{
    return *(names.begin() + soak.random_() % names.size());
}

/// @return whether a gateway has begun to listen.
bool answersAtAll(const Fleet &fleet, const std::string &gateway)
{
    return callNode(fleet.processes_.at(gateway).control_, "GET", "/healthz", {}, {}, Milliseconds(200)).status_ != 0;
}

/// @return whether a gateway has run for long enough for timeouts of its connections to pass, where these are tested.
bool mayEnd(const Soak &soak, uint32_t gateway)
{
    return soak.spec_.quietCallers_ == 0 || Clock::now() - soak.started_[gateway] > leastRun;
}

} // namespace

void startAgain(Soak &soak, uint32_t gateway)
{
    ++soak.stops_[gateway];
    soak.started_[gateway] = Clock::now();
    startProcess(soak.fleet_, gatewayName(gateway));
}

bool beginStop(Soak &soak, uint32_t gateway)
{
    const bool listening = answersAtAll(soak.fleet_, gatewayName(gateway));
    checkMemory(soak);
    ++soak.stops_[gateway];
    signalProcess(soak.fleet_, gatewayName(gateway), SIGTERM);
    return listening;
}

void endStop(Soak &soak, uint32_t gateway, bool listening)
{
    const int status = awaitExit(soak.fleet_, gatewayName(gateway), stopWait);
    // A process that has not begun to listen has taken nothing, and may end by the signal itself.
    if (status != 0 && (listening || status != endedBySigterm)) {
        addBreach(soak, { "planned stop ends well", gatewayName(gateway), std::to_string(status) });
    }
    startAgain(soak, gateway);
}

namespace {

void pauseFor(Soak &soak, uint32_t gateway, Milliseconds time)
{
    signalProcess(soak.fleet_, gatewayName(gateway), SIGSTOP);
    std::this_thread::sleep_for(time);
    signalProcess(soak.fleet_, gatewayName(gateway), SIGCONT);
}

void strikeGateway(Soak &soak)
{
    const auto gateway = static_cast<uint32_t>(soak.random_() % soak.spec_.gateways_);
    const std::string drawn = drawOne(soak, { "pause", "kill", "stop" });
    const std::string how = mayEnd(soak, gateway) ? drawn : "pause";
    noteFault(soak, how + " " + gatewayName(gateway));
    if (how == "pause") {
        pauseFor(soak, gateway, Milliseconds(200 + soak.random_() % 1500));
    } else if (how == "kill") {
        checkMemory(soak);
        checkRunning(soak);
        ++soak.stops_[gateway];
        signalProcess(soak.fleet_, gatewayName(gateway), SIGKILL);
        startAgain(soak, gateway);
    } else {
        endStop(soak, gateway, beginStop(soak, gateway));
    }
}

} // namespace

void strikeUpstream(Soak &soak)
{
    const std::string upstream = drawUpstream(soak);
    if (soak.random_() % 3 == 0) {
        noteFault(soak, "kill " + upstream);
        signalProcess(soak.fleet_, upstream, SIGKILL);
        std::this_thread::sleep_for(Milliseconds(soak.random_() % 500));
        startProcess(soak.fleet_, upstream);
        return;
    }
    const std::string mode = drawOne(soak, { "mute", "reset", "failing", "full", "crossed", "good" });
    noteFault(soak, mode + " " + upstream);
    controlStandin(soak.fleet_, upstream, R"({"mode":")" + mode + "\"}");
}

void strikeLink(Soak &soak)
{
    const std::string order = drawOne(soak, { "/silence", "/deafen", "/reset", "/slow", "/cut", "/mend" });
    if (soak.random_() % 2 == 0) {
        const std::string upstream = drawUpstream(soak);
        noteFault(soak, order + " link of " + upstream);
        controlUpstreamLink(soak.fleet_, upstream, order);
    } else {
        const std::string gateway = gatewayName(soak.random_() % soak.spec_.gateways_);
        noteFault(soak, order + " link of " + gateway + " to the store");
        controlStoreLink(soak.fleet_, gateway, order);
    }
}

void strikeStore(Soak &soak)
{
    const std::string mode = drawOne(soak, { "down", "busy", "silent", "lose-answers", "up" });
    noteFault(soak, "store " + mode);
    controlStandin(soak.fleet_, "platform",
        R"({"forget_history":)" + std::string(soak.random_() % 3 == 0 ? "true" : "false") + R"(,"mode":")" + mode
            + "\"}");
}

namespace {

/// @return the keys of a configuration: that of callers, the one in force and the one that comes next.
std::vector<std::string> keysUpTo(const Soak &soak, uint64_t next)
{
    const std::set<std::string> keys{ callerKey(soak), keyName(soak.key_), keyName(next) };
    return { keys.begin(), keys.end() };
}

void changeConfiguration(Soak &soak)
{
    ++soak.version_;
    const uint64_t next = soak.key_ + 1;
    noteFault(soak, "configuration " + std::to_string(soak.version_) + " with " + keyName(next));
    writeConfiguration(soak.fleet_, soak.version_, keysUpTo(soak, next), soak.limits_, soak.unusedRoutes_);
    soak.key_ = next;
}

void drainUpstream(Soak &soak)
{
    const std::string upstream = drawUpstream(soak);
    const std::string state = drawOne(soak, { "draining", "ready" });
    noteFault(soak, state + " " + upstream);
    writeUpstreamRow(soak.fleet_, upstream, state, 4);
}

void changeTimeouts(Soak &soak)
{
    ++soak.version_;
    const auto range = static_cast<uint64_t>((longestIdleTimeout - shortestIdleTimeout).count());
    soak.limits_.idleTimeout_ = shortestIdleTimeout + Milliseconds(soak.random_() % (range + 1));
    noteFault(soak, "idle timeout " + std::to_string(soak.limits_.idleTimeout_.count()) + " ms");
    writeConfiguration(soak.fleet_, soak.version_, keysUpTo(soak, soak.key_), soak.limits_, soak.unusedRoutes_);
}

/// Lets an upstream say that it leaves. The first one of each service stays.
void announceLeaving(Soak &soak)
{
    const std::string upstream = drawUpstream(soak);
    if (!upstream.ends_with("-1")) {
        noteFault(soak, "leaving " + upstream);
        controlStandin(soak.fleet_, upstream, R"({"leaving":true})");
    }
}

/// Lets an upstream refuse requests and ask for a pause.
void announcePause(Soak &soak)
{
    const std::string upstream = drawUpstream(soak);
    const uint64_t pause = 200 + soak.random_() % 1500;
    noteFault(soak, "pause of " + std::to_string(pause) + " ms at " + upstream);
    controlStandin(soak.fleet_, upstream, R"({"mode":"full","pause_ms":)" + std::to_string(pause) + "}");
}

/// Makes the configuration large or small, in several versions in quick succession.
void resizeConfiguration(Soak &soak)
{
    soak.unusedRoutes_ = soak.unusedRoutes_ == 0 ? 500 + soak.random_() % 2500 : 0;
    for (uint64_t count = 1 + soak.random_() % 4; count > 0; --count) {
        changeConfiguration(soak);
    }
}

/// @return a share in text.
std::string drawShare(Soak &soak, double most, double least = 0)
{
    return std::to_string(std::uniform_real_distribution<double>(least, most)(soak.random_));
}

void setAnswerFaults(Soak &soak, const std::string &upstream, const std::string &shares)
{
    noteFault(soak, "answer faults " + shares + " of " + upstream);
    controlAnswerFaults(soak.fleet_, upstream, shares);
}

/// Lets all upstreams that may not be called twice refuse requests, and send copies of refusals and answers.
void spoilDesks(Soak &soak)
{
    for (const std::string &upstream : soak.fleet_.upstreams_) {
        if (upstream.starts_with("desk")) {
            setAnswerFaults(soak, upstream,
                R"({"refused":)" + drawShare(soak, 0.8, 0.2) + R"(,"refusal_copies":)" + drawShare(soak, 1, 0.3)
                    + R"(,"replaced":)" + drawShare(soak, 0.2) + "}");
        }
    }
}

/// Lets an upstream answer in all faulty manners, or in none.
void spoilAnswers(Soak &soak)
{
    const std::string upstream = drawUpstream(soak);
    if (soak.random_() % 4 == 0) {
        setAnswerFaults(soak, upstream, "{}");
        return;
    }
    setAnswerFaults(soak, upstream,
        R"({"refused":)" + drawShare(soak, 0.5) + R"(,"refusal_copies":)" + drawShare(soak, 1, 0.3) + R"(,"replaced":)"
            + drawShare(soak, 0.3) + R"(,"answer_copies":)" + drawShare(soak, 0.5) + R"(,"endless":)"
            + drawShare(soak, 0.1) + "}");
}

/// Lets an upstream answer without end, in the midst of refusals.
void floodAnswers(Soak &soak)
{
    setAnswerFaults(soak, drawUpstream(soak),
        R"({"endless":)" + drawShare(soak, 0.4) + R"(,"refused":)" + drawShare(soak, 0.3) + R"(,"refusal_copies":)"
            + drawShare(soak, 1) + "}");
}

/// Replaces an upstream by another instance at the same address for a time.
void replaceInstance(Soak &soak)
{
    const std::string upstream = drawUpstream(soak);
    noteFault(soak, "replace " + upstream);
    std::vector<std::string> &command = soak.fleet_.processes_.at(upstream).command_;
    const auto instance = std::find(command.begin(), command.end(), "--instance") + 1;
    for (const std::string &name : { upstream + "-replaced", upstream }) {
        signalProcess(soak.fleet_, upstream, SIGKILL);
        *instance = name;
        startProcess(soak.fleet_, upstream);
        writeUpstreamRow(soak.fleet_, upstream + "-replaced", "ready", 4, name == upstream);
        std::this_thread::sleep_for(Milliseconds(500 + soak.random_() % 1000));
    }
}

using Strike = void (*)(Soak &);

/// Faults outside of gateways.
constexpr std::array<Strike, 6> otherStrikes{ strikeUpstream, strikeLink, strikeStore, changeConfiguration,
    changeTimeouts, drainUpstream };

/// Stops gateways that are paused in series meanwhile, and causes other faults in between.
void stopUnderPauses(Soak &soak)
{
    std::vector<uint32_t> gateways(
        1 + soak.random_() % 2, static_cast<uint32_t>(soak.random_() % soak.spec_.gateways_));
    gateways.back() = static_cast<uint32_t>((gateways.back() + gateways.size() - 1) % soak.spec_.gateways_);
    const bool brief = soak.random_() % 2 == 0;
    std::map<uint32_t, bool> listening;
    for (const uint32_t gateway : gateways) {
        noteFault(soak, (brief ? "stop under brief pauses " : "stop under pauses ") + gatewayName(gateway));
        pauseFor(soak, gateway, Milliseconds(soak.random_() % 1000));
        if (!listening.contains(gateway) && mayEnd(soak, gateway)) {
            listening[gateway] = beginStop(soak, gateway);
        }
    }
    const TimePoint end = Clock::now() + pausedStop;
    while (Clock::now() < end) {
        const uint32_t gateway = gateways[soak.random_() % gateways.size()];
        pauseFor(soak, gateway, Milliseconds(brief ? soak.random_() % 5 : soak.random_() % 900));
        if (soak.random_() % (brief ? 100 : 4) == 0) {
            otherStrikes[soak.random_() % otherStrikes.size()](soak);
        }
        std::this_thread::sleep_for(Milliseconds(soak.random_() % (brief ? 5 : 100)));
    }
    for (const auto &[gateway, listened] : listening) {
        endStop(soak, gateway, listened);
    }
}

/// Pauses all gateways at once, and causes other faults meanwhile.
void pauseAll(Soak &soak)
{
    noteFault(soak, "pause all gateways");
    for (uint32_t gateway = 0; gateway < soak.spec_.gateways_; ++gateway) {
        signalProcess(soak.fleet_, gatewayName(gateway), SIGSTOP);
    }
    otherStrikes[soak.random_() % otherStrikes.size()](soak);
    std::this_thread::sleep_for(Milliseconds(200 + soak.random_() % 1000));
    for (uint32_t gateway = 0; gateway < soak.spec_.gateways_; ++gateway) {
        signalProcess(soak.fleet_, gatewayName(gateway), SIGCONT);
    }
}

/// Lets all upstreams answer without end for a while, and causes another fault meanwhile; then some refuse again.
void floodAll(Soak &soak)
{
    for (const std::string &upstream : soak.fleet_.upstreams_) {
        setAnswerFaults(soak, upstream, R"({"endless":)" + drawShare(soak, 1) + "}");
    }
    otherStrikes[soak.random_() % otherStrikes.size()](soak);
    std::this_thread::sleep_for(Milliseconds(200 + soak.random_() % 1000));
    for (const std::string &upstream : soak.fleet_.upstreams_) {
        setAnswerFaults(soak, upstream, "{}");
    }
    spoilDesks(soak);
}

/// Draws one of the faults of a soak without short timeouts; the schedules of earlier seeds depend on their order.
void strikeBasic(Soak &soak)
{
    static constexpr std::array<Strike, 6> strikes{ strikeGateway, strikeUpstream, strikeLink, strikeStore,
        changeConfiguration, drainUpstream };
    strikes[soak.random_() % strikes.size()](soak);
}

} // namespace

void noteFault(Soak &soak, const std::string &fault)
{
    const std::lock_guard lock(soak.mutex_);
    soak.report_.faults_.push_back(fault);
}

void strike(Soak &soak)
{
    static constexpr std::array<Strike, 3> announcementStrikes{ announceLeaving, announcePause, resizeConfiguration };
    static constexpr std::array<Strike, 3> timeoutStrikes{ changeTimeouts, stopUnderPauses, pauseAll };
    static constexpr std::array<Strike, 6> answerStrikes{ spoilDesks, spoilDesks, spoilAnswers, floodAnswers, floodAll,
        replaceInstance };
    if (soak.spec_.replacements_) {
        strikeReplacing(soak);
        return;
    }
    if (soak.spec_.answerFaults_ && soak.random_() % 2 == 0) {
        answerStrikes[soak.random_() % answerStrikes.size()](soak);
    } else if (soak.spec_.announcements_ && soak.random_() % 3 == 0) {
        announcementStrikes[soak.random_() % announcementStrikes.size()](soak);
    } else if (soak.spec_.quietCallers_ > 0 && soak.random_() % 3 == 0) {
        timeoutStrikes[soak.random_() % timeoutStrikes.size()](soak);
    } else {
        strikeBasic(soak);
    }
    checkMemory(soak);
    checkRunning(soak);
    if (soak.random_() % 3 != 0) { // every third fault is followed by the next at once
        std::this_thread::sleep_for(Milliseconds(50 + soak.random_() % 400));
    }
}

void mendAll(Soak &soak)
{
    controlStandin(soak.fleet_, "platform", R"({"mode":"up"})");
    for (const std::string &upstream : soak.fleet_.upstreams_) {
        controlStandin(soak.fleet_, upstream, R"({"mode":"good","pause_ms":0})");
        controlUpstreamLink(soak.fleet_, upstream, "/mend");
    }
    for (const std::string &gateway : soak.fleet_.entries_) {
        controlStoreLink(soak.fleet_, gateway, "/mend");
    }
}

void heal(Soak &soak)
{
    noteFault(soak, "all faults end");
    restoreUpstreams(soak);
    mendAll(soak);
    for (const std::string &upstream : soak.fleet_.upstreams_) {
        if (soak.spec_.answerFaults_) {
            controlAnswerFaults(soak.fleet_, upstream, "{}");
        }
        writeUpstreamRow(soak.fleet_, upstream, "ready", 4);
    }
}

void checkMemory(Soak &soak)
{
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__) // they need memory of their own
    for (const std::string &gateway : soak.fleet_.entries_) {
        const uint64_t peakMib = readPeakMemory(soak.fleet_.processes_.at(gateway).pid_) >> 20U;
        const bool higher = peakMib > std::exchange(soak.report_.peakMib_, std::max(soak.report_.peakMib_, peakMib));
        if (higher && peakMib >= soak.memoryMib_) {
            addBreach(soak,
                { "a gateway keeps to its memory", gateway,
                    std::to_string(peakMib) + " of " + std::to_string(soak.memoryMib_) + " MiB" });
        }
    }
#endif
}

void checkRunning(Soak &soak)
{
    for (auto &[name, process] : soak.fleet_.processes_) {
        if (process.pid_ <= 0) {
            continue;
        }
        if (const int status = awaitExit(soak.fleet_, name, Milliseconds(0)); status != -1) {
            addBreach(soak, { "no process ends by itself", name, std::to_string(status) });
            startProcess(soak.fleet_, name);
        }
    }
}

void checkLogs(Soak &soak)
{
    static constexpr std::array<const char *, 4> signs{ R"("event":"ended-by-exception")",
        R"("event":"ended-by-signal")", "ERROR: AddressSanitizer", "runtime error:" };
    for (const auto &[name, process] : soak.fleet_.processes_) {
        std::ifstream log(soak.fleet_.folder_ + "/" + name + ".log");
        for (std::string line; std::getline(log, line);) {
            const auto appears = [&line](const char *sign) {
                return line.find(sign) != std::string::npos;
            };
            if (std::any_of(signs.begin(), signs.end(), appears)) {
                addBreach(soak, { "no process ends by itself", name, line });
            }
        }
    }
}

} // namespace Burdockfield::Testing
