/**
 * @file store.cpp
 * @brief Stand-in for the platform's metadata store: rows, transactions and feeds.
 */
#include "store.h"

#include "http_text.h"

#include <array>
#include <boost/json.hpp>
#include <cstdlib>

namespace Review {

namespace {

namespace Json = boost::json;

constexpr std::chrono::hours forever{ 1 };
constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned digitBits = 6;
constexpr unsigned byteBits = 8;
constexpr size_t groupDigits = 4;

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    unsigned pending = 0;
    unsigned bits = 0;
    for (const unsigned char byte : bytes) {
        pending = (pending << byteBits) | byte;
        for (bits += byteBits; bits >= digitBits; bits -= digitBits) {
            text += digits[(pending >> (bits - digitBits)) % digits.size()];
        }
    }
    if (bits > 0) {
        text += digits[(pending << (digitBits - bits)) % digits.size()];
    }
    while (text.size() % groupDigits != 0) {
        text += '=';
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    unsigned pending = 0;
    unsigned bits = 0;
    for (const char digit : text.substr(0, text.find('='))) {
        pending = (pending << digitBits) | static_cast<unsigned>(digits.find(digit));
        bits += digitBits;
        if (bits >= byteBits) {
            bits -= byteBits;
            bytes += static_cast<char>(pending >> bits);
        }
    }
    return bytes;
}

std::string textOf(const Json::object &object, std::string_view name)
{
    const Json::value *value = object.if_contains(name);
    return value == nullptr || !value->is_string() ? std::string() : std::string(value->as_string());
}

RowKey keyOf(const Json::object &object)
{
    return { textOf(object, "table"), textOf(object, "key") };
}

Json::object describeRow(const RowKey &key, const Row &row)
{
    Json::object object{ { "table", key.first }, { "part", "" }, { "key", key.second }, { "ver", row.version_ } };
    if (row.removed_) {
        object["deleted"] = true;
    } else {
        object["value"] = encodeBase64(row.value_);
    }
    return object;
}

std::string describeRows(const Store &store, Json::array rows)
{
    return Json::serialize(
        Json::object{ { "rows", std::move(rows) }, { "hasMore", false }, { "ver", store.version_ }, { "nowMs", 0 } });
}

/// Status and body of an answer.
struct StoreAnswer
{
    int status_ = 200;
    std::string body_;
};

StoreAnswer answerGet(Store &store, const std::string &target)
{
    const std::lock_guard lock(store.mutex_);
    const std::string from = parameterOf(target, "from");
    const std::string to = parameterOf(target, "to");
    Json::array rows;
    for (const auto &[key, row] : store.rows_) {
        const bool inRange = key.second >= from && (to.empty() || key.second < to);
        if (key.first == parameterOf(target, "table") && inRange && !row.removed_) {
            rows.push_back(describeRow(key, row));
        }
    }
    return { 200, describeRows(store, std::move(rows)) };
}

Json::array changesAfter(const Store &store, const std::string &table, uint64_t version)
{
    std::map<uint64_t, Json::object> changes;
    for (const auto &[key, row] : store.rows_) {
        if (key.first == table && row.version_ > version) {
            changes[row.version_] = describeRow(key, row);
        }
    }
    Json::array rows;
    for (auto &[at, row] : changes) {
        rows.push_back(std::move(row));
    }
    return rows;
}

StoreAnswer answerFeed(Store &store, const std::string &target)
{
    const std::string table = parameterOf(target, "table");
    const uint64_t after = std::strtoull(parameterOf(target, "after").c_str(), nullptr, 10);
    const Milliseconds wait(std::strtol(parameterOf(target, "waitMs").c_str(), nullptr, 10));
    std::unique_lock lock(store.mutex_);
    if (after > store.version_) {
        return { 410, "{}" };
    }
    store.changed_.wait_for(lock, wait, [&] { return store.away_ || !changesAfter(store, table, after).empty(); });
    return { 200, describeRows(store, changesAfter(store, table, after)) };
}

void change(Store &store, const RowKey &key, std::string value, bool remove)
{
    store.rows_[key] = { std::move(value), store.version_, remove };
}

Json::array findConflicts(const Store &store, const Json::object &transaction)
{
    Json::array conflicts;
    const Json::value *expected = transaction.if_contains("expect");
    for (const Json::value &item : expected == nullptr ? Json::array() : expected->as_array()) {
        const RowKey key = keyOf(item.as_object());
        const auto found = store.rows_.find(key);
        const bool exists = found != store.rows_.end() && !found->second.removed_;
        const uint64_t version = exists ? found->second.version_ : 0;
        if (version != item.as_object().at("ver").to_number<uint64_t>()) {
            conflicts.push_back(describeRow(key, exists ? found->second : Row{ {}, 0, true }));
        }
    }
    return conflicts;
}

StoreAnswer answerTransaction(Store &store, const std::string &body)
{
    const Json::object transaction = Json::parse(body).as_object();
    const std::lock_guard lock(store.mutex_);
    if (Json::array conflicts = findConflicts(store, transaction); !conflicts.empty()) {
        return { 412, describeRows(store, std::move(conflicts)) };
    }
    ++store.version_;
    for (const bool remove : { false, true }) {
        const Json::value *rows = transaction.if_contains(remove ? "remove" : "puts");
        for (const Json::value &item : rows == nullptr ? Json::array() : rows->as_array()) {
            const Json::object &row = item.as_object();
            change(store, keyOf(row), decodeBase64(textOf(row, "value")), remove);
        }
    }
    store.changed_.notify_all();
    return { 200, Json::serialize(Json::object{ { "ver", store.version_ }, { "nowMs", 0 } }) };
}

StoreAnswer answer(Store &store, const Message &request)
{
    const std::string target = wordOf(request, 1);
    if (target.starts_with("/burdockfield/rows-get?")) {
        return answerGet(store, target);
    }
    if (target.starts_with("/burdockfield/rows-feed?")) {
        return answerFeed(store, target);
    }
    if (target == "/burdockfield/rows-tx") {
        return answerTransaction(store, request.body_);
    }
    return { 404, "{}" };
}

/// @return the era in which the store answers; 0 while it is away.
uint64_t eraOf(Store &store)
{
    const std::lock_guard lock(store.mutex_);
    return store.away_ ? 0 : store.era_;
}

void serve(const std::shared_ptr<Store> &store, Connection connection)
{
    const uint64_t era = eraOf(*store);
    while (const std::optional<Message> request = readMessage(connection, forever)) {
        const StoreAnswer reply = answer(*store, *request);
        if (era == 0 || eraOf(*store) != era) { // it is away, or has been meanwhile
            return;
        }
        sendAll(connection,
            "HTTP/1.1 " + std::to_string(reply.status_)
                + " Answer\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era)
                + "\r\nContent-Length: " + std::to_string(reply.body_.size()) + "\r\n\r\n" + reply.body_);
    }
}

void acceptAll(const std::shared_ptr<Store> &store)
{
    while (true) {
        std::thread(serve, store, acceptNext(store->listener_)).detach();
    }
}

void writeAlone(Store &store, const RowKey &key, const std::string &value, bool remove)
{
    const std::lock_guard lock(store.mutex_);
    ++store.version_;
    change(store, key, value, remove);
    store.changed_.notify_all();
}

} // namespace

bool startStore(const std::shared_ptr<Store> &store)
{
    store->listener_ = listenAt(store->address_);
    if (store->listener_.descriptor_ < 0) {
        return false;
    }
    std::thread(acceptAll, store).detach();
    return true;
}

void writeRow(Store &store, const RowKey &key, const std::string &value)
{
    writeAlone(store, key, value, false);
}

void removeRow(Store &store, const RowKey &key)
{
    writeAlone(store, key, {}, true);
}

StoreCopy copyOf(Store &store)
{
    const std::lock_guard lock(store.mutex_);
    return { store.version_, store.rows_ };
}

void goAway(Store &store)
{
    const std::lock_guard lock(store.mutex_);
    store.away_ = true;
    store.changed_.notify_all();
}

void comeBack(Store &store, const StoreCopy &copy)
{
    const std::lock_guard lock(store.mutex_);
    store.version_ = copy.version_;
    store.rows_ = copy.rows_;
    ++store.era_;
    store.away_ = false;
}

} // namespace Review
