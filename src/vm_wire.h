/**
 * @file vm_wire.h
 * @brief JSON codec of a row of the VM list.
 */
#pragma once

#include "vm_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Burdockfield {

constexpr std::string_view vmTable = "vms"; ///< Name of the table that holds the VM list, keyed by VM name.

/// @return JSON of a VM.
std::string serializeVm(const Vm &vm);

/// Parses the output of serializeVm(). @return a WireErrc on bad input.
std::error_code parseVm(std::string_view text, Vm &vm);

} // namespace Burdockfield
