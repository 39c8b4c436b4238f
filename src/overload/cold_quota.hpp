// What a node that has just started may be sent from here: by the allocators' grants where brokers may talk,
// else in time slices. No I/O and no clock.
#pragma once

#include "overload/cold_allocator.hpp"

namespace marblewood::overload {

class ColdQuota {
public:
    explicit ColdQuota(const Settings &settings)
        : set_(settings), time_slices_(settings), allocator_(settings) {}

    bool cold(const ColdNode &node, Micros now) const {
        return set_.slow_start_window > 0 && now - node.cold_since < set_.slow_start_duration;
    }
    bool bears(const ColdNode &node, double units, Micros now, Micros born) const {
        return !cold(node, now) || (set_.peers ? allocator_.bears(node, units, now, born)
                                               : time_slices_.bears(node, units, now, born));
    }
    void spend(ColdNode &node, double units, Micros now, Micros born) {
        if (!cold(node, now))
            return;
        set_.peers ? allocator_.spend(node, units, now, born) : time_slices_.spend(node, units, now);
    }
    void forget(ColdNode &node, Micros now) {
        set_.peers ? allocator_.forget(node, now) : time_slices_.forget(node, now);
    }
    // A request for so many units, where it may help.
    std::optional<SendPeerMessage> ask(ColdNode &node, double units, Micros now) {
        return set_.peers && cold(node, now) ? allocator_.ask(node, units, now) : std::nullopt;
    }
    ColdAllocator &allocator() { return allocator_; } // to read what others say, and answer
    const SlowStartGrantMetrics &figures() const { return allocator_.figures(); }

private:
    Settings set_;
    ColdTimeSlices time_slices_;
    ColdAllocator allocator_;
};

} // namespace marblewood::overload
