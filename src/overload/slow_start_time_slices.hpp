// Cold time slices: the share of what a node that has just started bears among brokers that can't talk. No
// I/O and no clock. Where they can: src/overload/slow_start_allocator.hpp.
//
// Bound promised. What all brokers together send such a node in any window W is at most C (the stated units),
// and from a declared start on C + E(t), growing as slowly as the settings allow, whoever knows what and
// whatever becomes of datagrams. Layer 0 shares out C by the absolute clock, to brokers that know of the
// start in whatever way; layer 1 shares out E, counted one window late, by the listed start, to those whose
// list has it. Each layer is shared out in parts (1 / brokers a window) where such a part holds a usual
// request of q units; else in time slices: time is cut into slots of W/m, and slot k belongs to the brokers
// numbered [A(k), A(k+1)), modulo all, with q units each that stay good for h slots more, and A a running sum
// of (total - q) /
// ((m+2+h) q). Proof: a window touches m+1 slots, m+2 where clocks differ by up to a slot, and time slices
// that began up to h slots before. Their brokers number at most A(k+m+2) - A(k-h) + 1 (rounding) <= (total -
// q) / q
// + 1 = total / q, so they send at most the total. Turns follow from the clock and the list alone: a restart
// changes none, and a fresh instance sends nothing to a cold node for a window, since its forerunner may just
// have. Between time slices and parts lies an empty window.
#pragma once

#include "marblewood/scheduler.hpp"

#include <deque>

namespace marblewood::overload {

struct SlowStartNode {                       // what a broker knows of a node, as far as its starts go
    NodeEntry entry;                         // as listed
    Micros slow_start_began = INT64_MIN / 4; // its last start
    bool start_listed = false;               // by the list
    std::deque<HandoverState::SlowStartSend>
        sends;              // of own parts and time slices; as an allocator: given out
    struct PendingRequest { // for a time slice, not yet answered
        std::uint64_t number = 0;
        Micros at = 0;
    };
    std::deque<PendingRequest> pending_requests;
    struct Grant {
        Micros until = 0;
        double units = 0;
    };
    std::deque<Grant> grants;
    int next_allocator = 0; // counts requests, so that each goes to another allocator
    Micros last_request_at = INT64_MIN / 4;
    Micros request_backoff = 0;
};

class SlowStartTimeSlices {
public:
    explicit SlowStartTimeSlices(const Settings &settings) : set_(settings) {}

    // Whether a request of so many units may go there now. `born`: since when this instance decides.
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const;
    void spend(SlowStartNode &node, double units, Micros now);
    void expire(SlowStartNode &node, Micros now) const; // what no longer counts

private:
    Micros slot() const;
    double usual() const;
    double grown_a_slot() const;
    double total(const SlowStartNode &node, int layer, Micros at) const;
    double slices(int layer, double k) const;
    double left(const SlowStartNode &node, int layer,
                Micros now) const; // of the layer's share, to this broker, now

    Settings set_;
};

} // namespace marblewood::overload
