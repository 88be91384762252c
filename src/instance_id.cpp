/**
 * @file instance_id.cpp
 * @brief Check of the ids of upstreams.
 */
#include "instance_id_func.h"

#include <algorithm>

namespace Burdockfield {

bool isInstanceId(std::string_view id)
{
    constexpr size_t maxKeyBytes = 200; // of the store
    const auto isVisible = [](char character) {
        return character > ' ' && character <= '~';
    };
    return !id.empty() && id.size() <= maxKeyBytes && std::all_of(id.begin(), id.end(), isVisible);
}

} // namespace Burdockfield
