/**
 * @file trace_wire.h
 * @brief Encoding of traces as JSON lines; docs/TRACES.md describes the format.
 */
#pragma once

#include "http_type.h"
#include "trace_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

/// @return the record as one line, without a line end.
std::string serializeTraceRecord(const TraceRecord &record);

/// Parses one line. @return a WireErrc if the line is invalid
std::error_code parseTraceRecord(std::string_view text, TraceRecord &record);

/**
 * Parses a trace; empty lines are skipped.
 * @param line set to the number of the invalid line on error; the first line is 1
 * @return a WireErrc if a line is invalid
 */
std::error_code parseTrace(std::string_view text, Trace &trace, size_t &line);

/// @return a generated prompt of the record's length; equal records have equal prompts.
std::string tracePrompt(const TraceRecord &record);

/// @return the HTTP request that a caller sends for the record.
HttpRequest traceRequest(const TraceRecord &record);

} // namespace Burdockfield
