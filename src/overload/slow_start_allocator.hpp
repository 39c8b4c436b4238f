// Cold allocators: where brokers may talk, what a node that has just started bears from all of them is given
// out by a few of them, on request. No I/O and no clock. Where they may not:
// src/overload/slow_start_time_slices.hpp.
//
// Bound promised. What all brokers together send such a node in any window W is at most C (the stated units),
// and from a declared start on C + E(t), E growing as slowly as the settings allow, t being the window's
// begin; whoever knows what and whatever becomes of datagrams and processes. A node has S allocators at any
// time, each for its own 1 / S of that. Who they are follows from the node's name and the clock alone: time
// is cut into epochs of kEpoch windows, those of the S allocators apart by 1 / S of an epoch. A allocator
// gives units out, to itself too, that may be spent for g from then on: the requester counts g from its
// request, by its own clock, which is earlier. So what is spent in a window [s, s + W] was given out within
// [s - g, s + W], and an allocator gives out only what keeps the sum of its grants over the last W + g within
// its part of C + E(now - W). It gives nothing in the first W + g + d of its epoch, d being the most by which
// clocks differ (a slot), nor of its process, since its forerunner's grants may still be spent. A grant
// answers one request, by its number, once; a datagram that is lost, late or doubled wastes what was given at
// the most.
#pragma once

#include "overload/slow_start_message.hpp"
#include "overload/slow_start_time_slices.hpp"

namespace marblewood::overload {

class SlowStartAllocator {
public:
    explicit SlowStartAllocator(const Settings &settings);

    // Whether a request of so many units may go there now. `born`: since when this process decides.
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const;
    void spend(SlowStartNode &node, double units, Micros now, Micros started_at);
    void expire(SlowStartNode &node, Micros now); // what no longer counts

    // A request for so many units: whom to ask and what to say; nothing where nobody can help, or not yet
    // again.
    std::optional<SendPeerMessage> request_grant(SlowStartNode &node, double units, Micros now);
    // What a peer says. Empty where it makes no sense, which is counted.
    std::optional<SlowStartMessage> decode(const std::string &data);
    std::optional<SendPeerMessage> answer_request(SlowStartNode &node, const SlowStartMessage &request,
                                                  int to, Micros now, Micros started_at);
    bool accept_grant(SlowStartNode &node, const SlowStartMessage &grant,
                      Micros now); // whether there is something to spend now

    const SlowStartGrantMetrics &metrics() const { return metrics_; }

private:
    Micros slot() const { return std::max<Micros>(1, set_.slow_start_window / 16); }
    Micros epoch() const;
    Micros holds() const; // us after a grant for which it counts: W + g, and some for clocks that run apart
    int allocator_at(const SlowStartNode &node, int nth, Micros now) const;
    double grants(const SlowStartNode &node, Micros now) const;
    // Which of the parts that this broker may give from now bears so many units.
    std::optional<int> part(const SlowStartNode &node, double units, Micros now, Micros started_at) const;
    void record_grant(SlowStartNode &node, double units, int part, Micros now);

    Settings set_;
    std::uint64_t requests_ = 0;
    SlowStartGrantMetrics metrics_;
};

} // namespace marblewood::overload
