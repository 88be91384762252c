/**
 * @file crash_bench.cpp
 * @brief Measures the evidence that gateways keep of crashes, and its messages.
 */
#include "crash_evidence_func.h"
#include "digest_func.h"
#include "gateway_peer_wire.h"

#include <benchmark/benchmark.h>

namespace {

using namespace Burdockfield;

const TimePoint start{ std::chrono::hours(1) };
constexpr uint64_t traitsOfCrash = 48; ///< As many as a gateway reports of a crash.

/// @return evidence of as many crashes as are kept, with the traits of each; some of the traits are at many crashes.
CrashEvidence makeCrashEvidence()
{
    constexpr uint64_t crashes = 128;
    CrashEvidence evidence;
    for (uint64_t crash = 0; crash < crashes; ++crash) {
        CrashReport report{ { "i-0123456789", crash }, start + std::chrono::seconds(crash), {} };
        for (uint64_t trait = 0; trait < traitsOfCrash; ++trait) {
            report.traits_[trait < 4 ? trait : crash * traitsOfCrash + trait] = wholeRequestDepth;
        }
        recordCrash(evidence, report);
    }
    return evidence;
}

/// Reviews the suspects of as many crashes as are kept, as a gateway does after each crash.
void crashReview(benchmark::State &bench)
{
    const CrashEvidence evidence = makeCrashEvidence();
    const TimePoint end = start + std::chrono::seconds(200);
    for (const auto iteration : bench) {
        bench.PauseTiming();
        CrashEvidence copy = evidence;
        bench.ResumeTiming();
        benchmark::DoNotOptimize(reviewSuspects(copy, end));
    }
}

/// Records the answers of requests with three traits each, ten seconds of them at a rate, as a gateway does all the
/// time.
void recordAnswers(benchmark::State &bench)
{
    CrashEvidence evidence = makeCrashEvidence();
    const auto perSecond = static_cast<uint64_t>(bench.range(0));
    uint64_t request = 0;
    for (const auto iteration : bench) {
        const TimePoint now = start + std::chrono::milliseconds(++request * 1000 / perSecond);
        for (const Trait trait : { Trait(request << 32U), Trait(1000 + request % 12), Trait(2000 + request % 200) }) {
            recordAnswer(evidence, trait, now, now);
        }
        expireCrashEvidence(evidence, now);
    }
    bench.counters["traits_kept"] = static_cast<double>(evidence.answeredAt_.size());
}

/// Encodes and decodes a full update with the report of a crash.
void crashUpdateCodec(benchmark::State &bench)
{
    Gateway::PeerUpdate update;
    update.crashes_.push_back({ { "i-0123456789", 1764000000000 }, Milliseconds(300), {} });
    for (uint64_t trait = 0; trait < traitsOfCrash; ++trait) {
        update.crashes_[0].traits_[fastHash(std::to_string(trait))] = wholeRequestDepth;
    }
    size_t bytes = 0;
    for (const auto iteration : bench) {
        const std::string text = Gateway::serializePeerUpdate(update);
        Gateway::PeerUpdate parsed;
        benchmark::DoNotOptimize(Gateway::parsePeerUpdate(text, parsed));
        bytes = text.size();
    }
    bench.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(crashReview)->Unit(benchmark::kMicrosecond);
BENCHMARK(recordAnswers)->Arg(10)->Arg(100)->Arg(3400)->Unit(benchmark::kMicrosecond);
BENCHMARK(crashUpdateCodec)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
