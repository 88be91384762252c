/**
 * @file where_func.h
 * @brief Decision of where a request would be sent, without sending it.
 */
#pragma once

#include "where_type.h"

namespace Burdockfield::Gateway {

/// @return where a request would be sent at this moment, by the functions that the dispatch calls.
WhereReport findWhere(const GatewayState &state, TimePoint now, const WhereQuery &query);

} // namespace Burdockfield::Gateway
