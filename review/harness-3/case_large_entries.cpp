/**
 * @file case_large_entries.cpp
 * @brief Large entries from another writer: a gateway stops following the list, and sends to a leaving runner.
 */
#include "cases.h"

namespace Review {

namespace {

constexpr uint64_t bornMs = 1790000000000;
constexpr int entries = 120;
constexpr size_t entryBytes = 64000; ///< The store takes rows of up to 65,536 bytes.
constexpr Milliseconds entryInterval{ 25 }; ///< A tenth of the writes that the store takes.
constexpr Milliseconds contactTime{ 3000 };
constexpr Milliseconds drainTime{ 2500 };
constexpr Milliseconds watchTime{ 8000 }; ///< Time after the acknowledgement in which requests are sent.
constexpr Milliseconds requestInterval{ 100 };

void writeLargeEntries(Record &record, Store &store)
{
    note(record,
        "another writer: writes " + std::to_string(entries) + " entries of " + std::to_string(entryBytes)
            + " bytes that can't be read");
    for (int number = 0; number < entries; ++number) {
        writeRow(store, { "servers", "backup-" + std::to_string(number) }, std::string(entryBytes, '\x01'));
        std::this_thread::sleep_for(entryInterval);
    }
}

/// Sends requests one after the other for some time. @return how many were answered with success
size_t sendRequests(Record &record, Deployment &deployment, Milliseconds time, const std::string &prefix)
{
    const Clock::time_point end = Clock::now() + time;
    size_t served = 0;
    for (int number = 0; Clock::now() < end; ++number) {
        Connection client = connectTo(deployment.spec_.front_);
        sendRequest(record, client, { "POST", "/once/2f", prefix + std::to_string(number), "seats=2" });
        const std::optional<Message> answer = readMessage(client, Milliseconds(7000));
        served += answer && wordOf(*answer, 1) == "200" ? 1 : 0;
        std::this_thread::sleep_for(requestInterval);
    }
    return served;
}

Outcome judge(Record &record, Runner &leaving, Clock::time_point acknowledgedAt)
{
    size_t late = 0;
    for (const Run &run : runsOf(leaving)) {
        late += run.at_ > acknowledgedAt + drainTime ? 1 : 0;
    }
    note(record,
        std::to_string(late) + " requests reached the leaving runner later than " + std::to_string(drainTime.count())
            + " ms after the acknowledgement");
    return late > 0 ? Outcome::Broken : Outcome::Held;
}

} // namespace

Outcome runLargeEntriesCase(Record &record)
{
    Deployment deployment;
    const std::shared_ptr<Runner> leaving = makeRunner(record, "i-7f3a91c2");
    const std::shared_ptr<Runner> staying = makeRunner(record, "i-b707e2ef");
    if (!startPlatform(deployment) || !startRunner(leaving) || !startRunner(staying)) {
        return Outcome::NotRun;
    }
    registerRunner(deployment, leaving->spec_, "ready", bornMs);
    registerRunner(deployment, staying->spec_, "ready", bornMs);
    if (!startGateway(deployment)) {
        return Outcome::NotRun;
    }
    if (!isCalm()) {
        writeLargeEntries(record, *deployment.store_);
    }
    std::this_thread::sleep_for(contactTime);
    const size_t before = sendRequests(record, deployment, Milliseconds(1000), "c1d07be2a35f6");
    registerRunner(deployment, leaving->spec_, "draining", bornMs);
    const Clock::time_point acknowledgedAt = Clock::now();
    note(record, "store: acknowledges that " + leaving->spec_.id_ + " is draining");
    sendRequests(record, deployment, watchTime, "9c41d07be2a35");
    return before == 0 ? Outcome::NotRun : judge(record, *leaving, acknowledgedAt);
}

} // namespace Review
