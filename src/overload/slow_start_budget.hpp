/// \file
/// Decides how much of a node's slow-start budget this host may use: by the grants of allocators if hosts
/// exchange messages (Settings::peers), otherwise by time slices. No I/O and no clock.
#pragma once

#include "overload/slow_start_allocator.hpp"
#include "overload/slow_start_time_slices.hpp"

#include <optional>

namespace marblewood::overload {

/// See SlowStartAllocator and SlowStartTimeSlices for the guarantees.
///
/// Not thread-safe. `now` and `started_at` are Unix time, on clocks that differ by at most one slot;
/// `started_at` is when this process, or the first one of its hot restarts, began to schedule.
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

    /// Drops records that no longer count against the budget.
    void expire(SlowStartNode &node, Micros now) {
        if (settings_.peers)
            allocator_.expire(node, now);
        else
            time_slices_.expire(node, now);
    }

    /// Returns a request for `units` to an allocator. Empty if no other host can grant them, or during the
    /// backoff.
    std::optional<SendPeerMessage> request_grant(SlowStartNode &node, double units, Micros now) {
        if (!settings_.peers || !warming_up(node, now))
            return std::nullopt;
        return allocator_.request_grant(node, units, now);
    }

    /// Decodes and answers the datagrams of other hosts.
    SlowStartAllocator &allocator() { return allocator_; }
    const SlowStartGrantMetrics &metrics() const { return allocator_.metrics(); }

private:
    Settings settings_;
    SlowStartTimeSlices time_slices_;
    SlowStartAllocator allocator_;
};

} // namespace marblewood::overload
