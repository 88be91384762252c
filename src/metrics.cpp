/**
 * @file metrics.cpp
 * @brief Counters, gauges and distributions of durations, based on Boost.Accumulators.
 */
#include "metrics_type.h"

#include <sstream>

namespace Burdockfield {

namespace {

constexpr const char *namePrefix = "burdockfield_";

/// @return a label with the characters escaped that end it in the text format; names of services and workspaces, which
/// others choose, are labels.
std::string escapeLabel(const std::string &label)
{
    std::string escaped;
    for (const char character : label) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

void writeCounters(std::ostringstream &text, const std::string &name, const LabelledCounter &counter)
{
    text << "# TYPE " << namePrefix << name << " counter\n";
    for (const auto &[label, value] : counter) {
        text << namePrefix << name << "{kind=\"" << escapeLabel(label) << "\"} " << value << '\n';
    }
}

void writeDuration(
    std::ostringstream &text, const std::string &name, const std::string &label, const DurationStatistics &statistics)
{
    const std::string labels = "{kind=\"" + escapeLabel(label) + "\"";
    for (const double probability : trackedQuantiles) {
        const double value = Accumulators::quantile(statistics, Accumulators::quantile_probability = probability);
        text << namePrefix << name << labels << ",quantile=\"" << probability << "\"} " << value << '\n';
    }
    text << namePrefix << name << "_sum" << labels << "} " << Accumulators::sum(statistics) << '\n';
    text << namePrefix << name << "_count" << labels << "} " << Accumulators::count(statistics) << '\n';
}

} // namespace

DurationStatistics makeDurationStatistics()
{
    return DurationStatistics(Accumulators::extended_p_square_probabilities = trackedQuantiles);
}

void count(Metrics &metrics, const std::string &name, const std::string &label, uint64_t amount)
{
    metrics.counters_[name][label] += amount;
}

void observe(Metrics &metrics, const std::string &name, const std::string &label, Duration duration)
{
    auto &byLabel = metrics.durations_[name];
    const auto [entry, added] = byLabel.try_emplace(label, makeDurationStatistics());
    entry->second(std::chrono::duration_cast<FractionalSeconds>(duration).count());
}

void setGauge(Metrics &metrics, const std::string &name, double value)
{
    metrics.gauges_[name] = value;
}

std::string serializeMetrics(const Metrics &metrics)
{
    std::ostringstream text;
    for (const auto &[name, counter] : metrics.counters_) {
        writeCounters(text, name, counter);
    }
    for (const auto &[name, byLabel] : metrics.durations_) {
        text << "# TYPE " << namePrefix << name << " summary\n";
        for (const auto &[label, statistics] : byLabel) {
            writeDuration(text, name, label, statistics);
        }
    }
    for (const auto &[name, value] : metrics.gauges_) {
        text << "# TYPE " << namePrefix << name << " gauge\n" << namePrefix << name << ' ' << value << '\n';
    }
    return text.str();
}

} // namespace Burdockfield
