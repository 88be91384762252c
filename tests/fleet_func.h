/**
 * @file fleet_func.h
 * @brief Local fleet of real daemons and stand-ins on loopback, for tests, trials and the README's main job.
 */
#pragma once

#include "configuration_type.h"
#include "http_type.h"
#include "time_type.h"

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Burdockfield::Testing {

/// Upstream of a fleet.
struct UpstreamSpec
{
    std::string name_; ///< Name of the VM.
    RouteKind kind_ = RouteKind::Model; ///< Engine or plain service.
    std::string route_ = "itinerary"; ///< Model or service that it serves.
    std::string region_ = "norte-a"; ///< Region and availability zone.
    uint32_t slots_ = 4; ///< Slots of an engine.
    double prefillRate_ = 8000; ///< Prompt tokens a second.
    double decodeRate_ = 100; ///< Generated tokens a second of one request.
    int serviceMs_ = 30; ///< Time that a service's call takes.
};

/// What a fleet consists of.
struct FleetSpec
{
    uint32_t entries_ = 1; ///< Entries; each in the region of the upstream with the same index.
    std::vector<UpstreamSpec> upstreams_; ///< Upstreams, each with its agent.
    bool linked_ = false; ///< Whether entries reach each agent through a link.
    std::string preset_ = "scheduled"; ///< Policy of entries and agents.
    std::string entryPolicy_; ///< Further lines of the entries' policy, each indented by two spaces.
    std::string entryLimits_; ///< Further lines of the entries' settings.
    std::vector<Change> changes_; ///< Configuration confirmed at the start.
};

/// Process of a fleet.
struct FleetProcess
{
    std::string name_; ///< Name.
    std::vector<std::string> command_; ///< Command line.
    std::string address_; ///< IP:PORT that it listens on.
    std::string control_; ///< Control IP:PORT of an entry, else the same address.
    pid_t pid_ = -1; ///< Process id, or -1 when it does not run.
};

/// Running fleet.
struct Fleet
{
    FleetSpec spec_; ///< What it consists of.
    std::string folder_; ///< Settings, logs and ledgers.
    std::string daemon_; ///< Program of the daemons; empty for the one built with the tests.
    std::map<std::string, FleetProcess> processes_; ///< Processes by name.
    std::vector<std::string> entries_; ///< Names of the entries.
    std::vector<std::string> agents_; ///< Names of the agents.
    std::vector<std::string> upstreams_; ///< Names of the upstreams' stand-ins.
};

/// Line of a stand-in's ledger.
struct LedgerLine
{
    std::string upstream_; ///< Stand-in.
    std::string event_; ///< What happened.
    std::string request_; ///< Request id.
    std::string prompt_; ///< Hash of the prompt or body.
    uint64_t prefillTokens_ = 0; ///< Prompt tokens worked through.
    uint64_t resumeTokens_ = 0; ///< Answer tokens that the caller had already.
    TimePoint at_{}; ///< When, by the upstreams of the platform.
};

/// @return three unlike engines, a plain service, tiers, workspaces and routes.
FleetSpec makeSmallFleet();

/// @return the changes that set up the tiers, workspaces and routes of the stand-in deployments.
std::vector<Change> makeDeploymentChanges();

/// Starts a fleet and waits until it takes requests. @return whether it does
bool startFleet(Fleet &fleet, FleetSpec spec);

/// Starts a process of the fleet, again or for the first time.
void startProcess(Fleet &fleet, const std::string &name);

/// Sends a signal to a process of the fleet; waits for its end after SIGKILL.
void signalProcess(Fleet &fleet, const std::string &name, int signal);

/// Waits for a process to end. @return its exit status, or -1 when it has not ended in time
int awaitExit(Fleet &fleet, const std::string &name, Milliseconds timeout);

/// Ends every process of the fleet.
void stopFleet(Fleet &fleet);

/// Waits until @p condition holds. @return whether it came to hold in time
bool waitUntil(const std::function<bool()> &condition, Milliseconds timeout = Milliseconds(20000));

/// Makes a call and waits for its answer; status 0 when there is none.
HttpReply callNode(const std::string &address, const std::string &method, const std::string &target,
    const std::string &body = {}, const HttpHeaders &headers = {}, Milliseconds timeout = Milliseconds(15000));

/// Tells a stand-in how to behave.
void controlStandin(const Fleet &fleet, const std::string &name, const std::string &json);

/// Tells the link before an agent what to do: "/silence", "/cut" or "/mend".
void controlLink(const Fleet &fleet, const std::string &agent, const std::string &command);

/// Tells the platform which VMs there are.
void publishVms(const Fleet &fleet, const std::vector<std::string> &leaving = {});

/// Plans and confirms changes through an entry. @return status of the refusal, or 200
int confirmChanges(const Fleet &fleet, const std::string &entry, const std::vector<Change> &changes);

/// @return the ledgers of all upstreams.
std::vector<LedgerLine> readLedgers(const Fleet &fleet);

/// @return how often the ledgers say that @p event befell the request with this prompt hash.
size_t countEvents(const std::vector<LedgerLine> &ledger, const std::string &event, const std::string &prompt);

/// @return share of the prompt tokens that engines worked through for hand-overs that did not end in a whole answer.
double wastedPrefill(const std::vector<LedgerLine> &ledger);

/// @return processor time used by a process so far.
FractionalSeconds processorTime(const Fleet &fleet, const std::string &name);

} // namespace Burdockfield::Testing
