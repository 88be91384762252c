/**
 * @file error_type.h
 * @brief Error enumerations; each is a std::error_code category.
 */
#pragma once

#include <system_error>

namespace Burdockfield {

/// Why a message could not be parsed.
enum class WireErrc {
    MalformedJson = 1, ///< The text is not JSON.
    MissingField, ///< A required field is absent.
    WrongType, ///< A field has another type than the one required.
    OutOfRange, ///< A number or a length is outside its bounds.
    UnknownValue, ///< A name is not one of those accepted.
    UnknownPath, ///< No resource has this path.
    WrongMethod, ///< The resource does not take this method.
    TooDeep, ///< JSON nested beyond the bound.
};

/// Why a settings file was refused.
enum class SettingsErrc {
    CannotRead = 1, ///< The file cannot be opened.
    MalformedYaml, ///< The text is not YAML.
    UnknownKey, ///< A key that no setting has.
    MissingKey, ///< A required setting is absent.
    WrongType, ///< A value of another type.
    WrongUnit, ///< A duration or size without a unit that is accepted.
    OutOfRange, ///< A value outside its bounds.
    BadAddress, ///< An address that is not IP:PORT.
    UnknownValue, ///< A name that is not one of those accepted.
};

/// Why a caller's request was refused or ended without its answer.
enum class RefusalErrc {
    UnknownToken = 1, ///< The bearer token belongs to no workspace.
    UnknownRoute, ///< No model or service has this name.
    BadRequest, ///< The request could not be parsed.
    BodyTooLarge, ///< The body exceeds the bound.
    HeaderTooLarge, ///< The header exceeds the bound.
    SlowRequest, ///< The caller did not finish sending in time.
    TierNotAllowed, ///< The workspace may not use this tier.
    WorkspaceLimit, ///< The workspace is at its limit of requests in progress.
    Overloaded, ///< Shed: the queue is full.
    WaitExpired, ///< The agreed wait ended before an answer was complete.
    NotReady, ///< The node has no configuration yet.
    Stopping, ///< The node is shutting down.
    KeyReused, ///< The idempotency key was used with another payload.
    CrashSuspect, ///< The request has crashed upstreams that ran it.
    StoreUnavailable, ///< The claim could not be written in time.
    UpstreamLost, ///< The upstream was lost after it was given the request.
    UpstreamError, ///< The upstream answered with an error.
    AnswerDamaged, ///< The answer failed its length check.
};

/// Why an agent did not take a run order.
enum class AdmissionErrc {
    QueueFull = 1, ///< Slots and queue are taken by work of the same or a higher tier.
    Leaving, ///< The upstream is leaving.
    Stopping, ///< The agent is shutting down.
    Expired, ///< The agreed wait would end before the run could start.
    UnknownRoute, ///< The upstream does not serve the route.
    StaleIncarnation, ///< The order was meant for an earlier incarnation of this agent.
    UpstreamDown, ///< The upstream does not answer.
    StoreUnavailable, ///< The claim could not be written in time.
    KeyReused, ///< The key is claimed for another payload.
    Displaced, ///< Taken from the queue for work of a higher tier.
    Withdrawn, ///< Cancelled by the entry before it was started.
    CrashSuspect, ///< The request has crashed upstreams that ran it.
    ClaimedElsewhere, ///< Another run holds the claim of the key.
};

/// Why a call to another process failed.
enum class TransportErrc {
    NotSent = 1, ///< No connection: the peer has not seen the message.
    Lost, ///< The connection broke after sending began; the peer may have acted.
    TimedOut, ///< No answer within the time-out; the peer may have acted.
    Silent, ///< A stream carried nothing within its silence bound.
    Malformed, ///< The peer's message could not be parsed.
    Cancelled, ///< Closed by this side.
};

/// How a table-service operation failed.
enum class StoreErrc {
    Conflict = 1, ///< A condition of the transaction did not hold.
    Unavailable, ///< The service refused; nothing was written.
    Ambiguous, ///< The answer was lost; the write may have taken effect.
    HistoryGone, ///< The changes asked for are no longer kept.
};

/// Why a plan or confirmation was refused.
enum class PlanErrc {
    UnknownSubject = 1, ///< The change names something that does not exist.
    BadValue, ///< A value is outside its bounds.
    StaleBase, ///< The configuration has moved on since the plan was made.
    NoEffect, ///< The plan would leave the configuration as it is.
    StoreUnavailable, ///< Nothing was written.
    OutcomeUnknown, ///< The store's answer was lost and could not be settled.
    Diverged, ///< Replaying the recorded changes gave another digest.
};

std::error_code make_error_code(WireErrc errc); // NOLINT(readability-identifier-naming): found by the standard library
std::error_code make_error_code(SettingsErrc errc); // NOLINT(readability-identifier-naming)
std::error_code make_error_code(RefusalErrc errc); // NOLINT(readability-identifier-naming)
std::error_code make_error_code(AdmissionErrc errc); // NOLINT(readability-identifier-naming)
std::error_code make_error_code(TransportErrc errc); // NOLINT(readability-identifier-naming)
std::error_code make_error_code(StoreErrc errc); // NOLINT(readability-identifier-naming)
std::error_code make_error_code(PlanErrc errc); // NOLINT(readability-identifier-naming)

} // namespace Burdockfield

template<>
struct std::is_error_code_enum<Burdockfield::WireErrc> : std::true_type
{
};

template<>
struct std::is_error_code_enum<Burdockfield::SettingsErrc> : std::true_type
{
};

template<>
struct std::is_error_code_enum<Burdockfield::RefusalErrc> : std::true_type
{
};

template<>
struct std::is_error_code_enum<Burdockfield::AdmissionErrc> : std::true_type
{
};

template<>
struct std::is_error_code_enum<Burdockfield::TransportErrc> : std::true_type
{
};

template<>
struct std::is_error_code_enum<Burdockfield::StoreErrc> : std::true_type
{
};

template<>
struct std::is_error_code_enum<Burdockfield::PlanErrc> : std::true_type
{
};
