/**
 * @file crash_fleet_fixture.cpp
 * @brief Fleet of gateways and engines in one thread, for tests of requests that crash the engines that answer them.
 */
#include "crash_fleet_fixture.h"

namespace Burdockfield::Testing {

namespace {

constexpr Milliseconds stepTime{ 10 }; ///< Simulated time of a step; also the delay of all messages.
constexpr Milliseconds answerDelay{ 100 }; ///< Time until an answer begins, and from there to its end.
constexpr Milliseconds downTime{ 3000 }; ///< Time for which a crashed engine is down.
constexpr Milliseconds eventInterval{ 200 }; ///< Time between events of an answer that ends in a crash.

std::string peerAddress(size_t gateway)
{
    return "10.0.0." + std::to_string(gateway + 1) + ":7000";
}

} // namespace

void CrashFleetFixture::start(const CrashFleetSpec &spec)
{
    engines_.clear();
    runs_.clear();
    deadlyRequests_.clear();
    for (size_t engine = 0; engine < spec.engines_; ++engine) {
        UpstreamRow row = GatewayFixture::makeRow("engine-" + std::to_string(engine), "engines");
        row.address_ = "10.0.1." + std::to_string(engine + 1) + ":80";
        row.startedAtMs_ = 1;
        engines_.push_back({ row, {} });
    }
    gateways_.clear();
    gateways_.resize(spec.gateways_);
    inboxes_.clear();
    inboxes_.resize(spec.gateways_);
    stalledUntil_.assign(spec.gateways_, {});
    inTransit_.clear();
    slotsInTransit_.clear();
    storedCrashes_.clear();
    storedVerdicts_.clear();
    for (size_t gateway = 0; gateway < spec.gateways_; ++gateway) {
        startGateway(gateway);
    }
    run(Milliseconds(1500), 0, 0);
}

void CrashFleetFixture::startGateway(size_t gateway)
{
    GatewayState &state = gateways_[gateway];
    state = {};
    state.name_ = "gateway-" + std::to_string(gateway + 1);
    state.zone_ = "zone-1";
    state.region_ = "region-1";
    state.regionByZone_ = { { "zone-1", "region-1" } };
    state.peerAddress_ = peerAddress(gateway);
    state.incarnation_ = random_() | 1U;
    state.random_.seed(gateway);
    state.nextSlotRequest_ = random_() >> 16U;
    state.startedAt_ = now_;
    state.bounds_.retrySlack_ = 1000;
    GatewayInbox &inbox = inboxes_[gateway];
    inbox = {};
    Configuration configuration = GatewayFixture::makeConfiguration(1);
    configuration.workspaces_[0].ratePerSecond_ = 0;
    inbox.configurations_.push_back({ configuration, "text-1", "test" });
    UpstreamsReceived list;
    list.fullList_ = true;
    list.version_ = { 0, listVersion_ };
    for (const SimulatedEngine &engine : engines_) {
        if (!engine.row_.removed_) {
            list.rows_.push_back(engine.row_);
        }
    }
    inbox.upstreams_.push_back(std::move(list));
    for (size_t peer = 0; peer < gateways_.size(); ++peer) {
        inbox.peerAddresses_.push_back(peerAddress(peer));
    }
}

void CrashFleetFixture::restartGateway(size_t gateway)
{
    std::erase_if(runs_, [gateway](const SimulatedRun &run) { return run.gateway_ == gateway; });
    startGateway(gateway);
}

void CrashFleetFixture::run(Milliseconds time, double sound, double deadly)
{
    const TimePoint end = now_ + time;
    const double stepSeconds = FractionalSeconds(stepTime).count();
    std::uniform_real_distribution<double> draw;
    while (now_ < end) {
        const auto arrivals = [&](double rate, const std::vector<uint64_t> &parts) {
            for (double expected = rate * stepSeconds; expected > 0; expected -= 1) {
                if (draw(random_) < expected) {
                    arrive(random_() % gateways_.size(), parts, "body-" + std::to_string(nextExchange_));
                }
            }
        };
        arrivals(sound, { firstPart });
        arrivals(deadly, { firstPart, deadlyPart });
        step();
    }
}

void CrashFleetFixture::arrive(size_t gateway, const std::vector<uint64_t> &parts, const std::string &body)
{
    CallArrived arrival;
    arrival.exchange_ = ExchangeId{ nextExchange_++ };
    CallRequest &request = arrival.request_;
    request.id_ = "request-" + std::to_string(arrival.exchange_.value_);
    request.method_ = "POST";
    request.path_ = "/stream/x";
    request.target_ = request.path_;
    request.host_ = "host";
    request.key_ = "key-1";
    request.wait_ = Milliseconds(4000);
    request.promptParts_ = parts;
    request.body_ = std::make_shared<const std::string>(body);
    const bool deadly
        = std::any_of(parts.begin(), parts.end(), [this](uint64_t part) { return deadlyParts_.contains(part); });
    if (deadly) {
        deadlyExchanges_.insert(arrival.exchange_.value_);
    }
    counts_.soundCalls_ += deadly ? 0 : 1;
    arrivedAt_[arrival.exchange_.value_] = now_;
    inboxes_[gateway].arrivals_.push_back(std::move(arrival));
}

void CrashFleetFixture::step()
{
    now_ += stepTime;
    stepEngines();
    deliverUpdates();
    std::vector<GatewayInbox> inboxes(gateways_.size());
    for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
        if (now_ >= stalledUntil_[gateway]) {
            std::swap(inboxes[gateway], inboxes_[gateway]);
        }
    }
    std::uniform_real_distribution<double> draw;
    for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
        if (now_ < stalledUntil_[gateway]) {
            continue;
        }
        GatewayOutbox outbox = tickGateway(gateways_[gateway], now_, std::move(inboxes[gateway]));
        receive(gateway, outbox);
        if (draw(random_) < disturbance_.stallsPerSecond_ * FractionalSeconds(stepTime).count()) {
            stalledUntil_[gateway] = now_ + drawUpTo(disturbance_.longestStall_);
        }
    }
}

