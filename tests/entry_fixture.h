/**
 * @file entry_fixture.h
 * @brief Fixture of an entry whose ticks are called by hand.
 */
#pragma once

#include "configuration_func.h"
#include "digest_func.h"
#include "entry_func.h"
#include "entry_membership_func.h"
#include "error_type.h"
#include "fleet_func.h"

#include <doctest/doctest.h>
#include <string>

namespace Burdockfield::Testing {

/// Entry with its configuration in force and engines that have reported.
struct EntryFixture
{
    EntryFixture()
    {
        PeerConfigurationReceived event;
        applyChanges(event.configuration_, makeDeploymentChanges());
        EntryInbox inbox;
        inbox.peerConfigurations_.push_back(event);
        tick(std::move(inbox));
    }

    /// Runs one tick.
    EntryOutbox tick(EntryInbox inbox = {})
    {
        return tickEntry(state_, now_, std::move(inbox));
    }

    /// Makes engines known and lets them report.
    void addEngines(const std::vector<AgentReport> &reports, const std::string &region = "r")
    {
        VmsListed list;
        for (const AgentReport &report : reports) {
            list.vms_.push_back(
                { report.upstream_, VmRole::Upstream, report.upstream_ + ":1", region, "z", report.routes_, false });
        }
        EntryInbox inbox;
        inbox.vmLists_.push_back(list);
        tick(std::move(inbox));
        EntryInbox news;
        for (const AgentReport &report : reports) {
            news.reports_.push_back({ state_.upstreamByName_[report.upstream_], {}, report });
        }
        tick(std::move(news));
    }

    /// @return a report of an engine with room.
    static AgentReport makeReport(const std::string &name, uint32_t slots = 4)
    {
        AgentReport report;
        report.upstream_ = name;
        report.incarnation_ = 7;
        report.version_ = 1;
        report.reachable_ = true;
        report.slots_ = slots;
        report.queueDepth_ = 0;
        report.prefillRate_ = 4000;
        report.decodeRate_ = 50;
        report.routes_ = { "itinerary" };
        return report;
    }

    /// @return a request.
    CallerRequest makeRequest(const std::string &workspace = "faculty", const std::string &tier = "standard")
    {
        CallerRequest request;
        request.exchange_ = ExchangeId{ nextExchange_++ };
        request.tokenDigest_ = sha256Hex("token-" + workspace);
        request.route_ = "itinerary";
        request.tier_ = tier;
        request.path_ = "/v1/chat/completions";
        request.method_ = "POST";
        request.prompt_ = "prompt " + std::to_string(nextExchange_);
        request.payload_ = request.prompt_;
        request.maxTokens_ = 50;
        return request;
    }

    /// Sends requests in one tick.
    EntryOutbox submit(std::vector<CallerRequest> requests)
    {
        EntryInbox inbox;
        inbox.arrivals_ = std::move(requests);
        return tick(std::move(inbox));
    }

    TimePoint now_{ std::chrono::hours(1) }; ///< Hand-moved clock.
    EntryState state_ = makeEntryState({ "e", "e:1", "r", "z" }, EntryPolicy{}, 42); ///< The entry.
    uint64_t nextExchange_ = 1; ///< Number of the next exchange.
};

} // namespace Burdockfield::Testing
