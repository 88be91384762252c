/**
 * @file where_wire.h
 * @brief Query and JSON of a report of where a request would be sent, and its text for operators.
 */
#pragma once

#include "where_type.h"

#include <map>
#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield::Gateway {

constexpr std::string_view wherePath = "/v1/where"; ///< Path of the report on the metrics address.

/// Parses the parameters of a request's target; their values are taken as they are, without percent-decoding.
std::error_code parseWhereQuery(const std::map<std::string, std::string> &parameters, WhereQuery &query);

/// @return the request target with a query. @param error set if a value has characters that need an encoding
std::string makeWhereTarget(const WhereQuery &query, std::error_code &error);

/// @return a report as JSON.
std::string serializeWhereReport(const WhereReport &report);

/// @return the JSON of a report as a table for operators. @param error set if it is malformed
std::string formatWhereReport(std::string_view text, std::error_code &error);

} // namespace Burdockfield::Gateway
