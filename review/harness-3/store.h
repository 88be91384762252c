/**
 * @file store.h
 * @brief Stand-in for the platform's metadata store: rows, transactions and feeds.
 */
#pragma once

#include "socket_io.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

using RowKey = std::pair<std::string, std::string>; ///< Table and key; all rows are in the empty part.

/// Row, or its removal.
struct Row
{
    std::string value_;
    uint64_t version_ = 0;
    bool removed_ = false;
};

/// Store that answers each connection on a thread of its own.
struct Store
{
    Address address_;
    Socket listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    uint64_t version_ = 0; ///< Version of the latest transaction.
    uint64_t era_ = 1; ///< Rises by one each time the store comes back from a copy.
    bool away_ = false; ///< Whether it answers nothing and closes its connections.
    std::map<RowKey, Row> rows_; ///< Newest change of each row, removals included.
};

/// State of a store at one moment.
struct StoreCopy
{
    uint64_t version_ = 0;
    std::map<RowKey, Row> rows_;
};

/// Starts a store; its threads keep it until the process ends. @return whether it listens
bool startStore(const std::shared_ptr<Store> &store);

/// Writes a row as the operator or a runner does.
void writeRow(Store &store, const RowKey &key, const std::string &value);

/// Removes a row.
void removeRow(Store &store, const RowKey &key);

StoreCopy copyOf(Store &store);

/// Has the store answer nothing until it comes back.
void goAway(Store &store);

/// Has the store come back from a copy.
void comeBack(Store &store, const StoreCopy &copy);

} // namespace Review
