/**
 * @file store_type.h
 * @brief Rows, transactions and results of the platform's metadata store.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace Burdockfield {

/**
 * Version of the store's data. The store may come back from an older copy and give versions out again; each time, a new
 * era begins. Versions of different eras are therefore ordered by their eras alone.
 */
struct StoreVersion
{
    uint64_t era_ = 0; ///< Times that the store has come back from a copy; 0 for a store that doesn't tell.
    uint64_t version_ = 0; ///< Counts transactions; 0 while no version is known.

    auto operator<=>(const StoreVersion &) const = default;
};

/// Identifies a row of the store.
struct StoreKey
{
    std::string table_;
    std::string key_; ///< Unique in the table.

    auto operator<=>(const StoreKey &) const = default;
};

/// Row of the store.
struct StoreRow
{
    StoreKey key_;
    std::string value_; ///< Stored text.
    uint64_t version_ = 0; ///< Changes with every write of the row; 0 when the row does not exist.
};

/// Condition of a transaction: the row has the given version.
struct StoreCheck
{
    StoreKey key_;
    uint64_t version_ = 0; ///< Required version; 0 when the row must not exist.
};

/// Write or removal of a row by a transaction.
struct RowWrite
{
    StoreKey key_;
    std::string value_; ///< New value; unused when the row is removed.
    bool erase_ = false; ///< Whether the row is removed instead.
};

/// Writes that take effect atomically, if all conditions hold.
struct StoreTransaction
{
    std::vector<StoreCheck> checks_;
    std::vector<RowWrite> rowWrites_;
};

/// Result of a transaction or of a read.
struct StoreResult
{
    std::error_code error_; ///< Success or a StoreErrc.
    std::vector<StoreRow> rows_; ///< Rows read or written, or the rows whose condition did not hold.
    uint64_t era_ = 0; ///< Era of the store that answered, see StoreVersion.
};

} // namespace Burdockfield
