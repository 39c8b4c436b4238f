#include "cells/placement.hpp"

#include <algorithm>

namespace marblewood::cells {
namespace {

/// Priority weight served a second per unit of reserved capacity. Volumes without a reserve take no reserved
/// capacity and come last.
double weight_per_capacity(const VolumeDemand &volume) {
    if (volume.reserve_rate <= 0)
        return -1;
    return volume.priority_weight * std::min(volume.rate, volume.reserve_rate) / volume.reserve_rate;
}

bool evacuates_before(const VolumeDemand &a, const VolumeDemand &b) {
    const double density_a = weight_per_capacity(a);
    const double density_b = weight_per_capacity(b);
    if (density_a != density_b)
        return density_a > density_b;
    const double weight_a = a.priority_weight * a.rate;
    const double weight_b = b.priority_weight * b.rate;
    return weight_a != weight_b ? weight_a > weight_b : a.volume < b.volume;
}

} // namespace

bool has_capacity_for(const Cell &cell, double reserve_rate, const ReservedRates &reserved) {
    const auto in_cell = reserved.find(cell.name);
    const double already_reserved = in_cell == reserved.end() ? 0 : in_cell->second;
    return already_reserved + reserve_rate <= kMaxReservedFraction * cell.capacity;
}

std::optional<std::string> choose_cell(const CellMap &map, VolumeId volume, double reserve_rate,
                                       const ReservedRates &reserved, const std::set<std::string> &excluded) {
    for (const Cell *cell : cells_by_preference(map, volume)) {
        const bool accepts = !cell->frozen && !cell->evacuated && !excluded.contains(cell->name);
        if (accepts && has_capacity_for(*cell, reserve_rate, reserved))
            return cell->name;
    }
    return std::nullopt;
}

EvacuationPlan plan_evacuation(const CellMap &map, const std::string &cell, std::vector<VolumeDemand> volumes,
                               ReservedRates reserved) {
    std::sort(volumes.begin(), volumes.end(), evacuates_before);
    EvacuationPlan plan;
    for (const VolumeDemand &demand : volumes) {
        // A volume without a reserve needs room for its usual rate; otherwise it would use up the spare
        // capacity of the other volumes.
        const double needed = demand.reserve_rate > 0 ? demand.reserve_rate : demand.rate;
        if (const auto target = choose_cell(map, demand.volume, needed, reserved, {cell})) {
            plan.migrations.push_back({demand.volume, *target});
            reserved[*target] += needed;
        } else {
            plan.unplaced.push_back(demand.volume);
        }
    }
    return plan;
}

} // namespace marblewood::cells
