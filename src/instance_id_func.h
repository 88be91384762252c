/**
 * @file instance_id_func.h
 * @brief Check of the ids of upstreams.
 */
#pragma once

#include <string_view>

namespace Burdockfield {

/**
 * @return whether an upstream can have this id: 1 to 200 visible ASCII characters. Ids are keys of the store, which any
 * writer chooses, and are sent in headers.
 */
bool isInstanceId(std::string_view id);

} // namespace Burdockfield
