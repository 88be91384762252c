/**
 * @file copying_upstream.h
 * @brief Upstream that refuses its first requests and writes each refusal once more, where the next answer is due.
 */
#pragma once

#include "address_func.h"
#include "fleet_parts_func.h"
#include "time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace Burdockfield::Testing {

/// What a copying upstream answers, besides the head of its refusals.
struct CopyingRules
{
    std::string answerHead_ = "HTTP/1.1 200 OK\r\nResponse-Signature: 1\r\n"; ///< Status and headers of other answers.
    std::string refusalBody_ = "none"; ///< Body of refusals.
    std::string answerBody_ = "done"; ///< Body of other answers.
    std::string refusedPrefix_; ///< Ids that begin with it are refused when they come first; empty for none.
    Milliseconds refusalDelay_{ 0 }; ///< Time before a refusal is written.
};

/// Connection that a copying upstream has accepted.
struct CopyingConnection
{
    explicit CopyingConnection(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
    {
    }

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_; ///< For the delay of a refusal.
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_; ///< Current request.
    std::string refusal_; ///< Refusal to write once more, or empty.
    std::string output_; ///< Bytes being written.
};

/// Runs in a thread of its own. Its answers to requests that ran follow the copy of the connection's last refusal.
struct CopyingUpstream
{
    /// @param refusalHead status and headers of refusals, besides Request-Id and the length
    /// @param refusals how many requests it refuses; it runs all further ones
    CopyingUpstream(std::string refusalHead, int refusals, CopyingRules rules = {})
        : refusalHead_(std::move(refusalHead))
        , refusalsLeft_(refusals)
        , rules_(std::move(rules))
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }

    CopyingUpstream(const CopyingUpstream &) = delete;
    CopyingUpstream &operator=(const CopyingUpstream &) = delete;

    ~CopyingUpstream()
    {
        io_.stop();
        thread_.join();
    }

    /// @return how often it has run a request.
    int runsOf(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id];
    }

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (!error) {
                read(std::make_shared<CopyingConnection>(std::move(socket)));
            }
            accept();
        });
    }

    void read(const std::shared_ptr<CopyingConnection> &connection)
    {
        connection->request_ = {};
        boost::beast::http::async_read(connection->socket_, connection->buffer_, connection->request_,
            [this, connection](const boost::system::error_code &error, size_t) {
                if (!error) {
                    answer(connection);
                }
            });
    }

    /// @return whether a request is refused; counts it.
    bool refuses(const std::string &id)
    {
        const std::string &prefix = rules_.refusedPrefix_;
        const bool first = !prefix.empty() && id.starts_with(prefix) && refusedIds_.insert(id).second;
        const bool counted = !first && refusalsLeft_ > 0;
        refusalsLeft_ -= counted ? 1 : 0;
        return first || counted;
    }

    void answer(const std::shared_ptr<CopyingConnection> &connection)
    {
        const std::string id(connection->request_["Request-Id"]);
        const auto tail = [&id](const std::string &body) {
            return "Request-Id: " + id + "\r\nKeep-Alive: timeout=30\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
        };
        Milliseconds delay{ 0 };
        if (refuses(id)) {
            connection->refusal_ = refusalHead_ + tail(rules_.refusalBody_);
            connection->output_ = connection->refusal_;
            delay = rules_.refusalDelay_;
        } else {
            const std::lock_guard lock(mutex_);
            ++runs_[id];
            connection->output_
                = std::exchange(connection->refusal_, {}) + rules_.answerHead_ + tail(rules_.answerBody_);
        }
        connection->timer_.expires_after(delay);
        connection->timer_.async_wait([this, connection](const boost::system::error_code &) { write(connection); });
    }

    void write(const std::shared_ptr<CopyingConnection> &connection)
    {
        boost::asio::async_write(connection->socket_, boost::asio::buffer(connection->output_),
            [this, connection](const boost::system::error_code &error, size_t) {
                if (!error) {
                    read(connection);
                }
            });
    }

    std::string address_ = takeAddresses(1)[0]; ///< Where it listens.
    boost::asio::io_context io_{ 1 };
    boost::asio::ip::tcp::acceptor acceptor_{ io_, *parseEndpoint(address_) };
    std::string refusalHead_;
    int refusalsLeft_; ///< Requests that it still refuses; used by its thread only.
    CopyingRules rules_;
    std::set<std::string> refusedIds_; ///< Ids that were refused by their prefix; used by its thread only.
    std::mutex mutex_; ///< Guards runs_.
    std::map<std::string, int> runs_; ///< Runs by id of the request.
    std::thread thread_;
};

} // namespace Burdockfield::Testing
