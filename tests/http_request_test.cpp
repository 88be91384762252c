/**
 * @file http_request_test.cpp
 * @brief Tests of the requests that a gateway's link and the HTTP client send.
 */
#include "address_func.h"
#include "error_type.h"
#include "fleet_parts_func.h"
#include "http_client.h"
#include "http_func.h"
#include "upstream_link.h"

#include <array>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace Burdockfield;
using namespace Burdockfield::Testing;

namespace {

/// Link, client and the server's side of the connection that one of them opens.
struct HttpRequestFixture
{
    HttpRequestFixture()
        : address_(takeAddresses(1)[0])
        , acceptor_(io_, *parseEndpoint(address_))
        , client_(io_)
        , link_(io_, makeHandlers())
    {
    }

    LinkHandlers makeHandlers()
    {
        LinkHandlers handlers;
        handlers.onHead_ = [](uint64_t /*send*/, const HttpReply & /*head*/) {
        };
        handlers.onBytes_ = [](uint64_t /*send*/, const std::string & /*bytes*/) {
        };
        handlers.onEnd_ = [this](uint64_t /*send*/, std::error_code error, const LinkUse & /*use*/) {
            end_ = error;
        };
        return handlers;
    }

    static HttpRequest makeRequest(const std::string &method, const std::string &body)
    {
        HttpRequest request;
        request.method_ = method;
        request.target_ = "/x";
        request.body_ = body;
        return request;
    }

    void callOverLink(const std::string &method, const std::string &body)
    {
        startOverLink(makeRequest(method, {}), body);
        serve(body);
    }

    void startOverLink(HttpRequest head, const std::string &body)
    {
        LinkCall call;
        call.send_ = 1;
        call.address_ = address_;
        call.head_ = std::move(head);
        call.body_ = std::make_shared<const std::string>(body);
        call.isMismatched_ = [](const HttpReply & /*head*/) {
            return false;
        };
        startCall(link_, std::move(call));
    }

    /// @return requests with one value each that can't be written.
    static std::vector<HttpRequest> makeUnsendableRequests()
    {
        std::vector<HttpRequest> requests;
        for (const std::string_view end : { "\r\n", "\r", "\n", "\r\nX: y", "\n\nGET / HTTP/1.1", " ", "\t", "\x7f" }) {
            requests.push_back(makeRequest("GET", {}));
            requests.back().headers_.emplace_back("Expect-Instance", "i-7f3a91c2" + std::string(end));
            requests.push_back(makeRequest("GET", {}));
            requests.back().headers_.emplace_back("X" + std::string(end), "y");
            requests.push_back(makeRequest("GET", {}));
            requests.back().target_ += end;
            requests.push_back(makeRequest("GET" + std::string(end), {}));
        }
        requests.push_back(makeRequest("GET", {}));
        requests.back().headers_.emplace_back("X", std::string("a\0b", 3));
        requests.push_back(makeRequest("GET", {}));
        requests.back().headers_.emplace_back("X", " a");
        requests.push_back(makeRequest("GET", {}));
        requests.back().headers_.emplace_back("", "a");
        requests.push_back(makeRequest("GET", {}));
        requests.back().target_.clear();
        return requests;
    }

    /// Checks that a call has ended without a connection.
    void checkNothingSent()
    {
        io_.restart(); // it stops when it has nothing left to do
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == make_error_code(TransportErrc::Unsendable));
        acceptor_.non_blocking(true);
        Asio::ip::tcp::socket socket(io_);
        boost::system::error_code error;
        acceptor_.accept(socket, error);
        CHECK(error == Asio::error::would_block);
        end_.reset();
    }

    void callWithClient(const std::string &method, const std::string &body)
    {
        fetch(client_, address_, makeRequest(method, body), Milliseconds(2000), ConnectionUse::Fresh,
            [this](std::error_code error, const HttpReply & /*reply*/) { end_ = error; });
        serve(body);
    }

