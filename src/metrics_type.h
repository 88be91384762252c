/**
 * @file metrics_type.h
 * @brief Counters, gauges and distributions of durations, based on Boost.Accumulators.
 */
#pragma once

#include "time_type.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace Burdockfield {

namespace Accumulators = boost::accumulators;

/// Quantiles estimated for each distribution.
constexpr std::array<double, 3> trackedQuantiles{ 0.5, 0.95, 0.99 };

/// Distribution of a duration in seconds.
using DurationStatistics = Accumulators::accumulator_set<double,
    Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum, Accumulators::tag::mean,
        Accumulators::tag::max, Accumulators::tag::extended_p_square_quantile>>;

/// Values of a counter by label value.
using LabelledCounter = std::map<std::string, uint64_t>;

/// Metrics of one node; the documentation's metrics page lists their names.
struct Metrics
{
    std::map<std::string, LabelledCounter> counters_; ///< Counters by name.
    std::map<std::string, std::map<std::string, DurationStatistics>> durations_; ///< By name and label value.
    std::map<std::string, double> gauges_; ///< Gauges by name.
};

/// Adds @p amount to the counter's value for @p label.
void count(Metrics &metrics, const std::string &name, const std::string &label, uint64_t amount = 1);

/// Adds a duration to the distribution for @p label.
void observe(Metrics &metrics, const std::string &name, const std::string &label, Duration duration);

/// Sets a gauge.
void setGauge(Metrics &metrics, const std::string &name, double value);

/// @return an empty distribution that estimates trackedQuantiles.
DurationStatistics makeDurationStatistics();

/// @return the metrics in the Prometheus text format, version 0.0.4.
std::string serializeMetrics(const Metrics &metrics);

} // namespace Burdockfield
