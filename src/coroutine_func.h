/**
 * @file coroutine_func.h
 * @brief Start of coroutines.
 */
#pragma once

#include "exception_func.h"
#include "log_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <exception>
#include <string>
#include <utility>

namespace Burdockfield {

/**
 * Starts a coroutine. An exception that leaves it is logged as "coroutine-failed" and ends nothing else.
 * @param name what the coroutine does; a fixed string for the log
 * @param onFailure called after an exception, to release what the coroutine held
 */
template<typename Body, typename OnFailure>
void startCoroutine(boost::asio::io_context &io, std::string name, Body body, OnFailure onFailure)
{
    boost::asio::spawn(io, std::move(body),
        [name = std::move(name), onFailure = std::move(onFailure)](const std::exception_ptr &failure) {
            if (failure == nullptr) {
                return;
            }
            const ExceptionText text = describeException(failure);
            logLine(LogLevel::Error, "coroutine-failed",
                { { "coroutine", name }, { "type", text.type_ }, { "error", text.error_ } });
            onFailure();
        });
}

} // namespace Burdockfield
