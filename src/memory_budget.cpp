/**
 * @file memory_budget.cpp
 * @brief Decisions about the memory and the connections that a process holds for others. No I/O.
 */
#include "memory_budget_func.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Burdockfield {

namespace {

/// Share of the memory for everything held for others. The process itself needs 11 to 25 MB of the smallest 88 MB.
constexpr double totalShare = 0.6;
constexpr double inputShare = 0.25; ///< Share for requests, as for the bodies of admitted calls.
constexpr double reservedShare = 0.125; ///< Share of the input that is kept for small requests.
constexpr double connectionShare = 0.75; ///< Share of the descriptors that callers' connections may take.
/// Longest request that is always granted, twice a prompt of 3,000 tokens; as headers, these are bounded by the total.
constexpr size_t smallRequestBytes = 32U << 10U;
/// Memory of an ordinary send: a buffer that has grown once, and the head of its answer. A stream that pauses holds it.
constexpr size_t ordinarySendBytes = 40U << 10U;
/// Time without progress after which a body is refused: the platform's idle timeout. A body may not stand still for
/// longer than a connection; the read timeout of the whole request mostly ends it before.
constexpr Milliseconds stallTimeout{ 15000 };
constexpr Milliseconds maxPause{ 1000 }; ///< Longest wait for memory; callers' deadlines begin at 1.2 s.
/// Time without progress after which others that wait for memory take precedence: above a round trip and a lost packet.
constexpr Milliseconds precedenceDelay{ 300 };

bool isPaused(const Holding &holding)
{
    return holding.wantedBytes_ > 0;
}

size_t memoryOf(const Holding &holding)
{
    return connectionBytes + holding.inputBytes_ + holding.unreadBytes_ + holding.outputBytes_;
}

/// @return whether a request may have @p bytes in all.
bool fits(const MemoryBudget &budget, const Holding &holding, size_t bytes)
{
    const size_t otherInput = budget.inputBytes_ - holding.inputBytes_;
    const size_t otherHeld = heldBytes(budget) - holding.inputBytes_;
    return bytes <= smallRequestBytes
        || (otherInput + bytes + budget.limits_.reservedBytes_ <= budget.limits_.inputBytes_
            && otherHeld + bytes <= budget.limits_.totalBytes_);
}

void changeInput(MemoryBudget &budget, Holding &holding, size_t bytes)
{
    budget.inputBytes_ += bytes - holding.inputBytes_;
    holding.inputBytes_ = bytes;
}

void changeUnread(MemoryBudget &budget, Holding &holding, size_t bytes)
{
    budget.unreadBytes_ += bytes - holding.unreadBytes_;
    holding.unreadBytes_ = bytes;
}

void changeOutput(MemoryBudget &budget, Holding &holding, size_t bytes)
{
    budget.outputBytes_ += bytes - holding.outputBytes_;
    holding.outputBytes_ = bytes;
}

void releaseBytes(MemoryBudget &budget, Holding &holding)
{
    changeInput(budget, holding, 0);
    changeUnread(budget, holding, 0);
    changeOutput(budget, holding, 0);
    holding.wantedBytes_ = 0;
}

void setPhase(MemoryBudget &budget, Holding &holding, HoldingPhase phase)
{
    budget.open_ -= phase == HoldingPhase::Closing ? 1 : 0;
    holding.phase_ = phase;
}

/// Ends a connection in the table: it holds nothing from here on and is not chosen again.
void decide(MemoryBudget &budget, TimePoint now, HoldingId id, BudgetReason reason, BudgetDecisions &decisions)
{
    Holding &holding = *findRow(budget.holdings_, id);
    decisions.push_back({ id, reason, holding.phase_, memoryOf(holding), now - holding.activeAt_ });
    releaseBytes(budget, holding);
    setPhase(budget, holding, HoldingPhase::Closing);
}

/// Grants memory to paused reads, those that have waited longest first.
void resumePaused(MemoryBudget &budget, TimePoint now, BudgetDecisions &decisions)
{
    std::vector<std::pair<TimePoint, HoldingId>> paused;
    forEachRow(budget.holdings_, [&paused](HoldingId id, const Holding &holding) {
        if (isPaused(holding)) {
            paused.emplace_back(holding.pausedAt_, id);
        }
    });
    std::sort(paused.begin(), paused.end());
    for (const auto &[pausedAt, id] : paused) {
        Holding &holding = *findRow(budget.holdings_, id);
        if (fits(budget, holding, holding.wantedBytes_)) {
            changeInput(budget, holding, std::exchange(holding.wantedBytes_, 0));
            changeUnread(budget, holding, 0);
            holding.activeAt_ = now;
            decisions.push_back({ id, BudgetReason::Granted, holding.phase_, memoryOf(holding), now - pausedAt });
        }
    }
}

void refuseExpired(MemoryBudget &budget, TimePoint now, BudgetDecisions &decisions)
{
    forEachRow(budget.holdings_, [&](HoldingId id, const Holding &holding) {
        if (isPaused(holding) && now - holding.pausedAt_ >= maxPause) {
            decide(budget, now, id, BudgetReason::NoMemory, decisions);
        } else if (holding.phase_ == HoldingPhase::Body && !isPaused(holding)
            && now - holding.activeAt_ >= stallTimeout) {
            decide(budget, now, id, BudgetReason::Stalled, decisions);
        }
    });
}

/**
 * @param isCandidate tells which connections may be ended
 * @return the one that holds the most memory for the longest time without progress
 */
template<typename Predicate>
std::optional<HoldingId> findWorst(const MemoryBudget &budget, TimePoint now, Predicate isCandidate)
{
    std::optional<HoldingId> worst;
    double worstCost = -1;
    forEachRow(budget.holdings_, [&](HoldingId id, const Holding &holding) {
        const double cost = static_cast<double>(memoryOf(holding)) * FractionalSeconds(now - holding.activeAt_).count();
        if (isCandidate(holding) && cost > worstCost) {
            worst = id;
            worstCost = cost;
        }
    });
    return worst;
}

/// Refuses one upload without progress if others wait for memory; each check gives up no more than one.
void refuseLeastProgress(MemoryBudget &budget, TimePoint now, BudgetDecisions &decisions)
{
    size_t waiting = 0;
    forEachRow(budget.holdings_, [&](HoldingId /*id*/, const Holding &holding) {
        waiting += isPaused(holding) && now - holding.pausedAt_ >= precedenceDelay ? 1 : 0;
    });
    if (waiting == 0) {
        return;
    }
    const auto worst = findWorst(budget, now, [&](const Holding &holding) {
        return holding.phase_ == HoldingPhase::Body && holding.inputBytes_ > smallRequestBytes
            && now - holding.activeAt_ >= precedenceDelay;
    });
    if (worst) {
        decide(budget, now, *worst, BudgetReason::LeastProgress, decisions);
    }
}

BudgetReason reasonToClose(const Holding &holding)
{
    switch (holding.phase_) {
    case HoldingPhase::Body:
        return BudgetReason::LeastProgress;
    case HoldingPhase::Exchange:
        return BudgetReason::SlowReader;
    case HoldingPhase::Idle:
    case HoldingPhase::Header:
    case HoldingPhase::Closing:
        return BudgetReason::Silent;
    }
    return BudgetReason::Silent;
}

/// Ends connections until the total is within its limit. Exchanges whose answer does not wait for the caller are kept.
void closeOverTotal(MemoryBudget &budget, TimePoint now, BudgetDecisions &decisions)
{
    const auto isCandidate = [](const Holding &holding) {
        return holding.phase_ != HoldingPhase::Closing
            && (holding.phase_ != HoldingPhase::Exchange || holding.outputBytes_ > 0);
    };
    while (heldBytes(budget) > budget.limits_.totalBytes_) {
        const auto worst = findWorst(budget, now, isCandidate);
        if (!worst) {
            return;
        }
        decide(budget, now, *worst, reasonToClose(*findRow(budget.holdings_, *worst)), decisions);
    }
}

/// Ends the connections that have been silent longest, as far as there are too many.
void closeSilent(MemoryBudget &budget, TimePoint now, BudgetDecisions &decisions)
{
    if (budget.open_ <= budget.limits_.connections_) {
        return;
    }
    std::vector<std::pair<TimePoint, HoldingId>> silent;
    forEachRow(budget.holdings_, [&silent](HoldingId id, const Holding &holding) {
        if (holding.phase_ == HoldingPhase::Idle || holding.phase_ == HoldingPhase::Header) {
            silent.emplace_back(holding.activeAt_, id);
        }
    });
    const size_t excess = std::min(budget.open_ - budget.limits_.connections_, silent.size());
    std::partial_sort(silent.begin(), silent.begin() + static_cast<ptrdiff_t>(excess), silent.end());
    for (size_t index = 0; index < excess; ++index) {
        decide(budget, now, silent[index].second, BudgetReason::Silent, decisions);
    }
}

} // namespace

