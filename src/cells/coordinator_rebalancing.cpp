/// \file
/// CellCoordinator: migrations started by rules instead of operators.
#include "cells/cell_coordinator.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace marblewood::cells {

void CellCoordinator::rebalance(Micros now, CoordinatorActions &actions) {
    evacuate_drained_cells(now, actions);
    migrate_from_evacuated_cells(now, actions);
    migrate_home(now, actions);
    relieve_overcommitted_cells(now, actions);
}

/// Evacuates cells that have had ready nodes since the start and now have none, according to all their
/// brokers with a recent heartbeat.
void CellCoordinator::evacuate_drained_cells(Micros now, CoordinatorActions &actions) {
    for (const auto &[name, status] : cell_status(now)) {
        if (status.ready_nodes > 0)
            cells_once_ready_.insert(name);
        const bool drained =
            cells_once_ready_.contains(name) && status.reporting_brokers > 0 && status.ready_nodes == 0;
        const Cell &cell = *map_.cell(name);
        if (!drained || !timing_.evacuate_drained || cell.evacuated || cell.frozen) {
            drained_since_.erase(name);
            continue;
        }
        const Micros since = drained_since_.try_emplace(name, now).first->second;
        if (now - since < timing_.min_drained_time)
            continue;
        drained_since_[name] = now;
        if (evacuate(name, actions).ok)
            actions.emplace_back(
                LogEntry{fmt::format("cell_evacuation_started cell={} reason=no_ready_node", name)});
    }
}

bool CellCoordinator::migratable(VolumeId volume) const {
    return !migrations_.contains(volume) && !retry_after_.contains(volume) && known_volumes_.contains(volume);
}

/// Migrates the remaining volumes of evacuated cells, as far as other cells have the capacity.
void CellCoordinator::migrate_from_evacuated_cells(Micros now, CoordinatorActions &actions) {
    for (const Cell &cell : map_.cells) {
        if (!cell.evacuated || !may_start_by_rule())
            continue;
        std::vector<VolumeDemand> volumes = volumes_in(cell.name);
        std::erase_if(volumes, [&](const VolumeDemand &demand) { return !migratable(demand.volume); });
        const EvacuationPlan plan = plan_evacuation(map_, cell.name, std::move(volumes), reserved_rates());
        for (const PlannedMigration &planned : plan.migrations)
            if (may_start_by_rule())
                start_migration(now, planned.volume, planned.target_cell, false, actions);
    }
}

/// Migrates volumes that a rule has moved elsewhere back to the cell that the hash chooses.
void CellCoordinator::migrate_home(Micros now, CoordinatorActions &actions) {
    std::vector<PlannedMigration> planned_returns;
    for (const auto &[volume, cell] : map_.pins) {
        const Cell *const hashed = map_.hashed_cell(volume);
        if (!operator_pins_.contains(volume) && hashed && hashed->name != cell && migratable(volume))
            planned_returns.push_back({volume, hashed->name});
    }
    for (const PlannedMigration &planned : planned_returns)
        if (may_start_by_rule())
            start_migration(now, planned.volume, planned.target_cell, false, actions);
}

/// Migrates volumes out of cells whose reserved rates exceed the allowed fraction of their capacity. The
/// volumes migrate back once their reserve fits again.
void CellCoordinator::relieve_overcommitted_cells(Micros now, CoordinatorActions &actions) {
    ReservedRates reserved = reserved_rates();
    for (const Cell &cell : map_.cells)
        if (!cell.frozen && !cell.evacuated)
            relieve_cell(now, cell, reserved, actions);
}

void CellCoordinator::relieve_cell(Micros now, const Cell &cell, ReservedRates &reserved,
                                   CoordinatorActions &actions) {
    double excess = reserved[cell.name] - kMaxReservedFraction * cell.capacity;
    if (excess <= 0)
        return;
    std::vector<VolumeDemand> candidates = volumes_in(cell.name);
    std::erase_if(candidates, [&](const VolumeDemand &demand) {
        return demand.reserve_rate <= 0 || !migratable(demand.volume) ||
               operator_pins_.contains(demand.volume);
    });
    std::sort(candidates.begin(), candidates.end(), [](const VolumeDemand &a, const VolumeDemand &b) {
        return a.reserve_rate != b.reserve_rate ? a.reserve_rate < b.reserve_rate : a.volume < b.volume;
    });
    while (excess > 0 && !candidates.empty() && may_start_by_rule()) {
        // Migrates as few volumes as possible: the smallest that removes the excess alone, otherwise the
        // largest.
        auto chosen = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const VolumeDemand &demand) { return demand.reserve_rate >= excess; });
        if (chosen == candidates.end())
            --chosen;
        const VolumeDemand demand = *chosen;
        candidates.erase(chosen);
        const auto target = choose_cell(map_, demand.volume, demand.reserve_rate, reserved, {cell.name});
        if (!target || start_migration(now, demand.volume, *target, false, actions))
            continue;
        excess -= demand.reserve_rate;
        reserved[*target] += demand.reserve_rate;
    }
}

/// The reserved rate of each cell. A migrating volume counts for its target cell.
ReservedRates CellCoordinator::reserved_rates() const {
    ReservedRates all;
    for (const auto &[volume, known] : known_volumes_) {
        const auto active = migrations_.find(volume);
        const bool leaving = active != migrations_.end() && active->second.stage != MigrationStage::Aborting;
        if (leaving)
            all[active->second.target_cell] += known.reserve_rate;
        else if (const Cell *const home = map_.home_cell(volume))
            all[home->name] += known.reserve_rate;
    }
    return all;
}

std::vector<VolumeDemand> CellCoordinator::volumes_in(const std::string &cell) const {
    std::vector<VolumeDemand> all;
    for (const auto &[volume, known] : known_volumes_) {
        const Cell *const home = map_.home_cell(volume);
        if (home && home->name == cell)
            all.push_back({volume, known.reserve_rate, known.rate, known.priority_weight});
    }
    return all;
}

} // namespace marblewood::cells
