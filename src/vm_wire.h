/**
 * @file vm_wire.h
 * @brief JSON of a VM in the VM list.
 */
#pragma once

#include "vm_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

constexpr std::string_view vmTable = "vms"; ///< Table of the VM list, by name of the VM.

/// @return JSON of a VM.
std::string serializeVm(const Vm &vm);

/// Parses a VM. @return a WireErrc on bad input.
std::error_code parseVm(std::string_view text, Vm &vm);

} // namespace Burdockfield
