/**
 * @file gateway_process_fixture.h
 * @brief Fixture of real gateway processes with stand-ins for the users' platform.
 */
#pragma once

#include "address_func.h"
#include "gateway_fleet.h"
#include "http_func.h"
#include "platform_upstream_base.h"
#include "process_fixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Burdockfield::Testing {

/// Caller that sends a request, or its start, and does not read the answer before readAnswerBody().
struct SlowCaller
{
    /// @param unsentBytes how much of the end of the request is left out
    SlowCaller(const std::string &address, const std::string &target, size_t unsentBytes = 0)
    {
        std::string text = "POST " + target + " HTTP/1.1\r\nHost: " + gatewayHost
            + "\r\nRequest-Id: slow\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody";
        text.resize(text.size() - unsentBytes);
        socket_.connect(*parseEndpoint(address));
        boost::asio::write(socket_, boost::asio::buffer(text));
    }

    boost::asio::io_context io_; ///< Only for the socket; all calls block.
    boost::asio::ip::tcp::socket socket_{ io_ }; ///< Connection to the gateway.
};

/// @return the length of the body received before the answer or its connection ended, in bytes.
inline size_t readAnswerBody(SlowCaller &caller)
{
    namespace Http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    Http::read(caller.socket_, buffer, parser, error);
    return parser.get().body().size();
}

/// Two gateways, two upstreams of the service "engines" and two of "desk".
struct GatewayProcessFixture : ProcessFixture
{
    GatewayProcessFixture()
    {
        GatewayFleetSpec spec;
        spec.desks_ = 2;
        REQUIRE(startGatewayFleet(fleet_, spec));
    }

    HttpReply call(const std::string &target, const std::string &id, const std::string &gateway = "gateway-1",
        const std::string &key = "key-1")
    {
        return callGateway(fleet_, gateway, { id, target, "body", key, Milliseconds(4000), {} });
    }

    /// @return how often upstreams have started to run a request.
    size_t runsOf(const std::string &id)
    {
        size_t runs = 0;
        for (const LedgerLine &line : readLedgers(fleet_)) {
            runs += line.event_ == "started" && line.request_ == id ? 1 : 0;
        }
        return runs;
    }

    void setMode(const std::string &upstream, const std::string &mode)
    {
        controlStandin(fleet_, upstream, R"({"mode":")" + mode + "\"}");
    }
};

} // namespace Burdockfield::Testing
