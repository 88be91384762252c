/**
 * @file vm_type.h
 * @brief Rows of the platform's list of VMs.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// What runs on a VM.
enum class VmRole : uint8_t {
    Entry, ///< An entry.
    Upstream, ///< An upstream with its agent.
};

/// VM as the platform lists it; the list lags.
struct Vm
{
    std::string name_; ///< Name of the VM.
    VmRole role_ = VmRole::Upstream; ///< What runs on it.
    std::string address_; ///< IP:PORT of the project's process on it.
    std::string region_; ///< Region.
    std::string zone_; ///< Availability zone.
    std::vector<std::string> routes_; ///< Models or services that an upstream was made for.
    bool leaving_ = false; ///< Whether the platform is about to take it away.
};

} // namespace Burdockfield
