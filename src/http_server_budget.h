/**
 * @file http_server_budget.h
 * @brief Applies the decisions of a memory budget to the connections of HTTP servers.
 */
#pragma once

#include "memory_budget_func.h"
#include "timeout_type.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace Burdockfield {

struct ServerConnection;

/// Memory of a process unless its settings give it: ordinary use of an entry or an agent stays far below.
constexpr size_t defaultServerMemory = size_t{ 1 } << 30U;

/// Memory budget with the connections that it is about.
struct ServerBudget
{
    explicit ServerBudget(boost::asio::io_context &io);

    boost::asio::io_context &io_; ///< Runs the checks.
    MemoryBudget table_;
    Timeout checkTimeout_; ///< Until the next check.
    bool checkScheduled_ = false; ///< Whether checkTimeout_ is running.
    bool checkPosted_ = false; ///< Whether an immediate check has been posted and has not run yet.
    std::unordered_map<HoldingId, std::weak_ptr<ServerConnection>, PoolIdHash<Holding>> connections_;
    std::function<void(const BudgetDecision &)> onDecision_; ///< Records a refusal or a close; may be empty.
};

/**
 * Sets the limits for the memory of the process and its descriptors.
 * @param descriptors most descriptors that the process may open; 0, or more than the system allows, for the system's
 * limit
 */
void setBudgetMemory(ServerBudget &budget, size_t memoryBytes, size_t descriptors = 0);

/// Runs a check as soon as the handlers that are ready have run, if limits are exceeded.
void enforceLimits(const std::shared_ptr<ServerBudget> &budget);

/// Makes sure that a check will run within budgetCheckInterval.
void scheduleCheck(const std::shared_ptr<ServerBudget> &budget);

/// Adds a connection to the budget.
void openHolding(const std::shared_ptr<ServerBudget> &budget, const std::shared_ptr<ServerConnection> &connection);

/// Removes a connection from the budget.
void closeHolding(ServerBudget &budget, const ServerConnection &connection);

/// @return name of a reason for logs and metrics.
const char *budgetReasonName(BudgetReason reason);

} // namespace Burdockfield
