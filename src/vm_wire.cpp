/**
 * @file vm_wire.cpp
 * @brief JSON codec of a row of the VM list.
 */
#include "vm_wire.h"

#include "json_func.h"
#include "table/wire_names.h"

namespace Burdockfield {

std::string serializeVm(const Vm &vm)
{
    return Json::serialize(Json::object{ { "name", vm.name_ }, { "role", nameOf(vm.role_, vmRoleNames) },
        { "address", vm.address_ }, { "region", vm.region_ }, { "zone", vm.zone_ },
        { "routes", Json::array(vm.routes_.begin(), vm.routes_.end()) }, { "leaving", vm.leaving_ } });
}

std::error_code parseVm(std::string_view text, Vm &vm)
{
    Json::value document;
    JsonReader reader = readJsonObject(text, document);
    read(reader, "name", vm.name_);
    readName(reader, "role", vm.role_, vmRoleNames);
    read(reader, "address", vm.address_);
    read(reader, "region", vm.region_);
    read(reader, "zone", vm.zone_);
    read(reader, "routes", vm.routes_, Presence::Optional);
    read(reader, "leaving", vm.leaving_, Presence::Optional);
    return reader.error_;
}

} // namespace Burdockfield
