/**
 * @file platform_wire.cpp
 * @brief HTTP and JSON of the platform's table service and VM list.
 */
#include "platform_wire.h"

#include "error_type.h"
#include "json_func.h"
#include "table/wire_names.h"

namespace Burdockfield {

namespace {

constexpr int okStatus = 200;
constexpr unsigned char firstPrintable = 0x21;
constexpr unsigned char lastPrintable = 0x7e;

/// Percent-encodes what may not stand in a query.
std::string encodeQuery(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        const bool plain = byte >= firstPrintable && byte <= lastPrintable && letter != '%' && letter != '&'
            && letter != '=' && letter != '#' && letter != '+' && letter != '?';
        if (plain) {
            encoded += letter;
        } else {
            encoded += '%';
            encoded += digits[byte / digits.size()];
            encoded += digits[byte % digits.size()];
        }
    }
    return encoded;
}

void readKey(JsonReader &reader, StoreKey &key)
{
    read(reader, "table", key.table_);
    read(reader, "key", key.key_);
}

Json::array checksToJson(const std::vector<StoreCheck> &checks)
{
    Json::array array;
    for (const StoreCheck &check : checks) {
        array.push_back(
            Json::object{ { "table", check.key_.table_ }, { "key", check.key_.key_ }, { "version", check.version_ } });
    }
    return array;
}

Json::array putsToJson(const std::vector<StorePut> &puts)
{
    Json::array array;
    for (const StorePut &put : puts) {
        array.push_back(Json::object{
            { "table", put.key_.table_ }, { "key", put.key_.key_ }, { "value", put.value_ }, { "erase", put.erase_ } });
    }
    return array;
}

void readChecks(JsonReader &reader, std::vector<StoreCheck> &checks)
{
    const Json::array *array = readArray(reader, "checks");
    if (array == nullptr) {
        return;
    }
    for (const Json::value &item : *array) {
        JsonReader row = readObject(item);
        StoreCheck check;
        readKey(row, check.key_);
        read(row, "version", check.version_);
        fail(reader, row.error_);
        checks.push_back(std::move(check));
    }
}

void readPuts(JsonReader &reader, std::vector<StorePut> &puts)
{
    const Json::array *array = readArray(reader, "puts");
    if (array == nullptr) {
        return;
    }
    for (const Json::value &item : *array) {
        JsonReader row = readObject(item);
        StorePut put;
        readKey(row, put.key_);
        read(row, "value", put.value_);
        read(row, "erase", put.erase_, Presence::Optional);
        fail(reader, row.error_);
        puts.push_back(std::move(put));
    }
}

/// @return the error of a call whose answer did not come or was not one of those expected.
std::error_code failureOf(std::error_code error, int status, bool write)
{
    const bool untouched = error == TransportErrc::NotSent || (!error && status == storeUnavailableStatus);
    return untouched || !write ? StoreErrc::Unavailable : StoreErrc::Ambiguous;
}

} // namespace

HttpRequest makeTransactionCall(const StoreTransaction &transaction)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = transactionsPath;
    request.body_ = serializeTransaction(transaction);
    return request;
}

HttpRequest makeRowCall(const StoreKey &key)
{
    HttpRequest request;
    request.target_ = std::string(rowPath) + "?table=" + encodeQuery(key.table_) + "&key=" + encodeQuery(key.key_);
    return request;
}

StoreResult judgeStoreReply(std::error_code error, const HttpReply &reply, bool write)
{
    StoreResult result;
    const bool conflict = !error && reply.status_ == storeConflictStatus;
    const bool answered = conflict || (!error && reply.status_ == okStatus);
    if (!answered || parseRows(reply.body_, result.rows_)) {
        result.error_ = failureOf(error, reply.status_, write);
        result.rows_.clear();
    } else if (conflict) {
        result.error_ = StoreErrc::Conflict;
    }
    return result;
}

std::string serializeTransaction(const StoreTransaction &transaction)
{
    return Json::serialize(
        Json::object{ { "checks", checksToJson(transaction.checks_) }, { "puts", putsToJson(transaction.puts_) } });
}

std::error_code parseTransaction(std::string_view text, StoreTransaction &transaction)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    readChecks(reader, transaction.checks_);
    readPuts(reader, transaction.puts_);
    return reader.error_;
}

std::string serializeRows(const std::vector<StoreRow> &rows)
{
    Json::array array;
    for (const StoreRow &row : rows) {
        array.push_back(Json::object{ { "table", row.key_.table_ }, { "key", row.key_.key_ }, { "value", row.value_ },
            { "version", row.version_ } });
    }
    return Json::serialize(Json::object{ { "rows", std::move(array) } });
}

std::error_code parseRows(std::string_view text, std::vector<StoreRow> &rows)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    const Json::array *array = readArray(reader, "rows");
    if (array == nullptr) {
        return reader.error_;
    }
    for (const Json::value &item : *array) {
        JsonReader member = readObject(item);
        StoreRow row;
        readKey(member, row.key_);
        read(member, "value", row.value_);
        read(member, "version", row.version_);
        fail(reader, member.error_);
        rows.push_back(std::move(row));
    }
    return reader.error_;
}

std::string serializeVms(const std::vector<Vm> &vms)
{
    Json::array array;
    for (const Vm &vm : vms) {
        array.push_back(Json::object{ { "name", vm.name_ }, { "role", nameOf(vm.role_, vmRoleNames) },
            { "address", vm.address_ }, { "region", vm.region_ }, { "zone", vm.zone_ },
            { "routes", Json::array(vm.routes_.begin(), vm.routes_.end()) }, { "leaving", vm.leaving_ } });
    }
    return Json::serialize(Json::object{ { "vms", std::move(array) } });
}

std::error_code parseVms(std::string_view text, std::vector<Vm> &vms)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    const Json::array *array = readArray(reader, "vms");
    if (array == nullptr) {
        return reader.error_;
    }
    for (const Json::value &item : *array) {
        JsonReader row = readObject(item);
        Vm vm;
        read(row, "name", vm.name_);
        readName(row, "role", vm.role_, vmRoleNames);
        read(row, "address", vm.address_);
        read(row, "region", vm.region_);
        read(row, "zone", vm.zone_);
        read(row, "routes", vm.routes_, Presence::Optional);
        read(row, "leaving", vm.leaving_, Presence::Optional);
        fail(reader, row.error_);
        vms.push_back(std::move(vm));
    }
    return reader.error_;
}

} // namespace Burdockfield
