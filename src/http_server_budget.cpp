/**
 * @file http_server_budget.cpp
 * @brief Applies the decisions of a memory budget to the connections of HTTP servers.
 */
#include "http_server_budget.h"

#include "error_type.h"
#include "http_server_input.h"
#include "log_func.h"

#include <algorithm>
#include <sys/resource.h>

namespace Burdockfield {

namespace {

/// @return most descriptors that this process may open.
size_t descriptorLimit()
{
    constexpr size_t unknownLimit = 1024; // usual default of systems
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<size_t>(limit.rlim_cur) : unknownLimit;
}

void refuseRead(ServerConnection &connection, BudgetReason reason)
{
    connection.refusal_ = reason == BudgetReason::Stalled ? RefusalErrc::SlowRequest : RefusalErrc::Overloaded;
    connection.outputSignal_.cancel();
    cancelRead(connection);
}

/// Closes a connection without sending the rest of its answer, if any, which the kernel then frees too.
void cutConnection(ServerConnection &connection, HoldingPhase phase)
{
    boost::system::error_code ignored;
    if (phase == HoldingPhase::Exchange) { // a reset, so that the answer does not look complete
        connection.stream_.socket().set_option(Asio::socket_base::linger(true, 0), ignored);
    }
    connection.stream_.close();
    connection.outputSignal_.cancel();
}

void apply(ServerConnection &connection, const BudgetDecision &decision)
{
    if (decision.reason_ == BudgetReason::Granted) {
        connection.outputSignal_.cancel();
    } else if (decision.phase_ == HoldingPhase::Header || decision.phase_ == HoldingPhase::Body) {
        refuseRead(connection, decision.reason_);
    } else {
        cutConnection(connection, decision.phase_);
    }
}

void logDecision(const BudgetDecision &decision)
{
    logLine(LogLevel::Warning, "connection-refused",
        { { "reason", budgetReasonName(decision.reason_) }, { "held_bytes", std::to_string(decision.heldBytes_) },
            { "inactive_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(decision.inactive_).count()) } });
}

void runCheck(const std::shared_ptr<ServerBudget> &budget)
{
    for (const BudgetDecision &decision : runMemoryBudget(budget->table_, Clock::now())) {
        if (decision.reason_ != BudgetReason::Granted) {
            logDecision(decision);
            if (budget->onDecision_) {
                budget->onDecision_(decision);
            }
        }
        const auto found = budget->connections_.find(decision.holding_);
        if (const auto connection = found == budget->connections_.end() ? nullptr : found->second.lock();
            connection != nullptr) {
            apply(*connection, decision);
        }
    }
    if (needsCheck(budget->table_)) {
        scheduleCheck(budget);
    }
}

} // namespace

ServerBudget::ServerBudget(boost::asio::io_context &io)
    : io_(io)
    , checkTimeout_(io)
{
    setBudgetMemory(*this, defaultServerMemory);
}

void setBudgetMemory(ServerBudget &budget, size_t memoryBytes, size_t descriptors)
{
    const size_t most = descriptorLimit();
    budget.table_.limits_ = makeBudgetLimits(memoryBytes, descriptors == 0 ? most : std::min(most, descriptors));
}

void enforceLimits(const std::shared_ptr<ServerBudget> &budget)
{
    if (budget->checkPosted_ || !exceedsLimits(budget->table_)) {
        return;
    }
    budget->checkPosted_ = true;
    Asio::post(budget->io_, [budget] {
        budget->checkPosted_ = false;
        runCheck(budget);
    });
}

void scheduleCheck(const std::shared_ptr<ServerBudget> &budget)
{
    if (budget->checkScheduled_) {
        return;
    }
    budget->checkScheduled_ = true;
    startTimeout(budget->checkTimeout_, budgetCheckInterval, [weak = std::weak_ptr(budget)] {
        if (const auto current = weak.lock(); current != nullptr) {
            current->checkScheduled_ = false;
            runCheck(current);
        }
    });
}

void openHolding(const std::shared_ptr<ServerBudget> &budget, const std::shared_ptr<ServerConnection> &connection)
{
    connection->holding_ = addHolding(budget->table_, Clock::now());
    budget->connections_[connection->holding_] = connection;
    enforceLimits(budget);
}

void closeHolding(ServerBudget &budget, const ServerConnection &connection)
{
    budget.connections_.erase(connection.holding_);
    removeHolding(budget.table_, connection.holding_);
}

const char *budgetReasonName(BudgetReason reason)
{
    switch (reason) {
    case BudgetReason::Granted:
        return "granted";
    case BudgetReason::NoMemory:
        return "no-memory";
    case BudgetReason::LeastProgress:
        return "least-progress";
    case BudgetReason::Stalled:
        return "stalled";
    case BudgetReason::SlowReader:
        return "slow-reader";
    case BudgetReason::Silent:
        return "silent";
    }
    return "";
}

} // namespace Burdockfield
