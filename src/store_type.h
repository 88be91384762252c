/**
 * @file store_type.h
 * @brief Operations of the platform's transactional table service.
 */
#pragma once

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace Burdockfield {

/// Names a row of the table service.
struct StoreKey
{
    std::string table_; ///< Table.
    std::string key_; ///< Key in the table.

    auto operator<=>(const StoreKey &) const = default;
};

/// Row of the table service.
struct StoreRow
{
    StoreKey key_; ///< Where it is.
    std::string value_; ///< Text kept there.
    uint64_t version_ = 0; ///< Counts the writes of the row; 0 when there is no such row.
};

/// Condition of a transaction.
struct StoreCheck
{
    StoreKey key_; ///< Row.
    uint64_t version_ = 0; ///< Version that it must have; 0 when it must be absent.
};

/// Write of a transaction.
struct RowWrite
{
    StoreKey key_; ///< Row.
    std::string value_; ///< New text.
    bool erase_ = false; ///< Whether the row is erased instead.
};

/// Writes that take effect together, if all conditions hold.
struct StoreTransaction
{
    std::vector<StoreCheck> checks_; ///< Conditions.
    std::vector<RowWrite> rowWrites_; ///< Writes.
};

/// Outcome of a transaction or of a read.
struct StoreResult
{
    std::error_code error_; ///< Success or a StoreErrc.
    std::vector<StoreRow> rows_; ///< Rows read, or the rows whose condition did not hold.
};

} // namespace Burdockfield
