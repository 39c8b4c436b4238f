#include "overload/slow_start_time_slices.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::overload {
namespace {

// The layers of the budget, as recorded in HandoverState::SlowStartSend.
constexpr int kBaseLayer = 0;   // C
constexpr int kGrowthLayer = 1; // E

constexpr int kSlotsPerWindow = 16; // m; with more slots, less is lost to rounding
constexpr int kSpendableSlots = 32; // h; in a longer slice, it is more likely that there is a request to send
/// A window touches m + 2 slots: it is not aligned to them, and clocks differ by up to a slot.
constexpr int kWindowMarginSlots = 2;
constexpr int kShardStride = 97; // offset, in hosts, between the turns for consecutive shards

} // namespace

double SlowStartTimeSlices::typical_request_units() const {
    return std::ceil(settings_.mean_request_units);
}

Micros SlowStartTimeSlices::slot_length() const {
    return std::max<Micros>(1, settings_.slow_start_window / kSlotsPerWindow);
}

/// The minimum growth of E in a slot.
double SlowStartTimeSlices::growth_per_slot() const {
    return settings_.slow_start_units * (1 / settings_.slow_start_initial_fraction - 1) *
           static_cast<double>(slot_length()) / static_cast<double>(settings_.slow_start_duration);
}

/// The units of the layer in a window, for all hosts together.
double SlowStartTimeSlices::layer_budget(const SlowStartNode &node, int layer, Micros at) const {
    if (layer == kBaseLayer)
        return settings_.slow_start_units;
    if (!node.start_listed)
        return 0;
    const Micros age = at - node.slow_start_began - settings_.slow_start_window;
    const Micros whole_slots = age / slot_length() - kWindowMarginSlots;
    return growth_per_slot() * std::max(0.0, static_cast<double>(whole_slots));
}

/// A(slot): the number of time slices assigned before that slot.
double SlowStartTimeSlices::slices_before(int layer, double slot) const {
    const double units_per_slice =
        (kSlotsPerWindow + kWindowMarginSlots + kSpendableSlots) * typical_request_units();
    if (layer == kBaseLayer) {
        const double units_per_slot = std::max(0.0, settings_.slow_start_units - typical_request_units());
        return std::floor(slot * units_per_slot / units_per_slice);
    }
    // Slots in which E, one window late, exceeds one typical request.
    const double growing_slots = std::max(0.0, slot - kSlotsPerWindow - (kWindowMarginSlots + 1) -
                                                   std::ceil(typical_request_units() / growth_per_slot()));
    return std::floor(growth_per_slot() * growing_slots * (growing_slots - 1) / 2 / units_per_slice);
}

bool SlowStartTimeSlices::owns_time_slice(const SlowStartNode &node, int layer, Micros now) const {
    const Micros elapsed = layer == kBaseLayer ? now : now - node.slow_start_began;
    const std::int64_t slot = elapsed / slot_length();
    // The range of hosts whose slices can be spent in this slot; it wraps around at the number of hosts.
    const auto first =
        static_cast<std::int64_t>(slices_before(layer, static_cast<double>(slot - kSpendableSlots)));
    const auto last = static_cast<std::int64_t>(slices_before(layer, static_cast<double>(slot + 1)));
    const std::int64_t own = settings_.position + static_cast<std::int64_t>(node.entry.shard) * kShardStride;
    const std::int64_t hosts = settings_.hosts;
    return ((own - first) % hosts + hosts) % hosts < last - first;
}

/// What this host may send from its time slice. Empty if it has none now.
std::optional<SlowStartTimeSlices::Allowance> SlowStartTimeSlices::time_slice(const SlowStartNode &node,
                                                                              int layer, Micros now) const {
    if (layer_budget(node, layer, now) / settings_.hosts >= typical_request_units())
        return std::nullopt; // the idle window between the use of time slices and of even parts
    if (!owns_time_slice(node, layer, now))
        return std::nullopt;
    return Allowance{typical_request_units(), now - (kSpendableSlots + 1) * slot_length()};
}

std::optional<SlowStartTimeSlices::Allowance> SlowStartTimeSlices::allowance(const SlowStartNode &node,
                                                                             int layer, Micros now) const {
    if (layer == kGrowthLayer && !node.start_listed)
        return std::nullopt;
    const Micros window_start = now - settings_.slow_start_window;
    const double even_part = layer_budget(node, layer, window_start) / settings_.hosts;
    if (even_part < typical_request_units())
        return time_slice(node, layer, now);
    return Allowance{even_part, window_start};
}

/// The units of the layer that this host may send now.
double SlowStartTimeSlices::available(const SlowStartNode &node, int layer, Micros now) const {
    const std::optional<Allowance> allowed = allowance(node, layer, now);
    if (!allowed)
        return 0;
    double units = allowed->units;
    for (const HandoverState::SlowStartSend &send : node.sends)
        if (send.layer == layer && send.at >= allowed->since)
            units -= send.units;
    return std::max(0.0, units);
}

bool SlowStartTimeSlices::admits(const SlowStartNode &node, double units, Micros now,
                                 Micros started_at) const {
    if (now - started_at < settings_.slow_start_window)
        return false;
    return units <= available(node, kBaseLayer, now) || units <= available(node, kGrowthLayer, now);
}

void SlowStartTimeSlices::spend(SlowStartNode &node, double units, Micros now) const {
    const int layer = units <= available(node, kBaseLayer, now) ? kBaseLayer : kGrowthLayer;
    node.sends.push_back({now, units, layer});
}

void SlowStartTimeSlices::expire(SlowStartNode &node, Micros now) const {
    const Micros slice_length = (kSpendableSlots + 1) * slot_length();
    const Micros retention =
        std::max(settings_.slow_start_window, slice_length) + settings_.slow_start_window;
    while (!node.sends.empty() && node.sends.front().at < now - retention)
        node.sends.pop_front();
}

} // namespace marblewood::overload
