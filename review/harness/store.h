/**
 * @file store.h
 * @brief Stand-in for the platform's metadata store: rows, transactions without conditions, and feeds.
 */
#pragma once

#include "wire.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

/// Row of a table as of one transaction.
struct StoreRow
{
    std::string table_;
    std::string key_;
    std::string value_; ///< In base64.
    uint64_t version_ = 0; ///< Version of its transaction.
    bool removed_ = false;
};

/// Rows and their history.
struct Store
{
    Endpoint endpoint_;
    std::mutex mutex_; ///< Guards the members below.
    std::condition_variable changed_;
    uint64_t version_ = 0; ///< Newest version.
    std::map<std::pair<std::string, std::string>, StoreRow> rows_; ///< By table and key.
    std::vector<StoreRow> history_; ///< All changes, oldest first.
};

/// Serves the store at a free port of its endpoint.
void startStore(Store &store);

/// Writes or removes a row as the operator or a runner does. @param value plain text
void writeRow(Store &store, const std::string &table, const std::string &key, const std::string &value, bool remove);

} // namespace Review
