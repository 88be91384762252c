/**
 * @file cli.cpp
 * @brief Commands of the command-line program.
 */
#include "cli_func.h"
#include "explain_func.h"
#include "sends_func.h"

#include "changes_file.h"
#include "configuration_wire.h"
#include "error_type.h"
#include "http_call.h"
#include "settings_func.h"
#include "trace_wire.h"
#include "where_wire.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <limits>
#include <sstream>

namespace Burdockfield {

namespace {

constexpr Milliseconds callTimeout{ 20000 }; ///< For each HTTP request of a command.

bool readFile(const std::string &file, std::string &text)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": cannot read the file\n";
        return false;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    text = content.str();
    return true;
}

bool writeFile(const std::string &file, const std::string &text)
{
    std::ofstream stream(file);
    stream << text;
    stream.flush();
    if (!stream) {
        std::cerr << file << ": cannot write the file\n";
    }
    return static_cast<bool>(stream);
}

/// Visits the lines of a log, up to @p limit of them. @param lines number of lines visited
bool readLogFile(
    const std::string &file, uint64_t limit, const std::function<void(const LogLine &)> &visit, uint64_t &lines)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": " << make_error_code(SettingsErrc::CannotRead).message() << '\n';
        return false;
    }
    lines = 0;
    visitLog(stream, [&](const LogLine &line) {
        if (lines < limit) { // the rest was written after the first reading
            visit(line);
            ++lines;
        }
    });
    return true;
}

