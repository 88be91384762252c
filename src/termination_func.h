/**
 * @file termination_func.h
 * @brief Log lines of a process that ends unintentionally.
 */
#pragma once

#include <string>

namespace Burdockfield {

/**
 * Makes the process log why it ends: "ended-by-exception" for an exception that nothing catches, after the lines that
 * are queued, and "ended-by-signal" for a fault such as an invalid access or an abort, at once. Its exit status stays
 * that of the signal.
 * @param node value of the member "node" of the lines
 */
void installTerminationHandlers(const std::string &node);

} // namespace Burdockfield
