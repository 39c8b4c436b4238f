#include "core/memory_usage.hpp"

#include <fstream>
#include <malloc.h>
#include <string>

namespace marblewood::core {

std::optional<MemoryUsage> read_memory_usage() {
    std::ifstream status("/proc/self/status");
    MemoryUsage usage;
    for (std::string field; status >> field;) {
        if (field == "VmHWM:")
            status >> usage.peak_kb;
        else if (field == "VmRSS:" && status >> usage.resident_kb)
            return usage; // the peak precedes it
    }
    return std::nullopt;
}

void trim_heap() {
    ::malloc_trim(0);
}

} // namespace marblewood::core
