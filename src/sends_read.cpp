/**
 * @file sends_read.cpp
 * @brief Reads sends, and how they ended, from the lines of logs.
 */
#include "digest_func.h"
#include "error_type.h"
#include "sends_func.h"
#include "table/send_cause_names.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Burdockfield::Sends {

namespace {

constexpr size_t filterBytes = size_t{ 64 } << 20; ///< 10 million sends give 1 false candidate in 180.
constexpr size_t countersPerByte = 4;
constexpr unsigned counterMax = 3;
constexpr size_t maxExtraAddresses = 16; ///< Addresses of extra answers kept for each request.
constexpr size_t maxReceivedLength = 128; ///< The ids of extra answers are logged up to this length.

/// @return the numbers of the two counters of an id.
std::array<size_t, 2> countersOf(const SendFilter &filter, std::string_view request)
{
    const size_t counters = filter.counters_.size() * countersPerByte;
    return { fastHash(request, 1) % counters, fastHash(request, 2) % counters };
}

unsigned valueOf(const SendFilter &filter, size_t counter)
{
    return (filter.counters_[counter / countersPerByte] >> (counter % countersPerByte * 2)) & counterMax;
}

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::optional<bool> parseYesNo(std::string_view text)
{
    return text == "yes" || text == "no" ? std::optional(text == "yes") : std::nullopt;
}

std::optional<Gateway::SendCause> parseCause(std::string_view text)
{
    for (const auto &[name, cause] : Gateway::sendCauseNames) {
        if (name == text) {
            return cause;
        }
    }
    return std::nullopt;
}

bool isSendEvent(const LogLine &line)
{
    return line.event_ == "sent" || line.event_ == "hedged";
}

bool endsCall(const LogLine &line)
{
    return line.event_ == "answered" || line.event_ == "refused" || line.event_ == "caller-left";
}

/// Keeps the address of an instance and what has replaced it there.
void readUpstream(SendTable &table, const LogLine &line)
{
    const std::string instance = findField(line, "upstream");
    const std::string address = findField(line, "address");
    const std::string change = findField(line, "change");
    if (address.empty()
        || (!table.addresses_.contains(instance) && table.addresses_.size() >= table.limits_.instances_)) {
        return;
    }
    if (std::string &known = table.addresses_.try_emplace(instance, address).first->second; known != address) {
        known.clear();
    }
    if (change == "replaced") {
        table.replacements_[address][instance] = findField(line, "source");
    }
}

void readSend(SendTable &table, RequestSends &request, const LogLine &line)
{
    if (request.sends_.size() >= table.limits_.sendsPerRequest_) {
        request.truncated_ = true;
        return;
    }
    Send send;
    send.node_ = line.node_;
    send.process_ = table.processes_[line.node_];
    send.time_ = line.time_;
    send.upstream_ = findField(line, "upstream");
    send.address_ = findField(line, "address");
    send.route_ = findField(line, "route");
    send.cause_ = parseCause(findField(line, "cause"));
    send.hedged_ = line.event_ == "hedged";
    send.repeatable_ = parseYesNo(findField(line, "repeatable"));
    send.attempt_ = findField(line, "attempt");
    const auto previous = std::find_if(request.sends_.rbegin(), request.sends_.rend(),
        [&line](const Send &other) { return other.node_ == line.node_; });
    send.afterEnd_ = previous != request.sends_.rend() && previous->callEnded_;
    request.sends_.push_back(std::move(send));
}

/// @return the latest send of a gateway whose end isn't known, at the upstream of the line if there is one.
Send *findOpenSend(const SendTable &table, RequestSends &request, const LogLine &line)
{
    const auto process = table.processes_.find(line.node_);
    const std::string upstream = findField(line, "upstream");
    Send *latest = nullptr;
    for (Send &send : request.sends_) {
        const bool open = send.node_ == line.node_ && process != table.processes_.end()
            && send.process_ == process->second && send.end_ == SendEnd::NotLogged && !send.callEnded_;
        if (open && (latest == nullptr || send.upstream_ == upstream || latest->upstream_ != upstream)) {
            latest = &send;
        }
    }
    return latest;
}

SendEnd endOfFailure(const LogLine &line)
{
    const std::string error = findField(line, "error");
    const auto is = [&error](TransportErrc errc) {
        return error == make_error_code(errc).message();
    };
    if (is(TransportErrc::NotSent) || is(TransportErrc::ConnectionRefused) || is(TransportErrc::Unsendable)) {
        return SendEnd::NotConnected;
    }
    if (findField(line, "not_run") != "yes" || error != "answer-refused") {
        return SendEnd::Failed;
    }
    return findField(line, "status") == "421" ? SendEnd::WrongInstance : SendEnd::Refused;
}

void readEnd(const SendTable &table, RequestSends &request, const LogLine &line, SendEnd end)
{
    Send *send = findOpenSend(table, request, line);
    if (send == nullptr) {
        return;
    }
    send->end_ = end;
    send->endOrder_ = ++request.ends_;
    send->status_ = findField(line, "status");
    send->error_ = findField(line, "error");
    send->written_ = parseYesNo(findField(line, "written"));
    if (const auto connection = parseNumber(findField(line, "connection")); connection && *connection != 0) {
        send->connection_ = connection; // 0: the gateway broke the send off and did not look at its connection
        send->callsBefore_ = parseNumber(findField(line, "calls_before"));
    }
    if (const auto after = parseNumber(findField(line, "after_ms")); after) {
        send->after_ = Milliseconds(*after);
    }
}

void readRequestLine(SendTable &table, RequestSends &request, const LogLine &line)
{
    if (isSendEvent(line)) {
        readSend(table, request, line);
    } else if (line.event_ == "send-failed") {
        readEnd(table, request, line, endOfFailure(line));
    } else if (line.event_ == "upstream-silent") {
        readEnd(table, request, line, SendEnd::Silent);
    } else if (endsCall(line)) {
        if (line.event_ == "answered") {
            readEnd(table, request, line, SendEnd::Answered);
        }
        for (Send &send : request.sends_) {
            send.callEnded_ = send.callEnded_ || send.node_ == line.node_;
        }
    }
}

/// Keeps the address of an answer that no call was waiting for, under the id that it bears.
void readExtraAnswer(SendTable &table, const SendFilter &filter, const LogLine &line)
{
    const std::string received = findField(line, "received");
    if (received.empty() || received.size() >= maxReceivedLength || !isSentAgain(filter, received)) {
        return;
    }
    const auto found = table.requests_.find(received);
    if (found == table.requests_.end() && table.requests_.size() >= table.limits_.requests_) {
        table.full_ = true;
        return;
    }
    RequestSends &request = table.requests_[received];
    if (request.extraAnswerAddresses_.size() < maxExtraAddresses) {
        request.extraAnswerAddresses_.insert(findField(line, "address"));
    }
}

} // namespace

