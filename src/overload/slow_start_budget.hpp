// What a node that has just started may be sent from here: by the allocators' grants where brokers may talk,
// else in time slices. No I/O and no clock.
#pragma once

#include "overload/slow_start_allocator.hpp"

namespace marblewood::overload {

class SlowStartBudget {
public:
    explicit SlowStartBudget(const Settings &settings)
        : set_(settings), time_slices_(settings), allocator_(settings) {}

    bool warming_up(const SlowStartNode &node, Micros now) const {
        return set_.slow_start_window > 0 && now - node.slow_start_began < set_.slow_start_duration;
    }
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const {
        return !warming_up(node, now) || (set_.peers ? allocator_.admits(node, units, now, started_at)
                                                     : time_slices_.admits(node, units, now, started_at));
    }
    void spend(SlowStartNode &node, double units, Micros now, Micros started_at) {
        if (!warming_up(node, now))
            return;
        set_.peers ? allocator_.spend(node, units, now, started_at) : time_slices_.spend(node, units, now);
    }
    void expire(SlowStartNode &node, Micros now) {
        set_.peers ? allocator_.expire(node, now) : time_slices_.expire(node, now);
    }
    // A request for so many units, where it may help.
    std::optional<SendPeerMessage> request_grant(SlowStartNode &node, double units, Micros now) {
        return set_.peers && warming_up(node, now) ? allocator_.request_grant(node, units, now)
                                                   : std::nullopt;
    }
    SlowStartAllocator &allocator() { return allocator_; } // to read what others say, and answer
    const SlowStartGrantMetrics &metrics() const { return allocator_.metrics(); }

private:
    Settings set_;
    SlowStartTimeSlices time_slices_;
    SlowStartAllocator allocator_;
};

} // namespace marblewood::overload
