/**
 * @file link_func.h
 * @brief Stand-in for the network between two processes: relays TCP, and can cut it or let it go silent.
 */
#pragma once

#include <string>

namespace Burdockfield::Standin {

/// Where a link leads.
struct LinkPlace
{
    std::string listen_; ///< IP:PORT that it takes connections on.
    std::string target_; ///< IP:PORT that it relays them to.
    std::string control_; ///< IP:PORT of its HTTP control, which takes the orders named at runLink().
};

/**
 * Runs a link until it is told to stop.
 *
 * After /swallow new connections carry nothing, also later on. After /silence the open connections carry nothing more
 * while new ones work, after /deafen nothing back to the caller; /reset resets the open ones. After /cut the open ones
 * are closed and new ones too, after /slow all are delayed, and after /thin all together carry 10 Mbit/s towards the
 * callers, until another order.
 * @return exit status of the process
 */
int runLink(const LinkPlace &place);

} // namespace Burdockfield::Standin
