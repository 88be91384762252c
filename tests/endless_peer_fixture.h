/**
 * @file endless_peer_fixture.h
 * @brief Server on loopback that sends any bytes a test likes, in the thread of the client under test.
 */
#pragma once

#include "address_func.h"
#include "fleet_parts_func.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <string_view>

namespace Burdockfield::Testing {

/// Lines whose names are no tokens (RFC 9110, 5.6.2); a parser that is lax passes them on or loses the end of the head.
constexpr std::array<std::string_view, 9> badFieldLines{ "Bad Name: x", "Bad\tName: x", "Bad\x01Name: x",
    "Bad\x7fName: x", "Bad\x80Name: x", "Bad\0Name: x", "Name : x", ": x", "Name" };

/// Statuses that are none: neither interim responses nor answers.
constexpr std::array<std::string_view, 4> badStatuses{ "000", "001", "050", "099" };

/// Peer that accepts connections one after another and answers on the latest.
struct EndlessPeerFixture
{
    static constexpr Milliseconds testTimeout{ 3000 }; ///< Longest time until an expected condition holds.
    static constexpr size_t floodBytes = 4U << 20U; ///< Bytes after which a flood stops that the client still reads.

    EndlessPeerFixture()
        : acceptor_(io_, *parseEndpoint(address_))
    {
        acceptor_.non_blocking(true);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        CHECK(waitUntil(
            [this, &condition] {
                io_.poll();
                return condition();
            },
            testTimeout));
    }

    /// Lets the client handle what it receives for a time.
    void runFor(Milliseconds time)
    {
        io_.run_for(time);
    }

    /// Accepts the client's next connection.
    void acceptConnection()
    {
        boost::asio::ip::tcp::socket socket(io_);
        runUntil([this, &socket] {
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            return !error;
        });
        peer_ = std::move(socket);
        peer_.set_option(boost::asio::ip::tcp::no_delay(true));
        peer_.non_blocking(true);
    }

    /// Waits for a request; the client sends its body, if any, with the header.
    void receiveRequest()
    {
        std::string text;
        runUntil([this, &text] {
            receiveSome(text);
            return text.find("\r\n\r\n") != std::string::npos;
        });
    }

    /// @return whether the connection is still open.
    bool receiveSome(std::string &text)
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        const size_t length = peer_.read_some(boost::asio::buffer(bytes), error);
        text.append(bytes.data(), length);
        return !error || error == boost::asio::error::would_block;
    }

    bool isClosed()
    {
        std::string ignored;
        return !receiveSome(ignored);
    }

    /// Closes the connection with a reset, as a process that ends with unread bytes does.
    void reset()
    {
        peer_.set_option(boost::asio::socket_base::linger(true, 0));
        peer_.close();
    }

    void send(const std::string &text)
    {
        boost::system::error_code error;
        boost::asio::write(peer_, boost::asio::buffer(text), error);
        io_.poll();
    }

    /// Sends a text again and again, each time handled by the client, until it closes. @return the bytes sent
    size_t flood(const std::string &text)
    {
        size_t sent = 0;
        while (sent < floodBytes && !isClosed()) {
            boost::system::error_code error;
            sent += peer_.write_some(boost::asio::buffer(text), error);
            io_.poll();
        }
        return sent;
    }

    boost::asio::io_context io_{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{ io_.get_executor() };
    std::string address_ = takeAddresses(1)[0]; ///< Where the peer listens.
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket peer_{ io_ }; ///< The peer's end of the latest connection.
};

} // namespace Burdockfield::Testing
