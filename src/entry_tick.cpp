/**
 * @file entry_tick.cpp
 * @brief Tick of an entry: sorts events into the inbox and runs the systems in order.
 */
#include "entry_configuration_sync_func.h"
#include "entry_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

void append(EntryInbox &inbox, CallerRequest event)
{
    inbox.arrivals_.push_back(std::move(event));
}

void append(EntryInbox &inbox, CallerDisconnected event)
{
    inbox.disconnects_.push_back(event);
}

void append(EntryInbox &inbox, RunReplied event)
{
    inbox.runReplies_.push_back(std::move(event));
}

void append(EntryInbox &inbox, AnswerFrameReceived event)
{
    inbox.frames_.push_back(std::move(event));
}

void append(EntryInbox &inbox, AnswerStreamClosed event)
{
    inbox.closedAnswerStreams_.push_back(event);
}

void append(EntryInbox &inbox, CancelReplied event)
{
    inbox.cancelReplies_.push_back(event);
}

void append(EntryInbox &inbox, ReportReceived event)
{
    inbox.reports_.push_back(std::move(event));
}

void append(EntryInbox &inbox, VmsListed event)
{
    inbox.vmLists_.push_back(std::move(event));
}

void append(EntryInbox &inbox, StoreReplied event)
{
    inbox.storeReplies_.push_back(std::move(event));
}

void append(EntryInbox &inbox, PeerChangesReceived event)
{
    inbox.peerChanges_.push_back(std::move(event));
}

void append(EntryInbox &inbox, PeerConfigurationReceived event)
{
    inbox.peerConfigurations_.push_back(std::move(event));
}

void append(EntryInbox &inbox, PlanRequested event)
{
    inbox.plans_.push_back(std::move(event));
}

void append(EntryInbox &inbox, ConfirmRequested event)
{
    inbox.confirmations_.push_back(std::move(event));
}

void append(EntryInbox &inbox, StatusRequested event)
{
    inbox.statusRequests_.push_back(event);
}

void append(EntryInbox &inbox, ExtraReply event)
{
    inbox.extraReplies_.push_back(std::move(event));
}

void append(EntryInbox &inbox, StopRequested /*event*/)
{
    inbox.stop_ = true;
}

} // namespace

void addEvent(EntryInbox &inbox, EntryEvent event)
{
    std::visit([&inbox](auto &&kind) { append(inbox, std::forward<decltype(kind)>(kind)); }, std::move(event));
}

EntryOutbox tickEntry(EntryState &state, TimePoint now, EntryInbox inbox)
{
    EntryOutbox outbox;
    runMembership(state, now, inbox, outbox);
    runReports(state, now, inbox, outbox);
    runConfiguration(state, now, inbox, outbox);
    runConfirmations(state, now, inbox, outbox);
    runIntake(state, now, inbox, outbox);
    runOrders(state, now, inbox, outbox);
    runRelay(state, now, inbox, outbox);
    runCallerDisconnects(state, now, inbox, outbox);
    runDeadlines(state, now, outbox);
    runDispatch(state, now, outbox);
    runStatus(state, now, inbox, outbox);
    return outbox;
}

TimePoint nextEntryDeadline(const EntryState &state)
{
    TimePoint next = std::min(nextDeadline(state.requestDeadlines_), nextDeadline(state.reportDeadlines_));
    if (!state.vmListPending_) {
        next = std::min(next, state.vmListDue_);
    }
    if (state.sync_.headCall_ == 0) {
        next = std::min(next, state.sync_.headDue_);
    }
    if (shouldFetchFromPeer(state)) {
        next = std::min(next, state.sync_.peerDue_);
    }
    for (const PendingConfirmation &pending : state.confirmations_) {
        next = std::min({ next, pending.retryAt_, pending.deadline_ });
    }
    return state.stopping_ ? std::min(next, state.stopDeadline_) : next;
}

EntryState makeEntryState(NodeIdentity identity, EntryPolicy policy, uint64_t seed)
{
    EntryState state;
    state.identity_ = std::move(identity);
    state.policy_ = policy;
    state.random_.seed(seed);
    state.incarnation_ = state.random_();
    return state;
}

bool isReady(const EntryState &state)
{
    return state.configuration_.revision_ > 0 && !state.stopping_;
}

} // namespace Burdockfield
