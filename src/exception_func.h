/**
 * @file exception_func.h
 * @brief Text of exceptions for the log.
 */
#pragma once

#include <exception>
#include <string>

namespace Burdockfield {

/// Description of an exception.
struct ExceptionText
{
    std::string type_ = "none"; ///< Name of its type.
    std::string error_ = "no exception"; ///< What it says.
};

/// Describes @p exception, which may be empty.
ExceptionText describeException(const std::exception_ptr &exception);

} // namespace Burdockfield