/// Reads logs twice: only requests that the first reading finds to be sent again are kept by the second.
bool readSends(const std::vector<std::string> &files, Sends::SendTable &table)
{
    Sends::SendFilter filter = Sends::makeFilter();
    std::vector<uint64_t> lines(files.size());
    for (size_t i = 0; i < files.size(); ++i) {
        const auto count = [&filter](const LogLine &line) {
            Sends::countSends(filter, line);
        };
        if (!readLogFile(files[i], std::numeric_limits<uint64_t>::max(), count, lines[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < files.size(); ++i) {
        uint64_t again = 0;
        const auto keep = [&](const LogLine &line) {
            Sends::readLine(table, filter, line);
        };
        if (!readLogFile(files[i], lines[i], keep, again)) {
            return false;
        }
        if (again < lines[i]) {
            std::cerr << files[i] << ": lines are missing when it is read again (accepted: a file, not a pipe)\n";
            return false;
        }
    }
    return true;
}

/// Sends an HTTP request and prints an error unless the response has status 200.
ExitStatus sendRequest(const std::string &address, HttpRequest request, std::string &body)
{
    const CallOutcome outcome = callAndWait(address, std::move(request), callTimeout);
    if (outcome.error_) {
        std::cerr << address << ": " << outcome.error_.message() << '\n';
        return ExitStatus::Unreachable;
    }
    body = outcome.reply_.body_;
    if (outcome.reply_.status_ != 200) {
        std::cerr << address << ": request refused: " << body << '\n';
        return ExitStatus::Refused;
    }
    return ExitStatus::Done;
}

ExitStatus sendGet(const std::string &address, const std::string &target, std::string &body)
{
    HttpRequest request;
    request.target_ = target;
    return sendRequest(address, std::move(request), body);
}

ExitStatus sendPost(const std::string &address, const std::string &target, std::string text, std::string &body)
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = target;
    request.headers_.emplace_back("Content-Type", "application/json");
    request.body_ = std::move(text);
    return sendRequest(address, std::move(request), body);
}

void printPlan(const Plan &plan)
{
    std::cout << "plan " << plan.id_ << " from revision " << plan.baseRevision_ << '\n';
    for (const PlanEffect &effect : plan.effects_) {
        std::cout << "  " << effect.subject_ << "\n    before: " << (effect.before_.empty() ? "-" : effect.before_)
                  << "\n    after:  " << (effect.after_.empty() ? "-" : effect.after_) << '\n';
        if (!effect.displacedWork_.empty()) {
            std::cout << "    displaces: " << effect.displacedWork_ << '\n';
        }
    }
}

} // namespace

ExitStatus checkSettingsCommand(const std::string &file)
{
    Settings settings;
    if (const SettingsError error = loadSettings(file, settings); error.error_) {
        std::cerr << describe(error) << '\n';
        return ExitStatus::Usage;
    }
    std::cout << file << ": valid\n";
    return ExitStatus::Done;
}

ExitStatus explainCommand(const std::string &request, const std::vector<std::string> &files)
{
    std::vector<LogLine> lines;
    for (const std::string &file : files) {
        uint64_t count = 0;
        const auto keep = [&lines](const LogLine &line) {
            lines.push_back(line);
        };
        if (!readLogFile(file, std::numeric_limits<uint64_t>::max(), keep, count)) {
            return ExitStatus::Usage;
        }
    }
    const Explanation explanation = explainRequest(request, lines);
    if (explanation.cause_.empty()) {
        std::cerr << "no log line names request " << request << '\n';
        return ExitStatus::Refused;
    }
    std::cout << formatExplanation(explanation);
    return ExitStatus::Done;
}

ExitStatus sendsCommand(const SendsCommand &command)
{
    Sends::SendTable table;
    if (!readSends(command.files_, table)) {
        return ExitStatus::Usage;
    }
    Sends::SendReport report = Sends::makeReport(std::move(table));
    if (command.doubtful_) {
        Sends::keepDoubtful(report);
    }
    std::cout << (command.json_ ? Sends::serializeReport(report) + "\n" : Sends::formatReport(report));
    return report.doubtful_ == 0 && !report.incomplete_ ? ExitStatus::Done : ExitStatus::Refused;
}

ExitStatus statusCommand(const std::string &address)
{
    std::string body;
    const ExitStatus status = sendGet(address, "/v1/status", body);
    if (status == ExitStatus::Done) {
        std::cout << body << '\n';
    }
    return status;
}

ExitStatus whereCommand(const std::string &address, const Gateway::WhereQuery &query, bool json)
{
    std::error_code error;
    const std::string target = Gateway::makeWhereTarget(query, error);
    if (error) {
        std::cerr << "host, path and workspace: " << error.message()
                  << " (accepted: printable characters other than space & # % +)\n";
        return ExitStatus::Usage;
    }
    std::string body;
    if (const ExitStatus status = sendGet(address, target, body); status != ExitStatus::Done) {
        return status;
    }
    const std::string text = json ? body + "\n" : Gateway::formatWhereReport(body, error);
    if (error) {
        std::cerr << address << ": " << error.message() << '\n';
        return ExitStatus::Unreachable;
    }
    std::cout << text;
    return ExitStatus::Done;
}

ExitStatus configurationCommand(const std::string &control)
{
    std::string body;
    const ExitStatus status = sendGet(control, "/v1/configuration", body);
    if (status == ExitStatus::Done) {
        std::cout << body << '\n';
    }
    return status;
}

ExitStatus readChanges(const std::string &file, std::vector<Change> &changes)
{
    std::string text;
    if (!readFile(file, text)) {
        return ExitStatus::Usage;
    }
    if (const std::error_code error = parseChangesFile(text, changes); error) {
        std::cerr << file << ": " << error.message() << " (accepted: a YAML list of changes; see docs/OPERATING.md)\n";
        return ExitStatus::Usage;
    }
    return ExitStatus::Done;
}

ExitStatus readWorkspace(const std::string &control, const std::string &name, WorkspaceSettings &settings)
{
    std::string body;
    if (const ExitStatus status = sendGet(control, "/v1/configuration", body); status != ExitStatus::Done) {
        return status;
    }
    Configuration configuration;
    if (const std::error_code error = parseConfiguration(body, configuration); error) {
        std::cerr << control << ": " << error.message() << '\n';
        return ExitStatus::Unreachable;
    }
    if (const auto found = configuration.workspaces_.find(name); found != configuration.workspaces_.end()) {
        settings = found->second;
    }
    return ExitStatus::Done;
}

ExitStatus planCommand(const std::string &control, const std::vector<Change> &changes, const std::string &out)
{
    std::string body;
    const std::string text = Json::serialize(serializeChanges(changes));
    if (const ExitStatus status = sendPost(control, "/v1/plans", text, body); status != ExitStatus::Done) {
        return status;
    }
    Plan plan;
    if (const std::error_code error = parsePlan(body, plan); error) {
        std::cerr << control << ": " << error.message() << '\n';
        return ExitStatus::Unreachable;
    }
    printPlan(plan);
    return writeFile(out, body) ? ExitStatus::Done : ExitStatus::Usage;
}

ExitStatus confirmCommand(const std::string &control, const std::string &file)
{
    std::string text;
    std::string body;
    if (!readFile(file, text)) {
        return ExitStatus::Usage;
    }
    const ExitStatus status = sendPost(control, "/v1/confirmations", text, body);
    if (status == ExitStatus::Done) {
        std::cout << "confirmed\n";
    }
    return status;
}

ExitStatus replayCommand(const ReplayCommand &command)
{
    std::string text;
    Trace trace;
    size_t line = 0;
    if (!readFile(command.trace_, text)) {
        return ExitStatus::Usage;
    }
    if (const std::error_code error = parseTrace(text, trace, line); error) {
        std::cerr << command.trace_ << ":" << line << ": " << error.message() << '\n';
        return ExitStatus::Usage;
    }
    const std::vector<ReplayRow> rows = replayTrace(trace, command.settings_);
    ReplaySummary summary = summarize(rows);
    std::vector<std::string> pages;
    for (const std::string &agent : command.agents_) {
        if (std::string page; sendGet(agent, "/metrics", page) == ExitStatus::Done) {
            pages.push_back(std::move(page));
        }
    }
    summary.wastedPrefill_ = wastedPrefillShare(pages);
    std::cout << formatSummary(summary);
    const bool written = (command.report_.empty() || writeFile(command.report_, formatReport(rows, summary)))
        && (command.json_.empty() || writeFile(command.json_, serializeSummary(summary) + "\n"));
    if (!written) {
        return ExitStatus::Usage;
    }
    return summary.violations_ == 0 ? ExitStatus::Done : ExitStatus::Refused;
}

} // namespace Burdockfield
