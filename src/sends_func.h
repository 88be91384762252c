/**
 * @file sends_func.h
 * @brief Finds the requests that were sent more than once in the logs of gateways, and judges each further send.
 */
#pragma once

#include "log_line_func.h"
#include "sends_type.h"

#include <string>
#include <string_view>

namespace Burdockfield::Sends {

/// @return a filter that has counted nothing; it takes 64 MiB.
SendFilter makeFilter();

/// First reading: counts the sends of each id.
void countSends(SendFilter &filter, const LogLine &line);

/// @return whether an id was sent more than once. A few ids that were sent once count, too.
bool isSentAgain(const SendFilter &filter, std::string_view request);

/**
 * Second reading: keeps what a line says about requests that were sent more than once, and about upstreams.
 * The lines of a gateway are expected in the order in which it wrote them.
 */
void readLine(SendTable &table, const SendFilter &filter, const LogLine &line);

/// Judges all further sends. @param table loses its requests
SendReport makeReport(SendTable table);

/// Keeps only the doubtful sends in the list; the summaries remain.
void keepDoubtful(SendReport &report);

/// @return the cause of a send as the log names it; "hedged" for a second send beside a slow one.
std::string causeText(const Send &send);

/// @return text for a terminal: each further send with its verdict, then the summaries.
std::string formatReport(const SendReport &report);

/// @return the report as a JSON object.
std::string serializeReport(const SendReport &report);

} // namespace Burdockfield::Sends
