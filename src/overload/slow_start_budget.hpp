/// \file
/// How much of a warming-up node's budget this host may use: by allocators' grants where hosts exchange
/// messages (Settings::peers), else in time slices. No I/O and no clock.
#pragma once

#include "overload/slow_start_allocator.hpp"
#include "overload/slow_start_time_slices.hpp"

#include <optional>

namespace marblewood::overload {

/// The guarantees are those of the two schemes; see their headers.
///
/// Threads: one owner, called from one thread. `now` and `started_at` are Unix time, on clocks that differ by
/// one slot at most; `started_at` is when this host, or the process it took over from, began to decide.
class SlowStartBudget {
public:
    explicit SlowStartBudget(const Settings &settings)
        : settings_(settings), time_slices_(settings), allocator_(settings) {}

    bool warming_up(const SlowStartNode &node, Micros now) const {
        return settings_.slow_start_window > 0 && now - node.slow_start_began < settings_.slow_start_duration;
    }

    /// Whether this host may send `units` to the node now. True for a node that is not warming up.
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const {
        if (!warming_up(node, now))
            return true;
        return settings_.peers ? allocator_.admits(node, units, now, started_at)
                               : time_slices_.admits(node, units, now, started_at);
    }

    /// Records a send that admits() allowed.
    void spend(SlowStartNode &node, double units, Micros now, Micros started_at) {
        if (!warming_up(node, now))
            return;
        if (settings_.peers)
            allocator_.spend(node, units, now, started_at);
        else
            time_slices_.spend(node, units, now);
    }

    /// Drops records that no longer count.
    void expire(SlowStartNode &node, Micros now) {
        if (settings_.peers)
            allocator_.expire(node, now);
        else
            time_slices_.expire(node, now);
    }

    /// A request for `units` to an allocator. Empty where none may help, or not yet again.
    std::optional<SendPeerMessage> request_grant(SlowStartNode &node, double units, Micros now) {
        if (!settings_.peers || !warming_up(node, now))
            return std::nullopt;
        return allocator_.request_grant(node, units, now);
    }

    /// To decode and answer what other hosts send.
    SlowStartAllocator &allocator() { return allocator_; }
    const SlowStartGrantMetrics &metrics() const { return allocator_.metrics(); }

private:
    Settings settings_;
    SlowStartTimeSlices time_slices_;
    SlowStartAllocator allocator_;
};

} // namespace marblewood::overload
