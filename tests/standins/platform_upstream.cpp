/**
 * @file platform_upstream.cpp
 * @brief Stand-in for an upstream of the platform.
 */
#include "platform_upstream_base.h"

#include "digest_func.h"
#include "header_names.h"
#include "http_func.h"
#include "json_func.h"

#include <array>
#include <cstdlib>

namespace Burdockfield::Standin {

namespace {

constexpr std::array<std::pair<std::string_view, UpstreamMode>, 7> upstreamModeNames{ {
    { "good", UpstreamMode::Normal },
    { "mute", UpstreamMode::Silent },
    { "reset", UpstreamMode::Reset },
    { "failing", UpstreamMode::Failing },
    { "full", UpstreamMode::Full },
    { "endless", UpstreamMode::Endless },
    { "crossed", UpstreamMode::MismatchedId },
} };

constexpr size_t endlessPieceBytes = 256U << 10U; ///< Bytes of a body without end that are sent at once.
constexpr Milliseconds endlessPieceInterval{ 5 }; ///< Time between them.
constexpr Milliseconds crashDelay{ 5 }; ///< Time from the header of a response to the end of the process.
constexpr int crashStatus = 70; ///< Exit status then.
constexpr std::string_view instanceHeader = "Instance-Id"; ///< Upstream that made a response.
constexpr std::string_view streamPathPart = "/stream/"; ///< Requests with it in their target get a stream of events.

/// Adds a line about a run to the ledger, with the time of the clock that all processes share.
void writeLedger(StandinOutbox &outbox, TimePoint now, const UpstreamRun &run, const char *event)
{
    outbox.ledger_.push_back(
        Json::serialize(Json::object{ { "event", event }, { "request", run.id_ }, { "prompt", run.echo_ },
            { "clock_ms", std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() } }));
}

HttpReply makeReply(int status, const UpstreamRun &run)
{
    HttpReply reply;
    reply.status_ = status;
    const std::string id = run.mode_ == UpstreamMode::MismatchedId ? run.id_ + "-other" : run.id_;
    reply.headers_.emplace_back(Platform::requestIdHeader, id);
    reply.headers_.emplace_back(Platform::signatureHeader, toHex(fastHash(id)));
    return reply;
}

HttpReply makeNotRunReply(int status, const HttpRequest &request)
{
    HttpReply reply;
    reply.status_ = status;
    reply.headers_.emplace_back(Platform::requestIdHeader, findHeader(request.headers_, Platform::requestIdHeader));
    reply.headers_.emplace_back(Platform::notRunHeader, "1");
    return reply;
}

void startRun(UpstreamStandinState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    const HttpRequest &request = arrival.request_;
    const std::string_view expected = findHeader(request.headers_, Platform::expectedInstanceHeader);
    if (!expected.empty() && expected != state.instance_) {
        outbox.outputs_.push_back({ arrival.exchange_, ServerOutput::Kind::Full, makeNotRunReply(421, request), {} });
        return;
    }
    if (state.mode_ == UpstreamMode::Full) {
        ++state.refusals_;
        HttpReply reply = makeNotRunReply(503, request);
        if (state.pause_ > Milliseconds(0)) {
            reply.headers_.emplace_back(
                Platform::retryAfterHeader, std::to_string(FractionalSeconds(state.pause_).count()));
        }
        outbox.outputs_.push_back({ arrival.exchange_, ServerOutput::Kind::Full, std::move(reply), {} });
        return;
    }
    UpstreamRun run;
    run.exchange_ = arrival.exchange_;
    run.id_ = findHeader(request.headers_, Platform::requestIdHeader);
    run.streamed_ = request.target_.find(streamPathPart) != std::string::npos;
    run.echo_ = echoBody(request.target_, request.body_);
    run.mode_ = state.mode_;
    run.deadly_ = findHeader(request.headers_, Platform::promptPartsHeader).find(deadlyPart) != std::string_view::npos;
    run.nextEvent_ = parseNumberOr(findHeader(request.headers_, Platform::lastEventIdHeader), 0) + 1;
    run.dueAt_ = now + state.stepDelay_;
    writeLedger(outbox, now, run, "started");
    const TimePoint due = run.dueAt_;
    pushDeadline(state.deadlines_, due, insertRow(state.runs_, std::move(run)));
}

std::string eventText(const std::string &text, uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + text + "-" + std::to_string(number) + "\n\n";
}

void finishRun(UpstreamStandinState &state, TimePoint now, PoolId<UpstreamRun> id, StandinOutbox &outbox)
{
    writeLedger(outbox, now, *findRow(state.runs_, id), "finished");
    eraseRow(state.runs_, id);
}

void stepStream(
    UpstreamStandinState &state, TimePoint now, PoolId<UpstreamRun> id, UpstreamRun &run, StandinOutbox &outbox)
{
    if (run.nextEvent_ > state.events_) {
        outbox.outputs_.push_back({ run.exchange_, ServerOutput::Kind::End, {}, {} });
        finishRun(state, now, id, outbox);
        return;
    }
    if (run.dueAt_ != TimePoint{}) {
        HttpReply head = makeReply(200, run);
        head.headers_.emplace_back("Content-Type", "text/event-stream");
        outbox.outputs_.push_back({ run.exchange_, ServerOutput::Kind::Head, std::move(head), {} });
        run.dueAt_ = {};
    }
    const std::string event = eventText(run.echo_, run.nextEvent_);
    const bool breaks = run.mode_ == UpstreamMode::Reset && run.nextEvent_ == state.events_ / 2 + 1;
    outbox.outputs_.push_back(
        { run.exchange_, ServerOutput::Kind::Chunk, {}, breaks ? event.substr(0, event.size() / 2) : event });
    if (breaks) {
        outbox.outputs_.push_back({ run.exchange_, ServerOutput::Kind::Abort, {}, {} });
        eraseRow(state.runs_, id);
        return;
    }
    ++run.nextEvent_;
    pushDeadline(state.deadlines_, now + state.stepDelay_, id);
}

/// Sends the next piece of a body that never ends; its caller has to close the connection.
void stepEndless(
    UpstreamStandinState &state, TimePoint now, PoolId<UpstreamRun> id, UpstreamRun &run, StandinOutbox &outbox)
{
    if (run.dueAt_ != TimePoint{}) {
        HttpReply head = makeReply(200, run);
        head.headers_.emplace_back("Content-Type", run.streamed_ ? "text/event-stream" : "text/plain");
        outbox.outputs_.push_back({ run.exchange_, ServerOutput::Kind::Head, std::move(head), {} });
        run.dueAt_ = {};
    }
    outbox.outputs_.push_back({ run.exchange_, ServerOutput::Kind::Chunk, {}, std::string(endlessPieceBytes, '.') });
    pushDeadline(state.deadlines_, now + endlessPieceInterval, id);
}

/// Sends the header of the response, and ends the process in the next step.
void stepDeadly(
    UpstreamStandinState &state, TimePoint now, PoolId<UpstreamRun> id, UpstreamRun &run, StandinOutbox &outbox)
{
    if (run.dueAt_ == TimePoint{}) {
        std::_Exit(crashStatus);
    }
    HttpReply head = makeReply(200, run);
    head.headers_.emplace_back("Content-Type", "text/event-stream");
    outbox.outputs_.push_back({ run.exchange_, ServerOutput::Kind::Head, std::move(head), {} });
    run.dueAt_ = {};
    pushDeadline(state.deadlines_, now + crashDelay, id);
}

void stepRun(UpstreamStandinState &state, TimePoint now, PoolId<UpstreamRun> id, StandinOutbox &outbox)
{
    UpstreamRun *run = findRow(state.runs_, id);
    if (run == nullptr || run->mode_ == UpstreamMode::Silent) {
        return;
    }
    if (run->deadly_) {
        stepDeadly(state, now, id, *run, outbox);
    } else if (run->mode_ == UpstreamMode::Failing) {
        outbox.outputs_.push_back({ run->exchange_, ServerOutput::Kind::Full, makeReply(500, *run), {} });
        finishRun(state, now, id, outbox);
    } else if (run->mode_ == UpstreamMode::Endless) {
        stepEndless(state, now, id, *run, outbox);
    } else if (run->streamed_) {
        stepStream(state, now, id, *run, outbox);
    } else if (run->mode_ == UpstreamMode::Reset) {
        outbox.outputs_.push_back({ run->exchange_, ServerOutput::Kind::Abort, {}, {} });
        finishRun(state, now, id, outbox);
    } else {
        HttpReply reply = makeReply(200, *run);
        reply.body_ = run->echo_ + std::string(state.padding_, '.');
        outbox.outputs_.push_back({ run->exchange_, ServerOutput::Kind::Full, std::move(reply), {} });
        finishRun(state, now, id, outbox);
    }
}

void handleControl(UpstreamStandinState &state, const Arrival &arrival, StandinOutbox &outbox)
{
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    readName(reader, "mode", state.mode_, upstreamModeNames, Presence::Optional);
    read(reader, "step_ms", state.stepDelay_, Presence::Optional);
    read(reader, "events", state.events_, Presence::Optional);
    read(reader, "padding", state.padding_, Presence::Optional);
    read(reader, "leaving", state.leaving_, Presence::Optional);
    read(reader, "pause_ms", state.pause_, Presence::Optional);
    const std::string counts = Json::serialize(Json::object{ { "refusals", state.refusals_ } });
    outbox.outputs_.push_back(
        { arrival.exchange_, ServerOutput::Kind::Full, makeJsonReply(reader.error_ ? 400 : 200, counts), {} });
}

/// Adds to all responses which upstream makes them, and whether it is going to stop.
void addOwnHeaders(const UpstreamStandinState &state, StandinOutbox &outbox)
{
    for (StandinOutput &output : outbox.outputs_) {
        if (output.kind_ != ServerOutput::Kind::Full && output.kind_ != ServerOutput::Kind::Head) {
            continue;
        }
        output.reply_.headers_.emplace_back(instanceHeader, state.instance_);
        if (state.leaving_) {
            output.reply_.headers_.emplace_back(Platform::leavingHeader, "1");
        }
    }
}

void eraseAbandonedRuns(UpstreamStandinState &state, TimePoint now, const StandinInbox &inbox, StandinOutbox &outbox)
{
    for (const Departure &departure : inbox.disconnects_) {
        forEachRow(state.runs_, [&](PoolId<UpstreamRun> id, const UpstreamRun &run) {
            if (run.exchange_ == departure.exchange_) {
                writeLedger(outbox, now, run, "abandoned");
                eraseRow(state.runs_, id);
            }
        });
    }
}

} // namespace

std::string echoBody(const std::string &target, const std::string &body)
{
    return toHex(fastHash(target + "\n" + body));
}

std::string streamEvent(const std::string &target, const std::string &body, uint64_t number)
{
    return eventText(echoBody(target, body), number);
}

std::string streamBody(const std::string &target, const std::string &body)
{
    std::string text;
    for (uint64_t number = 1; number <= streamEvents; ++number) {
        text += streamEvent(target, body, number);
    }
    return text;
}

StandinOutbox tickUpstream(UpstreamStandinState &state, TimePoint now, StandinInbox inbox)
{
    StandinOutbox outbox;
    eraseAbandonedRuns(state, now, inbox, outbox);
    for (const Arrival &arrival : inbox.arrivals_) {
        if (arrival.request_.target_ == "/control") {
            handleControl(state, arrival, outbox);
        } else {
            startRun(state, arrival, now, outbox);
        }
    }
    for (const PoolId<UpstreamRun> id : popDue(state.deadlines_, now)) {
        stepRun(state, now, id, outbox);
    }
    addOwnHeaders(state, outbox);
    return outbox;
}

TimePoint nextUpstreamDeadline(const UpstreamStandinState &state)
{
    return nextDeadline(state.deadlines_);
}

} // namespace Burdockfield::Standin