Milliseconds CrashFleetFixture::drawUpTo(Milliseconds longest)
{
    return Milliseconds(random_() % static_cast<uint64_t>(longest.count() + 1));
}

void CrashFleetFixture::deliverUpdates()
{
    while (!inTransit_.empty() && inTransit_.begin()->first <= now_) {
        auto &[receiver, update] = inTransit_.begin()->second;
        inboxes_[receiver].peerUpdates_.push_back(std::move(update));
        inTransit_.erase(inTransit_.begin());
    }
    while (!slotsInTransit_.empty() && slotsInTransit_.begin()->first <= now_) {
        auto &[receiver, message] = slotsInTransit_.begin()->second;
        inboxes_[receiver].slotMessages_.push_back(std::move(message));
        slotsInTransit_.erase(slotsInTransit_.begin());
    }
}

bool CrashFleetFixture::isDelivered(size_t gateway, size_t peer)
{
    std::uniform_real_distribution<double> draw;
    return !isolated_.contains(peer) && !isolated_.contains(gateway) && draw(random_) >= disturbance_.lostShare_;
}

void CrashFleetFixture::sendUpdate(size_t gateway, SendUpdate &command)
{
    command.update_.address_ = peerAddress(gateway);
    for (size_t peer = 0; peer < gateways_.size(); ++peer) {
        const bool addressed = std::find(command.addresses_.begin(), command.addresses_.end(), peerAddress(peer))
            != command.addresses_.end();
        if (addressed && isDelivered(gateway, peer)) {
            inTransit_.emplace(now_ + drawUpTo(disturbance_.longestDelay_), std::pair(peer, command.update_));
        }
    }
}

