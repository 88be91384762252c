/**
 * @file compression.cpp
 * @brief Compression with the deflate implementation of Boost.Beast.
 */
#include "compression_func.h"

#include "error_type.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace Burdockfield {

namespace {

namespace Zlib = boost::beast::zlib;

constexpr int compressionLevel = 1; ///< The fastest; configurations repeat themselves, so that it is enough.
constexpr int windowBits = 15; ///< Greatest window of the format.
constexpr int memoryLevel = 8; ///< Default of zlib.
constexpr size_t pieceBytes = 64U << 10U; ///< Bytes that are restored at once.

} // namespace

std::string compress(std::string_view text)
{
    Zlib::deflate_stream stream;
    stream.reset(compressionLevel, windowBits, memoryLevel, Zlib::Strategy::normal);
    std::string packed(stream.upper_bound(text.size()), '\0');
    Zlib::z_params parameters;
    parameters.next_in = text.data();
    parameters.avail_in = text.size();
    parameters.next_out = packed.data();
    parameters.avail_out = packed.size();
    boost::system::error_code error;
    stream.write(parameters, Zlib::Flush::finish, error);
    packed.resize(error == Zlib::error::end_of_stream ? parameters.total_out : 0);
    return packed;
}

std::error_code decompress(std::string_view packed, size_t limit, std::string &text)
{
    Zlib::inflate_stream stream;
    Zlib::z_params parameters;
    parameters.next_in = packed.data();
    parameters.avail_in = packed.size();
    text.clear();
    boost::system::error_code error;
    while (!error) {
        if (text.size() > limit) {
            return WireErrc::OutOfRange;
        }
        const size_t restored = text.size();
        text.resize(restored + pieceBytes);
        parameters.next_out = text.data() + restored;
        parameters.avail_out = pieceBytes;
        stream.write(parameters, Zlib::Flush::sync, error);
        text.resize(restored + pieceBytes - parameters.avail_out);
    }
    if (text.size() > limit) {
        return WireErrc::OutOfRange;
    }
    return error == Zlib::error::end_of_stream ? std::error_code() : make_error_code(WireErrc::WrongType);
}

} // namespace Burdockfield
