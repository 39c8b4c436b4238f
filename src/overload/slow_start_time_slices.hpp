/// \file
/// Divides the slow-start budget of a node among hosts that cannot exchange messages.
/// Where they can: overload/slow_start_allocator.hpp. No I/O and no clock.
///
/// Guarantee. Let C be the budget at the start (Settings::slow_start_units) and E(t) its growth since a
/// listed start, as slow as the settings allow. What all hosts together send to the node in any window of
/// length W (Settings::slow_start_window) is at most C, and after a listed start at most C + E(t), t being
/// the beginning of the window. This holds for the hosts that know of the start, however many they are, and
/// whatever happens to messages. A host that does not know of it is held by its concurrency limit alone.
///
/// Rule. Layer 0 divides C by the absolute clock, among hosts that know of the start from any source. Layer 1
/// divides E, counted one window late, by the listed start, among hosts whose list has it. A layer is divided
/// evenly (1 / hosts in each window) if such a part holds one typical request of q units. Otherwise it is
/// divided in time slices: time is cut into slots of W / m. Slot k belongs to the hosts numbered
/// [A(k), A(k+1)), modulo all hosts, with q units each that can be spent for h more slots, where A is a
/// running sum of (total - q) / ((m + 2 + h) q). An empty window lies between time slices and even parts.
///
/// Proof. A window touches m + 1 slots, m + 2 if clocks differ by up to a slot, and time slices that began up
/// to h slots earlier. Their hosts number at most A(k+m+2) - A(k-h) + 1 (rounding) <= (total - q) / q + 1 =
/// total / q, so that they send at most the total.
///
/// Whose turn it is follows from the clock and the endpoint list alone: a restart of a host changes nothing.
/// A host that has just started sends nothing to the node for one window, since the process before it may
/// just have sent.
#pragma once

#include "overload/slow_start_node.hpp"

#include <optional>

namespace marblewood::overload {

/// Threads: const; a SlowStartNode belongs to one thread. `now` and `started_at` are Unix time, on the clock
/// that all hosts share; `started_at` is when this host, or the process it took over from, began to decide.
class SlowStartTimeSlices {
public:
    explicit SlowStartTimeSlices(const Settings &settings) : settings_(settings) {}

    /// Whether this host may send `units` to the node now.
    bool admits(const SlowStartNode &node, double units, Micros now, Micros started_at) const;
    /// Records a send that admits() allowed.
    void spend(SlowStartNode &node, double units, Micros now) const;
    /// Drops records that no longer count.
    void expire(SlowStartNode &node, Micros now) const;

private:
    /// What this host may send, less its sends since a time.
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
