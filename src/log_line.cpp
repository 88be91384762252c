/**
 * @file log_line.cpp
 * @brief Reads the lines of logs.
 */
#include "log_line_func.h"

#include "json_func.h"

#include <istream>

namespace Burdockfield {

namespace {

std::string toText(const Json::value &value)
{
    return value.is_string() ? std::string(value.get_string().data(), value.get_string().size())
                             : Json::serialize(value);
}

} // namespace

bool parseLogLine(std::string_view text, LogLine &line)
{
    const size_t open = text.find('{');
    if (open == std::string_view::npos) {
        return false;
    }
    std::error_code error;
    const Json::value document = parseJson(text.substr(open), error);
    if (error || !document.is_object()) {
        return false;
    }
    for (const auto &item : document.get_object()) {
        const std::string_view name(item.key().data(), item.key().size());
        if (name == "time") {
            line.time_ = toText(item.value());
        } else if (name == "node") {
            line.node_ = toText(item.value());
        } else if (name == "event") {
            line.event_ = toText(item.value());
        } else {
            line.fields_.emplace_back(name, toText(item.value()));
        }
    }
    return !line.time_.empty() && !line.event_.empty();
}

std::string findField(const LogLine &line, std::string_view name)
{
    for (const auto &[key, value] : line.fields_) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

void visitLog(std::istream &stream, const std::function<void(LogLine line)> &visit)
{
    for (std::string text; std::getline(stream, text);) {
        if (LogLine line; parseLogLine(text, line)) {
            visit(std::move(line));
        }
    }
}

std::vector<LogLine> readLog(std::istream &stream)
{
    std::vector<LogLine> lines;
    visitLog(stream, [&lines](LogLine line) { lines.push_back(std::move(line)); });
    return lines;
}

} // namespace Burdockfield
