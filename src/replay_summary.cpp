/**
 * @file replay_summary.cpp
 * @brief Statistics of a replay.
 */
#include "replay_func.h"

#include "json_func.h"

#include <cstdio>
#include <sstream>

namespace Burdockfield {

namespace {

constexpr size_t maxViolationTexts = 10;
constexpr double percent = 100;
constexpr std::string_view prefillCounter = "burdockfield_prefill_tokens_total";

void addRow(ReplayGroup &group, const ReplayRow &row)
{
    ++group.offered_;
    if (isGood(row)) {
        ++group.good_;
        group.goodTokens_ += row.tokens_;
        group.timeToFirstToken_(std::chrono::duration_cast<FractionalSeconds>(row.timeToFirstToken_).count());
        group.totalTime_(std::chrono::duration_cast<FractionalSeconds>(row.totalTime_).count());
    } else if (row.outcome_ == ReplayOutcome::Answered) {
        ++group.late_;
    } else if (row.outcome_ == ReplayOutcome::Broken || row.outcome_ == ReplayOutcome::Pending) {
        ++group.broken_;
    } else {
        ++group.refused_;
    }
}

double estimateQuantile(const DurationStatistics &statistics, double probability)
{
    if (Accumulators::count(statistics) == 0) {
        return 0;
    }
    return Accumulators::quantile(statistics, Accumulators::quantile_probability = probability);
}

double goodPercentage(const ReplayGroup &group)
{
    return group.offered_ == 0 ? 0 : percent * static_cast<double>(group.good_) / static_cast<double>(group.offered_);
}

void writeGroupTable(
    std::ostringstream &text, const std::string &title, const std::map<std::string, ReplayGroup> &groups)
{
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "%-22s %8s %8s %7s %6s %8s %7s %9s %9s %9s\n", title.c_str(), "offered",
        "good", "good %", "late", "refused", "broken", "first p95", "total p50", "total p95");
    text << line.data();
    for (const auto &[name, group] : groups) {
        std::snprintf(line.data(), line.size(), "%-22s %8lu %8lu %7.2f %6lu %8lu %7lu %8.3fs %8.3fs %8.3fs\n",
            name.c_str(), group.offered_, group.good_, goodPercentage(group), group.late_, group.refused_,
            group.broken_, estimateQuantile(group.timeToFirstToken_, 0.95), estimateQuantile(group.totalTime_, 0.5),
            estimateQuantile(group.totalTime_, 0.95));
        text << line.data();
    }
}

Json::object serializeGroups(const std::map<std::string, ReplayGroup> &groups)
{
    Json::object object;
    for (const auto &[name, group] : groups) {
        object[name] = Json::object{ { "offered", group.offered_ }, { "good", group.good_ }, { "late", group.late_ },
            { "refused", group.refused_ }, { "broken", group.broken_ }, { "good_tokens", group.goodTokens_ },
            { "first_token_p95_s", estimateQuantile(group.timeToFirstToken_, 0.95) },
            { "total_p50_s", estimateQuantile(group.totalTime_, 0.5) },
            { "total_p95_s", estimateQuantile(group.totalTime_, 0.95) } };
    }
    return object;
}

std::string tierName(const ReplayRow &row)
{
    return row.record_.tier_.empty() ? "default" : row.record_.tier_;
}

} // namespace

ReplaySummary summarize(const std::vector<ReplayRow> &rows)
{
    ReplaySummary summary;
    for (const ReplayRow &row : rows) {
        addRow(summary.byTier_[tierName(row)], row);
        addRow(summary.byGroup_[row.record_.group_], row);
        addRow(summary.byWorkspace_[row.record_.workspace_], row);
        if (hasExpectedOutcome(row)) {
            continue;
        }
        ++summary.violations_;
        if (summary.violationTexts_.size() < maxViolationTexts) {
            summary.violationTexts_.push_back("request " + std::to_string(row.record_.id_) + ": status "
                + std::to_string(row.status_) + " " + row.reason_);
        }
    }
    return summary;
}

std::string formatSummary(const ReplaySummary &summary)
{
    std::ostringstream text;
    writeGroupTable(text, "tier", summary.byTier_);
    writeGroupTable(text, "group", summary.byGroup_);
    writeGroupTable(text, "workspace", summary.byWorkspace_);
    if (summary.wastedPrefill_ >= 0) {
        text << "prefill wasted: " << percent * summary.wastedPrefill_ << " %\n";
    }
    text << "expected outcomes missed: " << summary.violations_ << '\n';
    for (const std::string &line : summary.violationTexts_) {
        text << "  " << line << '\n';
    }
    return text.str();
}

std::string serializeSummary(const ReplaySummary &summary)
{
    return Json::serialize(Json::object{ { "by_tier", serializeGroups(summary.byTier_) },
        { "by_group", serializeGroups(summary.byGroup_) }, { "by_workspace", serializeGroups(summary.byWorkspace_) },
        { "prefill_wasted", summary.wastedPrefill_ }, { "violations", summary.violations_ } });
}

double wastedPrefillShare(const std::vector<std::string> &pages)
{
    double used = 0;
    double wasted = 0;
    for (const std::string &page : pages) {
        std::istringstream lines(page);
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with(prefillCounter)) {
                continue;
            }
            const double tokens = std::strtod(line.c_str() + line.rfind(' '), nullptr);
            (line.find("wasted") != std::string::npos ? wasted : used) += tokens;
        }
    }
    return used + wasted > 0 ? wasted / (used + wasted) : -1;
}

} // namespace Burdockfield
