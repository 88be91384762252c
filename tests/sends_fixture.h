/**
 * @file sends_fixture.h
 * @brief Logs of gateways for tests of the report on requests that were sent more than once.
 */
#pragma once

#include "sends_func.h"

#include <doctest/doctest.h>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace Burdockfield::Sends {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Lines of gateways, as the current release writes them unless a test says otherwise.
struct SendsFixture
{
    /// Adds a line a millisecond after the last one.
    void add(const std::string &event, const Fields &fields, const std::string &node = "gateway-1")
    {
        const std::string millisecond = std::to_string(1000 + lines_++).substr(1);
        text_ += R"({"time":"2026-01-01T00:00:01.)" + millisecond + R"(Z","node":")" + node + R"(","event":")" + event
            + '"';
        for (const auto &[name, value] : fields) {
            text_.append(",\"").append(name).append("\":\"").append(value).append("\"");
        }
        text_ += "}\n";
    }

    void addSent(const std::string &request, const std::string &upstream, const std::string &cause,
        const std::string &repeatable = "no", const std::string &node = "gateway-1")
    {
        add("sent",
            { { "request", request }, { "upstream", upstream }, { "address", addressOf(upstream) }, { "cause", cause },
                { "attempt", "1" }, { "route", "once" }, { "repeatable", repeatable } },
            node);
    }

    void addFailed(const std::string &request, const std::string &upstream, const std::string &status,
        const std::string &connection, const std::string &callsBefore = "0", const std::string &written = "yes")
    {
        const bool refused = status == "421" || status == "503";
        add("send-failed",
            { { "request", request }, { "upstream", upstream }, { "address", addressOf(upstream) },
                { "error", refused ? "answer-refused" : "lost" }, { "status", status },
                { "not_run", refused ? "yes" : "no" }, { "attempt", "1" }, { "after_ms", "3" },
                { "connection", connection }, { "calls_before", callsBefore }, { "written", written } });
    }

    void addAnswered(const std::string &request, const std::string &upstream)
    {
        add("answered",
            { { "request", request }, { "outcome", "ok" }, { "status", "200" }, { "upstream", upstream },
                { "connection", "9" }, { "calls_before", "0" } });
    }

    void addExtraAnswer(const std::string &received, const std::string &address)
    {
        add("extra-answer",
            { { "address", address }, { "connection", "4" }, { "calls_before", "1" }, { "request", "other" },
                { "received", received }, { "status", "421" }, { "not_run", "yes" } });
    }

    /// Adds a call that desk-1 and then the instance that has replaced it refuse with 421.
    void addCallRefusedTwice(
        const std::string &request, const std::string &connection, const std::string &nextConnection)
    {
        addSent(request, "desk-1", "first");
        addFailed(request, "desk-1", "421", connection, "7");
        addSent(request, "desk-1-new", "wrong-instance");
        addFailed(request, "desk-1-new", "421", nextConnection, "8");
        addSent(request, "desk-2", "wrong-instance");
    }

    /// The instances desk-1 and desk-1-new have the same address.
    static std::string addressOf(const std::string &upstream)
    {
        return upstream.starts_with("desk-1") ? "10.0.0.1:80" : "10.0.0.2:80";
    }

    SendReport report() const
    {
        SendFilter filter = makeFilter();
        std::istringstream first(text_);
        visitLog(first, [&filter](const LogLine &line) { countSends(filter, line); });
        SendTable table;
        table.limits_ = limits_;
        std::istringstream second(text_);
        visitLog(second, [&](const LogLine &line) { readLine(table, filter, line); });
        return makeReport(std::move(table));
    }

    /// @return the finding on the only further send.
    Finding finding() const
    {
        const SendReport found = report();
        REQUIRE(found.sends_.size() == 1);
        return found.sends_[0].finding_;
    }

    std::string text_;
    int lines_ = 0;
    SendLimits limits_;
};

} // namespace Burdockfield::Sends
