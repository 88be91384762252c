/**
 * @file main.cpp
 * @brief Program of the cases: `cases NAME RECORD` runs one, `cases runner ...` is a runner that a case starts.
 */
#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace Review;

/// Runs until it is killed.
int runRunner(const std::vector<std::string> &words)
{
    Record record(words.at(3));
    const std::shared_ptr<Runner> runner = makeRunner(record, words.at(1));
    runner->spec_.address_.port_ = static_cast<uint16_t>(std::atoi(words.at(2).c_str()));
    runner->spec_.mortal_ = words.at(4) == "mortal";
    if (!startRunner(runner)) {
        return static_cast<int>(Outcome::NotRun);
    }
    while (true) {
        std::this_thread::sleep_for(std::chrono::hours(1));
    }
}

Outcome runCase(const std::string &name, Record &record, const std::string &program)
{
    if (name == "foreign-key") {
        return runForeignKeyCase(record);
    }
    if (name == "deadly-request") {
        return runDeadlyRequestCase(record, program);
    }
    if (name == "large-entries") {
        return runLargeEntriesCase(record);
    }
    if (name == "older-copy") {
        return runOlderCopyCase(record);
    }
    return name == "head" ? runHeadCase(record) : Outcome::NotRun;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() == 5 && words.front() == "runner") {
        return runRunner(words);
    }
    if (words.size() != 2) {
        std::cerr << "usage: cases NAME RECORD" << std::endl;
        return static_cast<int>(Outcome::NotRun);
    }
    Record record(words[1]);
    const Outcome outcome = runCase(words[0], record, argv[0]);
    note(record, "exit status " + std::to_string(static_cast<int>(outcome)));
    std::_Exit(static_cast<int>(outcome)); // threads of the stand-ins still use the record
}
