/**
 * @file http_text.h
 * @brief HTTP/1.1 messages as clients, runners and the store of the cases read and write them.
 */
#pragma once

#include "socket_io.h"

#include <map>
#include <optional>
#include <string>

namespace Review {

/// Message whose body, if any, has a length.
struct Message
{
    std::string startLine_; ///< Request line or status line.
    std::map<std::string, std::string> fields_; ///< Fields by name in lower case; the last of several.
    std::string body_;
};

/// @return the next message of a connection; nothing if it doesn't come whole in time.
std::optional<Message> readMessage(Connection &connection, Milliseconds wait);

/// @return a field's value, or an empty text.
std::string fieldOf(const Message &message, const std::string &name);

/// @return word @p index of the start line, or an empty text.
std::string wordOf(const Message &message, size_t index);

/// @return the value of a query's parameter, or an empty text.
std::string parameterOf(const std::string &target, const std::string &name);

} // namespace Review
