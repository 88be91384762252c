/**
 * @file agent_claims.cpp
 * @brief System that writes, verifies and retries claims of idempotency keys.
 *
 * A claim is a row of the table service, inserted conditionally. A run with a key starts only once it is known to hold
 * the claim of the key. It may take the claim over from an earlier attempt of the same request, and from a run whose
 * agent has confirmed that it will never start. The write is then conditional on the version that was read, so only one
 * of several competing runs succeeds.
 */
#include "agent_func.h"
#include "claim_wire.h"
#include "error_type.h"
#include "run_func.h"

namespace Burdockfield {

namespace {

constexpr const char *claimTable = "claims";
constexpr Milliseconds claimRetryInterval{ 100 }; ///< Time between retries while the table service does not reply.

StoreKey claimKey(const Run &run)
{
    return { claimTable, run.order_.workspace_ + "/" + run.order_.key_ };
}

Claim ownClaim(const AgentState &state, const Run &run)
{
    return { run.order_.name_, state.identity_.address_, state.incarnation_, run.order_.digest_ };
}

void readClaim(AgentState &state, Run &run, AgentOutbox &outbox)
{
    run.claim_ = ClaimStage::Verifying;
    run.claimCall_ = state.nextCall_++;
    outbox.storeReads_.push_back({ run.claimCall_, claimKey(run) });
}

/// @return whether the run may take over the claim of @p holder.
bool mayTakeOver(const Run &run, const Claim &holder)
{
    const RunName &own = run.order_.name_;
    const bool earlierAttempt = holder.run_.request_ == own.request_ && holder.run_.attempt_ < own.attempt_;
    return earlierAttempt || holder.run_ == run.order_.releasedRun_;
}

AnswerEnd makeClaimedElsewhereEnd(const Claim &holder)
{
    AnswerEnd end = makeFailure(AdmissionErrc::ClaimedElsewhere, RunOutcome::NotRun);
    end.ownerAddress_ = holder.agentAddress_;
    end.ownerRun_ = holder.run_;
    return end;
}

/// Handles a claim row that exists: the run holds it, takes it over or ends.
void resolveClaimHolder(AgentState &state, RunId id, const StoreRow &row, TimePoint now, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    Claim holder;
    if (const std::error_code error = parseClaim(row.value_, holder); error) {
        endRun(state, id, makeFailure(AdmissionErrc::StoreUnavailable, RunOutcome::NotRun), now, outbox);
        return;
    }
    const bool own = holder.run_ == run.order_.name_ && holder.agentIncarnation_ == state.incarnation_;
    if (own) {
        run.claim_ = ClaimStage::Held;
        run.claimVersion_ = row.version_;
    } else if (holder.digest_ != run.order_.digest_) {
        run.claim_ = ClaimStage::NotNeeded;
        endRun(state, id, makeFailure(AdmissionErrc::KeyReused, RunOutcome::NotRun), now, outbox);
    } else if (mayTakeOver(run, holder)) {
        run.claimVersion_ = row.version_;
        writeClaim(state, id, outbox);
    } else {
        run.claim_ = ClaimStage::NotNeeded;
        endRun(state, id, makeClaimedElsewhereEnd(holder), now, outbox);
    }
}

void retryClaimLater(AgentState &state, RunId id, TimePoint now)
{
    Run &run = *findRow(state.runs_, id);
    run.claim_ = ClaimStage::Retrying;
    run.claimRetryAt_ = now + claimRetryInterval;
    pushDeadline(state.runDeadlines_, run.claimRetryAt_, id);
}

void handleClaimReply(AgentState &state, RunId id, const StoreResult &result, TimePoint now, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    const bool conflict = result.error_ == StoreErrc::Conflict;
    if (result.error_ && !conflict) {
        count(state.metrics_, "claim_retries_total", result.error_.message());
        retryClaimLater(state, id, now);
    } else if (run.claim_ == ClaimStage::Writing && !conflict) {
        run.claim_ = ClaimStage::Held;
        run.claimVersion_ = result.rows_.empty() ? run.claimVersion_ + 1 : result.rows_[0].version_;
    } else if (!result.rows_.empty() && result.rows_[0].version_ > 0) {
        resolveClaimHolder(state, id, result.rows_[0], now, outbox);
    } else {
        run.claimVersion_ = 0;
        writeClaim(state, id, outbox);
    }
}

bool awaitsClaim(const Run &run, uint64_t call)
{
    const bool callPending = run.claim_ == ClaimStage::Writing || run.claim_ == ClaimStage::Verifying;
    return callPending && run.stage_ == RunStage::Waiting && run.claimCall_ == call;
}

} // namespace

void writeClaim(AgentState &state, RunId id, AgentOutbox &outbox)
{
    Run &run = *findRow(state.runs_, id);
    StoreTransaction transaction;
    transaction.checks_.push_back({ claimKey(run), run.claimVersion_ });
    transaction.rowWrites_.push_back({ claimKey(run), serializeClaim(ownClaim(state, run)), false });
    run.claim_ = ClaimStage::Writing;
    run.claimCall_ = state.nextCall_++;
    outbox.storeWrites_.push_back({ run.claimCall_, std::move(transaction) });
}

void releaseClaim(AgentState &state, const Run &run, AgentOutbox &outbox)
{
    if (run.claim_ != ClaimStage::Held) {
        return;
    }
    StoreTransaction transaction;
    transaction.checks_.push_back({ claimKey(run), run.claimVersion_ });
    transaction.rowWrites_.push_back({ claimKey(run), {}, true });
    outbox.storeWrites_.push_back({ state.nextCall_++, std::move(transaction) });
}

void runClaims(AgentState &state, TimePoint now, const AgentInbox &inbox, AgentOutbox &outbox)
{
    for (const StoreReplied &event : inbox.storeReplies_) {
        const std::vector<RunId> waiting = state.waiting_;
        for (const RunId id : waiting) {
            if (const Run *run = findRow(state.runs_, id); run != nullptr && awaitsClaim(*run, event.call_)) {
                handleClaimReply(state, id, event.result_, now, outbox);
                break;
            }
        }
    }
    const std::vector<RunId> waiting = state.waiting_;
    for (const RunId id : waiting) {
        Run &run = *findRow(state.runs_, id);
        if (run.claim_ == ClaimStage::Retrying && run.claimRetryAt_ <= now) {
            readClaim(state, run, outbox);
        }
    }
}

} // namespace Burdockfield
