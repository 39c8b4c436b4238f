/// \file
/// Chooses cells for volumes so that their reserved rates fit. Performs no I/O and reads no clock.
#pragma once

#include "cells/cell_map.hpp"

#include <optional>

namespace marblewood::cells {

/// Fraction of a cell's capacity that may be reserved. The rest absorbs variations in the nodes' performance.
inline constexpr double kMaxReservedFraction = 0.85;

/// Units a second that are reserved in each cell, by cell name.
using ReservedRates = std::map<std::string, double>;

/// Whether a reserve of `reserve_rate` units a second fits into the cell in addition to existing reserves.
bool has_capacity_for(const Cell &cell, double reserve_rate, const ReservedRates &reserved);

/// The first cell in the volume's order of preference with capacity for the reserve. Frozen and evacuated
/// cells and those in `excluded` are skipped. Returns nothing if no cell has the capacity.
std::optional<std::string> choose_cell(const CellMap &map, VolumeId volume, double reserve_rate,
                                       const ReservedRates &reserved,
                                       const std::set<std::string> &excluded = {});

/// A known volume and its demand.
struct VolumeDemand {
    VolumeId volume{};
    double reserve_rate = 0;    ///< Units a second.
    double rate = 0;            ///< Units a second, served recently.
    double priority_weight = 0; ///< Per unit.
};

struct PlannedMigration {
    VolumeId volume{};
    std::string target_cell;
};

struct EvacuationPlan {
    std::vector<PlannedMigration> migrations; ///< In the order in which to start them.
    std::vector<VolumeId> unplaced;           ///< Volumes for which no cell has the capacity.
};

/// Plans the evacuation of a cell: volumes with the highest priority weight per unit of capacity go first,
/// and volumes that fit nowhere stay. `reserved` contains the existing reserves of all cells.
EvacuationPlan plan_evacuation(const CellMap &map, const std::string &cell, std::vector<VolumeDemand> volumes,
                               ReservedRates reserved);

} // namespace marblewood::cells
