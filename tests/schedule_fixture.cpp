/**
 * @file schedule_fixture.cpp
 * @brief Ticks of entries and agents joined by a hand-moved clock and a lossy message queue.
 */
#include "schedule_fixture.h"

#include "configuration_func.h"
#include "configuration_wire.h"
#include "digest_func.h"
#include "error_type.h"
#include "fleet_func.h"

#include <algorithm>

namespace Burdockfield::Testing {

namespace {

constexpr size_t entryCount = 2;
constexpr size_t agentCount = 2;
constexpr uint32_t answerPieces = 4;
constexpr Milliseconds pieceTime{ 30 };
constexpr Milliseconds tickStep{ 5 };
constexpr Milliseconds callWait{ 6000 };

std::string agentAddress(size_t index)
{
    return "agent-" + std::to_string(index);
}

void deliver(ScheduleFixture &fixture, Duration delay, std::function<void()> act)
{
    fixture.queue_.push_back({ fixture.now_ + delay, fixture.sequence_++, std::move(act) });
}

Duration drawDelay(ScheduleFixture &fixture)
{
    std::uniform_int_distribution<int64_t> delays(0, fixture.longestDelay_.count());
    return Milliseconds(delays(fixture.random_));
}

bool drawLoss(ScheduleFixture &fixture)
{
    return std::uniform_real_distribution<double>(0, 1)(fixture.random_) < fixture.loss_;
}

/// Delivers to an entry unless it has restarted meanwhile.
template<typename Event>
void toEntry(ScheduleFixture &fixture, size_t entry, uint64_t life, Event event)
{
    deliver(fixture, drawDelay(fixture), [&fixture, entry, life, event = std::move(event)] {
        EntryNode &node = fixture.entries_[entry];
        if (node.life_ == life) {
            addEvent(node.inbox_, EntryEvent(event));
        }
    });
}

/// Delivers to an agent unless the message is lost. @return whether it is delivered
template<typename Event>
bool toAgent(ScheduleFixture &fixture, size_t agent, Event event)
{
    if (drawLoss(fixture)) {
        return false;
    }
    const uint64_t life = fixture.agents_[agent].life_;
    deliver(fixture, drawDelay(fixture), [&fixture, agent, life, event = std::move(event)] {
        AgentNode &node = fixture.agents_[agent];
        if (node.life_ == life) {
            addEvent(node.inbox_, AgentEvent(event));
        }
    });
    return true;
}

size_t agentAt(const std::string &address)
{
    return static_cast<size_t>(address.back() - '0');
}

ExchangeId newExchange(ScheduleFixture &fixture)
{
    return ExchangeId{ fixture.nextExchange_++ };
}

StoreResult runStore(ScheduleFixture &fixture, const StoreTransaction &transaction)
{
    StoreResult result;
    if (fixture.store_ == StoreWeather::Down) {
        result.error_ = StoreErrc::Unavailable;
        return result;
    }
    for (const StoreCheck &check : transaction.checks_) {
        const auto found = fixture.rows_.find(check.key_);
        const StoreRow row = found != fixture.rows_.end() ? found->second : StoreRow{ check.key_, {}, 0 };
        if (row.version_ != check.version_) {
            result.error_ = StoreErrc::Conflict;
            result.rows_.push_back(row);
        }
    }
    if (!result.error_) {
        for (const RowWrite &put : transaction.rowWrites_) {
            StoreRow &row = fixture.rows_[put.key_];
            row = { put.key_, put.value_, row.version_ + 1 };
            if (put.erase_) {
                fixture.rows_.erase(put.key_);
            } else {
                result.rows_.push_back(row);
            }
        }
    }
    if (fixture.store_ == StoreWeather::LosesAnswers) {
        return { StoreErrc::Ambiguous, {} };
    }
    return result;
}

StoreResult readStore(const ScheduleFixture &fixture, const StoreKey &key)
{
    if (fixture.store_ == StoreWeather::Down) {
        return { StoreErrc::Unavailable, {} };
    }
    const auto found = fixture.rows_.find(key);
    return { {}, { found != fixture.rows_.end() ? found->second : StoreRow{ key, {}, 0 } } };
}

std::vector<Vm> listVms()
{
    std::vector<Vm> vms;
    for (size_t index = 0; index < agentCount; ++index) {
        vms.push_back({ agentAddress(index), VmRole::Upstream, agentAddress(index), "r", "z",
            { "booking", "itinerary" }, false });
    }
    return vms;
}

void sendOrder(ScheduleFixture &fixture, size_t entry, const SendOrder &command)
{
    const uint64_t life = fixture.entries_[entry].life_;
    const size_t agent = agentAt(command.address_);
    const uint32_t attempt = command.order_.name_.attempt_;
    const ExchangeId exchange = newExchange(fixture);
    fixture.orderReplies_[exchange] = [&fixture, entry, life, id = command.request_, attempt](RunReply reply) {
        const std::error_code lost = drawLoss(fixture) ? make_error_code(TransportErrc::Lost) : std::error_code{};
        toEntry(fixture, entry, life, RunReplied{ id, attempt, lost, std::move(reply) });
    };
    const bool sent = toAgent(fixture, agent, RunOrdered{ exchange, command.order_ });
    const auto giveUp = [&fixture, entry, life, exchange, id = command.request_, attempt] {
        if (fixture.orderReplies_.erase(exchange) > 0) {
            toEntry(fixture, entry, life, RunReplied{ id, attempt, TransportErrc::TimedOut, {} });
        }
    };
    deliver(fixture, sent ? Milliseconds(1500) : Milliseconds(50), giveUp);
}

void openAnswerStream(ScheduleFixture &fixture, size_t entry, const OpenAnswerStream &command)
{
    const uint64_t life = fixture.entries_[entry].life_;
    const size_t agent = agentAt(command.address_);
    const uint64_t agentLife = fixture.agents_[agent].life_;
    const ExchangeId exchange = newExchange(fixture);
    fixture.entries_[entry].reads_[{ command.request_, command.streamNumber_ }] = exchange;
    const auto close = [&fixture, entry, life, exchange, command](std::error_code error, bool unknown) {
        if (fixture.readers_.erase(exchange) > 0) {
            fixture.unknownRuns_.erase(exchange);
            toEntry(
                fixture, entry, life, AnswerStreamClosed{ command.request_, command.streamNumber_, error, unknown });
        }
    };
    fixture.readers_[exchange] = [&fixture, entry, life, close, command](const AnswerFrame &frame) {
        if (drawLoss(fixture)) {
            close(TransportErrc::Lost, false);
            return;
        }
        // A stream keeps its order: frames take no delay of their own.
        EntryNode &node = fixture.entries_[entry];
        if (node.life_ == life) {
            addEvent(node.inbox_, EntryEvent(AnswerFrameReceived{ command.request_, command.streamNumber_, frame }));
        }
    };
    fixture.unknownRuns_[exchange] = [close] {
        close({}, true);
    };
    if (!toAgent(fixture, agent, AnswerRequested{ exchange, command.name_, command.offset_ })) {
        deliver(fixture, Milliseconds(50), [close] { close(TransportErrc::Lost, false); });
    }
    deliver(fixture, Milliseconds(1500), [&fixture, agent, agentLife, close] {
        const AgentNode &node = fixture.agents_[agent];
        if (node.life_ != agentLife || node.frozenUntil_ > fixture.now_) {
            close(TransportErrc::Silent, false);
        }
    });
}

void sendCancel(ScheduleFixture &fixture, size_t entry, const SendCancel &command)
{
    const uint64_t life = fixture.entries_[entry].life_;
    const ExchangeId exchange = newExchange(fixture);
    fixture.cancelReplies_[exchange] = [&fixture, entry, life, command](CancelReply reply) {
        toEntry(fixture, entry, life, CancelReplied{ command.request_, command.name_.attempt_, {}, reply });
    };
    toAgent(fixture, agentAt(command.address_), CancelRequested{ exchange, command.name_, command.agentIncarnation_ });
}

void fetchReport(ScheduleFixture &fixture, size_t entry, const FetchReport &command)
{
    const uint64_t life = fixture.entries_[entry].life_;
    const ExchangeId exchange = newExchange(fixture);
    fixture.reportReplies_[exchange] = [&fixture, entry, life, id = command.upstream_](const AgentReport &report) {
        toEntry(fixture, entry, life, ReportReceived{ id, {}, report });
    };
    toAgent(fixture, agentAt(command.address_),
        ReportRequested{ exchange, command.revision_, command.drained_, command.knownVersion_, command.maxWait_ });
    deliver(fixture, command.maxWait_ + Milliseconds(500), [&fixture, entry, life, exchange, id = command.upstream_] {
        if (fixture.reportReplies_.erase(exchange) > 0) {
            toEntry(fixture, entry, life, ReportReceived{ id, TransportErrc::TimedOut, {} });
        }
    });
}

void takeOutput(ScheduleFixture &fixture, const CallerOutput &output)
{
    CallerRecord &record = fixture.callers_[output.exchange_];
    record.request_ = output.request_;
    if (const auto *deltas = std::get_if<CallerDeltas>(&output.body_); deltas != nullptr) {
        for (const Delta &delta : deltas->deltas_) {
            record.text_ += delta.text_;
        }
    } else if (const auto *end = std::get_if<CallerEnd>(&output.body_); end != nullptr) {
        record.answered_ = true;
        for (const Delta &delta : end->deltas_) {
            record.text_ += delta.text_;
        }
    } else {
        const auto &refusal = std::get<Refusal>(output.body_);
        record.refused_ = true;
        record.runOutcome_ = refusal.runOutcome_;
        record.error_ = refusal.error_;
    }
}

void executeStore(ScheduleFixture &fixture, size_t entry, const EntryOutbox &outbox)
{
    const uint64_t life = fixture.entries_[entry].life_;
    for (const StoreRead &command : outbox.storeReads_) {
        toEntry(fixture, entry, life, StoreReplied{ command.call_, readStore(fixture, command.key_) });
    }
    for (const StoreWrite &command : outbox.storeWrites_) {
        toEntry(fixture, entry, life, StoreReplied{ command.call_, runStore(fixture, command.transaction_) });
    }
    for (size_t count = outbox.vmFetches_.size(); count > 0; --count) {
        toEntry(fixture, entry, life, VmsListed{ {}, listVms() });
    }
}

void executeEntry(ScheduleFixture &fixture, size_t entry, const EntryOutbox &outbox)
{
    for (const CallerOutput &output : outbox.callerOutputs_) {
        takeOutput(fixture, output);
    }
    for (const SendOrder &command : outbox.orders_) {
        sendOrder(fixture, entry, command);
    }
    for (const CloseAnswerStream &command : outbox.answerStreamsToClose_) {
        const auto key = std::pair(command.request_, command.streamNumber_);
        const ExchangeId exchange = fixture.entries_[entry].reads_[key];
        fixture.readers_.erase(exchange);
        fixture.unknownRuns_.erase(exchange);
        for (AgentNode &node : fixture.agents_) {
            node.inbox_.disconnects_.push_back({ exchange });
        }
    }
    for (const OpenAnswerStream &command : outbox.answerStreamsToOpen_) {
        openAnswerStream(fixture, entry, command);
    }
    for (const SendCancel &command : outbox.cancels_) {
        sendCancel(fixture, entry, command);
    }
    for (const FetchReport &command : outbox.reportFetches_) {
        fetchReport(fixture, entry, command);
    }
    executeStore(fixture, entry, outbox);
}

void pieceReady(ScheduleFixture &fixture, size_t agent, uint64_t life, const StartEngine &command, uint32_t index)
{
    AgentNode &node = fixture.agents_[agent];
    const std::pair key(command.run_, command.dispatchNumber_);
    if (node.life_ != life || !node.engine_.contains(key)) {
        return;
    }
    if (index == answerPieces) {
        node.engine_.erase(key);
        AnswerEnd end;
        end.finishReason_ = "stop";
        addEvent(node.inbox_, AgentEvent(EngineEnded{ command.run_, command.dispatchNumber_, {}, end }));
        return;
    }
    const std::string text = "<" + command.order_.payload_ + std::to_string(index) + ">";
    addEvent(node.inbox_, AgentEvent(EngineDeltas{ command.run_, command.dispatchNumber_, { { text, 1 } } }));
    deliver(fixture, pieceTime,
        [&fixture, agent, life, command, index] { pieceReady(fixture, agent, life, command, index + 1); });
}

void crashEngine(ScheduleFixture &fixture, size_t agent)
{
    AgentNode &node = fixture.agents_[agent];
    for (const auto &[run, dispatch] : node.engine_) {
        addEvent(node.inbox_, AgentEvent(EngineEnded{ run, dispatch, TransportErrc::Lost, {} }));
    }
    node.engine_.clear();
}

void startEngine(ScheduleFixture &fixture, size_t agent, const StartEngine &command)
{
    const RunOrder &order = command.order_;
    fixture.starts_.push_back(
        { order.name_.request_, order.key_, order.payload_, order.retryPolicy_, order.resumeTokens_ });
    AgentNode &node = fixture.agents_[agent];
    node.engine_.insert({ command.run_, command.dispatchNumber_ });
    const uint64_t life = node.life_;
    if (fixture.engineCrashes_) {
        fixture.engineCrashes_ = false;
        deliver(fixture, pieceTime, [&fixture, agent, life] {
            if (fixture.agents_[agent].life_ == life) {
                crashEngine(fixture, agent);
            }
        });
    }
    deliver(fixture, pieceTime,
        [&fixture, agent, life, command] { pieceReady(fixture, agent, life, command, command.order_.resumeTokens_); });
}

template<typename Reply, typename Handlers>
void reply(Handlers &handlers, ExchangeId exchange, const Reply &message)
{
    const auto found = handlers.find(exchange);
    if (found != handlers.end()) {
        const auto handler = found->second;
        handlers.erase(found);
        handler(message);
    }
}

void executeAgentStore(ScheduleFixture &fixture, size_t agent, const AgentOutbox &outbox)
{
    AgentNode &node = fixture.agents_[agent];
    const uint64_t life = node.life_;
    const auto answer = [&fixture, agent, life](uint64_t call, StoreResult result) {
        deliver(fixture, drawDelay(fixture), [&fixture, agent, life, call, result = std::move(result)] {
            AgentNode &asker = fixture.agents_[agent];
            if (asker.life_ == life) {
                addEvent(asker.inbox_, AgentEvent(StoreReplied{ call, result }));
            }
        });
    };
    for (const StoreRead &command : outbox.storeReads_) {
        answer(command.call_, readStore(fixture, command.key_));
    }
    for (const StoreWrite &command : outbox.storeWrites_) {
        answer(command.call_, runStore(fixture, command.transaction_));
    }
    for (size_t count = outbox.loadFetches_.size(); count > 0; --count) {
        addEvent(node.inbox_, AgentEvent(EngineLoad{ {}, 0, {} }));
    }
    for (size_t count = outbox.vmFetches_.size(); count > 0; --count) {
        addEvent(node.inbox_, AgentEvent(VmsListed{ {}, listVms() }));
    }
}

void executeAgent(ScheduleFixture &fixture, size_t agent, const AgentOutbox &outbox)
{
    AgentNode &node = fixture.agents_[agent];
    for (const SendRunReply &command : outbox.runReplies_) {
        reply(fixture.orderReplies_, command.exchange_, command.reply_);
    }
    for (const SendFrame &command : outbox.frames_) {
        if (const auto found = fixture.readers_.find(command.exchange_); found != fixture.readers_.end()) {
            const auto handler = found->second;
            handler(command.frame_);
        }
    }
    for (const SendUnknownRun &command : outbox.unknownRuns_) {
        if (const auto found = fixture.unknownRuns_.find(command.exchange_); found != fixture.unknownRuns_.end()) {
            const auto handler = found->second;
            handler();
        }
    }
    for (const SendCancelReply &command : outbox.cancelReplies_) {
        reply(fixture.cancelReplies_, command.exchange_, command.reply_);
    }
    for (const SendReport &command : outbox.reports_) {
        reply(fixture.reportReplies_, command.exchange_, command.report_);
    }
    for (const AbortEngine &command : outbox.engineAborts_) {
        node.engine_.erase({ command.run_, command.dispatchNumber_ });
    }
    for (const StartEngine &command : outbox.engineStarts_) {
        startEngine(fixture, agent, command);
    }
    executeAgentStore(fixture, agent, outbox);
}

void tickAll(ScheduleFixture &fixture)
{
    for (size_t index = 0; index < fixture.entries_.size(); ++index) {
        EntryNode &node = fixture.entries_[index];
        EntryInbox inbox = std::exchange(node.inbox_, {});
        executeEntry(fixture, index, tickEntry(node.state_, fixture.now_, std::move(inbox)));
    }
    for (size_t index = 0; index < fixture.agents_.size(); ++index) {
        AgentNode &node = fixture.agents_[index];
        if (node.frozenUntil_ <= fixture.now_) {
            AgentInbox inbox = std::exchange(node.inbox_, {});
            executeAgent(fixture, index, tickAgent(node.state_, fixture.now_, std::move(inbox)));
        }
    }
}

void deliverDue(ScheduleFixture &fixture)
{
    while (true) {
        const auto earlier = [](const Delivery &left, const Delivery &right) {
            return std::tie(left.at_, left.sequence_) < std::tie(right.at_, right.sequence_);
        };
        const auto first = std::min_element(fixture.queue_.begin(), fixture.queue_.end(), earlier);
        if (first == fixture.queue_.end() || first->at_ > fixture.now_) {
            return;
        }
        const std::function<void()> act = std::move(first->act_);
        fixture.queue_.erase(first);
        act();
    }
}

EntryState makeEntry(size_t index, uint64_t life)
{
    const std::string name = "entry-" + std::to_string(index);
    return makeEntryState({ name, name, "r", "z" }, EntryPolicy{}, 1000 * (index + 1) + life);
}

AgentState makeAgent(size_t index, uint64_t life)
{
    UpstreamSettings upstream{ "engine", RouteKind::Model, { "booking", "itinerary" }, 2, 1 };
    const std::string name = agentAddress(index);
    return makeAgentState({ name, name, "r", "z" }, AgentPolicy{}, upstream, 5000 * (index + 1) + life);
}

void storeConfiguration(ScheduleFixture &fixture)
{
    std::vector<Change> changes = makeDeploymentChanges();
    changes.emplace_back(SetRoute{ "booking", { RouteKind::Model, RetryPolicy::AtMostOnce } });
    Configuration configuration;
    applyChanges(configuration, changes);
    const ConfirmedChange change{ 1, "first", changes, configurationDigest(configuration) };
    for (const char *key : { "head", "change/1" }) {
        fixture.rows_[{ "configuration", key }] = { { "configuration", key }, serializeConfirmedChange(change), 1 };
    }
    fixture.rows_[{ "configuration", "snapshot" }]
        = { { "configuration", "snapshot" }, serializeConfiguration(configuration), 1 };
}

size_t countFreshStarts(const ScheduleFixture &fixture, const CallerRecord &caller)
{
    return static_cast<size_t>(
        std::count_if(fixture.starts_.begin(), fixture.starts_.end(), [&caller](const StartRecord &start) {
            const bool same = caller.key_.empty() ? start.payload_ == caller.payload_ : start.key_ == caller.key_;
            return same && start.retryPolicy_ == RetryPolicy::AtMostOnce;
        }));
}

bool everStarted(const ScheduleFixture &fixture, const std::string &request)
{
    return std::any_of(fixture.starts_.begin(), fixture.starts_.end(),
        [&request](const StartRecord &start) { return start.request_ == request; });
}

} // namespace

ScheduleFixture::ScheduleFixture()
{
    storeConfiguration(*this);
    for (size_t index = 0; index < entryCount; ++index) {
        entries_.push_back({ makeEntry(index, 0), {}, 0, {} });
    }
    for (size_t index = 0; index < agentCount; ++index) {
        agents_.push_back({ makeAgent(index, 0), {}, 0, {}, {} });
    }
    passTime(*this, Milliseconds(500));
}

void passTime(ScheduleFixture &fixture, Milliseconds time)
{
    const TimePoint until = fixture.now_ + time;
    while (fixture.now_ < until) {
        fixture.now_ += tickStep;
        deliverDue(fixture);
        tickAll(fixture);
    }
}

ExchangeId submit(ScheduleFixture &fixture, const ScheduledCall &call)
{
    CallerRequest request;
    request.exchange_ = newExchange(fixture);
    request.tokenDigest_ = sha256Hex("token-faculty");
    request.route_ = call.route_;
    request.tier_ = call.tier_;
    request.wait_ = callWait;
    request.key_ = call.key_;
    request.payload_ = call.payload_;
    request.prompt_ = call.payload_;
    request.streamed_ = true;
    CallerRecord record;
    record.payload_ = call.payload_;
    record.key_ = call.key_;
    record.deadline_ = fixture.now_ + callWait;
    fixture.callers_[request.exchange_] = record;
    const ExchangeId exchange = request.exchange_;
    addEvent(fixture.entries_[call.entry_].inbox_, EntryEvent(std::move(request)));
    return exchange;
}

void restartAgent(ScheduleFixture &fixture, size_t agent)
{
    AgentNode &node = fixture.agents_[agent];
    const uint64_t life = node.life_ + 1;
    node = AgentNode{ makeAgent(agent, life), {}, life, {}, {} };
}

void restartEntry(ScheduleFixture &fixture, size_t entry)
{
    EntryNode &node = fixture.entries_[entry];
    for (const auto &[exchange, id] : node.state_.requestByExchange_) {
        fixture.callers_[exchange].gone_ = true;
    }
    for (const CallerRequest &arrival : node.inbox_.arrivals_) {
        fixture.callers_[arrival.exchange_].gone_ = true;
    }
    for (const auto &[key, exchange] : node.reads_) {
        fixture.readers_.erase(exchange);
        for (AgentNode &agent : fixture.agents_) {
            agent.inbox_.disconnects_.push_back({ exchange });
        }
    }
    const uint64_t life = node.life_ + 1;
    node = EntryNode{ makeEntry(entry, life), {}, life, {} };
}

void freezeAgent(ScheduleFixture &fixture, size_t agent, Milliseconds time)
{
    fixture.agents_[agent].frozenUntil_ = fixture.now_ + time;
}

std::string fakeAnswer(const std::string &payload)
{
    std::string text;
    for (uint32_t index = 0; index < answerPieces; ++index) {
        text += "<" + payload + std::to_string(index) + ">";
    }
    return text;
}

std::string findBrokenPromise(const ScheduleFixture &fixture)
{
    constexpr Milliseconds decisionMargin{ 500 };
    for (const auto &[exchange, caller] : fixture.callers_) {
        if (countFreshStarts(fixture, caller) > 1) {
            return caller.payload_ + ": ran more than once";
        }
        if (caller.refused_ && caller.runOutcome_ == RunOutcome::NotRun && everStarted(fixture, caller.request_)) {
            return caller.payload_ + ": told not run, but it was: " + caller.error_.message();
        }
        if (caller.answered_ && caller.text_ != fakeAnswer(caller.payload_)) {
            return caller.payload_ + ": wrong answer " + caller.text_;
        }
        if (caller.answered_ && caller.refused_) {
            return caller.payload_ + ": answered and refused";
        }
        const bool told = caller.answered_ || caller.refused_ || caller.gone_;
        if (!told && caller.deadline_ + decisionMargin < fixture.now_) {
            return caller.payload_ + ": told nothing after its agreed wait";
        }
    }
    return {};
}

} // namespace Burdockfield::Testing
