/**
 * @file exception.cpp
 * @brief Text of exceptions for the log.
 */
#include "exception_func.h"

#include <boost/core/demangle.hpp>
#include <typeinfo>

namespace Burdockfield {

ExceptionText describeException(const std::exception_ptr &exception)
{
    ExceptionText text;
    if (exception == nullptr) {
        return text;
    }
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &caught) {
        text.type_ = boost::core::demangle(typeid(caught).name());
        text.error_ = caught.what();
    } catch (...) {
        text.type_ = "unknown";
        text.error_ = "not a std::exception";
    }
    return text;
}

} // namespace Burdockfield
