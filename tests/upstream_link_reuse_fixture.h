/**
 * @file upstream_link_reuse_fixture.h
 * @brief Fixture of a gateway's link to an upstream, with full control over what its thread handles at once.
 */
#pragma once

#include "address_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "http_func.h"
#include "upstream_link.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Burdockfield::Testing {

inline constexpr Milliseconds arrivalTime{ 20 }; ///< Longest time that bytes take on loopback.

/// Link whose handlers run only while the test runs them, and the upstream's side of its connections.
struct UpstreamLinkReuseFixture
{
    UpstreamLinkReuseFixture()
        : address_(takeAddresses(1)[0])
        , acceptor_(io_, *parseEndpoint(address_))
        , link_(io_, makeHandlers())
    {
    }

    LinkHandlers makeHandlers()
    {
        LinkHandlers handlers;
        handlers.onHead_ = [](uint64_t /*send*/, const HttpReply & /*head*/) {
        };
        handlers.onBytes_ = [this](uint64_t send, const std::string &bytes) {
            bodies_[send] += bytes;
        };
        handlers.onEnd_ = [this](uint64_t send, std::error_code error, const LinkUse &use) {
            ends_[send] = error;
            uses_[send] = use;
            if (onEnd_) {
                std::exchange(onEnd_, nullptr)();
            }
        };
        handlers.onExtraAnswer_ = [this](const ExtraAnswer &answer) {
            extraAnswers_.push_back(answer);
        };
        return handlers;
    }

    void start(uint64_t send)
    {
        start(send, "request-" + std::to_string(send));
    }

    LinkCall makeCall(uint64_t send, const std::string &id) const
    {
        LinkCall call;
        call.send_ = send;
        call.requestId_ = id;
        call.address_ = address_;
        call.head_.method_ = "POST";
        call.head_.target_ = "/x";
        call.body_ = std::make_shared<const std::string>("body");
        call.isMismatched_ = [id](const HttpReply &head) {
            const std::string_view echoed = findHeader(head.headers_, "Request-Id");
            return !echoed.empty() && echoed != id;
        };
        return call;
    }

    void start(uint64_t send, const std::string &id)
    {
        startCall(link_, makeCall(send, id));
    }

    /// Runs the link until it has sent a request on a new connection.
    Asio::ip::tcp::socket acceptRequest()
    {
        std::optional<Asio::ip::tcp::socket> accepted;
        acceptor_.async_accept([&accepted](const boost::system::error_code &error, Asio::ip::tcp::socket socket) {
            if (!error) {
                accepted.emplace(std::move(socket));
            }
        });
        runUntil([&accepted] {
            boost::system::error_code ignored;
            return accepted && accepted->available(ignored) > 0;
        });
        REQUIRE(accepted);
        return std::move(*accepted);
    }

    static void answer(Asio::ip::tcp::socket &socket, const std::string &body)
    {
        const std::string length = std::to_string(body.size());
        Asio::write(socket, Asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body));
    }

    static std::string refusalOf(const std::string &id)
    {
        return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id
            + "\r\nNot-Executed: 1\r\nContent-Length: 7\r\n\r\nrefused";
    }

    static void refuse(Asio::ip::tcp::socket &socket, const std::string &id)
    {
        Asio::write(socket, Asio::buffer(refusalOf(id)));
    }

    /// Runs the link until an upstream has received the next request on a connection.
    void receiveRequest(Asio::ip::tcp::socket &socket)
    {
        std::string text;
        socket.non_blocking(true);
        runUntil([&socket, &text] {
            std::array<char, 512> bytes{};
            boost::system::error_code error;
            text.append(bytes.data(), socket.read_some(Asio::buffer(bytes), error));
            return text.ends_with("\r\n\r\nbody");
        });
    }

    /// Lets a first call be refused and leaves its connection idle.
    Asio::ip::tcp::socket refuseFirstCall()
    {
        start(1);
        Asio::ip::tcp::socket socket = acceptRequest();
        receiveRequest(socket);
        refuse(socket, "request-1");
        runUntil([this] { return ends_.contains(1); });
        CHECK(link_.idle_[address_].size() == 1);
        return socket;
    }

    /// Checks that one extra answer was reported, and that it is a refusal of the first call.
    void checkRefusalReported(ExtraAnswerPlace place, size_t callsBefore)
    {
        REQUIRE(extraAnswers_.size() == 1);
        const ExtraAnswer &answer = extraAnswers_[0];
        CHECK(answer.place_ == place);
        CHECK(answer.address_ == address_);
        CHECK(answer.use_.number_ == 1);
        CHECK(answer.use_.callsBefore_ == callsBefore);
        CHECK(answer.head_.status_ == 503);
        CHECK(findHeader(answer.head_.headers_, "Request-Id") == "request-1");
    }

    /// Ends a first call and leaves its connection idle.
    Asio::ip::tcp::socket completeFirstCall()
    {
        start(1);
        Asio::ip::tcp::socket socket = acceptRequest();
        answer(socket, "first");
        runUntil([this] { return ends_.contains(1); });
        CHECK(link_.idle_[address_].size() == 1);
        return socket;
    }

    /// Answers the second call on the connection that it opens, and checks that it is unaffected by the first.
    void checkSecondCallSucceedsOnNewConnection()
    {
        Asio::ip::tcp::socket socket = acceptRequest();
        answer(socket, "second");
        runUntil([this] { return ends_.contains(2); });
        CHECK_FALSE(ends_[2]);
        CHECK(bodies_[2] == "second");
        CHECK(link_.connectionsOpened_ == 2);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        REQUIRE(waitUntil(
            [this, &condition] {
                io_.poll();
                return condition();
            },
            Milliseconds(2000)));
    }

    /// Lets input arrive while the gateway's thread is busy with something else.
    static void stayBusy()
    {
        std::this_thread::sleep_for(arrivalTime);
    }

    Asio::io_context io_{ 1 };
    Asio::executor_work_guard<Asio::io_context::executor_type> work_{ io_.get_executor() };
    std::string address_;
    Asio::ip::tcp::acceptor acceptor_;
    UpstreamLink link_;
    std::map<uint64_t, std::error_code> ends_; ///< How calls ended, by number of the send.
    std::map<uint64_t, LinkUse> uses_; ///< Connections of ended calls, by number of the send.
    std::vector<ExtraAnswer> extraAnswers_; ///< Extra answers reported.
    std::map<uint64_t, std::string> bodies_; ///< Bodies of the answers, by number of the send.
    std::function<void()> onEnd_; ///< What the next end of a call does, if set.
};

} // namespace Burdockfield::Testing
