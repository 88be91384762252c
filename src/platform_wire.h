/**
 * @file platform_wire.h
 * @brief HTTP and JSON of the platform's table service and VM list.
 */
#pragma once

#include "http_type.h"
#include "store_type.h"
#include "vm_type.h"

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Burdockfield {

constexpr std::string_view transactionsPath = "/v1/transactions"; ///< Transactions, by POST.
constexpr std::string_view rowPath = "/v1/rows"; ///< One row: table and key in the query.
constexpr std::string_view vmsPath = "/v1/vms"; ///< The VM list.
constexpr int storeConflictStatus = 409; ///< A condition did not hold; the body lists the rows.
constexpr int storeUnavailableStatus = 503; ///< Nothing was done.

/// @return the call that runs a transaction.
HttpRequest makeTransactionCall(const StoreTransaction &transaction);

/// @return the call that reads a row.
HttpRequest makeRowCall(const StoreKey &key);

/**
 * Judges the answer of the table service.
 * @param error transport error, if any
 * @param write whether the call was a transaction, whose effect may be unknown
 */
StoreResult judgeStoreReply(std::error_code error, const HttpReply &reply, bool write);

/// @return JSON of a transaction.
std::string serializeTransaction(const StoreTransaction &transaction);

/// Parses a transaction. @return a WireErrc on bad input.
std::error_code parseTransaction(std::string_view text, StoreTransaction &transaction);

/// @return JSON of rows.
std::string serializeRows(const std::vector<StoreRow> &rows);

/// Parses rows. @return a WireErrc on bad input.
std::error_code parseRows(std::string_view text, std::vector<StoreRow> &rows);

/// @return JSON of the VM list.
std::string serializeVms(const std::vector<Vm> &vms);

/// Parses the VM list. @return a WireErrc on bad input.
std::error_code parseVms(std::string_view text, std::vector<Vm> &vms);

} // namespace Burdockfield
