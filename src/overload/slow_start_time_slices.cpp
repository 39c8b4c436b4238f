#include "overload/slow_start_time_slices.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::overload {
namespace {

constexpr int kSlots = 16; // m: slots of a window; more waste less to rounding
constexpr int kHold = 32;  // h: a request is likelier to find its broker's time slice
constexpr int kStep = 97;  // brokers by which the time slices of neighbouring shards are apart

} // namespace

double SlowStartTimeSlices::usual() const {
    return std::ceil(set_.mean_request_units);
}
Micros SlowStartTimeSlices::slot() const {
    return std::max<Micros>(1, set_.slow_start_window / kSlots);
}
double SlowStartTimeSlices::grown_a_slot() const { // how much E grows in a slot, at the least
    return set_.slow_start_units * (1 / set_.slow_start_initial_fraction - 1) * static_cast<double>(slot()) /
           static_cast<double>(set_.slow_start_duration);
}
double SlowStartTimeSlices::total(const SlowStartNode &node, int layer, Micros at) const {
    if (layer == 0)
        return set_.slow_start_units;
    const Micros age = at - node.slow_start_began - set_.slow_start_window;
    const Micros slots = age / slot() - 2; // whole ones
    return node.start_listed ? grown_a_slot() * std::max(0.0, static_cast<double>(slots)) : 0;
}
double SlowStartTimeSlices::slices(int layer, double k) const { // A(k): time slices shared out before slot k
    const double each = (kSlots + 2 + kHold) * usual();
    if (layer == 0)
        return std::floor(k * std::max(0.0, set_.slow_start_units - usual()) / each);
    const double n = std::max(0.0, k - kSlots - 3 - std::ceil(usual() / grown_a_slot()));
    return std::floor(grown_a_slot() * n * (n - 1) / 2 / each);
}
double SlowStartTimeSlices::left(const SlowStartNode &node, int layer, Micros now) const {
    if (layer == 1 && !node.start_listed)
        return 0;
    double left = total(node, layer, now - set_.slow_start_window) / set_.hosts;
    Micros from = now - set_.slow_start_window;
    if (left < usual()) {
        if (total(node, layer, now) / set_.hosts >= usual())
            return 0; // between time slices and parts
        const std::int64_t k = (layer == 0 ? now : now - node.slow_start_began) / slot();
        // The brokers, counted on beyond their number, whose time slices are good in this slot.
        const auto first = static_cast<std::int64_t>(slices(layer, static_cast<double>(k - kHold))),
                   last = static_cast<std::int64_t>(slices(layer, static_cast<double>(k + 1)));
        const std::int64_t mine = set_.position + static_cast<std::int64_t>(node.entry.shard) * kStep;
        if (((mine - first) % set_.hosts + set_.hosts) % set_.hosts >= last - first)
            return 0;
        from = now - (kHold + 1) * slot();
        left = usual();
    }
    for (const HandoverState::SlowStartSend &s : node.sends)
        if (s.layer == layer && s.at >= from)
            left -= s.units;
    return std::max(0.0, left);
}

bool SlowStartTimeSlices::admits(const SlowStartNode &node, double units, Micros now,
                                 Micros started_at) const {
    return now - started_at >= set_.slow_start_window &&
           (units <= left(node, 0, now) || units <= left(node, 1, now));
}
void SlowStartTimeSlices::spend(SlowStartNode &node, double units, Micros now) {
    const int layer = units <= left(node, 0, now) ? 0 : 1;
    node.sends.push_back({now, units, layer});
}
void SlowStartTimeSlices::expire(SlowStartNode &node, Micros now) const {
    const Micros longest =
        std::max<Micros>(set_.slow_start_window, (kHold + 1) * slot()) + set_.slow_start_window;
    while (!node.sends.empty() && node.sends.front().at < now - longest)
        node.sends.pop_front();
}

} // namespace marblewood::overload