    /// Receives the request, answers it and waits for the end of the call.
    void serve(const std::string &body)
    {
        acceptor_.non_blocking(true);
        Asio::ip::tcp::socket socket(io_);
        const std::string end = "\r\n\r\n" + body;
        runUntil([this, &socket, &end] {
            boost::system::error_code error;
            if (!socket.is_open()) {
                acceptor_.accept(socket, error);
                return false;
            }
            socket.non_blocking(true);
            std::array<char, 4096> bytes{};
            const size_t length = socket.read_some(Asio::buffer(bytes), error);
            received_.append(bytes.data(), length);
            return received_.ends_with(end);
        });
        Asio::write(socket, Asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        runUntil([this] { return end_.has_value(); });
        CHECK(end_ == std::error_code());
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

    Asio::io_context io_{ 1 };
    std::string address_;
    Asio::ip::tcp::acceptor acceptor_;
    HttpClient client_;
    UpstreamLink link_;
    std::string received_; ///< What the server has received.
    std::optional<std::error_code> end_; ///< How the call ended.
};

} // namespace

TEST_CASE_FIXTURE(HttpRequestFixture, "Link_WhenATraceCallHasABody_SendsIt")
{
    callOverLink("TRACE", "body");
    CHECK(received_ == "TRACE /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_CASE_FIXTURE(HttpRequestFixture, "Link_WhenAPostCallHasNoBody_SendsItsLength")
{
    callOverLink("POST", "");
    CHECK(received_ == "POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
}

TEST_CASE_FIXTURE(HttpRequestFixture, "Link_WhenAGetCallHasNoBody_SendsNoLength")
{
    callOverLink("GET", "");
    CHECK(received_ == "GET /x HTTP/1.1\r\n\r\n");
}

TEST_CASE_FIXTURE(HttpRequestFixture, "Client_WhenATraceCallHasABody_SendsIt")
{
    callWithClient("TRACE", "body");
    CHECK(received_ == "TRACE /x HTTP/1.1\r\nHost: " + address_ + "\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_CASE_FIXTURE(HttpRequestFixture, "Client_WhenAPutCallHasNoBody_SendsItsLength")
{
    callWithClient("PUT", "");
    CHECK(received_ == "PUT /x HTTP/1.1\r\nHost: " + address_ + "\r\nContent-Length: 0\r\n\r\n");
}

TEST_CASE_FIXTURE(HttpRequestFixture, "Client_WhenAGetCallHasNoBody_SendsNoLength")
{
    callWithClient("GET", "");
    CHECK(received_ == "GET /x HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
}

// Review case 11: the rest of a head behind a line break in a value was read as another request.
TEST_CASE_FIXTURE(HttpRequestFixture, "Link_WhenAValueCannotStandInAMessage_SendsNothing")
{
    for (const HttpRequest &request : makeUnsendableRequests()) {
        CAPTURE(request.method_);
        CAPTURE(request.target_);
        CAPTURE(
            request.headers_.empty() ? std::string() : request.headers_[0].first + ": " + request.headers_[0].second);
        startOverLink(request, "body");
        checkNothingSent();
    }
}

TEST_CASE_FIXTURE(HttpRequestFixture, "Client_WhenAValueCannotStandInAMessage_SendsNothing")
{
    for (const HttpRequest &request : makeUnsendableRequests()) {
        CAPTURE(request.method_);
        CAPTURE(request.target_);
        CAPTURE(
            request.headers_.empty() ? std::string() : request.headers_[0].first + ": " + request.headers_[0].second);
        fetch(client_, address_, request, Milliseconds(2000), ConnectionUse::Fresh,
            [this](std::error_code error, const HttpReply & /*reply*/) { end_ = error; });
        checkNothingSent();
        StreamHandlers handlers;
        handlers.onEnd_ = [this](std::error_code error) {
            end_ = error;
        };
        openStream(client_, address_, request, Milliseconds(2000), handlers);
        checkNothingSent();
    }
}

// The address becomes the Host header; those of peers are values of rows.
TEST_CASE_FIXTURE(HttpRequestFixture, "Client_WhenTheAddressHasALineBreak_SendsNothing")
{
    fetch(client_, "[::1%1\r\nX: y]:80", makeRequest("GET", {}), Milliseconds(2000), ConnectionUse::Fresh,
        [this](std::error_code error, const HttpReply & /*reply*/) { end_ = error; });
    checkNothingSent();
}

TEST_CASE("FieldValue_WhenCallersMaySendIt_CanBeSent")
{
    for (const std::string_view value : { "", "a", "a b", "a\tb", "\"a, b\";q=0.5", "\xc3\xa9", "\xff" }) {
        CHECK(isFieldValue(value));
    }
}
