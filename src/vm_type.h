/**
 * @file vm_type.h
 * @brief Rows of the platform's VM list.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockfield {

/// Kind of process that a VM runs.
enum class VmRole : uint8_t {
    Entry, ///< An entry.
    Upstream, ///< An upstream with its agent.
};

/// VM as the platform lists it. The list may be out of date.
struct Vm
{
    std::string name_; ///< Unique name.
    VmRole role_ = VmRole::Upstream; ///< Kind of process that it runs.
    std::string address_; ///< IP:PORT of the entry or agent on it.
    std::string region_; ///< Region of the zone.
    std::string zone_; ///< Availability zone.
    std::vector<std::string> routes_; ///< Models or services that an upstream was created to serve.
    bool leaving_ = false; ///< Whether the platform is about to remove it.
};

} // namespace Burdockfield
