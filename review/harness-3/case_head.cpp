/**
 * @file case_head.cpp
 * @brief A route that is gone: the refusal of a HEAD request has a body, which the client takes for its next answer.
 */
#include "cases.h"

namespace Review {

namespace {

constexpr uint64_t bornMs = 1790000000000;

/// @return the head of an answer that has no body, as that to a HEAD request; empty if it doesn't come.
std::string readHead(Connection &client)
{
    return takeUntil(client, "\r\n\r\n", Milliseconds(7000)).value_or(std::string());
}

/// Sends two requests on one connection, the second once the first has been answered.
Outcome judge(Record &record, Connection &client)
{
    sendRequest(record, client, { "HEAD", "/read/2f", "9c41d07be2a35f68", {} });
    const std::string first = readHead(client);
    note(record, "client: gets " + shown(first));
    std::this_thread::sleep_for(Milliseconds(100));
    sendRequest(record, client, { "GET", "/list/2f", "9c41d07be2a35f69", {} });
    const std::string second = readHead(client);
    note(record, "client: gets " + shown(second));
    if (first.empty() || second.empty()) {
        return Outcome::NotRun;
    }
    if (!second.starts_with("HTTP/1.1 ")) {
        note(record, "BROKEN: bytes that are no answer stand where the answer to the second request is due");
        return Outcome::Broken;
    }
    return Outcome::Held;
}

} // namespace

Outcome runHeadCase(Record &record)
{
    Deployment deployment;
    const std::shared_ptr<Runner> runner = makeRunner(record, "i-7f3a91c2");
    if (!startPlatform(deployment) || !startRunner(runner)) {
        return Outcome::NotRun;
    }
    registerRunner(deployment, runner->spec_, "ready", bornMs);
    if (!startGateway(deployment)) {
        return Outcome::NotRun;
    }
    Connection client = connectTo(deployment.spec_.front_);
    if (!isCalm()) {
        writeConfiguration(deployment, 9, false);
        note(record, "operator: the store acknowledges version 9, without the route /read/");
        std::this_thread::sleep_for(Milliseconds(3500)); // contactMs, and more than a change may take
    }
    return judge(record, client);
}

} // namespace Review
