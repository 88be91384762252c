/**
 * @file store.cpp
 * @brief Stand-in for the platform's metadata store: rows, transactions without conditions, and feeds.
 */
#include "store.h"

#include "record.h"

#include <boost/json.hpp>
#include <cstdlib>

namespace Review {

namespace {

namespace Json = boost::json;

std::string encodeBase64(const std::string &bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    uint32_t bits = 0;
    int count = 0;
    for (const unsigned char byte : bytes) {
        bits = (bits << 8U) | byte;
        for (count += 8; count >= 6; count -= 6) {
            text += letters[(bits >> static_cast<uint32_t>(count - 6)) & 63U];
        }
    }
    if (count > 0) {
        text += letters[(bits << static_cast<uint32_t>(6 - count)) & 63U];
    }
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

Json::object toJson(const StoreRow &row)
{
    Json::object object{ { "table", row.table_ }, { "part", "" }, { "key", row.key_ }, { "ver", row.version_ } };
    if (row.removed_) {
        object["deleted"] = true;
    } else {
        object["value"] = row.value_;
    }
    return object;
}

/// Applies one change; the caller holds the lock and has drawn the version.
void apply(Store &store, StoreRow row)
{
    row.version_ = store.version_;
    const std::pair key(row.table_, row.key_);
    if (row.removed_) {
        store.rows_.erase(key);
    } else {
        store.rows_[key] = row;
    }
    store.history_.push_back(std::move(row));
}

/// @return the value of a parameter of a query, or an empty text.
std::string parameterOf(const std::string &target, const std::string &name)
{
    const size_t at = target.find_first_of("?&");
    for (size_t from = at; from != std::string::npos;) {
        const size_t end = target.find('&', from + 1);
        const std::string item = target.substr(from + 1, end == std::string::npos ? end : end - from - 1);
        if (item.starts_with(name + "=")) {
            return item.substr(name.size() + 1);
        }
        from = end;
    }
    return {};
}

Json::object makeReply(const Store &store, Json::array rows)
{
    return { { "rows", std::move(rows) }, { "hasMore", false }, { "ver", store.version_ }, { "nowMs", nowMs() } };
}

Json::object readRows(Store &store, const std::string &target)
{
    const std::scoped_lock lock(store.mutex_);
    Json::array rows;
    for (const auto &[key, row] : store.rows_) {
        if (key.first == parameterOf(target, "table") && key.second >= parameterOf(target, "from")) {
            rows.push_back(toJson(row));
        }
    }
    return makeReply(store, std::move(rows));
}

Json::object waitForChanges(Store &store, const std::string &target)
{
    const std::string table = parameterOf(target, "table");
    const uint64_t after = std::strtoull(parameterOf(target, "after").c_str(), nullptr, 10);
    const Milliseconds wait(std::atoi(parameterOf(target, "waitMs").c_str()));
    std::unique_lock lock(store.mutex_);
    Json::array rows;
    store.changed_.wait_for(lock, wait, [&] {
        for (const StoreRow &row : store.history_) {
            if (row.table_ == table && row.version_ > after) {
                rows.push_back(toJson(row));
            }
        }
        return !rows.empty();
    });
    return makeReply(store, std::move(rows));
}

Json::object runTransaction(Store &store, const std::string &body)
{
    const Json::value document = Json::parse(body);
    const std::scoped_lock lock(store.mutex_);
    ++store.version_;
    for (const Json::value &put : document.at("puts").as_array()) {
        apply(store,
            { std::string(put.at("table").as_string()), std::string(put.at("key").as_string()),
                std::string(put.at("value").as_string()), 0, false });
    }
    store.changed_.notify_all();
    return { { "ver", store.version_ }, { "nowMs", nowMs() } };
}

void serveStore(Store &store, Stream &stream)
{
    while (true) {
        const Message request = receiveMessage(stream, BodyEnd::Framed);
        if (!request.complete_) {
            return;
        }
        const std::string &target = request.startLine_;
        Json::object reply;
        if (target.find("/rows-tx") != std::string::npos) {
            reply = runTransaction(store, request.body_);
        } else {
            const std::string path = target.substr(0, target.rfind(' '));
            reply = path.find("/rows-feed") != std::string::npos ? waitForChanges(store, path) : readRows(store, path);
        }
        if (!sendAll(stream.socket_, makeResponse(200, "Content-Type: application/json\r\n", Json::serialize(reply)))) {
            return;
        }
    }
}

} // namespace

void startStore(Store &store)
{
    Socket listener = listenAt(store.endpoint_);
    serveConnections(std::move(listener), [&store](Stream &stream) { serveStore(store, stream); });
}

void writeRow(Store &store, const std::string &table, const std::string &key, const std::string &value, bool remove)
{
    const std::scoped_lock lock(store.mutex_);
    ++store.version_;
    apply(store, { table, key, encodeBase64(value), 0, remove });
    store.changed_.notify_all();
}

} // namespace Review
