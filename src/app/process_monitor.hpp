/// \file
/// Logs the state of the process when it grows, falls behind or runs short of memory for clients, and gives
/// freed memory back to the system.
#pragma once

#include "core/deadlines.hpp"
#include "core/memory_usage.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace marblewood::app {

/// What a line of the log says besides the memory that the operating system counts.
struct ProcessState {
    std::size_t reserved_bytes = 0;       ///< of the budget for clients' requests and answers
    std::size_t reserved_limit_bytes = 0; ///< beyond which new work is refused
    std::size_t memory_limit_bytes = 0;   ///< of the process
    std::size_t clients_open = 0;
    std::size_t clients_closing = 0;
    std::size_t open_requests = 0;
    std::size_t quota_accounts = 0;     ///< volumes that this host accounts for
    std::uint64_t busiest_client = 0;   ///< its connection's number; 0: no client has sent anything
    std::uint64_t busiest_received = 0; ///< bytes received from it since the last sample
    bool operator==(const ProcessState &) const = default;
};

/// Samples the process once a second. Logs "process_sample resident_kb=N peak_kb=N reserved_kb=N
/// reserved_limit_kb=N clients=N closing=N open_requests=N quota_accounts=N loop_late_ms=N busiest_client=N
/// busiest_received=N" if resident memory has grown by kLoggedGrowthKb since the last line, if the sample is
/// at least kLoggedLateness late because the event loop was busy, or if the budget has become exhausted or
/// available again.
class ProcessMonitor {
public:
    static constexpr std::size_t kLoggedGrowthKb = 1024;
    static constexpr Micros kLoggedLateness = 20'000;

    /// Freed memory is given back while resident memory is above this part of the limit.
    static constexpr std::size_t kTrimAboveDivisor = 3;

    ProcessMonitor(core::Deadlines &deadlines, std::function<ProcessState()> read);

private:
    void schedule();
    void sample();
    void trim_heap(const core::MemoryUsage &memory, std::size_t limit_bytes);

    core::Deadlines &deadlines_;
    std::function<ProcessState()> read_;
    Micros due_ = 0;
    std::size_t logged_resident_kb_ = 0;
    bool exhausted_ = false;
    core::Deadlines::Entry timer_;
};

} // namespace marblewood::app
