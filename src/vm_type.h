/**
 * @file vm_type.h
 * @brief Rows of the platform's list of VMs.
 */
#pragma once

#include <string>
#include <vector>

namespace Burdockfield {

/// VM as the platform lists it; the list lags.
struct Vm
{
    std::string name_; ///< Name of the VM.
    std::string role_; ///< "entry" or "upstream".
    std::string address_; ///< IP:PORT of the project's process on it.
    std::string region_; ///< Region.
    std::string zone_; ///< Availability zone.
    std::vector<std::string> routes_; ///< Models or services that an upstream was made for.
    bool leaving_ = false; ///< Whether the platform is about to take it away.
};

} // namespace Burdockfield
