/**
 * @file daemon.cpp
 * @brief Parts of the daemons' I/O that all roles share.
 */
#include "daemon_func.h"

#include "caller_wire.h"
#include "error_type.h"
#include "http_func.h"
#include "log_func.h"
#include "run_wire.h"
#include "store_client.h"
#include "vm_wire.h"

#include <malloc.h>
#include <random>

namespace Burdockfield {

namespace {

/// Retry-After of a request that found no memory: uploads that hold memory without progress are ended within a second.
constexpr Milliseconds overloadedRetryAfter{ 1000 };
/// Blocks from this size on are mapped one by one. Set explicitly, since glibc raises its own threshold up to 32 MiB
/// when large blocks are freed and keeps such blocks afterwards.
constexpr int mappedBlockBytes = 128 << 10;
constexpr Milliseconds vmListTimeout{ 2000 }; ///< Longest time to read a page of the VM list.

} // namespace

void configureAllocator()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
}

uint64_t chooseSeed(const Settings &settings)
{
    if (settings.seed_) {
        return *settings.seed_;
    }
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32U) | device();
}

void fetchVms(HttpClient &client, const std::string &platform, std::function<void(VmsListed)> done)
{
    const auto handleRead = [done = std::move(done)](std::error_code error, const Platform::TableRead &read) {
        VmsListed list{ error, {}, read.bytes_ };
        for (const Platform::TableRow &row : read.rows_) {
            Vm vm;
            if (const std::error_code bad = parseVm(row.value_, vm); bad) {
                logLine(LogLevel::Warning, "bad-row", { { "key", row.key_ }, { "error", bad.message() } });
                continue;
            }
            list.vms_.push_back(std::move(vm));
        }
        done(std::move(list));
    };
    Platform::readTable(client, platform, std::string(vmTable), vmListTimeout, handleRead);
}

std::optional<StatusRequested> parseStatusRequest(const HttpRequest &request)
{
    if (request.method_ != "GET") {
        return std::nullopt;
    }
    HttpTarget target = splitTarget(request.target_);
    StatusRequested event;
    if (target.path_ == "/readyz") {
        event.kind_ = StatusKind::Ready;
    } else if (target.path_ == "/metrics") {
        event.kind_ = StatusKind::Metrics;
    } else if (target.path_ == "/v1/status") {
        event.kind_ = StatusKind::Status;
    } else if (target.path_ == configurationPath) {
        event.kind_ = StatusKind::Configuration;
    } else if (target.path_ == changesPath) {
        event.kind_ = StatusKind::Changes;
        event.afterRevision_ = parseNumberOr(target.query_["after"], 0);
    } else {
        return std::nullopt;
    }
    return event;
}

HttpReply makeBadRequestReply(std::error_code error)
{
    const bool isWireError = error.category() == make_error_code(WireErrc::MalformedJson).category();
    Refusal refusal;
    refusal.error_ = error;
    refusal.retryAfter_ = error == RefusalErrc::Overloaded ? overloadedRetryAfter : Milliseconds(0);
    if (isWireError) {
        const bool isUnknownPath = error == WireErrc::UnknownPath;
        refusal.error_ = isUnknownPath ? RefusalErrc::UnknownRoute : RefusalErrc::BadRequest;
    }
    HttpReply reply = serializeRefusal(refusal, {});
    if (isWireError) {
        reply.headers_.emplace_back("X-Error-Detail", error.message());
    }
    return reply;
}

HttpReply makeJsonReply(std::string body)
{
    HttpReply reply;
    reply.headers_.emplace_back("Content-Type", "application/json");
    reply.body_ = std::move(body);
    return reply;
}

HttpReply makeTextReply(int status, std::string text)
{
    HttpReply reply;
    reply.status_ = status;
    reply.headers_.emplace_back("Content-Type", "text/plain");
    reply.body_ = std::move(text);
    return reply;
}

} // namespace Burdockfield
