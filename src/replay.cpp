/**
 * @file replay.cpp
 * @brief Replay of a trace against a live system.
 */
#include "replay_func.h"

#include "caller_wire.h"
#include "http_client.h"
#include "json_func.h"
#include "table/wire_names.h"
#include "trace_wire.h"

#include <boost/asio/steady_timer.hpp>
#include <iostream>

namespace Burdockfield {

namespace {

constexpr Milliseconds answerMargin{ 10000 }; ///< Time beyond the agreed wait that an answer is waited for.
constexpr std::chrono::seconds progressInterval{ 2 }; ///< Time between two lines of progress.
constexpr int firstErrorStatus = 400;

/// Replay in progress.
struct Replay
{
    ReplaySettings settings_; ///< How.
    std::vector<ReplayRow> rows_; ///< A row for each request.
    size_t next_ = 0; ///< Next request to send.
    size_t ended_ = 0; ///< Requests that have ended.
    TimePoint startedAt_{}; ///< When it began.
    boost::asio::io_context io_{ 1 }; ///< Where it runs.
    HttpClient client_{ io_ }; ///< Calls.
    boost::asio::steady_timer sendTimer_{ io_ }; ///< Next arrival.
    boost::asio::steady_timer progressTimer_{ io_ }; ///< Next line of progress.
};

void readRefusal(ReplayRow &row, const Json::value &problem)
{
    JsonReader reader = readObject(problem);
    RunOutcome runOutcome = RunOutcome::Unknown;
    read(reader, "title", row.reason_);
    readName(reader, "outcome", runOutcome, runOutcomeNames);
    if (reader.error_) {
        row.outcome_ = ReplayOutcome::Broken;
        return;
    }
    row.outcome_ = runOutcome == RunOutcome::NotRun ? ReplayOutcome::NotRun
        : runOutcome == RunOutcome::Ran             ? ReplayOutcome::Ran
                                                    : ReplayOutcome::Unknown;
}

void readRefusalBody(ReplayRow &row, const std::string &body)
{
    std::error_code error;
    readRefusal(row, parseJson(body, error));
}

void readUsage(ReplayRow &row, JsonReader &reader)
{
    if (const Json::value *usage = readValue(reader, "usage", Presence::Optional); usage != nullptr) {
        JsonReader members = readObject(*usage);
        read(members, "completion_tokens", row.tokens_);
    }
}

void readWholeAnswer(ReplayRow &row, const std::string &body)
{
    Json::value document;
    JsonReader reader = readJsonObject(body, document);
    readUsage(row, reader);
    const Json::array *choices = readArray(reader, "choices");
    if (choices == nullptr || choices->empty()) {
        row.outcome_ = ReplayOutcome::Broken;
        return;
    }
    JsonReader choice = readObject(choices->front());
    if (const Json::value *message = readValue(choice, "message"); message != nullptr) {
        JsonReader members = readObject(*message);
        read(members, "content", row.text_);
    }
    row.outcome_ = choice.error_ ? ReplayOutcome::Broken : ReplayOutcome::Answered;
}

void readEvent(ReplayRow &row, std::string_view event)
{
    constexpr std::string_view prefix = "data: ";
    if (!event.starts_with(prefix)) {
        return;
    }
    event.remove_prefix(prefix.size());
    if (event == "[DONE]") {
        row.done_ = true;
        return;
    }
    Json::value document;
    JsonReader reader = readJsonObject(event, document);
    if (const Json::value *problem = readValue(reader, "error", Presence::Optional); problem != nullptr) {
        readRefusal(row, *problem);
        return;
    }
    readUsage(row, reader);
    const Json::array *choices = readArray(reader, "choices");
    if (choices == nullptr || choices->empty()) {
        return;
    }
    JsonReader choice = readObject(choices->front());
    if (const Json::value *delta = readValue(choice, "delta", Presence::Optional); delta != nullptr) {
        JsonReader members = readObject(*delta);
        std::string text;
        read(members, "content", text, Presence::Optional);
        row.text_ += text;
    }
}

void endRow(Replay &replay, size_t index)
{
    ReplayRow &row = replay.rows_[index];
    row.total_ = Clock::now() - row.sentAt_;
    if (row.outcome_ == ReplayOutcome::Pending) {
        row.outcome_ = row.done_ ? ReplayOutcome::Answered : ReplayOutcome::Broken;
    }
    const bool counted = row.record_.kind_ == RouteKind::Model && row.outcome_ == ReplayOutcome::Answered;
    if (counted && row.tokens_ != row.record_.answerTokens_) {
        row.outcome_ = ReplayOutcome::Broken;
        row.reason_ = "wrong-length";
    }
    if (++replay.ended_ == replay.rows_.size()) {
        replay.progressTimer_.cancel();
    }
}

void sendStreamed(Replay &replay, size_t index, const std::string &address)
{
    ReplayRow &row = replay.rows_[index];
    StreamHandlers handlers;
    handlers.onHead_ = [&row](const HttpReply &head) {
        row.status_ = head.status_;
    };
    handlers.onBytes_ = [&row](std::string_view bytes) {
        if (row.status_ >= firstErrorStatus) {
            row.text_ += bytes;
            return;
        }
        if (row.firstToken_ == Duration::zero()) {
            row.firstToken_ = Clock::now() - row.sentAt_;
        }
        for (const std::string &event : extractParts(row.splitter_, bytes, "\n\n")) {
            readEvent(row, event);
        }
    };
    handlers.onEnd_ = [&replay, index](std::error_code error) {
        ReplayRow &ended = replay.rows_[index];
        if (error) {
            ended.reason_ = error.message();
        } else if (ended.status_ >= firstErrorStatus) {
            readRefusalBody(ended, ended.text_);
        }
        endRow(replay, index);
    };
    openStream(
        replay.client_, address, traceRequest(row.record_), row.record_.wait_ + answerMargin, std::move(handlers));
}

void sendWhole(Replay &replay, size_t index, const std::string &address)
{
    const ReplayRow &row = replay.rows_[index];
    const auto done = [&replay, index](std::error_code error, const HttpReply &reply) {
        ReplayRow &ended = replay.rows_[index];
        ended.status_ = reply.status_;
        ended.firstToken_ = Clock::now() - ended.sentAt_;
        if (error) {
            ended.outcome_ = ReplayOutcome::Broken;
            ended.reason_ = error.message();
        } else if (reply.status_ >= firstErrorStatus) {
            readRefusalBody(ended, reply.body_);
        } else if (ended.record_.kind_ == RouteKind::Model) {
            readWholeAnswer(ended, reply.body_);
        } else {
            ended.text_ = reply.body_;
            ended.outcome_ = ReplayOutcome::Answered;
        }
        endRow(replay, index);
    };
    fetch(replay.client_, address, traceRequest(row.record_), row.record_.wait_ + answerMargin, ConnectionUse::Fresh,
        done);
}

TimePoint arrivalOf(const Replay &replay, size_t index)
{
    const FractionalSeconds offset = replay.rows_[index].record_.arrival_;
    return replay.startedAt_ + std::chrono::duration_cast<Duration>(offset / replay.settings_.speed_);
}

void sendDue(Replay &replay)
{
    while (replay.next_ < replay.rows_.size() && arrivalOf(replay, replay.next_) <= Clock::now()) {
        const size_t index = replay.next_++;
        ReplayRow &row = replay.rows_[index];
        const std::string &address = replay.settings_.entries_[index % replay.settings_.entries_.size()];
        row.sentAt_ = Clock::now();
        if (row.record_.streamed_ && row.record_.kind_ == RouteKind::Model) {
            sendStreamed(replay, index, address);
        } else {
            sendWhole(replay, index, address);
        }
    }
    if (replay.next_ == replay.rows_.size()) {
        return;
    }
    replay.sendTimer_.expires_at(arrivalOf(replay, replay.next_));
    replay.sendTimer_.async_wait([&replay](const boost::system::error_code & /*error*/) { sendDue(replay); });
}

void showProgress(Replay &replay)
{
    replay.progressTimer_.expires_after(progressInterval);
    replay.progressTimer_.async_wait([&replay](const boost::system::error_code &error) {
        if (error || replay.ended_ == replay.rows_.size()) {
            return;
        }
        std::cerr << "sent " << replay.next_ << " of " << replay.rows_.size() << ", ended " << replay.ended_ << '\n';
        showProgress(replay);
    });
}

} // namespace

std::vector<ReplayRow> replayTrace(const Trace &trace, const ReplaySettings &settings)
{
    Replay replay;
    replay.settings_ = settings;
    for (const TraceRecord &record : trace.records_) {
        replay.rows_.emplace_back();
        replay.rows_.back().record_ = record;
    }
    replay.startedAt_ = Clock::now();
    if (settings.progress_ && !replay.rows_.empty()) {
        showProgress(replay);
    }
    sendDue(replay);
    replay.io_.run();
    return std::move(replay.rows_);
}

bool isGood(const ReplayRow &row)
{
    return row.outcome_ == ReplayOutcome::Answered && row.total_ <= row.record_.wait_;
}

bool meetsStatedOutcome(const ReplayRow &row)
{
    const bool refused = row.outcome_ == ReplayOutcome::NotRun || row.outcome_ == ReplayOutcome::Ran
        || row.outcome_ == ReplayOutcome::Unknown;
    switch (row.record_.expect_) {
    case StatedOutcome::Answered:
        return isGood(row);
    case StatedOutcome::Refused:
        return refused;
    case StatedOutcome::AnsweredOrRefused:
        return refused || row.outcome_ == ReplayOutcome::Answered;
    }
    return false;
}

} // namespace Burdockfield
