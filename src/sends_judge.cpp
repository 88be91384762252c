/**
 * @file sends_judge.cpp
 * @brief Judges whether the send before a further one can have run.
 */
#include "sends_func.h"

#include "json_func.h"
#include "table/send_cause_names.h"
#include "table/sends_names.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace Burdockfield::Sends {

namespace {

bool isSameProcess(const Send &send, const Send &other)
{
    return send.node_ == other.node_ && send.process_ == other.process_;
}

/// @return whether a send is the first of a call. @param before send of the same id before it
bool beginsCall(const Send &send, const Send &before)
{
    if (!isSameProcess(send, before) || send.cause_ == Gateway::SendCause::First) {
        return true;
    }
    return !send.cause_ && !send.hedged_ && send.afterEnd_;
}

/// @return the end of the send before as the cause of the next one names it, or else as its own line does.
SendEnd endBefore(const Send &send, const Send &before)
{
    if (!send.cause_) {
        return before.end_;
    }
    switch (*send.cause_) {
    case Gateway::SendCause::NotConnected:
        return SendEnd::NotConnected;
    case Gateway::SendCause::Failed:
        return SendEnd::Failed;
    case Gateway::SendCause::Silent:
        return SendEnd::Silent;
    case Gateway::SendCause::First:
    case Gateway::SendCause::WrongInstance:
    case Gateway::SendCause::Refused:
        return before.end_;
    }
    return before.end_;
}

/// Judges a refusal as a proof that its send has not run. @param earlier sends of the same id before the refused one
Finding judgeRefusal(const Send &refused, std::span<const Send> earlier, const std::set<std::string> &extraAddresses)
{
    bool sentToAddress = false; // on a connection that may be that of the refusal
    bool addressUnknown = false; // of a send that may have been on the connection of the refusal
    bool otherConnections = true;
    for (const Send &send : earlier) {
        if (!isSameProcess(send, refused) || send.end_ == SendEnd::NotConnected) {
            continue;
        }
        if (refused.connection_ && send.connection_) {
            if (*refused.connection_ == *send.connection_) {
                return Finding::ConnectionCarriedId;
            }
            continue;
        }
        otherConnections = false;
        addressUnknown = addressUnknown || send.address_.empty() || refused.address_.empty();
        sentToAddress = sentToAddress || send.address_ == refused.address_;
    }
    if (refused.written_ == false) {
        return Finding::NotWritten;
    }
    if (refused.connection_ && refused.callsBefore_ == 0U) { // a copy comes on the connection of what it copies
        return Finding::FirstOnConnection;
    }
    if (extraAddresses.contains(refused.address_)) {
        return Finding::ExtraAnswer;
    }
    if (refused.connection_ && otherConnections) {
        return Finding::FirstOnConnection;
    }
    if (addressUnknown) {
        return Finding::AddressNotLogged;
    }
    return sentToAddress ? Finding::ConnectionNotLogged : Finding::FirstAtAddress;
}

/// @return number of the send that ended last; of the latest one if no end is known. @param call sends of one call
size_t findLastEnded(std::span<const Send> call)
{
    size_t last = call.size() - 1;
    for (size_t i = 0; i < call.size(); ++i) {
        if (call[i].endOrder_ > call[last].endOrder_) {
            last = i;
        }
    }
    return last;
}

/**
 * Judges a further send of a call. @param earlier all sends of the id before it
 * @param callStart number of the first one of the same call
 */
FurtherSend judgeRepeat(
    const Send &send, std::span<const Send> earlier, size_t callStart, const std::set<std::string> &extraAddresses)
{
    const size_t number = send.hedged_ ? earlier.size() - 1 : callStart + findLastEnded(earlier.subspan(callStart));
    const Send &before = earlier[number];
    FurtherSend further{ {}, send, before, Finding::EndNotLogged, Verdict::Unknown };
    const SendEnd end = endBefore(send, before);
    if (send.hedged_ || end == SendEnd::Failed || end == SendEnd::Silent) {
        const bool mustRunOnce = (send.hedged_ ? before : send).repeatable_ == false;
        const Finding allowed = send.hedged_ ? Finding::Hedged : Finding::MayRunTwice;
        further.finding_ = mustRunOnce ? Finding::MustRunOnce : allowed;
    } else if (end == SendEnd::NotConnected) {
        further.finding_ = Finding::NeverConnected;
    } else if (end == SendEnd::WrongInstance || end == SendEnd::Refused) {
        further.finding_ = judgeRefusal(before, earlier.first(number), extraAddresses);
    }
    return further;
}

Verdict verdictOf(Finding finding)
{
    const auto found = std::find_if(
        findingRows.begin(), findingRows.end(), [finding](const FindingRow &row) { return row.finding_ == finding; });
    return found == findingRows.end() ? Verdict::Unknown : found->verdict_;
}

/// Sorts sends by gateway, the gateway that sent first first. The order of each gateway's log remains, also if its
/// clock was set back.
void sortByGateway(std::vector<Send> &sends)
{
    std::map<std::string, std::string> firstTimes;
    for (const Send &send : sends) {
        firstTimes.try_emplace(send.node_, send.time_);
    }
    std::stable_sort(sends.begin(), sends.end(), [&firstTimes](const Send &left, const Send &right) {
        return std::tie(firstTimes.at(left.node_), left.node_) < std::tie(firstTimes.at(right.node_), right.node_);
    });
}

/// @return rank in the report among sends with the same verdict: calls that must run once come first.
int rankOf(const Send &send)
{
    if (!send.repeatable_) {
        return 1;
    }
    return *send.repeatable_ ? 2 : 0;
}

void judgeRequest(const SendTable &table, const std::string &id, RequestSends &request, SendReport &report)
{
    for (Send &send : request.sends_) {
        const auto listed = table.addresses_.find(send.upstream_);
        if (send.address_.empty() && listed != table.addresses_.end()) {
            send.address_ = listed->second;
        }
    }
    sortByGateway(request.sends_);
    size_t callStart = 0;
    for (size_t i = 1; i < request.sends_.size(); ++i) {
        const Send &send = request.sends_[i];
        const Send &previous = request.sends_[i - 1];
        FurtherSend further{ id, send, previous, Finding::TwoCalls, Verdict::Unknown };
        if (beginsCall(send, previous)) {
            callStart = i;
        } else {
            further = judgeRepeat(send, std::span(request.sends_).first(i), callStart, request.extraAnswerAddresses_);
            further.request_ = id;
        }
        further.verdict_ = verdictOf(further.finding_);
        report.sends_.push_back(std::move(further));
    }
}

void summarize(const SendTable &table, SendReport &report)
{
    std::map<std::string, AddressCounts> byAddress;
    for (const FurtherSend &further : report.sends_) {
        ++report.byCause_[{ causeText(further.send_), further.verdict_ }];
        report.doubtful_ += further.verdict_ == Verdict::Doubtful ? 1 : 0;
        AddressCounts &counts = byAddress[further.before_.address_];
        ++counts.sends_[further.verdict_];
        ++counts.total_;
    }
    for (auto &[address, counts] : byAddress) {
        counts.address_ = address;
        if (const auto found = table.replacements_.find(address); found != table.replacements_.end()) {
            counts.successors_ = found->second;
        }
        report.byAddress_.push_back(std::move(counts));
    }
    std::stable_sort(
        report.byAddress_.begin(), report.byAddress_.end(), [](const AddressCounts &left, const AddressCounts &right) {
            const auto key = [](const AddressCounts &counts) {
                const auto doubtful = counts.sends_.find(Verdict::Doubtful);
                return std::pair(doubtful == counts.sends_.end() ? 0 : doubtful->second, counts.total_);
            };
            return key(left) > key(right);
        });
}

} // namespace

