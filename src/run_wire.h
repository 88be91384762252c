/**
 * @file run_wire.h
 * @brief JSON encoding of the messages between entries and agents.
 */
#pragma once

#include "run_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

constexpr std::string_view runsPath = "/v1/runs"; ///< Run orders.
constexpr std::string_view answerPath = "/v1/runs/answer"; ///< Answers; run, attempt and offset in the query.
constexpr std::string_view cancelPath = "/v1/runs/cancel"; ///< Cancellations; run, attempt, incarnation in the query.
constexpr std::string_view leavePath = "/v1/leave"; ///< Notice that the agent's VM is leaving.
constexpr std::string_view reportPath = "/v1/report"; ///< Reports of agents.
constexpr std::string_view configurationPath = "/v1/configuration"; ///< Current configuration.
constexpr std::string_view changesPath = "/v1/configuration/changes"; ///< Confirmed changes after a revision.

/// The serialize functions return JSON text; the parse functions return a WireErrc for invalid input.
std::string serializeRunOrder(const RunOrder &order);
std::error_code parseRunOrder(std::string_view text, RunOrder &order);

std::string serializeRunReply(const RunReply &reply, TimePoint now);
std::error_code parseRunReply(std::string_view text, RunReply &reply, TimePoint now);

std::string serializeAnswerFrame(const AnswerFrame &frame, TimePoint now);
std::error_code parseAnswerFrame(std::string_view text, AnswerFrame &frame, TimePoint now);

std::string serializeCancelReply(const CancelReply &reply);
std::error_code parseCancelReply(std::string_view text, CancelReply &reply);

/// Expiry times of suspects are encoded as the time left after @p now.
std::string serializeReport(const AgentReport &report, TimePoint now);
std::error_code parseReport(std::string_view text, AgentReport &report, TimePoint now);

} // namespace Burdockfield
