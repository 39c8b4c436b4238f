#include "app/process_monitor.hpp"

#include "core/log.hpp"

#include <utility>

namespace marblewood::app {
namespace {

constexpr Micros kSampleInterval = 1'000'000;
constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr Micros kMicrosPerMillisecond = 1000;

} // namespace

ProcessMonitor::ProcessMonitor(core::Deadlines &deadlines, std::function<ProcessState()> read)
    : deadlines_(deadlines), read_(std::move(read)) {
    schedule();
}

void ProcessMonitor::schedule() {
    due_ = deadlines_.clock.now() + kSampleInterval;
    timer_ = deadlines_.at(due_, [this] {
        sample();
        schedule();
    });
}

void ProcessMonitor::sample() {
    const Micros late = deadlines_.clock.now() - due_;
    const core::MemoryUsage memory = core::read_memory_usage().value_or(core::MemoryUsage{});
    const ProcessState state = read_();
    trim_heap(memory, state.memory_limit_bytes);
    const bool exhausted = state.reserved_bytes >= state.reserved_limit_bytes;
    const bool changed = std::exchange(exhausted_, exhausted) != exhausted;
    const bool grown = memory.resident_kb >= logged_resident_kb_ + kLoggedGrowthKb;
    if (!grown && !changed && late < kLoggedLateness)
        return;
    logged_resident_kb_ = memory.resident_kb;
    core::log("process_sample resident_kb={} peak_kb={} reserved_kb={} reserved_limit_kb={} clients={} "
              "closing={} open_requests={} quota_accounts={} loop_late_ms={} busiest_client={} "
              "busiest_received={}",
              memory.resident_kb, memory.peak_kb, state.reserved_bytes / kBytesPerKilobyte,
              state.reserved_limit_bytes / kBytesPerKilobyte, state.clients_open, state.clients_closing,
              state.open_requests, state.quota_accounts, late / kMicrosPerMillisecond, state.busiest_client,
              state.busiest_received);
}

void ProcessMonitor::trim_heap(const core::MemoryUsage &memory, std::size_t limit_bytes) {
    if (memory.resident_kb * kBytesPerKilobyte < limit_bytes / kTrimAboveDivisor)
        return;
    const Micros started_at = deadlines_.clock.now();
    core::trim_heap();
    const Micros took = deadlines_.clock.now() - started_at;
    const core::MemoryUsage after = core::read_memory_usage().value_or(memory);
    if (after.resident_kb + kLoggedGrowthKb <= memory.resident_kb)
        core::log("heap_trimmed resident_kb={} before_kb={} took_us={}", after.resident_kb,
                  memory.resident_kb, took);
}

} // namespace marblewood::app
