/**
 * @file call_number.cpp
 * @brief Numbers of the calls between this system's own nodes.
 */
#include "call_number_func.h"

#include "http_func.h"

#include <boost/beast/core/string.hpp>

namespace Burdockfield {

std::optional<uint64_t> findCallNumber(const HttpHeaders &headers)
{
    std::optional<uint64_t> number;
    for (const auto &[name, value] : headers) {
        if (boost::beast::iequals(name, callNumberHeader)) {
            number = number ? 0 : parseNumberOr(value, 0); // two numbers name no call
        }
    }
    return number;
}

bool isExtraReply(uint64_t expected, const HttpHeaders &reply)
{
    return expected != 0 && findCallNumber(reply).value_or(expected) != expected;
}

} // namespace Burdockfield