BudgetLimits makeBudgetLimits(size_t memoryBytes, size_t descriptors)
{
    const auto memory = static_cast<double>(memoryBytes);
    BudgetLimits limits;
    limits.totalBytes_ = static_cast<size_t>(memory * totalShare);
    limits.inputBytes_ = static_cast<size_t>(memory * inputShare);
    limits.reservedBytes_ = static_cast<size_t>(memory * inputShare * reservedShare);
    limits.connections_ = static_cast<size_t>(static_cast<double>(descriptors) * connectionShare);
    return limits;
}

HoldingId addHolding(MemoryBudget &budget, TimePoint now)
{
    Holding holding;
    holding.activeAt_ = now;
    ++budget.open_;
    return insertRow(budget.holdings_, holding);
}

void removeHolding(MemoryBudget &budget, HoldingId id)
{
    if (Holding *holding = findRow(budget.holdings_, id); holding != nullptr) {
        releaseBytes(budget, *holding);
        if (holding->phase_ != HoldingPhase::Closing) {
            setPhase(budget, *holding, HoldingPhase::Closing);
        }
        eraseRow(budget.holdings_, id);
    }
}

void startPhase(MemoryBudget &budget, TimePoint now, HoldingId id, HoldingPhase phase)
{
    Holding *holding = findRow(budget.holdings_, id);
    if (holding == nullptr || holding->phase_ == HoldingPhase::Closing) {
        return;
    }
    setPhase(budget, *holding, phase);
    holding->activeAt_ = now;
    holding->progressBytes_ = 0;
    if (phase == HoldingPhase::Idle || phase == HoldingPhase::Closing) {
        releaseBytes(budget, *holding);
    }
}

