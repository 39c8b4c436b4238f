// System calls that fail in a program, by a plan and a seed.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace test {

/// Programs started while one of these lives have the faults of a plan (tests/faults/syscall_shim.cpp says
/// how it is written).
class SyscallFaults {
public:
    SyscallFaults(const std::string &plan, std::uint64_t seed) {
        ::setenv("LD_PRELOAD", SYSCALL_SHIM, 1);
        ::setenv("SYSCALL_FAULTS", plan.c_str(), 1);
        ::setenv("SYSCALL_SEED", std::to_string(seed).c_str(), 1);
    }
    ~SyscallFaults() {
        ::unsetenv("LD_PRELOAD");
        ::unsetenv("SYSCALL_FAULTS");
        ::unsetenv("SYSCALL_SEED");
    }
    SyscallFaults(const SyscallFaults &) = delete;
    SyscallFaults &operator=(const SyscallFaults &) = delete;
};

} // namespace test
