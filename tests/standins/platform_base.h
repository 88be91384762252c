/**
 * @file platform_base.h
 * @brief State of the platform stand-in: a metadata store with rows, feeds and objects.
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

/// How the table service responds to calls.
enum class StoreMode : uint8_t {
    Up, ///< Serves all calls.
    Down, ///< Refuses with status 503; nothing is written.
    Busy, ///< Refuses with status 429, as if over its rate limit; nothing is written.
    Silent, ///< Never responds; nothing is written.
    LoseReplies, ///< Runs transactions, then closes the connection without a response.
    EndlessPages, ///< Responds to reads and feeds with a long page of new rows, and says that more follow.
    EndlessValues, ///< Responds to reads and feeds with a list of empty values as long as a reply may be.
};

/// Response that is sent after a delay.
struct DelayedOutput
{
    StandinOutput output_;
    TimePoint sendAt_{}; ///< When it is sent.
};

/// Change of a row, kept for feeds.
struct RowChange
{
    StoreRow row_; ///< The row after the change, with the version of its transaction.
    bool removed_ = false; ///< Whether the row was removed.
    std::string part_; ///< Part of the table that the row is in.
};

/// Long poll that waits for changes.
struct PendingFeed
{
    ExchangeId exchange_; ///< Where the response goes.
    std::string table_;
    uint64_t afterVersion_ = 0; ///< Version after which changes are requested.
    TimePoint expiresAt_{}; ///< When an empty response is sent.
};

/// VM list that becomes visible after a delay.
struct VmListing
{
    TimePoint visibleFrom_{}; ///< When it replaces the VM list in the store.
    std::vector<Vm> vms_;
};

/// Copy of all rows, from which the store may come back.
struct StoreCopy
{
    std::map<StoreKey, StoreRow> rows_; ///< Rows of all tables.
    uint64_t version_ = 0; ///< Version of the newest transaction in it.
};

/// All state of the platform stand-in.
struct PlatformState
{
    StoreMode mode_ = StoreMode::Up;
    Milliseconds delay_{ 0 }; ///< Delay of each response of the table service.
    Milliseconds vmListLag_{ 500 }; ///< Time after which a new VM list becomes visible.
    std::map<StoreKey, StoreRow> rows_; ///< Rows of all tables.
    uint64_t version_ = 0; ///< Version of the newest transaction.
    uint64_t era_ = 1; ///< Rises each time the store comes back from a copy.
    StoreCopy copy_; ///< The copy that was taken last.
    std::deque<RowChange> history_; ///< Changes that feeds can request, oldest first.
    uint64_t discardedUpTo_ = 0; ///< Version up to which changes have been discarded.
    Pool<PendingFeed> feeds_;
    std::map<std::string, std::string> objects_; ///< Contents of the object store, by name.
    std::deque<VmListing> pendingListings_; ///< VM lists that are not visible yet, oldest first.
    Pool<DelayedOutput> delayed_;
    DeadlineQueue<DelayedOutput> deadlines_; ///< When the delayed responses are sent and VM lists become visible.
    bool pagesBounded_ = true; ///< Whether a read returns no more than a page.
    uint64_t reads_ = 0; ///< Reads and feeds received.
    uint64_t writes_ = 0; ///< Transactions received, including those with a conflict.
};

/// Handles new requests and all deadlines that are due.
StandinOutbox tickPlatform(PlatformState &state, TimePoint now, StandinInbox inbox);

/// @return when the platform next needs a tick.
TimePoint nextPlatformDeadline(const PlatformState &state);

} // namespace Burdockfield::Standin
