#include "lab/scale/process_usage.hpp"

#include <fmt/format.h>
#include <fstream>
#include <string>

namespace marblewood::lab::scale {

ProcessUsage usage_of(pid_t pid) {
    ProcessUsage usage;
    std::ifstream status(fmt::format("/proc/{}/status", pid));
    for (std::string word; status >> word;)
        if (word == "VmRSS:") {
            status >> usage.memory_kb;
            break;
        }
    std::int64_t ran_ns = 0;
    std::ifstream(fmt::format("/proc/{}/schedstat", pid)) >> ran_ns;
    usage.cpu_s = static_cast<double>(ran_ns) / 1e9;
    return usage;
}

} // namespace marblewood::lab::scale
