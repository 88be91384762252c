/**
 * @file agent_answer_streams.cpp
 * @brief Systems that send frames to readers, and that end and erase runs when their deadlines expire.
 */
#include "agent_func.h"
#include "error_type.h"
#include "run_func.h"

#include <algorithm>

namespace Burdockfield {

namespace {

constexpr Milliseconds heartbeatInterval{ 500 }; ///< Longest time without a frame to a reader.

void addReader(AgentState &state, const AnswerRequested &event, TimePoint now, AgentOutbox &outbox)
{
    const auto known = state.runByName_.find(event.name_);
    if (known == state.runByName_.end()) {
        outbox.unknownRuns_.push_back({ event.exchange_ });
        return;
    }
    Run &run = *findRow(state.runs_, known->second);
    run.readers_.push_back({ event.exchange_, event.offset_, now });
    state.runByReader_[event.exchange_] = known->second;
}

void removeReader(AgentState &state, ExchangeId exchange, TimePoint now)
{
    const auto known = state.runByReader_.find(exchange);
    if (known == state.runByReader_.end()) {
        return;
    }
    const RunId id = known->second;
    state.runByReader_.erase(known);
    if (Run *run = findRow(state.runs_, id); run != nullptr) {
        std::erase_if(run->readers_, [exchange](const RunReader &reader) { return reader.exchange_ == exchange; });
        run->lastReadAt_ = now;
        pushDeadline(state.runDeadlines_, now + orphanTimeout, id);
    }
}

AnswerFrame makeFrame(const AgentState &state, const Run &run, const RunReader &reader)
{
    AnswerFrame frame;
    frame.name_ = run.order_.name_;
    frame.offset_ = std::min<uint64_t>(reader.nextOffset_, run.answer_.size());
    frame.deltas_.assign(run.answer_.begin() + static_cast<ptrdiff_t>(frame.offset_), run.answer_.end());
    frame.ended_ = run.stage_ == RunStage::Ended;
    if (frame.ended_) {
        frame.end_ = run.end_;
        frame.report_ = makeReport(state);
    }
    return frame;
}

/// Sends a reader the deltas that it has not received, or a heartbeat if one is due.
void sendToReader(AgentState &state, RunId id, Run &run, RunReader &reader, TimePoint now, AgentOutbox &outbox)
{
    const bool hasUpdate = reader.nextOffset_ < run.answer_.size() || run.stage_ == RunStage::Ended;
    if (!hasUpdate && reader.heartbeatAt_ > now) {
        return;
    }
    outbox.frames_.push_back({ reader.exchange_, makeFrame(state, run, reader) });
    reader.nextOffset_ = run.answer_.size();
    reader.heartbeatAt_ = now + heartbeatInterval;
    pushDeadline(state.runDeadlines_, reader.heartbeatAt_, id);
}

void sendToReaders(AgentState &state, RunId id, Run &run, TimePoint now, AgentOutbox &outbox)
{
    for (RunReader &reader : run.readers_) {
        sendToReader(state, id, run, reader, now, outbox);
    }
    if (run.stage_ == RunStage::Ended && !run.readers_.empty()) {
        run.delivered_ = true;
        for (const RunReader &reader : run.readers_) {
            state.runByReader_.erase(reader.exchange_);
        }
        run.readers_.clear();
        run.lastReadAt_ = now;
    }
}

/// Ends a run whose wait limit has expired, unless it has started and may not be interrupted.
void expireRun(AgentState &state, RunId id, const Run &run, TimePoint now, AgentOutbox &outbox)
{
    if (run.stage_ == RunStage::Waiting && !run.started_) {
        const bool unclaimed = run.claim_ != ClaimStage::NotNeeded && run.claim_ != ClaimStage::Held;
        const AdmissionErrc reason = unclaimed ? AdmissionErrc::StoreUnavailable : AdmissionErrc::Expired;
        endRun(state, id, makeFailure(reason, RunOutcome::NotRun), now, outbox);
        return;
    }
    if (!mayInterrupt(run)) {
        return;
    }
    if (run.stage_ == RunStage::Running) {
        abortRun(state, id, outbox);
    }
    endRun(state, id, makeFailure(RefusalErrc::WaitExpired, RunOutcome::Unknown), now, outbox);
}

/// Cancels an abandoned run once it has had no reader for orphanTimeout.
void cancelOrphan(AgentState &state, RunId id, const Run &run, TimePoint now, AgentOutbox &outbox)
{
    if (!isAbandoned(run) || now - run.lastReadAt_ < orphanTimeout) {
        return;
    }
    if (run.stage_ == RunStage::Waiting && !run.started_) {
        endRun(state, id, makeFailure(AdmissionErrc::Withdrawn, RunOutcome::NotRun), now, outbox);
    } else if (mayInterrupt(run)) {
        if (run.stage_ == RunStage::Running) {
            abortRun(state, id, outbox);
        }
        endRun(state, id, makeFailure(AdmissionErrc::Withdrawn, RunOutcome::Unknown), now, outbox);
    }
}

void eraseRun(AgentState &state, RunId id, const Run &run)
{
    state.runByName_.erase(run.order_.name_);
    eraseRow(state.runs_, id);
}

void handleRunDeadline(AgentState &state, RunId id, TimePoint now, AgentOutbox &outbox)
{
    const Run *run = findRow(state.runs_, id);
    if (run == nullptr) {
        return;
    }
    if (run->stage_ == RunStage::Ended) {
        if (run->eraseAt_ <= now && run->readers_.empty()) {
            eraseRun(state, id, *run);
        }
    } else if (run->deadline_ <= now) {
        expireRun(state, id, *run, now, outbox);
    } else {
        cancelOrphan(state, id, *run, now, outbox);
    }
}

} // namespace

void runRunDeadlines(AgentState &state, TimePoint now, AgentOutbox &outbox)
{
    for (const RunId id : popDue(state.runDeadlines_, now)) {
        handleRunDeadline(state, id, now, outbox);
    }
}

void runAnswerStreams(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox)
{
    for (const AnswerRequested &event : inbox.answerRequests_) {
        addReader(state, event, now, outbox);
    }
    for (const ClientDisconnected &event : inbox.disconnects_) {
        removeReader(state, event.exchange_, now);
    }
    std::vector<RunId> runsWithReaders;
    for (const auto &[exchange, id] : state.runByReader_) {
        runsWithReaders.push_back(id);
    }
    for (const RunId id : runsWithReaders) {
        sendToReaders(state, id, *findRow(state.runs_, id), now, outbox);
    }
}

} // namespace Burdockfield
