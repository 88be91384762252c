/**
 * @file http_call.cpp
 * @brief Blocking HTTP call for command-line programs.
 */
#include "http_call.h"

#include "http_client.h"

namespace Burdockfield {

CallOutcome callAndWait(const std::string &address, HttpRequest request, Milliseconds timeout)
{
    Asio::io_context io{ 1 };
    HttpClient client(io);
    CallOutcome outcome;
    const auto done = [&outcome](std::error_code error, HttpReply reply) {
        outcome.error_ = error;
        outcome.reply_ = std::move(reply);
    };
    fetch(client, address, std::move(request), timeout, ConnectionUse::Fresh, done);
    io.run();
    return outcome;
}

} // namespace Burdockfield
