/**
 * @file platform.cpp
 * @brief Stand-in for the platform: rows, transactions, feeds and objects of its metadata store.
 */
#include "base64_func.h"
#include "http_func.h"
#include "json_func.h"
#include "platform_base.h"
#include "table/wire_names.h"
#include "vm_wire.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Burdockfield::Standin {

namespace {

constexpr std::array<std::pair<std::string_view, StoreMode>, 7> storeModeNames{ {
    { "up", StoreMode::Up },
    { "down", StoreMode::Down },
    { "busy", StoreMode::Busy },
    { "silent", StoreMode::Silent },
    { "lose-answers", StoreMode::LoseReplies },
    { "endless-pages", StoreMode::EndlessPages },
    { "endless-values", StoreMode::EndlessValues },
} };

constexpr std::string_view putObjectPath = "/burdockfield/blob-put/";
constexpr std::string_view getObjectPath = "/burdockfield/blob-get/";
constexpr size_t pageRows = 500; ///< Maximum rows of one response.
constexpr size_t pageBytes = 1000000; ///< Most bytes of the values of one response.
constexpr size_t endlessRowBytes = 1500; ///< Value of a row of a page without end.
constexpr size_t endlessValuesBytes = 2500000; ///< Length of a list of empty values.
constexpr size_t historyLength = 2000; ///< Changes kept for feeds.

void sendOutput(PlatformState &state, StandinOutput output, TimePoint now, StandinOutbox &outbox)
{
    output.reply_.headers_.emplace_back("Store-Era", std::to_string(state.era_));
    if (state.delay_.count() == 0) {
        outbox.outputs_.push_back(std::move(output));
        return;
    }
    const TimePoint at = now + state.delay_;
    pushDeadline(state.deadlines_, at, insertRow(state.delayed_, DelayedOutput{ std::move(output), at }));
}

StandinOutput makeWholeOutput(ExchangeId exchange, int status, std::string body)
{
    return { exchange, ServerOutput::Kind::Full, makeJsonReply(status, std::move(body)), {} };
}

Json::object makeRowObject(const StoreRow &row, bool removed, const std::string &part = {})
{
    Json::object object{ { "table", row.key_.table_ }, { "part", part }, { "key", row.key_.key_ },
        { "ver", row.version_ } };
    if (removed) {
        object["deleted"] = true;
    } else {
        object["value"] = encodeBase64(row.value_);
    }
    return object;
}

std::string serializeRows(const PlatformState &state, Json::array rows, bool more = false)
{
    return Json::serialize(
        Json::object{ { "rows", std::move(rows) }, { "hasMore", more }, { "ver", state.version_ }, { "nowMs", 0 } });
}

std::string percentDecode(std::string_view text)
{
    constexpr int hexBase = 16;
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            int byte = 0;
            std::from_chars(text.data() + index + 1, text.data() + index + 3, byte, hexBase);
            decoded += static_cast<char>(byte);
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

/// Responds to the feeds of a table that has changed.
void answerFeeds(PlatformState &state, const std::string &table, TimePoint now, StandinOutbox &outbox)
{
    forEachRow(state.feeds_, [&](PoolId<PendingFeed> id, const PendingFeed &feed) {
        if (feed.table_ != table) {
            return;
        }
        Json::array rows;
        for (const RowChange &change : state.history_) {
            if (change.row_.key_.table_ == table && change.row_.version_ > feed.afterVersion_) {
                rows.push_back(makeRowObject(change.row_, change.removed_, change.part_));
            }
        }
        sendOutput(state, makeWholeOutput(feed.exchange_, 200, serializeRows(state, std::move(rows))), now, outbox);
        eraseRow(state.feeds_, id);
    });
}

/// Writes or removes a row. Reads are of the empty part, so that rows of others are kept for feeds only.
void writeRow(
    PlatformState &state, const StoreKey &key, const std::string &value, bool remove, const std::string &part = {})
{
    StoreRow row{ key, value, state.version_ };
    if (remove && part.empty()) {
        state.rows_.erase(key);
    } else if (part.empty()) {
        state.rows_[key] = row;
    }
    state.history_.push_back({ std::move(row), remove, part });
    if (state.history_.size() > historyLength) {
        state.discardedUpTo_ = state.history_.front().row_.version_;
        state.history_.pop_front();
    }
}

StoreKey readKey(JsonReader &reader)
{
    StoreKey key;
    read(reader, "table", key.table_);
    read(reader, "key", key.key_);
    return key;
}

/// @return the rows whose condition does not hold; parse errors go to @p reader.
Json::array findConflicts(const PlatformState &state, JsonReader &reader)
{
    Json::array conflicts;
    const Json::array *expected = readArray(reader, "expect");
    for (const Json::value &item : expected == nullptr ? Json::array() : *expected) {
        JsonReader row = readObject(item);
        const StoreKey key = readKey(row);
        uint64_t version = 0;
        read(row, "ver", version);
        fail(reader, row.error_);
        const auto found = state.rows_.find(key);
        if ((found == state.rows_.end() ? 0 : found->second.version_) != version && found != state.rows_.end()) {
            conflicts.push_back(makeRowObject(found->second, false));
        } else if (found == state.rows_.end() && version != 0) {
            conflicts.push_back(makeRowObject({ key, {}, 0 }, true));
        }
    }
    return conflicts;
}

void writeAll(PlatformState &state, JsonReader &reader, const char *field, bool remove, std::set<std::string> &tables)
{
    const Json::array *rows = readArray(reader, field);
    for (const Json::value &item : rows == nullptr ? Json::array() : *rows) {
        JsonReader row = readObject(item);
        const StoreKey key = readKey(row);
        std::string text;
        std::string value;
        read(row, "value", text, Presence::Optional);
        if (!row.error_ && decodeBase64(text, value)) {
            writeRow(state, key, value, remove);
            tables.insert(key.table_);
        }
    }
}

void handleTransaction(PlatformState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    Json::array conflicts = findConflicts(state, reader);
    if (reader.error_) {
        sendOutput(state, makeWholeOutput(arrival.exchange_, 400, "{}"), now, outbox);
        return;
    }
    ++state.writes_;
    std::set<std::string> tables;
    StandinOutput output = makeWholeOutput(arrival.exchange_, 412, serializeRows(state, conflicts));
    if (conflicts.empty()) {
        ++state.version_;
        writeAll(state, reader, "puts", false, tables);
        writeAll(state, reader, "remove", true, tables);
        output = makeWholeOutput(arrival.exchange_, 200, Json::serialize(Json::object{ { "ver", state.version_ } }));
    }
    if (state.mode_ == StoreMode::LoseReplies) {
        output.kind_ = ServerOutput::Kind::Abort;
    }
    sendOutput(state, std::move(output), now, outbox);
    for (const std::string &table : tables) {
        answerFeeds(state, table, now, outbox);
    }
}

void handleRead(PlatformState &state, const Arrival &arrival, HttpTarget &target, TimePoint now, StandinOutbox &outbox)
{
    ++state.reads_;
    const std::string table = percentDecode(target.query_["table"]);
    const std::string from = percentDecode(target.query_["from"]);
    const std::string to = percentDecode(target.query_["to"]);
    const size_t limit = std::min<size_t>(parseNumberOr(target.query_["limit"], pageRows), pageRows);
    Json::array rows;
    size_t bytes = 0;
    bool more = false;
    for (auto position = state.rows_.lower_bound({ table, from }); position != state.rows_.end(); ++position) {
        const auto &[key, row] = *position;
        if (key.table_ != table || (!to.empty() && key.key_ >= to)) {
            break;
        }
        bytes += encodeBase64(row.value_).size();
        if (state.pagesBounded_ && (rows.size() == limit || (!rows.empty() && bytes > pageBytes))) {
            more = true;
            break;
        }
        rows.push_back(makeRowObject(row, false));
    }
    sendOutput(
        state, makeWholeOutput(arrival.exchange_, 200, serializeRows(state, std::move(rows), more)), now, outbox);
}

void handleFeed(PlatformState &state, const Arrival &arrival, HttpTarget &target, TimePoint now, StandinOutbox &outbox)
{
    ++state.reads_;
    PendingFeed feed;
    feed.exchange_ = arrival.exchange_;
    feed.table_ = percentDecode(target.query_["table"]);
    feed.afterVersion_ = parseNumberOr(target.query_["after"], 0);
    feed.expiresAt_ = now + Milliseconds(parseNumberOr(target.query_["waitMs"], 0));
    if (feed.afterVersion_ < state.discardedUpTo_ || feed.afterVersion_ > state.version_) {
        sendOutput(state, makeWholeOutput(arrival.exchange_, 410, "{}"), now, outbox);
        return;
    }
    const auto matchesFeed = [&feed](const RowChange &change) {
        return change.row_.key_.table_ == feed.table_ && change.row_.version_ > feed.afterVersion_;
    };
    const bool changed = std::any_of(state.history_.begin(), state.history_.end(), matchesFeed);
    insertRow(state.feeds_, std::move(feed));
    if (changed) {
        answerFeeds(state, percentDecode(target.query_["table"]), now, outbox);
    }
}

void handleObjectCall(PlatformState &state, const Arrival &arrival, const std::string &path, StandinOutbox &outbox)
{
    if (path.starts_with(putObjectPath)) {
        state.objects_[path.substr(putObjectPath.size())] = arrival.request_.body_;
        outbox.outputs_.push_back(makeWholeOutput(arrival.exchange_, 200, "{}"));
        return;
    }
    const auto found = state.objects_.find(path.substr(std::min(path.size(), getObjectPath.size())));
    const bool known = found != state.objects_.end();
    outbox.outputs_.push_back(makeWholeOutput(arrival.exchange_, known ? 200 : 404, known ? found->second : "{}"));
}

/// Responds with rows whose keys ascend from call to call.
void sendEndlessPage(
    PlatformState &state, const Arrival &arrival, HttpTarget &target, TimePoint now, StandinOutbox &outbox)
{
    const std::string table = percentDecode(target.query_["table"]);
    Json::array rows;
    for (size_t row = 0; row < pageRows; ++row) {
        const std::string key = std::to_string(1000000000 + state.reads_ * pageRows + row);
        rows.push_back(makeRowObject({ { table, key }, std::string(endlessRowBytes, 'x'), ++state.version_ }, false));
    }
    ++state.reads_;
    sendOutput(
        state, makeWholeOutput(arrival.exchange_, 200, serializeRows(state, std::move(rows), true)), now, outbox);
}

void sendEndlessValues(PlatformState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    ++state.reads_;
    std::string body = R"({"ver":1,"rows":[[])";
    while (body.size() < endlessValuesBytes) {
        body += ",[]";
    }
    sendOutput(state, makeWholeOutput(arrival.exchange_, 200, body + "]}"), now, outbox);
}

void handleStoreCall(
    PlatformState &state, const Arrival &arrival, HttpTarget &target, TimePoint now, StandinOutbox &outbox)
{
    if (state.mode_ == StoreMode::Silent) {
        return;
    }
    const bool isRead = target.path_ == "/burdockfield/rows-get" || target.path_ == "/burdockfield/rows-feed";
    if (isRead && state.mode_ == StoreMode::EndlessPages) {
        sendEndlessPage(state, arrival, target, now, outbox);
        return;
    }
    if (isRead && state.mode_ == StoreMode::EndlessValues) {
        sendEndlessValues(state, arrival, now, outbox);
        return;
    }
    if (state.mode_ == StoreMode::Down || state.mode_ == StoreMode::Busy) {
        sendOutput(
            state, makeWholeOutput(arrival.exchange_, state.mode_ == StoreMode::Down ? 503 : 429, "{}"), now, outbox);
    } else if (target.path_ == "/burdockfield/rows-tx") {
        handleTransaction(state, arrival, now, outbox);
    } else if (target.path_ == "/burdockfield/rows-get") {
        handleRead(state, arrival, target, now, outbox);
    } else if (target.path_ == "/burdockfield/rows-feed") {
        handleFeed(state, arrival, target, now, outbox);
    } else {
        handleObjectCall(state, arrival, target.path_, outbox);
    }
}

/// Replaces the rows of the VM table by each VM list that has become visible.
void publishDueListings(PlatformState &state, TimePoint now, StandinOutbox &outbox)
{
    while (!state.pendingListings_.empty() && state.pendingListings_.front().visibleFrom_ <= now) {
        ++state.version_;
        std::erase_if(state.rows_, [](const auto &item) { return item.first.table_ == vmTable; });
        for (const Vm &vm : state.pendingListings_.front().vms_) {
            writeRow(state, { std::string(vmTable), vm.name_ }, serializeVm(vm), false);
        }
        state.pendingListings_.pop_front();
        answerFeeds(state, std::string(vmTable), now, outbox);
    }
}

void setVms(PlatformState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    VmListing listing;
    listing.visibleFrom_ = state.version_ == 0 ? now : now + state.vmListLag_;
    const Json::array *vms = readArray(reader, "vms");
    for (const Json::value &item : vms == nullptr ? Json::array() : *vms) {
        fail(reader, parseVm(Json::serialize(item), listing.vms_.emplace_back()));
    }
    if (!reader.error_) {
        pushDeadline(state.deadlines_, listing.visibleFrom_, {});
        state.pendingListings_.push_back(std::move(listing));
    }
    outbox.outputs_.push_back(makeWholeOutput(arrival.exchange_, reader.error_ ? 400 : 200, "{}"));
    publishDueListings(state, now, outbox);
}

/// Writes or removes a row in place of the operator or an upstream; the value is plain text.
void setRow(PlatformState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    const StoreKey key = readKey(reader);
    std::string value;
    std::string part;
    bool remove = false;
    read(reader, "value", value, Presence::Optional);
    read(reader, "part", part, Presence::Optional);
    read(reader, "remove", remove, Presence::Optional);
    if (!reader.error_) {
        ++state.version_;
        writeRow(state, key, value, remove, part);
        answerFeeds(state, key.table_, now, outbox);
    }
    outbox.outputs_.push_back(makeWholeOutput(arrival.exchange_, reader.error_ ? 400 : 200, "{}"));
}

/// Writes many rows in place of another program, one transaction each. Their values are no JSON.
void fillTable(PlatformState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    std::string table;
    std::string prefix;
    uint64_t count = 0;
    uint64_t bytes = 0;
    read(reader, "table", table);
    read(reader, "prefix", prefix);
    read(reader, "count", count);
    read(reader, "bytes", bytes);
    for (uint64_t row = 0; row < count && !reader.error_; ++row) {
        ++state.version_;
        writeRow(state, { table, prefix + std::to_string(row) }, std::string(bytes, '\x01'), false);
    }
    answerFeeds(state, table, now, outbox);
    outbox.outputs_.push_back(makeWholeOutput(arrival.exchange_, reader.error_ ? 400 : 200, "{}"));
}

/// Comes back from the copy: later rows are gone, and their versions will be given out again.
void restoreCopy(PlatformState &state, StandinOutbox &outbox)
{
    state.rows_ = state.copy_.rows_;
    state.version_ = state.copy_.version_;
    ++state.era_;
    state.history_.clear();
    state.discardedUpTo_ = state.version_;
    forEachRow(state.feeds_, [&](PoolId<PendingFeed> id, const PendingFeed &feed) {
        outbox.outputs_.push_back({ feed.exchange_, ServerOutput::Kind::Abort, {}, {} });
        eraseRow(state.feeds_, id);
    });
}

void handleControl(PlatformState &state, const Arrival &arrival, StandinOutbox &outbox)
{
    Json::value document;
    JsonReader reader = readJsonObject(arrival.request_.body_, document);
    readName(reader, "mode", state.mode_, storeModeNames, Presence::Optional);
    read(reader, "delay_ms", state.delay_, Presence::Optional);
    read(reader, "vm_list_lag_ms", state.vmListLag_, Presence::Optional);
    read(reader, "pages_bounded", state.pagesBounded_, Presence::Optional);
    bool forget = false;
    read(reader, "forget_history", forget, Presence::Optional);
    if (forget) {
        state.history_.clear();
        state.discardedUpTo_ = ++state.version_;
    }
    bool copy = false;
    read(reader, "take_copy", copy, Presence::Optional);
    if (copy) {
        state.copy_ = { state.rows_, state.version_ };
    }
    bool restore = false;
    read(reader, "restore_copy", restore, Presence::Optional);
    if (restore) {
        restoreCopy(state, outbox);
    }
    const Json::object counts{ { "reads", state.reads_ }, { "writes", state.writes_ }, { "rows", state.rows_.size() } };
    outbox.outputs_.push_back(makeWholeOutput(arrival.exchange_, reader.error_ ? 400 : 200, Json::serialize(counts)));
}

void handleArrival(PlatformState &state, const Arrival &arrival, TimePoint now, StandinOutbox &outbox)
{
    HttpTarget target = splitTarget(arrival.request_.target_);
    if (target.path_ == "/control") {
        handleControl(state, arrival, outbox);
    } else if (target.path_ == "/control/vms") {
        setVms(state, arrival, now, outbox);
    } else if (target.path_ == "/control/fill") {
        fillTable(state, arrival, now, outbox);
    } else if (target.path_ == "/control/row") {
        setRow(state, arrival, now, outbox);
    } else {
        handleStoreCall(state, arrival, target, now, outbox);
    }
}

void expireFeeds(PlatformState &state, TimePoint now, StandinOutbox &outbox)
{
    forEachRow(state.feeds_, [&](PoolId<PendingFeed> id, const PendingFeed &feed) {
        if (feed.expiresAt_ <= now) {
            sendOutput(state, makeWholeOutput(feed.exchange_, 200, serializeRows(state, {})), now, outbox);
            eraseRow(state.feeds_, id);
        }
    });
}

} // namespace

StandinOutbox tickPlatform(PlatformState &state, TimePoint now, StandinInbox inbox)
{
    StandinOutbox outbox;
    publishDueListings(state, now, outbox);
    for (const Arrival &arrival : inbox.arrivals_) {
        handleArrival(state, arrival, now, outbox);
    }
    expireFeeds(state, now, outbox);
    for (const PoolId<DelayedOutput> id : popDue(state.deadlines_, now)) {
        if (DelayedOutput *delayedOutput = findRow(state.delayed_, id); delayedOutput != nullptr) {
            outbox.outputs_.push_back(std::move(delayedOutput->output_));
            eraseRow(state.delayed_, id);
        }
    }
    return outbox;
}

TimePoint nextPlatformDeadline(const PlatformState &state)
{
    TimePoint next = nextDeadline(state.deadlines_);
    forEachRow(state.feeds_,
        [&next](PoolId<PendingFeed> /*id*/, const PendingFeed &feed) { next = std::min(next, feed.expiresAt_); });
    return next;
}

} // namespace Burdockfield::Standin