std::string causeText(const Send &send)
{
    if (send.hedged_) {
        return "hedged";
    }
    return send.cause_ ? std::string(nameOf(*send.cause_, Gateway::sendCauseNames)) : "unknown";
}

SendReport makeReport(SendTable table)
{
    SendReport report;
    report.incomplete_ = table.full_;
    report.linesLeftOut_ = table.linesLeftOut_;
    for (auto &[id, request] : table.requests_) {
        report.incomplete_ = report.incomplete_ || request.truncated_;
        if (request.sends_.size() > 1) {
            ++report.requests_;
            judgeRequest(table, id, request, report);
        }
        request = {};
    }
    std::sort(report.sends_.begin(), report.sends_.end(), [](const FurtherSend &left, const FurtherSend &right) {
        const auto key = [](const FurtherSend &further) {
            return std::tuple(further.verdict_, rankOf(further.send_), further.finding_);
        };
        return std::tuple(key(left), std::tie(left.send_.time_, left.request_))
            < std::tuple(key(right), std::tie(right.send_.time_, right.request_));
    });
    summarize(table, report);
    return report;
}

void keepDoubtful(SendReport &report)
{
    std::erase_if(report.sends_, [](const FurtherSend &further) { return further.verdict_ != Verdict::Doubtful; });
}

} // namespace Burdockfield::Sends
