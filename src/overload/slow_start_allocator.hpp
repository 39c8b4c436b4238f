/// \file
/// Divides the slow-start budget of a node among hosts that exchange messages: a few of them, the node's
/// allocators, grant parts of the budget on request. For hosts that cannot exchange messages, see
/// overload/slow_start_time_slices.hpp. No I/O and no clock.
///
/// Guarantee. Let C be the budget at the start (Settings::slow_start_units) and E(t) its growth since a
/// listed start, as slow as the settings allow. In any window of length W (Settings::slow_start_window),
/// all hosts together send at most C to the node, and after a listed start at most C + E(t), where t is the
/// beginning of the window. This covers the hosts that know of the start, for any number of them and
/// regardless of message loss and process restarts. A host that does not know of the start is bounded only by
/// its concurrency limit.
///
/// Rule. A node has S allocators at any time, each for 1 / S of the budget. Which hosts they are depends only
/// on the node's name and the clock: time is divided into epochs of kEpochWindows windows, and the epochs of
/// the S parts are offset by 1 / S of an epoch. An allocator grants units, also to itself, that may be spent
/// for a time g after the grant. The requester measures g by its own clock from its request, which is
/// earlier.
///
/// Proof. What is spent in a window [s, s + W] was granted within [s - g, s + W]. An allocator keeps the
/// sum of its grants over the last W + g within its part of C + E(now - W). It grants nothing in the first W
/// + g + d of its epoch, where d is the largest difference between clocks (one slot), nor in that time after
/// its own start, since grants of the preceding allocator or process may still be spent. Each grant is
/// accepted once and only for the request whose number it carries, so a datagram that is lost, late or
/// duplicated can only waste the granted units.
#pragma once

#include "overload/request_numbers.hpp"
#include "overload/slow_start_message.hpp"
#include "overload/slow_start_node.hpp"

#include <optional>
#include <string>

namespace marblewood::overload {

/// Not thread-safe. `now` and `started_at` are Unix time, on clocks that differ by at most one slot;
/// `started_at` is when this process, or the first one of its hot restarts, began to schedule.
class SlowStartAllocator {
public:
    explicit SlowStartAllocator(const Settings &settings) : settings_(settings) {}

    /// Whether this host may send `units` to the node now, from grants or as an allocator.
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const;
    /// Records a send that admits() allowed.
    void spend(SlowStartNode &node, double units, Micros now, Micros started_at);
    /// Drops records that no longer count against the budget.
    void expire(SlowStartNode &node, Micros now);

    /// Returns a request for `units` to an allocator. Empty during the backoff, and if this host is the only
    /// allocator.
    std::optional<SendPeerMessage> request_grant(SlowStartNode &node, double units, Micros now);
    /// Empty for a malformed datagram, which is counted in the metrics.
    std::optional<SlowStartMessage> decode(const std::string &data);
    /// Returns the grant for a request from host `to`. Empty if this host may not grant that much now.
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
