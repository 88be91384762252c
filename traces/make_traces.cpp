/**
 * @file make_traces.cpp
 * @brief Program burdockfield-make-traces: generates the trace files from a fixed seed.
 */
#include "trace_wire.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <fstream>
#include <random>

namespace {

using namespace Burdockfield;

constexpr uint64_t traceSeed = 20261204;

/// Poisson stream of similar requests in a trace.
struct RequestStream
{
    std::string workspace_; ///< Workspace that sends the requests.
    std::string tier_;
    std::string group_; ///< Label by which a replay groups its results.
    std::string route_ = "itinerary"; ///< Name of the model or service.
    RouteKind kind_ = RouteKind::Model; ///< Whether route_ names a model or a service.
    double requestsPerSecond_ = 1; ///< Mean rate.
    Milliseconds from_{ 0 }; ///< Start of the stream.
    Milliseconds until_{ 0 }; ///< End of the stream.
    double medianPrompt_ = 200; ///< Median prompt length in tokens.
    double medianAnswer_ = 40; ///< Median answer length in tokens.
    Milliseconds wait_{ 10000 }; ///< Agreed wait of every request.
    uint32_t prefixId_ = 0; ///< Id of the shared prompt prefix; 0 for none.
    double keyedShare_ = 0; ///< Share of requests with an idempotency key.
    double unstreamedShare_ = 0.2; ///< Share of requests whose answer is not streamed.
    ExpectedOutcome expectedOutcome_ = ExpectedOutcome::AnsweredOrRefused; ///< Of every request.
};

constexpr uint32_t sharedPrefixTokens = 512;
constexpr double lengthSigma = 0.9; ///< Of the log-normal lengths; the 99th percentile is about 100 times the 1st.
constexpr double maxPromptTokens = 4000;
constexpr double maxAnswerTokens = 600;

uint32_t drawLength(std::mt19937_64 &random, double median, double maxLength)
{
    std::lognormal_distribution<double> lengths(std::log(median), lengthSigma);
    return static_cast<uint32_t>(std::clamp(lengths(random), 4.0, maxLength));
}

TraceRecord drawRecord(std::mt19937_64 &random, const RequestStream &stream, double atSeconds)
{
    std::uniform_real_distribution<double> share(0, 1);
    TraceRecord record;
    record.arrival_ = Milliseconds(static_cast<int64_t>(atSeconds * 1000));
    record.workspace_ = stream.workspace_;
    record.token_ = "token-" + stream.workspace_;
    record.tier_ = stream.tier_;
    record.region_ = "norte-a";
    record.kind_ = stream.kind_;
    record.route_ = stream.route_;
    record.answerTokens_ = drawLength(random, stream.medianAnswer_, maxAnswerTokens);
    record.promptTokens_ = drawLength(random, stream.medianPrompt_, maxPromptTokens);
    record.sharedPrefixId_ = stream.prefixId_;
    if (stream.prefixId_ > 0) {
        record.prefixTokens_ = sharedPrefixTokens;
        record.promptTokens_ += sharedPrefixTokens;
    }
    record.wait_ = stream.wait_;
    record.streamed_ = share(random) >= stream.unstreamedShare_;
    record.key_ = share(random) < stream.keyedShare_ ? "key-" + std::to_string(random()) : std::string();
    record.group_ = stream.group_;
    record.expectedOutcome_ = stream.expectedOutcome_;
    return record;
}

Trace drawTrace(const std::vector<RequestStream> &streams)
{
    std::mt19937_64 random(traceSeed);
    Trace trace;
    for (const RequestStream &stream : streams) {
        std::exponential_distribution<double> gaps(stream.requestsPerSecond_);
        const double until = FractionalSeconds(stream.until_).count();
        for (double at = FractionalSeconds(stream.from_).count() + gaps(random); at < until; at += gaps(random)) {
            trace.records_.push_back(drawRecord(random, stream, at));
        }
    }
    const auto earlier = [](const auto &left, const auto &right) {
        return left.arrival_ < right.arrival_;
    };
    std::stable_sort(trace.records_.begin(), trace.records_.end(), earlier);
    uint64_t id = 0;
    for (TraceRecord &record : trace.records_) {
        record.id_ = ++id;
    }
    return trace;
}

void writeTrace(const std::string &folder, const std::string &name, const std::vector<RequestStream> &streams)
{
    std::ofstream file(folder + "/" + name + ".jsonl");
    for (const TraceRecord &record : drawTrace(streams).records_) {
        file << serializeTraceRecord(record) << '\n';
    }
}

/// Ordinary load, at about half of the small fleet's capacity.
std::vector<RequestStream> makeBaselineStreams(Milliseconds until, ExpectedOutcome expect)
{
    std::vector<RequestStream> streams{
        { "agency-a", "standard", "base", "itinerary", RouteKind::Model, 6, {}, until, 200, 40, Milliseconds(10000),
            1 },
        { "agency-b", "background", "base", "itinerary", RouteKind::Model, 3, {}, until, 300, 60, Milliseconds(20000),
            2 },
        { "counsellor-a", "urgent", "base", "itinerary", RouteKind::Model, 2, {}, until, 150, 40, Milliseconds(8000),
            3 },
        { "counsellor-b", "standard", "base", "itinerary", RouteKind::Model, 1, {}, until, 150, 40,
            Milliseconds(10000) },
        { "faculty", "critical", "base", "itinerary", RouteKind::Model, 1, {}, until, 100, 30, Milliseconds(8000) },
        { "counsellor-a", "urgent", "booking", "booking", RouteKind::Service, 2, {}, until, 20, 1, Milliseconds(8000),
            0, 1 },
    };
    for (RequestStream &stream : streams) {
        stream.expectedOutcome_ = expect;
    }
    return streams;
}

std::vector<RequestStream> makeFloodStreams(
    const std::string &tier, double rate, Milliseconds from, Milliseconds until, Milliseconds end)
{
    std::vector<RequestStream> streams = makeBaselineStreams(end, ExpectedOutcome::AnsweredOrRefused);
    RequestStream flood{ "agency-b", tier, "flood", "itinerary", RouteKind::Model, rate, from, until, 200, 40 };
    flood.wait_ = Milliseconds(10000);
    streams.push_back(flood);
    return streams;
}

std::vector<RequestStream> makeHeavyCallerStreams(Milliseconds end)
{
    std::vector<RequestStream> streams;
    for (const char *name : { "agency-a", "agency-b" }) {
        RequestStream heavy{ name, "standard", "large", "itinerary", RouteKind::Model, 50, {}, end, 200, 40 };
        streams.push_back(heavy);
    }
    for (const char *name : { "counsellor-a", "counsellor-b", "faculty" }) {
        RequestStream small{ name, "standard", "small", "itinerary", RouteKind::Model, 1, {}, end, 200, 40 };
        streams.push_back(small);
    }
    return streams;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "burdockfield-make-traces: generates the traces" };
    std::string folder;
    app.add_option("folder", folder, "Folder to write to")->required();
    CLI11_PARSE(app, argc, argv);
    using std::chrono::seconds;
    writeTrace(folder, "short", makeBaselineStreams(seconds(8), ExpectedOutcome::Answered));
    writeTrace(folder, "calm", makeBaselineStreams(seconds(30), ExpectedOutcome::Answered));
    writeTrace(folder, "flood-least-urgent", makeFloodStreams("background", 130, seconds(5), seconds(20), seconds(30)));
    writeTrace(folder, "flood-most-urgent", makeFloodStreams("critical", 130, seconds(5), seconds(20), seconds(30)));
    writeTrace(folder, "heavy-callers", makeHeavyCallerStreams(seconds(20)));
    return 0;
}
