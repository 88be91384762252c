/**
 * @file copying_agent.h
 * @brief Stands before an agent, refuses one order, and writes that refusal once more where the next reply is due.
 */
#pragma once

#include "address_func.h"
#include "error_type.h"
#include "fleet_func.h"
#include "http_fields_func.h"
#include "run_wire.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <string>
#include <thread>
#include <utility>

namespace Burdockfield::Testing {

/// Passes all calls but the refused order on to the agent, each connection in a thread of its own.
struct CopyingAgent
{
    using Tcp = boost::asio::ip::tcp;

    CopyingAgent(const std::string &address, std::string agent)
        : acceptor_(io_, *parseEndpoint(address))
        , agent_(std::move(agent))
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }

    CopyingAgent(const CopyingAgent &) = delete;
    CopyingAgent &operator=(const CopyingAgent &) = delete;

    ~CopyingAgent()
    {
        io_.stop();
        thread_.join();
        for (Tcp::socket &socket : sockets_) {
            boost::system::error_code ignored;
            socket.shutdown(Tcp::socket::shutdown_both, ignored);
        }
        for (std::thread &server : servers_) {
            server.join();
        }
    }

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
            if (!error) {
                Tcp::socket &kept = sockets_.emplace_back(std::move(socket));
                servers_.emplace_back([this, &kept] { serve(kept); });
            }
            accept();
        });
    }

    void serve(Tcp::socket &socket)
    {
        boost::system::error_code error;
        boost::beast::flat_buffer buffer;
        std::string refusal; // that this connection has carried
        while (!error) {
            boost::beast::http::request<boost::beast::http::string_body> request;
            boost::beast::http::read(socket, buffer, request, error);
            if (error) {
                return;
            }
            const bool order = request.method_string() == "POST" && request.target() == std::string(runsPath);
            if (order && !refused_.exchange(true)) {
                refusal = makeText(request, makeRefusal());
                boost::asio::write(socket, boost::asio::buffer(refusal), error);
                continue;
            }
            if (order && !refusal.empty()) {
                ++copies_;
                boost::asio::write(socket, boost::asio::buffer(std::exchange(refusal, {})), error);
            }
            const HttpReply reply = callNode(agent_, std::string(request.method_string()),
                std::string(request.target()), request.body(), copyFields(request));
            boost::asio::write(socket, boost::asio::buffer(makeText(request, reply)), error);
        }
    }

    HttpReply makeRefusal() const
    {
        RunReply refusal;
        refusal.error_ = AdmissionErrc::QueueFull;
        parseReport(callNode(agent_, "GET", std::string(reportPath)).body_, refusal.report_, Clock::now());
        HttpReply reply;
        reply.body_ = serializeRunReply(refusal, Clock::now());
        return reply;
    }

    /// @return a reply as bytes, with the call number of its request.
    template<typename Request>
    static std::string makeText(const Request &request, const HttpReply &reply)
    {
        std::string text = "HTTP/1.1 " + std::to_string(reply.status_) + " Reply\r\n";
        if (const auto number = request["Call-Number"]; !number.empty()) {
            text += "Call-Number: " + std::string(number) + "\r\n";
        }
        return text + "Content-Length: " + std::to_string(reply.body_.size()) + "\r\n\r\n" + reply.body_;
    }

    std::atomic<bool> refused_ = false; ///< Whether an order has been refused.
    std::atomic<int> copies_ = 0; ///< How often a refusal was written once more.

private:
    boost::asio::io_context io_{ 1 };
    Tcp::acceptor acceptor_;
    std::string agent_; ///< Address of the agent.
    std::list<Tcp::socket> sockets_; ///< Entries' connections; used by thread_ and, after its end, the destructor.
    std::list<std::thread> servers_;
    std::thread thread_;
};

} // namespace Burdockfield::Testing
