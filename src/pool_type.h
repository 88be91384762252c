/**
 * @file pool_type.h
 * @brief Pool of rows. A row is addressed by a typed id with a generation counter.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace Burdockfield {

/**
 * Id of a row in a pool. The generation keeps the id of an erased row from matching a later row in the same slot.
 * @tparam Row the row type, so that ids of different pools are different types.
 */
template<typename Row>
struct PoolId
{
    uint32_t index_ = UINT32_MAX; ///< Slot in the pool.
    uint32_t generation_ = 0; ///< Number of earlier rows in this slot.

    auto operator<=>(const PoolId &) const = default;
};

/// Slot of a pool; holds a row or is free.
template<typename Row>
struct PoolSlot
{
    uint32_t generation_ = 0; ///< Generation of the row, or of the next row while the slot is free.
    std::optional<Row> row_; ///< Empty while the slot is free.
};

/// Table of rows in reusable slots.
template<typename Row>
struct Pool
{
    std::vector<PoolSlot<Row>> slots_; ///< All slots, in order of first use.
    std::vector<uint32_t> free_; ///< Indexes of free slots; the one freed last is reused first.
    size_t size_ = 0; ///< Number of rows.
};

/**
 * Inserts a row into a free slot, or into a new one if none is free.
 * @return the id of the new row.
 */
template<typename Row>
PoolId<Row> insertRow(Pool<Row> &pool, Row row)
{
    if (pool.free_.empty()) {
        pool.free_.push_back(static_cast<uint32_t>(pool.slots_.size()));
        pool.slots_.emplace_back();
    }
    const uint32_t index = pool.free_.back();
    pool.free_.pop_back();
    PoolSlot<Row> &slot = pool.slots_[index];
    slot.row_.emplace(std::move(row));
    ++pool.size_;
    return PoolId<Row>{ index, slot.generation_ };
}

/// @return the row with the given id, or nullptr if it has been erased.
template<typename Row>
Row *findRow(Pool<Row> &pool, PoolId<Row> id)
{
    if (id.index_ >= pool.slots_.size()) {
        return nullptr;
    }
    PoolSlot<Row> &slot = pool.slots_[id.index_];
    return slot.generation_ == id.generation_ && slot.row_ ? &*slot.row_ : nullptr;
}

/// @copydoc findRow
template<typename Row>
const Row *findRow(const Pool<Row> &pool, PoolId<Row> id)
{
    return findRow(const_cast<Pool<Row> &>(pool), id);
}

/// Erases the row with the given id; does nothing if it has been erased already.
template<typename Row>
void eraseRow(Pool<Row> &pool, PoolId<Row> id)
{
    if (findRow(pool, id) == nullptr) {
        return;
    }
    PoolSlot<Row> &slot = pool.slots_[id.index_];
    slot.row_.reset();
    ++slot.generation_;
    pool.free_.push_back(id.index_);
    --pool.size_;
}

/**
 * Calls @p visit with the id and a reference to each row, in slot order.
 * The callback may erase the row it receives but must not insert rows.
 */
template<typename Row, typename Visit>
void forEachRow(Pool<Row> &pool, Visit visit)
{
    for (uint32_t index = 0; index < pool.slots_.size(); ++index) {
        if (PoolSlot<Row> &slot = pool.slots_[index]; slot.row_) {
            visit(PoolId<Row>{ index, slot.generation_ }, *slot.row_);
        }
    }
}

/// @copydoc forEachRow
template<typename Row, typename Visit>
void forEachRow(const Pool<Row> &pool, Visit visit)
{
    for (uint32_t index = 0; index < pool.slots_.size(); ++index) {
        if (const PoolSlot<Row> &slot = pool.slots_[index]; slot.row_) {
            visit(PoolId<Row>{ index, slot.generation_ }, *slot.row_);
        }
    }
}

/// Hash of a pool id, for unordered containers.
template<typename Row>
struct PoolIdHash
{
    size_t operator()(PoolId<Row> id) const
    {
        return std::hash<uint64_t>{}((static_cast<uint64_t>(id.generation_) << 32U) | id.index_);
    }
};

} // namespace Burdockfield
