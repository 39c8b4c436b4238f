// Which cell takes a volume, so that its reserve fits. Free of I/O and of the clock.
#pragma once

#include "cells/map.hpp"

#include <optional>

namespace marblewood::cells {

// The part of a cell's capacity that reserves may fill; the rest is for the nodes' own ups and downs.
inline constexpr double kReserved = 0.85;

// Units a second that are promised in each cell.
using Promised = std::map<std::string, double>;

// The first cell in the volume's order of preference into whose spare capacity the reserve fits. Cells that
// are frozen, evacuated or named in `without` are passed over. Nothing: none has the room.
std::optional<std::string> place(const Map &map, VolumeId volume, double reserve, const Promised &promised,
                                 const std::set<std::string> &without = {});
// Whether the reserve fits into this cell.
bool fits(const Cell &cell, double reserve, const Promised &promised);

struct Tenant { // a volume that is known, and what it asks
    VolumeId volume{};
    double reserve = 0, rate = 0, worth = 0;
};
struct Evacuation {
    std::vector<std::pair<VolumeId, std::string>> moves; // in the order to be done
    std::vector<VolumeId> left;                          // for which nobody has the room
};
// Of the tenants of a cell: those worth the most for the room that they need go first, and what does not fit
// stays. `promised` is what the other cells have given already.
Evacuation evacuate(const Map &map, const std::string &cell, std::vector<Tenant> tenants, Promised promised);

} // namespace marblewood::cells
