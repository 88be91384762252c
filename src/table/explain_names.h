/**
 * @file explain_names.h
 * @brief Texts for the cause of a request's outcome; {name} is replaced by that field of the log line.
 */
#pragma once

#include <array>
#include <string_view>

namespace Burdockfield {

/// Text for the last log line of a request.
struct CausePattern
{
    std::string_view event_; ///< Event of the line.
    std::string_view reason_; ///< Reason, or for "answered" the outcome, of the line.
    std::string_view text_; ///< Text with fields to replace.
};

constexpr std::array<CausePattern, 19> causePatterns{ {
    { "answered", "ok", "{upstream} answered completely after {took_ms} ms" },
    { "answered", "upstream-error", "{upstream} answered with status {status}, which was passed on" },
    { "answered", "stream-broken",
        "its stream broke after {events} events and could not be resumed at another upstream" },
    { "caller-left", "",
        "the caller closed its connection after {after_ms} ms; upstream {upstream} had been silent for {silent_ms} "
        "ms" },
    { "refused", "no-configuration", "the node had no configuration yet; check when it started" },
    { "refused", "no-route", "no route of configuration {configuration} matches its host and path" },
    { "refused", "unknown-key", "no workspace of configuration {configuration} has its API key" },
    { "refused", "malformed", "the request lacks a required part" },
    { "refused", "read-late", "the node was too busy to read it for {age_ms} ms, longer than its caller waits" },
    { "refused", "over-quota", "workspace {workspace} had used up its quota; the request has not run" },
    { "refused", "overloaded", "no upstream had free capacity for {waited_ms} ms; the request has not run" },
    { "refused", "stopping",
        "the node was being stopped and would probably not have answered it in time; it has not run" },
    { "refused", "no-upstream", "no upstream was reachable; the request has not run" },
    { "refused", "not-run-there", "upstreams refused it and no attempt remained; the request has not run" },
    { "refused", "unsendable",
        "a value that goes to upstreams with it can't stand in a header; the request has not run" },
    { "refused", "exceeds-memory", "the request takes more tokens than the memory of any engine of its service holds" },
    { "refused", "crash-suspect", "the request, or a part of its prompt, has crashed the upstreams that answered it" },
    { "refused", "expired",
        "its deadline passed after {waited_ms} ms; upstream {upstream} had been silent for {silent_ms} ms, {events} "
        "events had been passed on" },
    { "refused", "upstream-failed", "its upstream failed, and the request might not be repeated" },
} };

constexpr std::string_view sendFailedPattern
    = "; before that, attempt {attempt} at {upstream} failed after {after_ms} ms: {error}, status {status}";
constexpr std::string_view upstreamSilentPattern = "; before that, {upstream} was silent for {silent_ms} ms";

} // namespace Burdockfield