SendFilter makeFilter()
{
    return { std::vector<uint8_t>(filterBytes) };
}

void countSends(SendFilter &filter, const LogLine &line)
{
    if (!isSendEvent(line)) {
        return;
    }
    for (const size_t counter : countersOf(filter, findField(line, "request"))) {
        if (valueOf(filter, counter) < counterMax) {
            filter.counters_[counter / countersPerByte] += uint8_t(1U << (counter % countersPerByte * 2));
        }
    }
}

bool isSentAgain(const SendFilter &filter, std::string_view request)
{
    const auto counters = countersOf(filter, request);
    return std::all_of(
        counters.begin(), counters.end(), [&filter](size_t counter) { return valueOf(filter, counter) > 1; });
}

void readLine(SendTable &table, const SendFilter &filter, const LogLine &line)
{
    if (line.event_ == "started") {
        ++table.processes_[line.node_];
    } else if (line.event_ == "upstream") {
        readUpstream(table, line);
    } else if (line.event_ == "lines-left-out") {
        table.linesLeftOut_ += parseNumber(findField(line, "lines")).value_or(1);
    } else if (line.event_ == "extra-answer") {
        readExtraAnswer(table, filter, line);
    } else if (const std::string id = findField(line, "request"); !id.empty() && isSentAgain(filter, id)) {
        const auto found = table.requests_.find(id);
        if (found != table.requests_.end()) {
            readRequestLine(table, found->second, line);
        } else if (!isSendEvent(line)) {
            return;
        } else if (table.requests_.size() < table.limits_.requests_) {
            readSend(table, table.requests_[id], line);
        } else {
            table.full_ = true;
        }
    }
}

} // namespace Burdockfield::Sends
