/**
 * @file http_text.cpp
 * @brief HTTP/1.1 messages as clients, runners and the store of the cases read and write them.
 */
#include "http_text.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace Review {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

Message parseHead(const std::string &head)
{
    Message message;
    size_t begin = head.find(lineEnd);
    message.startLine_ = head.substr(0, begin);
    while (begin + headEnd.size() < head.size()) {
        begin += lineEnd.size();
        const size_t end = head.find(lineEnd, begin);
        const std::string line = head.substr(begin, end - begin);
        const size_t colon = std::min(line.find(':'), line.size());
        const size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
        message.fields_[lowered(line.substr(0, colon))] = line.substr(value);
        begin = end;
    }
    return message;
}

} // namespace

std::optional<Message> readMessage(Connection &connection, Milliseconds wait)
{
    const Clock::time_point latest = Clock::now() + wait;
    const std::optional<std::string> head = takeUntil(connection, headEnd, wait);
    if (!head) {
        return std::nullopt;
    }
    Message message = parseHead(*head);
    const size_t length = std::strtoul(fieldOf(message, "content-length").c_str(), nullptr, 10);
    const auto left = std::chrono::ceil<Milliseconds>(latest - Clock::now());
    std::optional<std::string> body = takeBytes(connection, length, std::max(left, Milliseconds(0)));
    if (!body) {
        return std::nullopt;
    }
    message.body_ = std::move(*body);
    return message;
}

std::string fieldOf(const Message &message, const std::string &name)
{
    const auto found = message.fields_.find(name);
    return found == message.fields_.end() ? std::string() : found->second;
}

std::string wordOf(const Message &message, size_t index)
{
    std::istringstream words(message.startLine_);
    std::string word;
    for (size_t number = 0; number <= index; ++number) {
        word.clear();
        words >> word;
    }
    return word;
}

std::string parameterOf(const std::string &target, const std::string &name)
{
    std::istringstream query(target.substr(std::min(target.find('?'), target.size() - 1) + 1));
    std::string pair;
    while (std::getline(query, pair, '&')) {
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

} // namespace Review
