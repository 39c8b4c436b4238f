// What a process has used so far, as the system counts it.
#pragma once

#include <cstdint>
#include <sys/types.h>

namespace marblewood::lab::scale {

struct ProcessUsage {
    std::int64_t memory_kb = 0; // resident
    double cpu_s = 0;           // of its main thread; all programs here have one
};
/// All 0 where there is no such process.
ProcessUsage usage_of(pid_t pid);

} // namespace marblewood::lab::scale
