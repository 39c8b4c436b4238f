/// \file
/// Divides the slow-start budget of a node among hosts that cannot exchange messages. For hosts that can, see
/// overload/slow_start_allocator.hpp. No I/O and no clock.
///
/// Guarantee. Let C be the budget at the start (Settings::slow_start_units) and E(t) its growth since a
/// listed start, as slow as the settings allow. In any window of length W (Settings::slow_start_window),
/// all hosts together send at most C to the node, and after a listed start at most C + E(t), where t is the
/// beginning of the window. This covers the hosts that know of the start, for any number of them and
/// regardless of message loss. A host that does not know of the start is bounded only by its concurrency
/// limit.
///
/// Rule. Layer 0 divides C by absolute time, among hosts that know of the start from any source. Layer 1
/// divides E, delayed by one window, by the time since the listed start, among hosts whose list has the
/// start. A layer is divided evenly (1 / hosts in each window) if such a part suffices for one typical
/// request of q units. Otherwise it is divided into time slices: time is divided into slots of W / m. Slot k
/// belongs to the hosts with the indexes [A(k), A(k+1)), modulo the number of hosts, with q units each that
/// can be spent for h more slots, where A is a running sum of (total - q) / ((m + 2 + h) q). Between the use
/// of time slices and of even parts, nothing is sent for one window.
///
/// Proof. A window touches m + 1 slots, m + 2 if clocks differ by up to a slot, and time slices that began up
/// to h slots earlier. The number of their hosts is at most A(k+m+2) - A(k-h) + 1 (rounding) <= (total - q) /
/// q + 1 = total / q, so they send at most the total.
///
/// Which host has a slice depends only on the clock and the endpoint list, so a restart of a host changes
/// nothing. A host that has just started sends nothing to the node for one window, since the preceding
/// process may have sent just before.
#pragma once

#include "overload/slow_start_node.hpp"

#include <optional>

namespace marblewood::overload {

/// Immutable; a SlowStartNode must not be used by several threads at once. `now` and `started_at` are Unix
/// time, on clocks that differ by at most one slot; `started_at` is when this process, or the first one of
/// its hot restarts, began to schedule.
class SlowStartTimeSlices {
public:
    explicit SlowStartTimeSlices(const Settings &settings) : settings_(settings) {}

    /// Whether this host may send `units` to the node now.
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const;
    /// Records a send that admits() allowed.
    void spend(SlowStartNode &node, double units, Micros now) const;
    /// Drops records that no longer count against the budget.
    void expire(SlowStartNode &node, Micros now) const;

private:
    /// This host may send `units`, less its sends since `since`.
    struct Allowance {
        double units = 0;
        Micros since = 0;
    };

    Micros slot_length() const;
    double typical_request_units() const;
    double growth_per_slot() const;
    double layer_budget(const SlowStartNode &node, int layer, Micros at) const;
    double slices_before(int layer, double slot) const;
    bool owns_time_slice(const SlowStartNode &node, int layer, Micros now) const;
    std::optional<Allowance> time_slice(const SlowStartNode &node, int layer, Micros now) const;
    std::optional<Allowance> allowance(const SlowStartNode &node, int layer, Micros now) const;
    double available(const SlowStartNode &node, int layer, Micros now) const;

    Settings settings_;
};

} // namespace marblewood::overload
