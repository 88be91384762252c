/**
 * @file case_older_copy.cpp
 * @brief The store comes back from an older copy: requests are sent to a runner that has left before.
 */
#include "cases.h"

#include <atomic>

namespace Review {

namespace {

constexpr uint64_t bornMs = 1790000000000;
constexpr Milliseconds contactTime{ 3000 };
constexpr Milliseconds drainTime{ 2500 };
constexpr Milliseconds expiryTime{ 3600 }; ///< Three heartbeats of silence, after which an entry is removed.
constexpr Milliseconds awayTime{ 800 }; ///< Time for which the store is away.
constexpr Milliseconds requestInterval{ 30 };

/// Sends requests until it is told to stop. @return how many were answered with success
size_t sendRequests(Record &record, Deployment &deployment, const std::atomic<bool> &stopped)
{
    size_t served = 0;
    for (int number = 1000; !stopped; ++number) {
        Connection client = connectTo(deployment.spec_.front_);
        sendRequest(record, client, { "POST", "/once/2f", "c1d07be2a35f" + std::to_string(number), "seats=2" });
        const std::optional<Message> answer = readMessage(client, Milliseconds(7000));
        served += answer && wordOf(*answer, 1) == "200" ? 1 : 0;
        std::this_thread::sleep_for(requestInterval);
    }
    return served;
}

/// The store is away for a moment and comes back from the copy; what was written since is written again, but for the
/// entry of the runner that has left, which lapses. @return when the store was back
Clock::time_point restoreCopy(
    Record &record, Deployment &deployment, const StoreCopy &copy, const Runner &leaving, const Runner &staying)
{
    goAway(*deployment.store_);
    note(record, "store: is away");
    std::this_thread::sleep_for(awayTime);
    comeBack(*deployment.store_, copy);
    const Clock::time_point back = Clock::now();
    note(record, "store: is back, from a copy some seconds old, in which " + leaving.spec_.id_ + " is ready");
    std::this_thread::sleep_until(back + Milliseconds(500));
    writeConfiguration(deployment, 7, true);
    registerRunner(deployment, staying.spec_, "ready", bornMs);
    note(record, "operator and " + staying.spec_.id_ + ": write their rows again");
    std::this_thread::sleep_until(back + expiryTime);
    removeRow(*deployment.store_, { "servers", leaving.spec_.id_ });
    note(record, "store: the entry of " + leaving.spec_.id_ + " has lapsed");
    return back;
}

Outcome judge(Record &record, Runner &leaving, Clock::time_point acknowledgedAt, Clock::time_point stableAt)
{
    size_t late = 0;
    size_t lateInTouch = 0;
    for (const Run &run : runsOf(leaving)) {
        const bool isLate = run.at_ > acknowledgedAt + drainTime;
        late += isLate ? 1 : 0;
        lateInTouch += isLate && run.at_ > stableAt + contactTime ? 1 : 0;
    }
    note(record,
        std::to_string(late) + " requests reached " + leaving.spec_.id_ + " later than "
            + std::to_string(drainTime.count()) + " ms after the acknowledgement that it is gone, "
            + std::to_string(lateInTouch) + " of them later than contactMs after the store's return");
    return lateInTouch > 0 ? Outcome::Broken : Outcome::Held;
}

} // namespace

Outcome runOlderCopyCase(Record &record)
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
    std::this_thread::sleep_for(contactTime);
    std::atomic<bool> stopped = false;
    size_t served = 0;
    std::thread client([&] { served = sendRequests(record, deployment, stopped); });
    const StoreCopy copy = copyOf(*deployment.store_);
    std::this_thread::sleep_for(Milliseconds(500));
    removeRow(*deployment.store_, { "servers", leaving->spec_.id_ });
    const Clock::time_point acknowledgedAt = Clock::now();
    note(record, "store: acknowledges that the entry of " + leaving->spec_.id_ + " is removed; it serves on");
    std::this_thread::sleep_for(drainTime + Milliseconds(500));
    Clock::time_point stableAt = acknowledgedAt;
    if (isCalm()) {
        std::this_thread::sleep_for(awayTime + expiryTime);
    } else {
        stableAt = restoreCopy(record, deployment, copy, *leaving, *staying);
    }
    std::this_thread::sleep_for(Milliseconds(500));
    stopped = true;
    client.join();
    return served == 0 ? Outcome::NotRun : judge(record, *leaving, acknowledgedAt, stableAt);
}

} // namespace Review
