/**
 * @file case_foreign_key.cpp
 * @brief An entry from another writer: a request is run with another body, and without its tenant.
 */
#include "cases.h"

namespace Review {

namespace {

constexpr int requests = 5;
constexpr uint64_t bornMs = 1790000000000;

/// @return an entry as another writer may leave it: its key ends with a line break, and fields are missing.
std::string foreignEntry(const RunnerSpec &spec)
{
    return R"({"service":"wuno96b","address":")" + textOf(spec.address_)
        + R"(","zone":"norte-a","slots":6,"state":"ready"})";
}

Outcome judge(Record &record, const std::vector<Run> &runs)
{
    Outcome outcome = Outcome::Held;
    for (const Run &run : runs) {
        if (run.body_ != "seats=2&id=" + run.id_ || run.tenant_ != "hule930") {
            note(record,
                "BROKEN: " + run.id_ + " was run with the body '" + shown(run.body_) + "' and the tenant '"
                    + run.tenant_ + "'");
            outcome = Outcome::Broken;
        }
    }
    return runs.empty() ? Outcome::NotRun : outcome;
}

} // namespace

Outcome runForeignKeyCase(Record &record)
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
    if (!isCalm()) {
        const std::string key = runner->spec_.id_ + "\r\n";
        note(record, "another writer: writes servers/" + shown(key) + " " + foreignEntry(runner->spec_));
        writeRow(*deployment.store_, { "servers", key }, foreignEntry(runner->spec_));
        std::this_thread::sleep_for(Milliseconds(3500)); // contactMs, and more than a change may take
    }
    for (int number = 0; number < requests; ++number) {
        const std::string id = "c1d07be2a35f6" + std::to_string(number);
        Connection client = connectTo(deployment.spec_.front_);
        sendRequest(record, client, { "POST", "/once/2f", id, "seats=2&id=" + id });
        const std::optional<Message> answer = readMessage(client, Milliseconds(7000));
        note(record, "client: gets " + (answer ? answer->startLine_ : "no whole answer"));
    }
    return judge(record, runsOf(*runner));
}

} // namespace Review
