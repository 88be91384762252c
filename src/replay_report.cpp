/**
 * @file replay_report.cpp
 * @brief HTML page with plots of a replay.
 */
#include "replay_func.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace Burdockfield {

namespace {

constexpr int plotWidth = 760; ///< In pixels.
constexpr int plotHeight = 220; ///< In pixels.
constexpr int plotMargin = 40; ///< In pixels.
constexpr std::chrono::seconds bucketWidth{ 1 }; ///< Time that one point of a plot covers.
constexpr std::array<const char *, 6> colours{ "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b" };

/// Curves of a plot by name; each has a value for every bucket.
using Series = std::map<std::string, std::vector<double>>;

size_t bucketIndex(const ReplayRow &row)
{
    return static_cast<size_t>(row.record_.arrival_ / bucketWidth);
}

size_t bucketCount(const std::vector<ReplayRow> &rows)
{
    size_t count = 1;
    for (const ReplayRow &row : rows) {
        count = std::max(count, bucketIndex(row) + 1);
    }
    return count;
}

std::string tierName(const ReplayRow &row)
{
    return row.record_.tier_.empty() ? "default" : row.record_.tier_;
}

/// Good answers a second by tier; each request counts in the bucket of its arrival.
Series computeGoodputByTier(const std::vector<ReplayRow> &rows)
{
    Series series;
    for (const ReplayRow &row : rows) {
        auto &values = series[tierName(row)];
        values.resize(bucketCount(rows));
        values[bucketIndex(row)] += isGood(row) ? 1 : 0;
    }
    return series;
}

/// Longest total time of a good answer by tier, in seconds; each request counts in the bucket of its arrival.
Series computeMaxTotalTimeByTier(const std::vector<ReplayRow> &rows)
{
    Series series;
    for (const ReplayRow &row : rows) {
        auto &values = series[tierName(row)];
        values.resize(bucketCount(rows));
        const double total = std::chrono::duration_cast<FractionalSeconds>(row.totalTime_).count();
        values[bucketIndex(row)] = std::max(values[bucketIndex(row)], isGood(row) ? total : 0);
    }
    return series;
}

/// Share of the tokens of good answers by workspace; each request counts in the bucket of its arrival.
Series computeTokenShareByWorkspace(const std::vector<ReplayRow> &rows)
{
    Series series;
    std::vector<double> sums(bucketCount(rows));
    for (const ReplayRow &row : rows) {
        auto &values = series[row.record_.workspace_];
        values.resize(sums.size());
        const double tokens = isGood(row) ? row.tokens_ : 0;
        values[bucketIndex(row)] += tokens;
        sums[bucketIndex(row)] += tokens;
    }
    for (auto &[name, values] : series) {
        for (size_t index = 0; index < sums.size(); ++index) {
            values[index] = sums[index] > 0 ? values[index] / sums[index] : 0;
        }
    }
    return series;
}

double maxValue(const Series &series)
{
    double maximum = 0;
    for (const auto &[name, values] : series) {
        maximum = std::max(maximum, *std::max_element(values.begin(), values.end()));
    }
    return maximum > 0 ? maximum : 1;
}

void writePolyline(std::ostringstream &page, const std::vector<double> &values, double maximum, const char *colour)
{
    page << "<polyline fill='none' stroke='" << colour << "' stroke-width='1.5' points='";
    const double step = static_cast<double>(plotWidth - 2 * plotMargin) / std::max<size_t>(1, values.size() - 1);
    for (size_t index = 0; index < values.size(); ++index) {
        const double x = plotMargin + step * static_cast<double>(index);
        const double y = plotHeight - plotMargin - (plotHeight - 2 * plotMargin) * values[index] / maximum;
        page << x << ',' << y << ' ';
    }
    page << "'/>";
}

void writePlot(std::ostringstream &page, const std::string &title, const std::string &unit, const Series &series)
{
    const double maximum = maxValue(series);
    page << "<h2>" << title << "</h2><svg width='" << plotWidth << "' height='" << plotHeight << "'>"
         << "<rect x='" << plotMargin << "' y='" << plotMargin << "' width='" << plotWidth - 2 * plotMargin
         << "' height='" << plotHeight - 2 * plotMargin << "' fill='none' stroke='#bbb'/>"
         << "<text x='4' y='" << plotMargin - 6 << "' font-size='11'>" << maximum << ' ' << unit << "</text>"
         << "<text x='" << plotMargin << "' y='" << plotHeight - 12 << "' font-size='11'>seconds of the trace</text>";
    size_t index = 0;
    for (const auto &[name, values] : series) {
        writePolyline(page, values, maximum, colours[index++ % colours.size()]);
    }
    page << "</svg><p>";
    index = 0;
    for (const auto &[name, values] : series) {
        page << "<span style='color:" << colours[index++ % colours.size()] << "'>&#9632; " << name << "</span> ";
    }
    page << "</p>";
}

} // namespace

std::string formatReport(const std::vector<ReplayRow> &rows, const ReplaySummary &summary)
{
    std::ostringstream page;
    page << "<!doctype html><html><head><meta charset='utf-8'><title>burdockfield replay</title>"
         << "<style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}</style></head><body>"
         << "<h1>Replay</h1><pre>" << formatSummary(summary) << "</pre>";
    writePlot(page, "Goodput by tier", "answers/s", computeGoodputByTier(rows));
    writePlot(page, "Longest total time by tier", "s", computeMaxTotalTimeByTier(rows));
    writePlot(page, "Share of the tokens of good answers by workspace", "of all", computeTokenShareByWorkspace(rows));
    page << "</body></html>\n";
    return page.str();
}

} // namespace Burdockfield
