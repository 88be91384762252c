/**
 * @file sends_type.h
 * @brief Requests that were sent more than once, as the logs of gateways show them.
 */
#pragma once

#include "gateway_base.h"
#include "time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Burdockfield::Sends {

/// How a send ended.
enum class SendEnd : uint8_t {
    NotLogged, ///< No line says.
    Answered, ///< Its answer was passed on.
    NotConnected, ///< No connection was made.
    WrongInstance, ///< Another instance answered with 421.
    Refused, ///< The upstream reported that it has not run the call.
    Failed, ///< It failed otherwise; it may have run.
    Silent, ///< Given up because the upstream was silent; it may have run.
};

/// Whether the send before a further one has run, in the order of the report.
enum class Verdict : uint8_t {
    Doubtful, ///< It may have run although the gateway took it as not run, or the call might not be sent again.
    Unknown, ///< The log doesn't tell.
    Repeatable, ///< It may have run, and the call may run more than once.
    Proved, ///< It has not run.
};

/// Why a further send has its verdict.
enum class Finding : uint8_t {
    TwoCalls, ///< It belongs to another call with the same id.
    MustRunOnce, ///< The send before may have run, and the call must run once.
    ConnectionCarriedId, ///< The connection of the refusal had carried the id before.
    NotWritten, ///< The refusal came before the request had been written to its end.
    ExtraAnswer, ///< Answers too many that bear the id came from the address of the refusal.
    ConnectionNotLogged, ///< The id was sent to that address before, on a connection that the log doesn't name.
    AddressNotLogged, ///< Neither the connection nor the addresses of the sends are in the log.
    EndNotLogged, ///< No line says how the send before ended.
    MayRunTwice, ///< The send before may have run, and the call may run more than once.
    Hedged, ///< Sent beside a slow send; both may run.
    FirstOnConnection, ///< Refused on a connection that carried the id for the first time.
    FirstAtAddress, ///< Refused at an address to which the gateway had not sent the id before.
    NeverConnected, ///< No connection was made.
};

/// Send of a call to an upstream.
struct Send
{
    std::string node_; ///< Gateway that sent it.
    uint32_t process_ = 0; ///< Number of the gateway's process in its log; connections are numbered by process.
    std::string time_; ///< UTC in ISO 8601 format, by the gateway's clock.
    std::string upstream_;
    std::string address_; ///< IP:PORT, also as the upstream's row listed it; empty if unknown.
    std::string route_;
    std::optional<Gateway::SendCause> cause_; ///< None if hedged_, or if the log doesn't name it.
    bool hedged_ = false; ///< Sent beside a slow send.
    std::optional<bool> repeatable_; ///< Whether the call may run more than once.
    std::string attempt_; ///< Number of the attempt as logged.
    bool callEnded_ = false; ///< Whether a later line of the gateway ends the call.
    bool afterEnd_ = false; ///< Whether the gateway's call before with this id had ended.

    SendEnd end_ = SendEnd::NotLogged;
    uint32_t endOrder_ = 0; ///< Larger for a later end of the same request.
    std::optional<uint64_t> connection_; ///< Number of its connection.
    std::optional<uint64_t> callsBefore_; ///< Calls that the connection had carried before.
    std::optional<bool> written_; ///< Whether the request had been written to its end.
    std::string status_; ///< HTTP status of the answer, or "none".
    std::string error_; ///< Error as logged.
    std::optional<Milliseconds> after_; ///< Time from the send to its failure.
};

/// All sends of the calls with one id.
struct RequestSends
{
    std::vector<Send> sends_; ///< In the order of the logs.
    std::set<std::string> extraAnswerAddresses_; ///< IP:PORT from which answers too many came that bear the id.
    uint32_t ends_ = 0; ///< Ends of sends so far.
    bool truncated_ = false; ///< Whether sends were left out because there are too many.
};

/// Most memory that the second reading of the logs takes.
struct SendLimits
{
    size_t requests_ = 100000; ///< Requests that were sent more than once; each takes about a kilobyte.
    size_t sendsPerRequest_ = 64;
    size_t instances_ = 200000; ///< Instances whose addresses are kept.
};

/**
 * Counts the sends of each id in a fixed amount of memory. Counts may be too high, since ids share counters, but never
 * too low; the second reading of the logs drops the ids that were sent once after all.
 */
struct SendFilter
{
    std::vector<uint8_t> counters_; ///< Four counters of 2 bits in each byte, which stay at their maximum.
};

/// Sends read from logs.
struct SendTable
{
    std::unordered_map<std::string, RequestSends> requests_; ///< By id.
    std::unordered_map<std::string, std::string> addresses_; ///< By instance; empty if it had several.
    std::map<std::string, std::map<std::string, std::string>> replacements_; ///< Successors by address and instance.
    std::unordered_map<std::string, uint32_t> processes_; ///< Starts in the log, by gateway.
    uint64_t linesLeftOut_ = 0; ///< Lines that the gateways did not write because there were too many.
    SendLimits limits_;
    bool full_ = false; ///< Whether requests were left out because there are too many.
};

/// Send other than the first of its id, with what is known of the one before.
struct FurtherSend
{
    std::string request_;
    Send send_;
    Send before_; ///< Send that it followed; for another call the last one before it.
    Finding finding_ = Finding::EndNotLogged;
    Verdict verdict_ = Verdict::Unknown;
};

/// Further sends after an earlier one at an address.
struct AddressCounts
{
    std::string address_; ///< Empty if unknown.
    std::map<Verdict, uint64_t> sends_;
    uint64_t total_ = 0;
    std::map<std::string, std::string> successors_; ///< By the instance that was replaced there.
};

/// What the logs say about requests that were sent more than once.
struct SendReport
{
    std::vector<FurtherSend> sends_; ///< Sorted by verdict; calls that must run once first.
    std::map<std::pair<std::string, Verdict>, uint64_t> byCause_; ///< Also sends that are not listed.
    std::vector<AddressCounts> byAddress_; ///< The most doubtful and then the most sends first.
    uint64_t requests_ = 0; ///< Requests that were sent more than once.
    uint64_t doubtful_ = 0; ///< Sends whose verdict is doubtful.
    uint64_t linesLeftOut_ = 0; ///< Lines that the gateways did not write because there were too many.
    bool incomplete_ = false; ///< Whether requests or sends were left out, see SendLimits.
};

} // namespace Burdockfield::Sends
