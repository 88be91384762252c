/**
 * @file address_func.h
 * @brief Parsing of addresses of the form IP:PORT.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace Burdockfield {

/// Parses IP:PORT or [IP]:PORT without a scope id. @return the endpoint, or nothing if the address is malformed
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace Burdockfield
