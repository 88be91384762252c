/**
 * @file deployment.cpp
 * @brief Smallest deployment of a case: the store, one gateway and the operator's configuration.
 */
#include "deployment.h"

#include <cstdlib>
#include <filesystem>
#include <string_view>

namespace Review {

namespace {

constexpr const char *key = "i9n73hh2b9wu3fexd9dn";
constexpr int deadlineMs = 6000; ///< Within the deadlines of the sheets.

std::string routeText(const std::string &name, const std::string &kind)
{
    return R"({"name":"r-)" + name + R"(","host":"ficu95.example","pathPrefix":"/)" + name + R"(/","kind":")" + kind
        + R"(","timeoutMs":6000,"targetLatencyMs":300,"priority":2,"service":"wuno96b","attempts":2,)"
          R"("allowAnonymous":false,"sessionAffinity":false,"resumable":false})";
}

std::string configurationText(uint64_t version, bool withReading)
{
    const std::string reading = withReading ? "," + routeText("read", "idempotent") : std::string();
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routeText("once", "non_idempotent") + ","
        + routeText("list", "idempotent") + reading
        + R"(],"services":[{"name":"wuno96b","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
          R"("tenants":[{"name":"hule930","apiKeys":[")"
        + key + R"("],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":260720,"burst":260720}]})";
}

} // namespace

Deployment::~Deployment()
{
    endProcess(gateway_);
    if (!spec_.folder_.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(spec_.folder_, ignored);
    }
}

bool isCalm()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string_view(trouble) == "0";
}

bool startPlatform(Deployment &deployment)
{
    deployment.spec_.folder_ = makeFolder();
    if (deployment.spec_.folder_.empty() || !startStore(deployment.store_)) {
        return false;
    }
    deployment.spec_.store_ = textOf(deployment.store_->address_);
    writeConfiguration(deployment, 7, true);
    return true;
}

void writeConfiguration(Deployment &deployment, uint64_t version, bool withReading)
{
    writeRow(*deployment.store_, { "op", "config" }, configurationText(version, withReading));
}

void registerRunner(Deployment &deployment, const RunnerSpec &spec, const std::string &state, uint64_t bornMs)
{
    writeRow(*deployment.store_, { "servers", spec.id_ }, entryOf(spec, state, bornMs));
}

std::shared_ptr<Runner> makeRunner(Record &record, const std::string &id)
{
    auto runner = std::make_shared<Runner>();
    runner->spec_.id_ = id;
    runner->record_ = &record;
    return runner;
}

bool startGateway(Deployment &deployment)
{
    deployment.gateway_ = startGateway(deployment.spec_);
    std::this_thread::sleep_for(Milliseconds(1000)); // until it is in touch with everything
    return deployment.gateway_.id_ > 0;
}

void sendRequest(Record &record, const Connection &connection, const ClientRequest &request)
{
    const std::string length
        = request.body_.empty() ? std::string() : "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    note(record,
        "client: sends " + request.method_ + " " + request.path_ + ", Request-Id '" + request.id_ + "', body '"
            + shown(request.body_) + "'");
    sendAll(connection,
        request.method_ + " " + request.path_ + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + request.id_
            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n" + length
            + "\r\n" + request.body_);
}

} // namespace Review
