/**
 * @file sends_report.cpp
 * @brief Text and JSON of the report on requests that were sent more than once.
 */
#include "sends_func.h"

#include "json_func.h"
#include "table/sends_names.h"

#include <algorithm>
#include <sstream>

namespace Burdockfield::Sends {

namespace {

constexpr size_t maxAddressesShown = 20; ///< In the text; JSON has all.
constexpr size_t maxSuccessorsShown = 5; ///< Of each address in the text.

const FindingRow &rowOf(Finding finding)
{
    return *std::find_if(
        findingRows.begin(), findingRows.end(), [finding](const FindingRow &row) { return row.finding_ == finding; });
}

std::string_view orUnknown(std::string_view text)
{
    return text.empty() ? "unknown" : text;
}

std::string_view yesNoText(const std::optional<bool> &value)
{
    if (!value) {
        return "unknown";
    }
    return *value ? "yes" : "no";
}

std::string numberText(const std::optional<uint64_t> &number)
{
    return number ? std::to_string(*number) : "unknown";
}

void writePlace(std::ostream &text, const Send &send)
{
    text << send.upstream_ << " at " << orUnknown(send.address_) << ", attempt " << orUnknown(send.attempt_);
}

void writeEnd(std::ostream &text, const Send &send)
{
    text << nameOf(send.end_, sendEndNames);
    if (send.end_ == SendEnd::NotLogged) {
        return;
    }
    text << ", error " << orUnknown(send.error_) << ", status " << orUnknown(send.status_);
    if (send.after_) {
        text << " after " << send.after_->count() << " ms";
    }
    text << ", connection " << numberText(send.connection_) << ", calls before " << numberText(send.callsBefore_)
         << ", written " << yesNoText(send.written_);
}

void writeSend(std::ostream &text, const FurtherSend &further)
{
    const Send &send = further.send_;
    text << nameOf(further.verdict_, verdictNames) << ": " << further.request_ << "  " << send.time_ << "  "
         << send.node_ << "  cause " << causeText(send) << ", route " << orUnknown(send.route_) << ", repeatable "
         << yesNoText(send.repeatable_) << '\n';
    text << "    before: ";
    writePlace(text, further.before_);
    text << (further.before_.node_ == send.node_ ? "" : " by " + further.before_.node_) << "; end: ";
    writeEnd(text, further.before_);
    text << "\n    then:   ";
    writePlace(text, send);
    text << "\n    " << rowOf(further.finding_).text_ << '\n';
}

void writeVerdicts(std::ostream &text, const std::map<Verdict, uint64_t> &counts)
{
    for (const auto &[verdict, count] : counts) {
        text << "  " << nameOf(verdict, verdictNames) << ' ' << count;
    }
}

void writeAddress(std::ostream &text, const AddressCounts &counts)
{
    text << "  " << orUnknown(counts.address_) << ' ';
    writeVerdicts(text, counts.sends_);
    size_t shown = 0;
    for (const auto &[instance, successor] : counts.successors_) {
        if (shown++ == maxSuccessorsShown) {
            text << ", and " << counts.successors_.size() - maxSuccessorsShown << " more";
            break;
        }
        text << (shown == 1 ? "  replaced: " : ", ") << instance << " by " << successor;
    }
    text << '\n';
}

Json::object makeSend(const Send &send)
{
    Json::object object{ { "node", send.node_ }, { "time", send.time_ }, { "upstream", send.upstream_ },
        { "address", orUnknown(send.address_) }, { "attempt", orUnknown(send.attempt_) },
        { "end", nameOf(send.end_, sendEndNames) }, { "error", orUnknown(send.error_) },
        { "status", orUnknown(send.status_) }, { "connection", numberText(send.connection_) },
        { "calls_before", numberText(send.callsBefore_) }, { "written", yesNoText(send.written_) } };
    if (send.after_) {
        object["after_ms"] = send.after_->count();
    }
    return object;
}

Json::object makeFurtherSend(const FurtherSend &further)
{
    const FindingRow &row = rowOf(further.finding_);
    return { { "request", further.request_ }, { "verdict", nameOf(further.verdict_, verdictNames) },
        { "finding", row.name_ }, { "cause", causeText(further.send_) }, { "route", orUnknown(further.send_.route_) },
        { "repeatable", yesNoText(further.send_.repeatable_) }, { "before", makeSend(further.before_) },
        { "send", makeSend(further.send_) } };
}

Json::object makeCounts(const std::map<Verdict, uint64_t> &counts)
{
    Json::object object;
    for (const auto &[verdict, count] : counts) {
        object[nameOf(verdict, verdictNames)] = count;
    }
    return object;
}

/// @return the numbers of sends by verdict, by cause.
std::map<std::string, std::map<Verdict, uint64_t>> groupByCause(const SendReport &report)
{
    std::map<std::string, std::map<Verdict, uint64_t>> causes;
    for (const auto &[key, count] : report.byCause_) {
        causes[key.first][key.second] = count;
    }
    return causes;
}

} // namespace

std::string formatReport(const SendReport &report)
{
    std::ostringstream text;
    for (const FurtherSend &further : report.sends_) {
        writeSend(text, further);
    }
    text << "requests sent more than once: " << report.requests_ << "; further sends by cause:\n";
    for (const auto &[cause, counts] : groupByCause(report)) {
        text << "  " << cause << ' ';
        writeVerdicts(text, counts);
        text << '\n';
    }
    text << "further sends by address of the send before:\n";
    const size_t shown = std::min(report.byAddress_.size(), maxAddressesShown);
    std::for_each(report.byAddress_.begin(), report.byAddress_.begin() + static_cast<ptrdiff_t>(shown),
        [&text](const AddressCounts &counts) { writeAddress(text, counts); });
    if (shown < report.byAddress_.size()) {
        text << "  and " << report.byAddress_.size() - shown << " more addresses\n";
    }
    if (report.linesLeftOut_ > 0) {
        text << "the gateways left out " << report.linesLeftOut_ << " log lines; sends may be missing\n";
    }
    if (report.incomplete_) {
        text << "not all requests were examined: too many were sent more than once, or one too often\n";
    }
    return text.str();
}

std::string serializeReport(const SendReport &report)
{
    Json::array sends;
    for (const FurtherSend &further : report.sends_) {
        sends.push_back(makeFurtherSend(further));
    }
    Json::object causes;
    for (const auto &[cause, counts] : groupByCause(report)) {
        causes[cause] = makeCounts(counts);
    }
    Json::array addresses;
    for (const AddressCounts &counts : report.byAddress_) {
        Json::object successors;
        for (const auto &[instance, successor] : counts.successors_) {
            successors[instance] = successor;
        }
        addresses.push_back(Json::object{ { "address", orUnknown(counts.address_) },
            { "sends", makeCounts(counts.sends_) }, { "replaced", std::move(successors) } });
    }
    return Json::serialize(Json::object{ { "requests", report.requests_ }, { "doubtful", report.doubtful_ },
        { "complete", !report.incomplete_ }, { "lines_left_out", report.linesLeftOut_ }, { "sends", std::move(sends) },
        { "by_cause", std::move(causes) }, { "by_address", std::move(addresses) } });
}

} // namespace Burdockfield::Sends
