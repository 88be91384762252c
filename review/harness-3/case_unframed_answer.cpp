/**
 * @file case_unframed_answer.cpp
 * @brief A gateway that freezes while a runner crashes: half of an answer without a length counts as whole.
 */
#include "cases.h"

#include <csignal>

namespace Review {

namespace {

constexpr uint64_t bornMs = 1790000000000;
constexpr Milliseconds restartTime{ 2000 }; ///< Time for which the crashed runner is away.
constexpr Milliseconds freezeTime{ 3000 }; ///< Below the longest freeze of the small sites.
constexpr const char *requestId = "9c41d07be2a35f68";

Process startRunnerProcess(Deployment &deployment, const std::string &program, const RunnerSpec &spec, uint64_t born)
{
    Process process = startProgram({ program, "runner", spec.id_, std::to_string(spec.address_.port_),
                                       std::to_string(spec.work_.count()), deployment.spec_.folder_ + "/runner.txt" },
        deployment.spec_.folder_ + "/runner.log");
    std::this_thread::sleep_for(Milliseconds(300));
    registerRunner(deployment, spec, "ready", born);
    return process;
}

/// Freezes the gateway; meanwhile the runner crashes, and is back under its id and at its address.
void disrupt(
    Record &record, Deployment &deployment, const std::string &program, const RunnerSpec &spec, Process &runner)
{
    const Clock::time_point frozenAt = Clock::now();
    sendSignal(deployment.gateway_, SIGSTOP);
    note(record, "machine: the gateway freezes");
    std::this_thread::sleep_for(Milliseconds(200));
    endProcess(runner);
    note(record, "runner " + spec.id_ + ": crashes");
    std::this_thread::sleep_for(restartTime);
    runner = startRunnerProcess(deployment, program, spec, bornMs + 60000);
    note(record, "runner " + spec.id_ + ": is back");
    std::this_thread::sleep_until(frozenAt + freezeTime);
    sendSignal(deployment.gateway_, SIGCONT);
    note(record, "machine: the gateway wakes");
}

Outcome judge(Record &record, const std::optional<Message> &answer)
{
    if (!answer) {
        note(record, "client: gets no whole answer");
        return Outcome::Held;
    }
    note(record,
        "client: gets " + answer->startLine_ + ", Response-Signature '" + fieldOf(*answer, "response-signature")
            + "', body of " + std::to_string(answer->body_.size()) + " bytes");
    const bool whole = answer->body_ == answerBody(requestId);
    if (wordOf(*answer, 1).starts_with("2") && !whole) {
        note(record,
            "BROKEN: a success whose body is not the runner's whole body, which has "
                + std::to_string(answerBody(requestId).size()) + " bytes");
        return Outcome::Broken;
    }
    return Outcome::Held;
}

} // namespace

Outcome runUnframedAnswerCase(Record &record, const std::string &program)
{
    Deployment deployment;
    RunnerSpec spec;
    spec.address_ = findFreeAddress("127.0.0.1");
    spec.id_ = "i-7f3a91c2";
    spec.work_ = Milliseconds(1500);
    if (!startPlatform(deployment)) {
        return Outcome::NotRun;
    }
    Process runner = startRunnerProcess(deployment, program, spec, bornMs);
    if (!startGateway(deployment)) {
        return Outcome::NotRun;
    }
    Connection client = connectTo(deployment.spec_.front_);
    sendRequest(record, client, { "POST", "/once/2f", requestId, "seats=2" });
    std::this_thread::sleep_for(Milliseconds(500)); // the gateway has the first half
    if (!isCalm()) {
        disrupt(record, deployment, program, spec, runner);
    }
    return judge(record, readMessage(client, Milliseconds(6000)));
}

} // namespace Review
