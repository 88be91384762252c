/**
 * @file entry_confirmation.cpp
 * @brief System that answers plans and confirmations.
 *
 * A confirmation is one transaction, conditional on the row of its revision being absent, so one of two racing
 * operators wins. A lost answer is settled by reading that row back and comparing the plan.
 */
#include "configuration_func.h"
#include "configuration_wire.h"
#include "digest_func.h"
#include "entry_configuration_sync_func.h"
#include "entry_func.h"
#include "error_type.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr Milliseconds confirmRetryInterval{ 200 }; ///< Time between tries to settle a confirmation.
constexpr Milliseconds confirmTimeout{ 15000 }; ///< Time after which a confirmation gives up.

void answerConfirmation(
    const EntryState &state, const PendingConfirmation &pending, std::error_code error, EntryOutbox &outbox)
{
    outbox.operatorReplies_.push_back(
        { pending.exchange_, error, StatusKind::Status, "{}", state.configuration_.revision_ });
}

ConfirmedChange confirmedChange(const PendingConfirmation &pending)
{
    return { pending.newConfiguration_.revision_, pending.plan_.id_, pending.plan_.changes_,
        configurationDigest(pending.newConfiguration_) };
}

void writeConfirmation(EntryState &state, PendingConfirmation &pending, EntryOutbox &outbox)
{
    const std::string change = serializeConfirmedChange(confirmedChange(pending));
    const StoreKey key{ configurationTable, configurationChangeKey(pending.newConfiguration_.revision_) };
    StoreTransaction transaction;
    transaction.checks_.push_back({ key, 0 });
    transaction.rowWrites_.push_back({ key, change, false });
    transaction.rowWrites_.push_back({ { configurationTable, configurationHeadKey }, change, false });
    transaction.rowWrites_.push_back(
        { { configurationTable, configurationSnapshotKey }, serializeConfiguration(pending.newConfiguration_), false });
    pending.call_ = state.nextCall_++;
    pending.verifyingWrite_ = false;
    pending.retryAt_ = noDeadline;
    outbox.storeWrites_.push_back({ pending.call_, std::move(transaction) });
}

void readBackConfirmation(EntryState &state, PendingConfirmation &pending, EntryOutbox &outbox)
{
    pending.verifyingWrite_ = true;
    pending.retryAt_ = noDeadline;
    readConfigurationRow(state, pending.call_, configurationChangeKey(pending.newConfiguration_.revision_), outbox);
}

/// The row of the plan's revision is there. @return whether it is this plan's.
bool ownsRevision(const PendingConfirmation &pending, const StoreRow &row)
{
    ConfirmedChange change;
    return !parseConfirmedChange(row.value_, change) && change.planId_ == pending.plan_.id_;
}

/// What a store answer means for a confirmation.
enum class ConfirmStep : uint8_t {
    Won, ///< The plan is confirmed.
    LostRace, ///< Another plan took the revision.
    WriteAgain, ///< Nothing is there yet; the write may be repeated.
    RetryLater, ///< The service did not answer.
};

ConfirmStep judgeConfirmation(const PendingConfirmation &pending, const StoreResult &result)
{
    const bool conflict = result.error_ == StoreErrc::Conflict;
    if (result.error_ && !conflict) {
        return ConfirmStep::RetryLater;
    }
    if (!conflict && !pending.verifyingWrite_) {
        return ConfirmStep::Won;
    }
    if (result.rows_.empty() || result.rows_[0].version_ == 0) {
        return ConfirmStep::WriteAgain;
    }
    return ownsRevision(pending, result.rows_[0]) ? ConfirmStep::Won : ConfirmStep::LostRace;
}

