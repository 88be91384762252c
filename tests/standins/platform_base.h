/**
 * @file platform_base.h
 * @brief Tables of the platform stand-in: the users' metadata store with its rows, feeds and objects.
 */
#pragma once

#include "deadline_type.h"
#include "pool_type.h"
#include "standin_func.h"
#include "store_type.h"
#include "vm_type.h"

#include <deque>
#include <map>

namespace Burdockfield::Standin {

/// How the table service behaves.
enum class StoreMode : uint8_t {
    Up, ///< As it should.
    Down, ///< Refuses; nothing is written.
    Busy, ///< Refuses as beyond its rate; nothing is written.
    Silent, ///< Never answers; nothing is written.
    LoseAnswers, ///< Writes, then closes without an answer.
};

/// Answer that is held back.
struct HeldAnswer
{
    StandinOutput output_; ///< The answer.
    TimePoint at_{}; ///< When it goes.
};

/// Change of a row, kept for feeds.
struct RowChange
{
    StoreRow row_; ///< The row after the change, with the version of its transaction.
    bool removed_ = false; ///< Whether it was dropped.
};

/// Feed that waits for changes.
struct WaitingFeed
{
    ExchangeId exchange_; ///< Where the answer goes.
    std::string table_; ///< Table.
    uint64_t after_ = 0; ///< Version after which changes are asked for.
    TimePoint until_{}; ///< When it is answered without changes.
};

/// VM list with the time from which it is shown.
struct VmListing
{
    TimePoint from_{}; ///< When it is shown.
    std::vector<Vm> vms_; ///< The list.
};

/// All state of the platform.
struct PlatformState
{
    StoreMode mode_ = StoreMode::Up; ///< How the table service behaves.
    Milliseconds delay_{ 0 }; ///< Time that each call of the table service takes.
    Milliseconds vmListLag_{ 500 }; ///< Age of the VM list.
    std::map<StoreKey, StoreRow> rows_; ///< Rows of the table service.
    uint64_t version_ = 0; ///< Version of the newest transaction.
    std::deque<RowChange> history_; ///< Changes that feeds may ask for, oldest first.
    uint64_t forgottenUpTo_ = 0; ///< Version up to which changes are no longer kept.
    Pool<WaitingFeed> feeds_; ///< Feeds that wait.
    std::map<std::string, std::string> objects_; ///< Object store.
    std::deque<VmListing> listings_; ///< VM lists that are not shown yet, oldest first.
    Pool<HeldAnswer> held_; ///< Answers held back.
    DeadlineQueue<HeldAnswer> deadlines_; ///< When they go.
    uint64_t reads_ = 0; ///< Reads and feeds answered.
    uint64_t writes_ = 0; ///< Transactions run.
};

/// Runs the platform once.
StandinOutbox tickPlatform(PlatformState &state, TimePoint now, StandinInbox inbox);

/// @return when the platform next needs a tick.
TimePoint nextPlatformDeadline(const PlatformState &state);

} // namespace Burdockfield::Standin