void CrashFleetFixture::receive(size_t gateway, GatewayOutbox &outbox)
{
    for (const uint64_t send : outbox.cancels_) {
        std::erase_if(runs_, [&](const SimulatedRun &run) { return run.gateway_ == gateway && run.send_ == send; });
    }
    for (const SendCall &command : outbox.sends_) {
        acceptSend(gateway, command);
    }
    for (const CheckUpstream &command : outbox.checks_) {
        inboxes_[gateway].checks_.push_back(
            { command.upstream_, isUp(command.address_) ? std::error_code() : checkDownEngine(gateway) });
    }
    for (SendUpdate &command : outbox.updates_) {
        sendUpdate(gateway, command);
    }
    for (SendSlotMessage &command : outbox.slotMessages_) {
        command.message_.address_ = peerAddress(gateway);
        for (size_t peer = 0; peer < gateways_.size(); ++peer) {
            if (peerAddress(peer) == command.address_ && isDelivered(gateway, peer)) {
                slotsInTransit_.emplace(now_ + drawUpTo(disturbance_.longestDelay_), std::pair(peer, command.message_));
            }
        }
    }
    for (const ExchangeId exchange : outbox.streamEnds_) {
        counts_.soundServed_ += deadlyExchanges_.contains(exchange.value_) ? 0 : 1;
    }
    for (const RefuseCall &refusal : outbox.refusals_) {
        ++counts_.refused_;
        counts_.refusedAfter_ += now_ - arrivedAt_.at(refusal.exchange_.value_);
    }
    serveStore(gateway, outbox);
    refusals_.insert(refusals_.end(), outbox.refusals_.begin(), outbox.refusals_.end());
    decisions_.insert(decisions_.end(), outbox.decisions_.begin(), outbox.decisions_.end());
}

std::error_code CrashFleetFixture::checkDownEngine(size_t gateway) const
{
    const auto found = downEngines_.find(gateway);
    switch (found == downEngines_.end() ? DownEngine::Refuses : found->second) {
    case DownEngine::IsSilent:
        return TransportErrc::NotSent;
    case DownEngine::Accepts:
        return {};
    case DownEngine::Refuses:
        break;
    }
    return TransportErrc::ConnectionRefused;
}

void CrashFleetFixture::serveStore(size_t gateway, const GatewayOutbox &outbox)
{
    GatewayInbox &inbox = inboxes_[gateway];
    for (const CrashRecords &records : outbox.crashRecords_) {
        ++storeWrites_;
        largestWrite_ = std::max(largestWrite_, records.crashes_.size() + records.verdicts_.size());
        inbox.crashRecordsWritten_ = !storeDown_;
        for (const CrashRecord &record : storeDown_ ? std::vector<CrashRecord>() : records.crashes_) {
            const std::pair key(record.gateway_, record.report_.upstream_);
            storedCrashes_.erase(key);
            if (!record.report_.traits_.empty()) {
                storedCrashes_.emplace(key, record);
            }
        }
        for (const VerdictRecord &record : storeDown_ ? std::vector<VerdictRecord>() : records.verdicts_) {
            storedVerdicts_.erase(record.trait_);
            if (!record.verdict_.withdrawn_) {
                storedVerdicts_.emplace(record.trait_, record);
            }
        }
    }
    if (outbox.readCrashRecords_) {
        inbox.crashRecordsUnread_ = storeDown_;
        CrashRecords records;
        for (const auto &[key, record] : storedCrashes_) {
            records.crashes_.push_back(record);
        }
        for (const auto &[trait, record] : storedVerdicts_) {
            records.verdicts_.push_back({ trait,
                { record.verdict_.number_, false, record.verdict_.trials_, noDeadline, record.verdict_.usedAt_ } });
        }
        if (!storeDown_) {
            inbox.crashRecords_.push_back(std::move(records));
        }
    }
}

bool CrashFleetFixture::isUp(const std::string &address) const
{
    return std::any_of(engines_.begin(), engines_.end(), [&](const SimulatedEngine &engine) {
        return engine.row_.address_ == address && (!engine.row_.removed_ || now_ < engine.exitedAt_);
    });
}

void CrashFleetFixture::acceptSend(size_t gateway, const SendCall &command)
{
    const auto engine = std::find_if(engines_.begin(), engines_.end(),
        [&](const SimulatedEngine &candidate) { return candidate.row_.address_ == command.address_; });
    if (engine == engines_.end() || engine->row_.removed_) {
        const bool exiting = engine != engines_.end() && now_ < engine->exitedAt_;
        const std::error_code down = checkDownEngine(gateway);
        inboxes_[gateway].ends_.push_back({ command.send_, exiting || !down ? TransportErrc::Lost : down });
        return;
    }
    const bool deadly = deadlyExchanges_.contains(command.exchange_.value_);
    if (deadly) {
        ++counts_.deadlyRuns_;
        deadlyRequests_[*command.request_.body_].sends_.push_back(now_);
    }
    const auto running = std::count_if(runs_.begin(), runs_.end(),
        [&](const SimulatedRun &run) { return run.engine_ == static_cast<size_t>(engine - engines_.begin()); });
    counts_.crowdedRuns_ += static_cast<size_t>(running) > engine->row_.slots_ ? 1 : 0;
    runs_.push_back({ gateway, command.send_, static_cast<size_t>(engine - engines_.begin()), deadly, false, true,
        now_ + answerDelay, *command.request_.body_ });
}