void handleConfirmReply(
    EntryState &state, PendingConfirmation &pending, const StoreResult &result, TimePoint now, EntryOutbox &outbox)
{
    pending.call_ = 0;
    pending.mayHaveWritten_
        = pending.mayHaveWritten_ || (result.error_ == StoreErrc::Ambiguous && !pending.verifyingWrite_);
    switch (judgeConfirmation(pending, result)) {
    case ConfirmStep::Won:
        applyConfirmedChange(state, confirmedChange(pending), now);
        answerConfirmation(state, pending, {}, outbox);
        pending.deadline_ = TimePoint::min();
        break;
    case ConfirmStep::LostRace:
        state.sync_.headDue_ = now;
        answerConfirmation(state, pending, PlanErrc::StaleBase, outbox);
        pending.deadline_ = TimePoint::min();
        break;
    case ConfirmStep::WriteAgain:
        writeConfirmation(state, pending, outbox);
        break;
    case ConfirmStep::RetryLater:
        pending.retryAt_ = now + confirmRetryInterval;
        break;
    }
}

void testPlan(EntryState &state, const PlanRequested &event, EntryOutbox &outbox)
{
    const std::string id = state.identity_.name_ + "-plan-" + toHex(state.random_());
    const PlanResult result = makePlan(state.configuration_, id, event.changes_);
    const std::string text = result.error_ ? "{}" : serializePlan(result.plan_);
    outbox.operatorReplies_.push_back(
        { event.exchange_, result.error_, StatusKind::Status, text, state.configuration_.revision_ });
}

/// @return whether the plan has been confirmed before, as far as this node remembers.
bool confirmedBefore(const EntryState &state, const Plan &plan)
{
    const auto same = [&plan](const ConfirmedChange &change) {
        return change.planId_ == plan.id_;
    };
    return std::any_of(state.sync_.recentChanges_.begin(), state.sync_.recentChanges_.end(), same);
}

void startConfirmation(EntryState &state, const ConfirmRequested &event, TimePoint now, EntryOutbox &outbox)
{
    PendingConfirmation pending;
    pending.exchange_ = event.exchange_;
    pending.plan_ = event.plan_;
    pending.deadline_ = now + confirmTimeout;
    pending.newConfiguration_ = state.configuration_;
    if (confirmedBefore(state, event.plan_)) {
        answerConfirmation(state, pending, {}, outbox);
        return;
    }
    std::error_code error;
    if (event.plan_.baseRevision_ != state.configuration_.revision_) {
        state.sync_.headDue_ = now;
        error = PlanErrc::StaleBase;
    } else {
        error = applyChanges(pending.newConfiguration_, event.plan_.changes_);
    }
    if (error) {
        answerConfirmation(state, pending, error, outbox);
        return;
    }
    writeConfirmation(state, pending, outbox);
    state.confirmations_.push_back(std::move(pending));
}

void advanceConfirmations(EntryState &state, TimePoint now, EntryOutbox &outbox)
{
    for (PendingConfirmation &pending : state.confirmations_) {
        if (pending.deadline_ > TimePoint::min() && pending.deadline_ <= now) {
            const PlanErrc error = pending.mayHaveWritten_ ? PlanErrc::OutcomeUnknown : PlanErrc::StoreUnavailable;
            answerConfirmation(state, pending, error, outbox);
            pending.deadline_ = TimePoint::min();
        } else if (pending.retryAt_ <= now) {
            readBackConfirmation(state, pending, outbox);
        }
    }
    std::erase_if(
        state.confirmations_, [](const PendingConfirmation &pending) { return pending.deadline_ == TimePoint::min(); });
}

void takeStoreReply(EntryState &state, const StoreReplied &event, TimePoint now, EntryOutbox &outbox)
{
    for (PendingConfirmation &pending : state.confirmations_) {
        if (pending.call_ == event.call_) {
            handleConfirmReply(state, pending, event.result_, now, outbox);
        }
    }
}

} // namespace

void runConfirmations(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox)
{
    for (const StoreReplied &event : inbox.storeReplies_) {
        takeStoreReply(state, event, now, outbox);
    }
    for (const PlanRequested &event : inbox.plans_) {
        testPlan(state, event, outbox);
    }
    for (const ConfirmRequested &event : inbox.confirmations_) {
        startConfirmation(state, event, now, outbox);
    }
    advanceConfirmations(state, now, outbox);
}

} // namespace Burdockfield
