/// \file
/// Divides the slow-start budget of a node among hosts that exchange messages: a few hosts, its allocators,
/// grant parts of the budget on request. Where hosts cannot exchange messages:
/// overload/slow_start_time_slices.hpp. No I/O and no clock.
///
/// Guarantee. Let C be the budget at the start (Settings::slow_start_units) and E(t) its growth since a
/// listed start, as slow as the settings allow. What all hosts together send to the node in any window of
/// length W (Settings::slow_start_window) is at most C, and after a listed start at most C + E(t), t being
/// the beginning of the window. This holds for the hosts that know of the start, however many they are, and
/// whatever happens to messages and processes. A host that does not know of it is held by its concurrency
/// limit alone.
///
/// Rule. A node has S allocators at any time, each for 1 / S of the budget. Which hosts they are follows from
/// the node's name and the clock alone: time is cut into epochs of kEpochWindows windows, and the epochs of
/// the S parts are offset by 1 / S of an epoch. An allocator grants units, to itself too, that may be spent
/// for a time g from the grant on. The requester counts g from its request, which is earlier, by its own
/// clock.
///
/// Proof. What is spent in a window [s, s + W] was granted within [s - g, s + W]. An allocator grants only
/// what keeps the sum of its grants over the last W + g within its part of C + E(now - W). It grants nothing
/// in the first W + g + d of its epoch, d being the largest difference between clocks (one slot), nor in that
/// time after its own start, since grants of the allocator or process before it may still be spent. A grant
/// answers one request, by its number, once: a datagram that is lost, late or duplicated can only waste what
/// was granted.
#pragma once

#include "overload/request_numbers.hpp"
#include "overload/slow_start_message.hpp"
#include "overload/slow_start_node.hpp"

#include <optional>
#include <string>

namespace marblewood::overload {

/// Threads: one owner, called from one thread. `now` and `started_at` are Unix time, on clocks that differ by
/// one slot at most; `started_at` is when this host, or the process it took over from, began to decide.
class SlowStartAllocator {
public:
    explicit SlowStartAllocator(const Settings &settings) : settings_(settings) {}

    /// Whether this host may send `units` to the node now: from grants, or as an allocator.
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const;
    /// Records a send that admits() allowed.
    void spend(SlowStartNode &node, double units, Micros now, Micros started_at);
    /// Drops records that no longer count.
    void expire(SlowStartNode &node, Micros now);

    /// A request for `units`, addressed to an allocator. Empty while the backoff lasts, and where this host
    /// is the only allocator.
    std::optional<SendPeerMessage> request_grant(SlowStartNode &node, double units, Micros now);
    /// Empty for a malformed datagram, which is counted.
    std::optional<SlowStartMessage> decode(const std::string &data);
    /// The grant for a request from host `to`. Empty if this host may not grant that much now.
    std::optional<SendPeerMessage> answer_request(SlowStartNode &node, const SlowStartMessage &request,
                                                  int to, Micros now, Micros started_at);
    /// Whether the grant answers a pending request in time, so that its units may be spent.
    bool accept_grant(SlowStartNode &node, const SlowStartMessage &grant, Micros now);

    const SlowStartGrantMetrics &metrics() const { return metrics_; }

private:
    Micros slot_length() const;
    Micros epoch_length() const;
    Micros grant_span() const;
    Micros epoch_clock(int part, Micros now) const;
    int allocator_of(const SlowStartNode &node, int part, Micros now) const;
    double budget(const SlowStartNode &node, Micros now) const;
    double granted_units(const SlowStartNode &node, Micros now) const;
    bool may_grant_part(const SlowStartNode &node, int part, Micros now) const;
    std::optional<int> part_with_room(const SlowStartNode &node, double units, Micros now,
                                      Micros started_at) const;
    std::optional<int> next_allocator(SlowStartNode &node, Micros now) const;

    Settings settings_;
    RequestNumbers request_numbers_;
    SlowStartGrantMetrics metrics_;
};

} // namespace marblewood::overload
