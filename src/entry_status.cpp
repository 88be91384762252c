/**
 * @file entry_status.cpp
 * @brief System that replies to status requests, and starts and ends a planned stop.
 */
#include "configuration_wire.h"
#include "entry_configuration_sync_func.h"
#include "entry_func.h"
#include "error_type.h"
#include "json_func.h"
#include "status_wire.h"
#include "table/extra_answer_names.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr std::chrono::seconds stopTimeout{ 120 }; ///< Longest time that a planned stop waits for requests in progress.

std::string statusText(EntryState &state, const StatusRequested &event)
{
    switch (event.kind_) {
    case StatusKind::Ready:
        return "{}";
    case StatusKind::Status:
        return serializeEntryStatus(state);
    case StatusKind::Metrics:
        setGauge(state.metrics_, "requests_in_progress", static_cast<double>(state.requests_.size_));
        return serializeMetrics(state.metrics_);
    case StatusKind::Configuration:
        return serializeConfiguration(state.configuration_);
    case StatusKind::Changes:
        return serializeConfirmedChanges(changesAfter(state, event.afterRevision_));
    }
    return "{}";
}

} // namespace

void runStatus(EntryState &state, TimePoint now, const EntryInbox &inbox, EntryOutbox &outbox)
{
    for (const ExtraReply &event : inbox.extraReplies_) {
        count(state.metrics_, "extra_replies", std::string(nameOf(event.place_, extraAnswerNames)));
    }
    for (const StatusRequested &event : inbox.statusRequests_) {
        std::error_code error;
        if (event.kind_ == StatusKind::Ready && !isReady(state)) {
            error = state.stopping_ ? RefusalErrc::Stopping : RefusalErrc::NotReady;
        }
        outbox.operatorReplies_.push_back(
            { event.exchange_, error, event.kind_, statusText(state, event), state.configuration_.revision_ });
    }
    if (inbox.stop_ && !state.stopping_) {
        state.stopping_ = true;
        state.stopDeadline_ = now + stopTimeout;
    }
    const bool idle = state.requests_.size_ == 0 && state.confirmations_.empty();
    outbox.exit_ = state.stopping_ && (idle || state.stopDeadline_ <= now);
}

} // namespace Burdockfield
