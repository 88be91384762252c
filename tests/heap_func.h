/**
 * @file heap_func.h
 * @brief Memory that a test has allocated, and the smallest machine that it has to fit.
 */
#pragma once

#include <cstddef>
#include <malloc.h>

namespace Burdockfield::Testing {

constexpr size_t smallestMemory = 88U << 20U; ///< Memory of the smallest machine.
constexpr size_t heldBound = smallestMemory * 6 / 10; ///< What a process may hold there for others.

/// @return bytes that are allocated on the heap of this process; 0 with a sanitizer's allocator.
inline size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// @return bytes allocated since @p before.
inline size_t heapGrowth(size_t before)
{
    const size_t now = heapBytes();
    return now > before ? now - before : 0;
}

} // namespace Burdockfield::Testing
