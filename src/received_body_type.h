/**
 * @file received_body_type.h
 * @brief Body of a response that is received in parts.
 */
#pragma once

#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace Burdockfield {

/// Body of a response that takes no more memory than the bytes received, whatever length the header announces.
struct ReceivedBody
{
    using value_type = std::string; // NOLINT(readability-identifier-naming): required by Beast

    /// Appends received bytes.
    struct reader : boost::beast::http::string_body::reader // NOLINT(readability-identifier-naming): required by Beast
    {
        using boost::beast::http::string_body::reader::reader;

        void init(const boost::optional<uint64_t> & /*length*/, boost::system::error_code &error)
        {
            error = {};
        }
    };
};

} // namespace Burdockfield