void CrashFleetFixture::stepEngines()
{
    for (size_t engine = 0; engine < engines_.size(); ++engine) {
        UpstreamRow &row = engines_[engine].row_;
        if (row.removed_ && now_ >= engines_[engine].upAt_) {
            announce(row);
            row.removed_ = false;
            row.id_ = "engine-" + std::to_string(engine) + "-" + std::to_string(++row.startedAtMs_);
            announce(row);
        }
    }
    for (size_t index = 0; index < runs_.size(); ++index) { // a crash erases runs
        SimulatedRun &run = runs_[index];
        if (run.dueAt_ > now_) {
            continue;
        }
        if (!run.begun_) {
            beginAnswer(run);
        }
        if (now_ < run.endsAt_) {
            sendEvent(run);
            continue;
        }
        GatewayInbox &inbox = inboxes_[run.gateway_];
        if (run.deadly_) {
            if (run.events_ > 0 && disturbance_.longestCrashDelay_ > Milliseconds(0)) {
                sendEvent(run);
            }
            deadlyRequests_[run.body_].crashes_.push_back(now_);
            crash(run.engine_);
            index = 0;
            continue;
        }
        inbox.ends_.push_back({ run.send_, {} });
        runs_.erase(runs_.begin() + static_cast<ptrdiff_t>(index--));
    }
}

void CrashFleetFixture::beginAnswer(SimulatedRun &run)
{
    inboxes_[run.gateway_].heads_.push_back({ run.send_, GatewayFixture::makeHead(200, true) });
    std::uniform_real_distribution<double> draw;
    if (run.deadly_) {
        run.sendsEvents_ = crashesAfterFirstEvent_ || draw(random_) < disturbance_.eventShare_;
    }
    const Milliseconds shortest = disturbance_.shortestCrashDelay_;
    const Milliseconds untilCrash = shortest + drawUpTo(disturbance_.longestCrashDelay_ - shortest);
    run.begun_ = true;
    run.endsAt_ = now_ + (run.deadly_ ? untilCrash : answerDelay);
    if (run.endsAt_ == now_) { // it crashes with its first event
        sendEvent(run);
    }
}

void CrashFleetFixture::sendEvent(SimulatedRun &run)
{
    if (run.sendsEvents_) {
        const std::string id = std::to_string(++run.events_);
        inboxes_[run.gateway_].bytes_.push_back({ run.send_, "id: " + id + "\ndata: a\n\n" });
    }
    run.dueAt_ = std::min(run.endsAt_, now_ + eventInterval);
}

void CrashFleetFixture::crashEngines(const std::vector<size_t> &engines)
{
    for (const size_t engine : engines) {
        crash(engine);
    }
}

void CrashFleetFixture::crash(size_t engine)
{
    if (engines_[engine].row_.removed_) {
        return;
    }
    ++counts_.crashes_;
    engines_[engine].row_.removed_ = true;
    engines_[engine].upAt_ = now_ + downTime;
    engines_[engine].exitedAt_ = now_ + drawUpTo(disturbance_.longestExit_);
    std::erase_if(runs_, [&](const SimulatedRun &run) {
        if (run.engine_ == engine) {
            inboxes_[run.gateway_].ends_.push_back({ run.send_, TransportErrc::Lost });
        }
        return run.engine_ == engine;
    });
}

void CrashFleetFixture::announce(const UpstreamRow &row)
{
    ++listVersion_;
    for (GatewayInbox &inbox : inboxes_) {
        UpstreamsReceived change;
        change.rows_ = { row };
        change.version_ = { 0, listVersion_ };
        inbox.upstreams_.push_back(std::move(change));
    }
}

} // namespace Burdockfield::Testing
