/**
 * @file sends_names.h
 * @brief Names and texts of the report on requests that were sent more than once.
 */
#pragma once

#include "sends_type.h"

#include <array>
#include <string_view>
#include <utility>

namespace Burdockfield::Sends {

/// What a finding means.
struct FindingRow
{
    Finding finding_;
    Verdict verdict_;
    std::string_view name_; ///< In JSON.
    std::string_view text_; ///< For a terminal.
};

constexpr std::array<FindingRow, 13> findingRows{ {
    { Finding::TwoCalls, Verdict::Doubtful, "two-calls", "another call with the same id" },
    { Finding::MustRunOnce, Verdict::Doubtful, "must-run-once",
        "the send before may have run, and the call must run once" },
    { Finding::ConnectionCarriedId, Verdict::Doubtful, "connection-carried-id",
        "the connection had carried the id before: the refusal may be a copy" },
    { Finding::NotWritten, Verdict::Doubtful, "not-written",
        "the refusal came before the request had been written to its end" },
    { Finding::ExtraAnswer, Verdict::Doubtful, "extra-answer",
        "the address sent answers too many with this id: the refusal may be a copy" },
    { Finding::ConnectionNotLogged, Verdict::Unknown, "connection-not-logged",
        "the gateway had sent the id to this address before, on a connection that isn't logged: the refusal may be a "
        "copy" },
    { Finding::AddressNotLogged, Verdict::Unknown, "address-not-logged",
        "neither the connection nor the address of the refusal and of earlier sends is known" },
    { Finding::EndNotLogged, Verdict::Unknown, "end-not-logged", "no line says how the send before ended" },
    { Finding::MayRunTwice, Verdict::Repeatable, "may-run-twice",
        "the send before may have run; the gateway took the call for one that may run more than once" },
    { Finding::Hedged, Verdict::Repeatable, "hedged", "sent beside a slow send; both may run" },
    { Finding::FirstOnConnection, Verdict::Proved, "first-on-connection",
        "refused on a connection that carried the id for the first time" },
    { Finding::FirstAtAddress, Verdict::Proved, "first-at-address",
        "refused at an address to which the gateway had not sent the id before" },
    { Finding::NeverConnected, Verdict::Proved, "never-connected", "no connection was made" },
} };

constexpr std::array<std::pair<std::string_view, Verdict>, 4> verdictNames{ {
    { "doubtful", Verdict::Doubtful },
    { "unknown", Verdict::Unknown },
    { "repeatable", Verdict::Repeatable },
    { "proved", Verdict::Proved },
} };

/// What the gateway took as the end of a send; for the first three, as proof that it has not run.
constexpr std::array<std::pair<std::string_view, SendEnd>, 6> sendEndNames{ {
    { "no connection", SendEnd::NotConnected },
    { "answer 421", SendEnd::WrongInstance },
    { "refusal", SendEnd::Refused },
    { "failure", SendEnd::Failed },
    { "silence", SendEnd::Silent },
    { "answered", SendEnd::Answered },
} };

} // namespace Burdockfield::Sends
