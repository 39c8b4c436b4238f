/// \file
/// The memory of this process as the operating system counts it.
#pragma once

#include <cstddef>
#include <optional>

namespace marblewood::core {

struct MemoryUsage {
    std::size_t resident_kb = 0;
    std::size_t peak_kb = 0; ///< the largest value of `resident_kb` since the process started
};

/// Reads /proc/self/status; empty if it cannot be read.
std::optional<MemoryUsage> read_memory_usage();

/// Gives the pages of freed memory back to the system, which the C library keeps otherwise. Takes some ms.
void trim_heap();

} // namespace marblewood::core
