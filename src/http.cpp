/**
 * @file http.cpp
 * @brief Parsing of HTTP header fields and request targets.
 */
#include "http_func.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace Burdockfield {

namespace {

constexpr unsigned char del = 0x7f; ///< The control character beyond the printable ones of ASCII.

bool isBlank(char character)
{
    return character == ' ' || character == '\t';
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < ' ' || byte == del;
}

bool areSendable(const HttpHeaders &headers)
{
    return std::all_of(headers.begin(), headers.end(),
        [](const auto &field) { return isToken(field.first) && isFieldValue(field.second); });
}

} // namespace

bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [marks](char character) {
        const bool digit = character >= '0' && character <= '9';
        const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return digit || letter || marks.find(character) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view value)
{
    const bool blankEnds = !value.empty() && (isBlank(value.front()) || isBlank(value.back()));
    return !blankEnds && std::all_of(value.begin(), value.end(), [](char character) {
        return !isControl(character) || character == '\t';
    });
}

bool isRequestTarget(std::string_view target)
{
    return !target.empty() && std::none_of(target.begin(), target.end(), [](char character) {
        return isControl(character) || character == ' ';
    });
}

bool isSendable(const HttpRequest &request)
{
    return isToken(request.method_) && isRequestTarget(request.target_) && areSendable(request.headers_);
}

bool isSendable(const HttpReply &reply)
{
    constexpr int lastStatus = 999; // a status has three digits
    return reply.status_ >= firstInterimStatus && reply.status_ <= lastStatus && areSendable(reply.headers_);
}

std::string_view findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (boost::beast::iequals({ field.data(), field.size() }, { name.data(), name.size() })) {
            return value;
        }
    }
    return {};
}

HttpTarget splitTarget(std::string_view target)
{
    HttpTarget parts;
    const size_t mark = target.find('?');
    parts.path_ = target.substr(0, mark);
    if (mark == std::string_view::npos) {
        return parts;
    }
    std::string_view query = target.substr(mark + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        const size_t equals = pair.find('=');
        const bool valued = equals != std::string_view::npos;
        parts.query_[std::string(pair.substr(0, equals))] = valued ? pair.substr(equals + 1) : std::string_view();
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
    }
    return parts;
}

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

uint64_t parseNumberOr(std::string_view text, uint64_t fallback)
{
    return parseNumber(text).value_or(fallback);
}

std::vector<std::string> extractParts(TextSplitter &splitter, std::string_view piece, std::string_view separator)
{
    splitter.rest_ += piece;
    std::vector<std::string> parts;
    size_t begin = 0;
    for (size_t end = splitter.rest_.find(separator, splitter.searched_); end != std::string::npos;
         end = splitter.rest_.find(separator, begin)) {
        parts.push_back(splitter.rest_.substr(begin, end - begin));
        begin = end + separator.size();
    }
    splitter.rest_.erase(0, begin);
    // The next piece may complete a separator that has begun.
    splitter.searched_ = splitter.rest_.size() - std::min(splitter.rest_.size(), separator.size() - 1);
    return parts;
}

} // namespace Burdockfield
