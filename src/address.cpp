/**
 * @file address.cpp
 * @brief Parsing of addresses of the form IP:PORT.
 */
#include "address_func.h"

#include "http_func.h"

#include <boost/asio/ip/address.hpp>

namespace Burdockfield {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    constexpr uint64_t portLimit = 65535;
    const size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    if (host.find('%') != std::string_view::npos) { // a scope id may hold any bytes
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(host), error);
    const uint64_t port = parseNumberOr(address.substr(colon + 1), portLimit + 1);
    if (error || port > portLimit) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, static_cast<uint16_t>(port));
}

} // namespace Burdockfield
