/// \file
/// Injects failures of system calls into programs, by a fault plan and a random seed.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace test {

/// While an object of this class exists, programs that are started run with the faults of `plan`;
/// tests/faults/syscall_shim.cpp describes its format.
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
