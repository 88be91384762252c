/**
 * @file entry_membership.cpp
 * @brief System that applies the platform's VM list and maintains this entry's subset of upstreams.
 *
 * For each route and region the subset is the upstreams with the highest rendezvous hash of entry and upstream name,
 * so that its size does not grow with the fleet and adding or removing one VM changes few subsets.
 *
 * The VM list grows with the fleet, so a longer list is read less often. When an entry reads that an upstream is
 * leaving, it notifies the upstream's agent. The agent then refuses new runs and reports that it is leaving.
 *
 * Source: Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
#include "digest_func.h"
#include "entry_func.h"
#include "entry_membership_func.h"
#include "vm_func.h"

#include <algorithm>
#include <set>

namespace Burdockfield {

namespace {

constexpr Milliseconds vmListInterval{ 2000 }; ///< Shortest time between two reads of the VM list.

/// Upstream and its rendezvous hash for this entry.
struct RankedUpstream
{
    uint64_t hash_ = 0; ///< Rendezvous hash; a higher one ranks first.
    UpstreamId id_;
};

UpstreamId findOrInsertUpstream(EntryState &state, const Vm &vm)
{
    if (const auto found = state.upstreamByName_.find(vm.name_); found != state.upstreamByName_.end()) {
        return found->second;
    }
    Upstream upstream;
    upstream.name_ = vm.name_;
    const UpstreamId id = insertRow(state.upstreams_, std::move(upstream));
    state.upstreamByName_[vm.name_] = id;
    return id;
}

void applyVm(EntryState &state, const Vm &vm, EntryOutbox &outbox)
{
    Upstream &upstream = *findRow(state.upstreams_, findOrInsertUpstream(state, vm));
    if (upstream.address_ != vm.address_) {
        upstream.reported_ = false;
    }
    upstream.address_ = vm.address_;
    upstream.region_ = vm.region_;
    upstream.zone_ = vm.zone_;
    upstream.routes_ = vm.routes_;
    if (vm.leaving_ && !upstream.leaving_) {
        outbox.leaveNotices_.push_back({ vm.address_ });
    }
    upstream.leaving_ = vm.leaving_;
}

void removeUnlisted(EntryState &state, const std::set<std::string> &listed)
{
    for (auto item = state.upstreamByName_.begin(); item != state.upstreamByName_.end();) {
        if (listed.contains(item->first)) {
            ++item;
            continue;
        }
        eraseRow(state.upstreams_, item->second);
        item = state.upstreamByName_.erase(item);
    }
}

void applyVmList(EntryState &state, const std::vector<Vm> &vms, EntryOutbox &outbox)
{
    std::set<std::string> listed;
    state.peers_.clear();
    for (const Vm &vm : vms) {
        if (vm.role_ == VmRole::Upstream) {
            listed.insert(vm.name_);
            applyVm(state, vm, outbox);
        } else if (vm.address_ != state.identity_.address_ && !vm.leaving_) {
            state.peers_.push_back(vm.address_);
        }
    }
    removeUnlisted(state, listed);
}

/// @return routes that the agent reports, or before the first report those in the VM list.
const std::vector<std::string> &servedRoutes(const Upstream &upstream)
{
    return upstream.reported_ ? upstream.report_.routes_ : upstream.routes_;
}

std::map<std::string, std::vector<RankedUpstream>> rankByRegion(const EntryState &state, const std::string &route)
{
    std::map<std::string, std::vector<RankedUpstream>> regions;
    forEachRow(state.upstreams_, [&](UpstreamId id, const Upstream &upstream) {
        const auto &routes = servedRoutes(upstream);
        if (!upstream.leaving_ && std::find(routes.begin(), routes.end(), route) != routes.end()) {
            regions[upstream.region_].push_back({ fastHash(upstream.name_, fastHash(state.identity_.name_)), id });
        }
    });
    for (auto &[region, ranked] : regions) {
        const auto higherHash = [](const auto &left, const auto &right) {
            return left.hash_ > right.hash_;
        };
        std::sort(ranked.begin(), ranked.end(), higherHash);
    }
    return regions;
}

void updateRouteSubset(EntryState &state, Route &route, TimePoint now)
{
    route.candidates_.clear();
    for (const auto &[region, ranked] : rankByRegion(state, route.name_)) {
        const bool local = region == state.identity_.region_;
        const size_t limit = local ? state.policy_.subsetSize_ : std::max(1U, state.policy_.subsetSize_ / 2);
        for (size_t index = 0; index < std::min(limit, ranked.size()); ++index) {
            const UpstreamId id = ranked[index].id_;
            route.candidates_.push_back(id);
            Upstream &upstream = *findRow(state.upstreams_, id);
            if (!upstream.subscribed_) {
                upstream.subscribed_ = true;
                upstream.reportDue_ = now;
                pushDeadline(state.reportDeadlines_, now, id);
            }
        }
    }
}

} // namespace

void rebuildSubsets(EntryState &state, TimePoint now)
{
    const Configuration &configuration = state.configuration_;
    forEachRow(state.upstreams_, [&](UpstreamId /*id*/, Upstream &upstream) {
        upstream.drained_ = configuration.drainedUpstreams_.contains(upstream.name_)
            || configuration.drainedRegions_.contains(upstream.region_);
    });
    forEachRow(state.routes_, [&](RouteId /*id*/, Route &route) { updateRouteSubset(state, route, now); });
}

void runMembership(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox)
{
    for (const VmsListed &event : inbox.vmLists_) {
        state.vmListPending_ = false;
        state.vmListDue_ = now + vmListReadInterval(state.random_, vmListInterval, event.bytes_);
        if (!event.error_) {
            applyVmList(state, event.vms_, outbox);
            rebuildSubsets(state, now);
        }
    }
    if (!state.vmListPending_ && state.vmListDue_ <= now) {
        state.vmListPending_ = true;
        outbox.vmFetches_.push_back({});
    }
}

} // namespace Burdockfield