void setInput(MemoryBudget &budget, HoldingId id, size_t bytes)
{
    if (Holding *holding = findRow(budget.holdings_, id);
        holding != nullptr && holding->phase_ != HoldingPhase::Closing) {
        changeInput(budget, *holding, bytes);
    }
}

bool reserveInput(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes)
{
    Holding *holding = findRow(budget.holdings_, id);
    if (holding == nullptr || holding->phase_ == HoldingPhase::Closing) {
        return false;
    }
    if (bytes <= holding->inputBytes_ || fits(budget, *holding, bytes)) {
        changeInput(budget, *holding, std::max(bytes, holding->inputBytes_));
        return true;
    }
    holding->wantedBytes_ = bytes;
    holding->pausedAt_ = now;
    changeUnread(budget, *holding, receiveBufferBytes);
    return false;
}

bool isPaused(const MemoryBudget &budget, HoldingId id)
{
    const Holding *holding = findRow(budget.holdings_, id);
    return holding != nullptr && isPaused(*holding);
}

void recordReceived(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes)
{
    Holding *holding = findRow(budget.holdings_, id);
    if (holding == nullptr) {
        return;
    }
    holding->progressBytes_ += bytes;
    if (holding->progressBytes_ >= progressStep) {
        holding->progressBytes_ = 0;
        holding->activeAt_ = now;
    }
}

void recordUnread(MemoryBudget &budget, HoldingId id)
{
    if (Holding *holding = findRow(budget.holdings_, id);
        holding != nullptr && holding->phase_ == HoldingPhase::Exchange) {
        changeUnread(budget, *holding, receiveBufferBytes);
    }
}

void addOutput(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes)
{
    Holding *holding = findRow(budget.holdings_, id);
    if (holding == nullptr || holding->phase_ != HoldingPhase::Exchange) {
        return;
    }
    if (holding->outputBytes_ == 0) {
        holding->activeAt_ = now;
    }
    changeOutput(budget, *holding, holding->outputBytes_ + bytes);
}

void removeOutput(MemoryBudget &budget, TimePoint now, HoldingId id, size_t bytes)
{
    if (Holding *holding = findRow(budget.holdings_, id); holding != nullptr) {
        changeOutput(budget, *holding, holding->outputBytes_ - std::min(bytes, holding->outputBytes_));
        holding->activeAt_ = now;
    }
}

size_t heldBytes(const MemoryBudget &budget)
{
    return budget.inputBytes_ + budget.unreadBytes_ + budget.outputBytes_ + budget.otherBytes_
        + budget.open_ * connectionBytes;
}

bool exceedsLimits(const MemoryBudget &budget)
{
    return heldBytes(budget) > budget.limits_.totalBytes_ || budget.open_ > budget.limits_.connections_;
}

bool needsCheck(const MemoryBudget &budget)
{
    bool reading = false;
    forEachRow(budget.holdings_, [&reading](HoldingId /*id*/, const Holding &holding) {
        reading = reading || holding.phase_ == HoldingPhase::Body;
    });
    return reading || exceedsLimits(budget);
}

std::vector<SendHolding> chooseSendsToGiveUp(
    const MemoryBudget &budget, TimePoint now, const std::vector<SendHolding> &sends)
{
    const size_t held = heldBytes(budget);
    size_t excess = held - std::min(held, budget.limits_.totalBytes_);
    std::vector<SendHolding> chosen;
    if (excess == 0) {
        return chosen;
    }
    std::vector<std::pair<double, size_t>> costs;
    for (size_t index = 0; index < sends.size(); ++index) {
        const Duration inactive = now - sends[index].activeAt_;
        if (sends[index].bytes_ > ordinarySendBytes && inactive >= precedenceDelay) {
            costs.emplace_back(static_cast<double>(sends[index].bytes_) * FractionalSeconds(inactive).count(), index);
        }
    }
    std::sort(costs.rbegin(), costs.rend());
    for (const auto &[cost, index] : costs) {
        if (excess == 0) {
            break;
        }
        excess -= std::min(excess, sends[index].bytes_);
        chosen.push_back(sends[index]);
    }
    return chosen;
}

BudgetDecisions runMemoryBudget(MemoryBudget &budget, TimePoint now)
{
    BudgetDecisions decisions;
    closeSilent(budget, now, decisions);
    refuseExpired(budget, now, decisions);
    closeOverTotal(budget, now, decisions);
    refuseLeastProgress(budget, now, decisions);
    resumePaused(budget, now, decisions);
    return decisions;
}

} // namespace Burdockfield
