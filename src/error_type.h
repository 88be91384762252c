/**
 * @file error_type.h
 * @brief Error enumerations; each has a std::error_category of its own.
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
    UnknownValue, ///< A name is not one of the accepted values.
    UnknownPath, ///< No resource exists at this path.
    WrongMethod, ///< The resource does not support this method.
    TooDeep, ///< JSON nested more deeply than allowed.
};

/// Why a settings file was refused.
enum class SettingsErrc {
    CannotRead = 1, ///< The file cannot be opened.
    MalformedYaml, ///< The text is not YAML.
    UnknownKey, ///< No setting has this key.
    MissingKey, ///< A required setting is absent.
    WrongType, ///< A value has the wrong type.
    WrongUnit, ///< A duration or size without an accepted unit.
    OutOfRange, ///< A value is outside its bounds.
    BadAddress, ///< An address is not of the form IP:PORT.
    UnknownValue, ///< A name that is not one of the accepted values.
};

/// Why a caller's request was refused or ended without a complete answer.
enum class RefusalErrc {
    UnknownToken = 1, ///< The bearer token belongs to no workspace.
    UnknownRoute, ///< No model or service has this name.
    BadRequest, ///< The request could not be parsed.
    BodyTooLarge, ///< The body exceeds the size limit.
    HeaderTooLarge, ///< The header exceeds the size limit.
    SlowRequest, ///< The caller did not send the whole request in time.
    TierNotAllowed, ///< The workspace may not use this tier.
    WorkspaceLimit, ///< The workspace is at its limit of requests in progress.
    Overloaded, ///< Shed because the queue is full.
    WaitExpired, ///< The agreed wait expired before the answer was complete.
    NotReady, ///< The node has no configuration yet.
    Stopping, ///< The node is shutting down.
    KeyReused, ///< The idempotency key was used with another payload.
    CrashSuspect, ///< Upstreams that ran the request have crashed.
    StoreUnavailable, ///< The claim on the idempotency key could not be written in time.
    UpstreamLost, ///< The upstream became unreachable after the request was sent to it.
    UpstreamError, ///< The upstream answered with an error.
    AnswerDamaged, ///< The answer's length or checksum did not match.
};

/// Why an agent refused a run order.
enum class AdmissionErrc {
    QueueFull = 1, ///< Runs of the same or a higher tier occupy all slots and the whole queue.
    Leaving, ///< The upstream is draining or about to be removed.
    Stopping, ///< The agent is shutting down.
    Expired, ///< The agreed wait would expire before the run could start.
    UnknownRoute, ///< The upstream does not serve the route.
    StaleIncarnation, ///< The order was addressed to an earlier incarnation of this agent.
    UpstreamDown, ///< The upstream does not respond.
    StoreUnavailable, ///< The claim on the idempotency key could not be written in time.
    KeyReused, ///< The idempotency key is claimed for another payload.
    Displaced, ///< Removed from the queue in favour of a run of a higher tier.
    Withdrawn, ///< Cancelled by the entry before it started.
    CrashSuspect, ///< Upstreams that ran the request have crashed.
    ClaimedElsewhere, ///< Another run holds the claim on the idempotency key.
};

/// Why a call to another process failed.
enum class TransportErrc {
    NotSent = 1, ///< No connection was made: the peer has not received the message.
    Lost, ///< The connection broke after sending began; the peer may have processed the message.
    TimedOut, ///< No reply within the timeout; the peer may have processed the message.
    Silent, ///< A stream received no data within its silence timeout.
    Malformed, ///< The peer's message could not be parsed.
    Cancelled, ///< Closed by this side.
    ConnectionRefused, ///< As NotSent, since no process listens at the address.
    NoMemory, ///< Given up by this side, since all replies being received together exceed the memory for them.
    Unsendable, ///< A value can't stand in a message; nothing was sent.
};

/// Why an operation of the table service failed.
enum class StoreErrc {
    Conflict = 1, ///< A condition of the transaction did not hold.
    Unavailable, ///< The service rejected the operation; nothing was written.
    Ambiguous, ///< The reply was lost; the write may have taken effect.
    HistoryGone, ///< The requested changes are no longer retained.
};

/// Why a plan or confirmation was refused.
enum class PlanErrc {
    UnknownSubject = 1, ///< The change refers to something that does not exist.
    BadValue, ///< A value is outside its bounds.
    StaleBase, ///< The configuration has changed since the plan was made.
    NoEffect, ///< The plan would not change the configuration.
    StoreUnavailable, ///< The store was unavailable; nothing was written.
    OutcomeUnknown, ///< The store's reply was lost, and whether the write took effect could not be determined.
    Diverged, ///< Applying the recorded changes gave a different digest.
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
