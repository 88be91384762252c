/**
 * @file gateway_configuration.cpp
 * @brief Indexes of a gateway's configuration, and lookups by them.
 */
#include "gateway_configuration_type.h"

#include <algorithm>

namespace Burdockfield::Gateway {

namespace {

void updateTopRanks(Configuration &configuration, const Route &route)
{
    for (const RouteTarget &target : route.targets_) {
        const auto [entry, added] = configuration.mostUrgentRankByService_.try_emplace(target.service_, route.rank_);
        entry->second = std::min(entry->second, route.rank_);
    }
}

} // namespace

void indexConfiguration(Configuration &configuration)
{
    configuration.routesByHost_.clear();
    configuration.workspaceByKey_.clear();
    configuration.workspaceByName_.clear();
    configuration.serviceByName_.clear();
    configuration.mostUrgentRankByService_.clear();
    for (size_t index = 0; index < configuration.routes_.size(); ++index) {
        configuration.routesByHost_[configuration.routes_[index].host_].push_back(index);
        updateTopRanks(configuration, configuration.routes_[index]);
    }
    const auto longerPrefix = [&configuration](size_t left, size_t right) {
        return configuration.routes_[left].pathPrefix_.size() > configuration.routes_[right].pathPrefix_.size();
    };
    for (auto &[host, routes] : configuration.routesByHost_) {
        std::stable_sort(routes.begin(), routes.end(), longerPrefix);
    }
    for (size_t index = 0; index < configuration.workspaces_.size(); ++index) {
        configuration.workspaceByName_.try_emplace(configuration.workspaces_[index].name_, index);
        for (const std::string &key : configuration.workspaces_[index].keys_) {
            configuration.workspaceByKey_[key] = index;
        }
    }
    for (size_t index = 0; index < configuration.services_.size(); ++index) {
        configuration.serviceByName_[configuration.services_[index].name_] = index;
    }
}

const Route *findRoute(const Configuration &configuration, const std::string &host, const std::string &path)
{
    const auto found = configuration.routesByHost_.find(host);
    if (found == configuration.routesByHost_.end()) {
        return nullptr;
    }
    for (const size_t index : found->second) {
        if (const Route &route = configuration.routes_[index]; path.starts_with(route.pathPrefix_)) {
            return &route;
        }
    }
    return nullptr;
}

const WorkspaceRule *findWorkspaceByKey(const Configuration &configuration, const std::string &key)
{
    const auto found = configuration.workspaceByKey_.find(key);
    return found == configuration.workspaceByKey_.end() ? nullptr : &configuration.workspaces_[found->second];
}

const WorkspaceRule *findWorkspaceByName(const Configuration &configuration, const std::string &name)
{
    const auto found = configuration.workspaceByName_.find(name);
    return found == configuration.workspaceByName_.end() ? nullptr : &configuration.workspaces_[found->second];
}

const Service *findService(const Configuration &configuration, const std::string &name)
{
    const auto found = configuration.serviceByName_.find(name);
    return found == configuration.serviceByName_.end() ? nullptr : &configuration.services_[found->second];
}

} // namespace Burdockfield::Gateway
